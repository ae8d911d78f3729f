//! Counters and log lines of an agent's decisions.

use marigoldway_core::flow::agent::AgentAction;
use marigoldway_core::flow::agent::slot_queue::QueueDecision;
use marigoldway_core::flow::key::FlowKey;
use marigoldway_core::flow::message::Intent;
use marigoldway_core::flow::message::Verdict;
use marigoldway_platform::packet;

use crate::packets::agent::Agent;

impl Agent {
    /// Counts each decision, and logs those that start, move or end a flow.
    pub(super) fn log_step(&self, flow: Option<&FlowKey>, packet: &[u8], step: &AgentAction) {
        let (kind, detail) = match step {
            AgentAction::ToTarget => return self.node.count("packet-to-target"),
            AgentAction::ToClient => return self.node.count("packet-to-client"),
            AgentAction::ToDirectory(..) => return self.node.count("flow-registered"),
            AgentAction::SendHello(..) => return self.node.count("peers-greeted"),
            AgentAction::Query(..) => return self.node.count("flows-inquired"),
            AgentAction::ToSearcher(..) => return self.node.count("flows-lacked"),
            AgentAction::Release(released) => {
                let kind = "request-released";
                self.node.count(kind);
                self.node.times.waits.observe(released.waited.as_secs_f64());
                let waited = format!("waited-ms={}", released.waited.as_millis());
                return self.log_flow(kind, &released.flow, &waited);
            }
            AgentAction::TimedOut(flow) => {
                let kind = "request-given-up";
                self.node.count(kind);
                return self.log_flow(kind, flow, "reason=timeout");
            }
            AgentAction::TargetReset(flow, phase) => {
                let kind = "target-reset";
                self.node.count(kind);
                let state = self.flows.borrow().load(self.node.clock.now()).state;
                return self.log_flow(kind, flow, &format!("phase={phase:?} state={state:?}"));
            }
            AgentAction::Unanswered(flow) => {
                let kind = "request-unanswered";
                self.node.count(kind);
                let failing = self.flows.borrow().load(self.node.clock.now()).failing;
                return self.log_flow(kind, flow, &format!("failing={failing}"));
            }
            AgentAction::Queue => return self.node.count("packet-held"),
            AgentAction::Request(entrance) => {
                let load = self.flows.borrow().load(self.node.clock.now());
                let request = packet::request_id(packet).unwrap_or("unread");
                let (kind, running, waiting) = match entrance {
                    QueueDecision::Open => ("request-let-in", load.running, load.waiting),
                    QueueDecision::Queued => ("request-held", load.running, load.waiting),
                };
                let slots = load.slots;
                (
                    kind,
                    format!("request={request} running={running} waiting={waiting} slots={slots}"),
                )
            }
            AgentAction::Answered(flow, took) => {
                let kind = "request-answered";
                self.node.count(kind);
                self.node.times.answers.observe(took.as_secs_f64());
                return self.log_flow(kind, flow, &format!("took-ms={}", took.as_millis()));
            }
            AgentAction::ToAgents(agents, header) => {
                let kind = match header.intent {
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
                    let bar = header.placement_hint.threshold.0;
                    detail.push_str(&format!(" least={best} load={} bar={bar}", load.0));
                }
                (kind, detail)
            }
            AgentAction::ToEntry(entry, receipt) => match receipt.verdict {
                Verdict::Holds => ("flow-held", format!("entry={entry}")),
                // The step that sends the packet says where it goes.
                Verdict::PassedOn => return self.node.count("flow-deferred"),
                Verdict::Refused(reason) => {
                    let load = receipt.load;
                    let reason = reason.as_str();
                    (
                        "flow-refused",
                        format!("entry={entry} reason={reason} state={:?}", load.state),
                    )
                }
            },
            AgentAction::Reset(reset, reason) => {
                let kind = "flow-reset";
                self.node.count(kind);
                let reason = format!("reason={}", reason.as_str());
                return self.log_flow(kind, &reset.flow, &reason);
            }
            AgentAction::Drop(reason) => ("packet-dropped", format!("reason={}", reason.as_str())),
        };
        self.node.count(kind);
        if let Some(flow) = flow {
            self.log_flow(kind, flow, &detail);
        }
    }

    fn log_flow(&self, kind: &'static str, flow: &FlowKey, detail: &str) {
        if self.node.budget.allows(self.node.clock.now(), kind) {
            let version = self.flows.borrow().version();
            log::info!("event={kind} flow={flow} {detail} version={version}");
        }
    }
}
