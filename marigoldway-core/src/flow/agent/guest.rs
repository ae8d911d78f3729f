//! Accepts or returns flows of other services.
//!
//! A flow of a saturated service may overflow to another service of its route ([`overflow`]). Such
//! a flow is a guest at the agent that accepts it: its requests run only in slots that the requests
//! of the agent's own service leave free, but for the part of the time that every rank gets.
//!
//! [`overflow`]: crate::flow::overload::overflow

use crate::flow::agent::AgentFlows;
use crate::flow::agent::actions::AgentAction;
use crate::flow::capacity;
use crate::flow::key::FlowKey;
use crate::flow::message::Header;
use crate::flow::message::PlacementHint;
use crate::flow::message::TargetState;
use crate::flow::message::Verdict;
use crate::time::Timestamp;

impl AgentFlows {
    /// Returns a new flow of another service to the agent that its header names, if this agent has
    /// no room for it. Returns whether it did.
    pub(super) fn return_guest(
        &mut self,
        now: Timestamp,
        header: &Header,
        flow: FlowKey,
        actions: &mut Vec<AgentAction>,
    ) -> bool {
        let is_guest = header.placement_hint.home.is_some();
        let Some(agent) = header.other.filter(|_| is_guest) else {
            return false;
        };
        if self.flows.peek(&flow).is_some() || self.has_room_for_guest(now) {
            return false;
        }
        self.report(now, header.entry, flow, Verdict::PassedOn, actions);
        actions.push(AgentAction::ToAgents(vec![agent], onward(header)));
        true
    }

    /// Whether a slot is free for a flow of another service, and slots have been free for a while.
    fn has_room_for_guest(&self, now: Timestamp) -> bool {
        let load = self.load(now);
        load.state == TargetState::Serving
            && load.failing == 0
            && load.slow_start.is_zero()
            && capacity::spare_slots(&load, 0) > 0
            && self.occupancy.has_spare(now)
    }

    /// Records how many slots are in use from now on.
    pub(super) fn record_occupancy(&mut self, now: Timestamp) {
        let slots = self.slot_queue.observer().limit(self.slots());
        self.occupancy.record(now, self.slot_queue.running(), slots);
    }
}

/// Header of an opening packet for the alternate agent. A flow of another service goes back to its
/// own.
pub(super) fn onward(header: &Header) -> Header {
    Header {
        hops: header.hops.saturating_add(1),
        other: None,
        service: header.placement_hint.home.unwrap_or(header.service),
        placement_hint: PlacementHint {
            home: None,
            ..header.placement_hint
        },
        ..*header
    }
}
