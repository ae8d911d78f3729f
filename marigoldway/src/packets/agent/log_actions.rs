//! Counters and log lines of the actions of an agent.

use marigoldway_core::flow::agent::AgentAction;
use marigoldway_core::flow::agent::ResetReason;
use marigoldway_core::flow::agent::slot_queue::QueueDecision;
use marigoldway_core::flow::key::FlowKey;
use marigoldway_core::flow::message::Intent;
use marigoldway_core::flow::message::Verdict;
use marigoldway_platform::packet;

use crate::packets::agent::Agent;

impl Agent {
    /// Counts each action. Logs those that concern a request, and those that start, move or end a
    /// flow.
    pub(super) fn log_action(&self, flow: Option<&FlowKey>, packet: &[u8], action: &AgentAction) {
        let (event, detail) = match action {
            AgentAction::ToTarget => return self.node.count("packet-to-target"),
            AgentAction::ToClient => return self.node.count("packet-to-client"),
            AgentAction::ToDirectory(..) => return self.node.count("flow-registered"),
            AgentAction::SendHello(..) => return self.node.count("peers-greeted"),
            AgentAction::Query(..) => return self.node.count("flows-inquired"),
            AgentAction::ToSearcher(..) => return self.node.count("flows-lacked"),
            AgentAction::SearchWaits(flow, agents) => {
                let event = "search-waits";
                self.node.count(event);
                let missing: Vec<String> = agents.iter().map(|id| id.0.to_string()).collect();
                return self.log_flow(event, flow, &format!("missing={}", missing.join(",")));
            }
            AgentAction::Release(release) => {
                let event = "request-released";
                self.node.count(event);
                self.node
                    .histograms
                    .request_wait
                    .observe(release.waited.as_secs_f64());
                let waited = format!("waited-ms={}", release.waited.as_millis());
                return self.log_flow(event, &release.flow, &waited);
            }
            AgentAction::OpeningPassedOn
            | AgentAction::OpeningQueued(..)
            | AgentAction::ReleaseOpening(_)
            | AgentAction::MoveOpening(..)
            | AgentAction::OpeningDropped(_) => return self.log_opening(action),
            AgentAction::TimedOut(flow) => {
                let event = "request-given-up";
                self.node.count(event);
                return self.log_flow(event, flow, "reason=timeout");
            }
            AgentAction::ClientGone(flow) => {
                let event = "request-given-up";
                self.node.count(event);
                return self.log_flow(event, flow, "reason=client-gone");
            }
            AgentAction::TargetReset(flow, phase) => {
                let event = "target-reset";
                self.node.count(event);
                let state = self.flows.borrow().load(self.node.clock.now()).state;
                return self.log_flow(event, flow, &format!("phase={phase:?} state={state:?}"));
            }
            AgentAction::Unanswered(flow) => {
                let event = "request-unanswered";
                self.node.count(event);
                let failing = self.flows.borrow().load(self.node.clock.now()).failing;
                return self.log_flow(event, flow, &format!("failing={failing}"));
            }
            AgentAction::Queue => return self.node.count("packet-held"),
            AgentAction::Request(decision) => {
                let load = self.flows.borrow().load(self.node.clock.now());
                let request = packet::request_id(packet).unwrap_or("unread");
                let (event, running, waiting) = match decision {
                    QueueDecision::Admitted => ("request-let-in", load.running, load.waiting),
                    QueueDecision::Queued => ("request-held", load.running, load.waiting),
                };
                let slots = load.slots;
                (
                    event,
                    format!("request={request} running={running} waiting={waiting} slots={slots}"),
                )
            }
            AgentAction::Answered(flow, elapsed) => {
                let event = "request-answered";
                self.node.count(event);
                self.node
                    .histograms
                    .target_response
                    .observe(elapsed.as_secs_f64());
                return self.log_flow(event, flow, &format!("took-ms={}", elapsed.as_millis()));
            }
            AgentAction::ToAgents(agents, header) => {
                let event = match header.intent {
                    // The agent had no room for a flow of another service.
                    Intent::Open if header.service != self.flows.borrow().service() => {
                        "flow-returned"
                    }
                    Intent::Open => "flow-passed-on",
                    Intent::Owned => "packet-to-owner",
                    Intent::Locate => "packet-to-home",
                    Intent::Search => "packet-to-all",
                };
                let first = agents.first().map(|it| it.0);
                let mut detail = format!("agent={first:?} hops={}", header.hops);
                if let (Intent::Open, Some((best, load))) =
                    (header.intent, header.placement_hint.best)
                {
                    let threshold = header.placement_hint.threshold.0;
                    detail.push_str(&format!(" least={best} load={} bar={threshold}", load.0));
                }
                (event, detail)
            }
            AgentAction::ToEntry(entry, report) => match report.verdict {
                Verdict::Holds => ("flow-held", format!("entry={entry}")),
                // `AgentAction::ToAgents`, which sends the packet, logs the receiver.
                Verdict::PassedOn => return self.node.count("flow-deferred"),
                Verdict::Unknown => ("flow-unknown", format!("entry={entry}")),
                Verdict::NotHeld => {
                    let (event, detail) = ("flow-not-held", format!("entry={entry}"));
                    self.node.count(event);
                    return self.log_flow(event, &report.flow, &detail);
                }
                Verdict::Refused(reason) => {
                    let load = report.load;
                    let reason = reason.as_str();
                    (
                        "flow-refused",
                        format!("entry={entry} reason={reason} state={:?}", load.state),
                    )
                }
            },
            AgentAction::Reset(reset, reason) => {
                let event = "flow-reset";
                self.node.count(event);
                if matches!(reason, ResetReason::SlowStart | ResetReason::Refused(_)) {
                    self.node.count("opening-rejected");
                }
                let reason = format!("reason={}", reason.as_str());
                return self.log_flow(event, &reset.flow, &reason);
            }
            AgentAction::Drop(reason) => ("packet-dropped", format!("reason={}", reason.as_str())),
        };
        self.node.count(event);
        if let Some(flow) = flow {
            self.log_flow(event, flow, &detail);
        }
    }

    /// Counts and logs an action on an opening packet over the limit of the target's slow start.
    fn log_opening(&self, action: &AgentAction) {
        let (event, flow, detail) = match action {
            AgentAction::OpeningPassedOn => return self.node.count("opening-passed-on"),
            AgentAction::OpeningQueued(flow, wait) => {
                let opening = self.flows.borrow().load(self.node.clock.now()).opening;
                let detail = format!("wait-ms={} opening={opening}", wait.as_millis());
                ("opening-queued", flow, detail)
            }
            AgentAction::ReleaseOpening(release) => {
                let detail = format!("waited-ms={}", release.waited.as_millis());
                ("opening-released", &release.flow, detail)
            }
            AgentAction::MoveOpening(agent, header, flow, _) => {
                let waited = header.waited.as_millis();
                let detail = format!("agent={agent} waited-ms={waited}");
                ("opening-moved", flow, detail)
            }
            AgentAction::OpeningDropped(flow) => {
                ("opening-dropped", flow, "reason=slow-start".to_owned())
            }
            _ => return,
        };
        self.node.count(event);
        self.log_flow(event, flow, &detail);
    }

    /// Logs a line on a flow, unless the limit of its event is reached.
    fn log_flow(&self, event: &'static str, flow: &FlowKey, detail: &str) {
        if self.node.log_limiter.allows(self.node.clock.now(), event) {
            let version = self.flows.borrow().version();
            log::info!("event={event} flow={flow} {detail} version={version}");
        }
    }
}
