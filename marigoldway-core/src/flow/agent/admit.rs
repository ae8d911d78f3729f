//! Requests of own flows before the gate, and behind it.

use crate::flow::agent::AgentFlows;
use crate::flow::agent::actions::AgentAction;
use crate::flow::agent::slot_queue::Admission;
use crate::flow::agent::slot_queue::Arrival;
use crate::flow::key::FlowKey;
use crate::flow::routes::WorkClass;
use crate::time::Timestamp;

impl AgentFlows {
    /// Forgets requests that are over.
    pub(super) fn expire(&mut self, now: Timestamp, actions: &mut Vec<AgentAction>) {
        let expired = self.slot_queue.expire(now);
        for flow in expired.unanswered {
            self.health.finish(now, true);
            actions.push(AgentAction::Unanswered(flow));
        }
        for flow in expired.timed_out {
            actions.push(AgentAction::TimedOut(flow));
        }
    }

    /// Lets a packet with new data in, or holds it.
    pub(super) fn admit(
        &mut self,
        now: Timestamp,
        arrival: &Arrival<'_>,
        actions: &mut Vec<AgentAction>,
    ) {
        let known = self.slot_queue.contains(&arrival.flow);
        // Uploads take little of a slot and long on the way.
        let entrance = if arrival.work.class == WorkClass::Upload {
            Admission::Open
        } else {
            self.slot_queue.offer(now, self.slots(), arrival)
        };
        if !known && (arrival.first || arrival.work.class != WorkClass::Upload) {
            actions.push(AgentAction::Request(entrance));
        }
        actions.push(match entrance {
            Admission::Open => AgentAction::ToTarget,
            Admission::Queued => AgentAction::Queue,
        });
    }

    /// Forgets the request of a flow that is broken off, or that brings none.
    pub(super) fn forget_request(&mut self, flow: &FlowKey) {
        self.openings.end(flow);
        self.slot_queue.remove(flow);
    }

    /// Lets waiting requests in while the target has room.
    pub(super) fn release(&mut self, now: Timestamp, actions: &mut Vec<AgentAction>) {
        while let Some(released) = self.slot_queue.release(now, self.slots()) {
            actions.push(AgentAction::Release(released));
        }
    }
}
