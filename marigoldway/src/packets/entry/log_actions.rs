//! Logs and counts what an entry decides, and what agents report to it.

use marigoldway_core::flow::entry::EntryAction;
use marigoldway_core::flow::entry::Forwarding;
use marigoldway_core::flow::entry::ResetReason;
use marigoldway_core::flow::key::FlowKey;
use marigoldway_core::flow::message::FlowReport;
use marigoldway_core::flow::message::Intent;
use marigoldway_core::flow::message::Verdict;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::time::Timestamp;

use crate::packets::entry::Entry;

impl Entry {
    /// Counts each action on a flow, and logs those that select an agent for it or end it. `copy` is
    /// the number of earlier copies of the opening packet, 0 for any other packet and for a report.
    pub(super) fn log_action(
        &self,
        now: Timestamp,
        flow: &FlowKey,
        copy: u32,
        action: &EntryAction,
    ) {
        match action {
            EntryAction::Forward(forwardings) => {
                for forwarding in forwardings {
                    self.log_forwarding(now, flow, copy, forwarding);
                }
            }
            EntryAction::Search(..) => self.node.count("flow-searched"),
            EntryAction::Keep => self.node.count("packet-kept"),
            EntryAction::Reset(_, reason) => self.log_reset(now, flow, *reason),
            EntryAction::Drop(reason) => {
                self.node.count("packet-dropped");
                if self.node.log_limiter.allows(now, "packet-dropped") {
                    let (reason, version) = (reason.as_str(), self.node.version());
                    log::info!(
                        "event=packet-dropped flow={flow} reason={reason} version={version}"
                    );
                }
            }
        }
    }

    fn log_forwarding(&self, now: Timestamp, flow: &FlowKey, copy: u32, forwarding: &Forwarding) {
        let Forwarding { agent, header } = forwarding;
        let event = match header.intent {
            Intent::Open => "flow-placed",
            Intent::Locate => "flow-sought",
            Intent::Owned | Intent::Search => return self.node.count("packet-passed"),
        };
        self.node.count(event);
        let home = header.placement_hint.home;
        if home.is_some() {
            self.node.count("flow-overflowed");
        }
        if self.node.log_limiter.allows(now, event) {
            let agent = Some(agent.0);
            let other = header.other.map(|it| it.0);
            let service = header.service;
            let threshold = header.placement_hint.threshold.0;
            let version = self.node.version();
            let home = home.map_or_else(String::new, |it| format!(" overflow-from={it}"));
            log::info!(
                "event={event} flow={flow} agent={agent:?} other={other:?} \
                 service={service} copy={copy} bar={threshold} version={version}{home}"
            );
        }
    }

    /// Counts and logs the services from which flows begin or cease to overflow.
    pub(super) fn log_overflow(&self, now: Timestamp) {
        let changes = self.flows.borrow_mut().take_overflow_changes();
        for (service, is_saturated) in changes {
            let event = if is_saturated {
                "service-saturated"
            } else {
                "service-relieved"
            };
            self.node.count(event);
            if self.node.log_limiter.allows(now, event) {
                let version = self.node.version();
                log::info!("event={event} service={service} version={version}");
            }
        }
    }

    fn log_reset(&self, now: Timestamp, flow: &FlowKey, reason: ResetReason) {
        self.node.count("flow-reset");
        for age in self.flows.borrow_mut().take_reset_times() {
            self.node.histograms.flow_reset.observe(age.as_secs_f64());
        }
        if self.node.log_limiter.allows(now, "flow-reset") {
            let (reason, version) = (reason.as_str(), self.node.version());
            log::info!("event=flow-reset flow={flow} reason={reason} version={version}");
        }
    }

    /// Counts and logs an agent's report if it is about a flow that the agent doesn't take.
    pub(super) fn log_report(&self, now: Timestamp, from: InstanceId, report: &FlowReport) {
        let (event, reason) = match report.verdict {
            Verdict::Holds | Verdict::PassedOn => return,
            Verdict::Unknown => return self.node.count("flow-unknown"),
            Verdict::NotHeld => return self.node.count("flow-not-held"),
            Verdict::Refused(reason) => ("flow-refused", reason.as_str()),
        };
        self.node.count(event);
        if self.node.log_limiter.allows(now, event) {
            let flow = report.flow;
            log::info!("event={event} flow={flow} agent={from} reason={reason}");
        }
    }
}
