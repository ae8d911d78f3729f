//! Does the periodic work of an agent, and removes the flows of an earlier target.

use std::time::Duration;

use crate::flow::agent::AgentAction;
use crate::flow::agent::AgentFlows;
use crate::flow::agent::Phase;
use crate::flow::agent::ResetReason;
use crate::flow::segment::Reset;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Time for which the last packets of a closed flow are still delivered.
const CLOSED_LIFETIME: Duration = Duration::from_secs(3);

impl AgentFlows {
    /// Does the periodic work: registers flows whose directory agents have changed, and removes
    /// expired state. Returns the unregistered agents to probe, to find out whether they are alive.
    pub fn tick(&mut self, now: Timestamp, actions: &mut Vec<AgentAction>) -> Vec<InstanceId> {
        self.agents.expire(now);
        self.flows
            .retain(|_, flow| flow.closed.is_none_or(|at| now.since(at) < CLOSED_LIFETIME));
        self.flows.sweep(now);
        self.review_reach(now);
        self.update_number(now);
        self.directory.sweep(now);
        self.searches.expire(now);
        self.review_searches(now, actions);
        self.openings.expire(now);
        self.recount();
        self.send_hello(now, actions);
        self.flush_searches(now, actions);
        self.expire_requests(now, actions);
        let slow_start = !self.target.slow_start(now).is_zero();
        self.slot_queue.observe_tick(now, self.slots(), slow_start);
        self.release(now, actions);
        self.record_occupancy(now);
        self.review_openings(now, actions);
        self.release_openings(now, actions);
        if self.epoch != self.agents.epoch() {
            self.epoch = self.agents.epoch();
            self.register_all(now, actions);
        }
        self.agents.due_probes(now)
    }

    /// Counts `open_flows` anew.
    pub(super) fn recount(&mut self) {
        let flows = self.flows.iter();
        let open = flows.filter(|(key, it)| {
            let begun = it.phase == Phase::Open || self.openings.contains(key);
            begun && it.closed.is_none()
        });
        self.open_flows = u32::try_from(open.count()).unwrap_or(u32::MAX);
    }

    /// Resets every open flow of an earlier incarnation of the target, and removes all flows and
    /// requests.
    pub(super) fn reset_flows(&mut self, actions: &mut Vec<AgentAction>) {
        self.flows.retain(|key, flow| {
            if flow.phase == Phase::Open && flow.closed.is_none() {
                let reset = Reset {
                    flow: *key,
                    seq: flow.acked,
                };
                actions.push(AgentAction::Reset(reset, ResetReason::TargetRestarted));
            }
            false
        });
        self.slot_queue.clear();
        self.openings.clear();
        self.searches.clear_not_held();
        self.recount();
    }
}
