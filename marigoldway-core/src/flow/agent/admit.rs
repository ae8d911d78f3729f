//! Admits requests to the target.
//!
//! A request needs one of the target's slots while it runs. Requests for which no slot is free
//! are queued at the agent.

use crate::flow::agent::AgentFlows;
use crate::flow::agent::actions::AgentAction;
use crate::flow::agent::slot_queue::Arrival;
use crate::flow::agent::slot_queue::QueueDecision;
use crate::flow::key::FlowKey;
use crate::flow::routes::WorkClass;
use crate::time::Timestamp;

impl AgentFlows {
    /// Removes running requests that are overdue, which count as failures of the target, and queued
    /// requests whose client has timed out.
    pub(super) fn expire_requests(&mut self, now: Timestamp, actions: &mut Vec<AgentAction>) {
        let expired = self.slot_queue.expire(now);
        for flow in expired.unanswered {
            self.health.record_request(now, true);
            actions.push(AgentAction::Unanswered(flow));
        }
        for flow in expired.timed_out {
            self.abandon(now, &flow);
            actions.push(AgentAction::TimedOut(flow));
        }
    }

    /// Admits or queues a packet that carries new data or ends a flow with a queued request.
    /// Reports the decision if the packet starts a request.
    pub(super) fn admit(
        &mut self,
        now: Timestamp,
        arrival: &Arrival<'_>,
        actions: &mut Vec<AgentAction>,
    ) {
        let has_request = self.slot_queue.contains(&arrival.flow);
        // Uploads bypass the queue: they use little of a slot and spend long in transit.
        let decision = if arrival.work.class == WorkClass::Upload {
            QueueDecision::Admitted
        } else {
            self.slot_queue.offer(now, self.slots(), arrival)
        };
        if !has_request && (arrival.first || arrival.work.class != WorkClass::Upload) {
            actions.push(AgentAction::Request(decision));
        }
        actions.push(match decision {
            QueueDecision::Admitted => AgentAction::ToTarget,
            QueueDecision::Queued => AgentAction::Queue,
        });
    }

    /// Removes the request of a flow whose client has gone before it was admitted. Repeated packets
    /// of the request are dropped from now on, so that it doesn't run after all.
    pub(super) fn abandon(&mut self, now: Timestamp, flow: &FlowKey) {
        self.forget_request(flow);
        if let Some(local) = self.flows.touch(now, flow) {
            local.abandoned = true;
        }
    }

    /// Removes the request of a flow that was reset or that sends none.
    pub(super) fn forget_request(&mut self, flow: &FlowKey) {
        self.openings.end(flow);
        self.slot_queue.remove(flow);
    }

    /// Admits queued requests while the target has room.
    pub(super) fn release(&mut self, now: Timestamp, actions: &mut Vec<AgentAction>) {
        while let Some(released) = self.slot_queue.release(now, self.slots()) {
            actions.push(AgentAction::Release(released));
        }
    }
}
