//! Search among all agents of the service for a flow that no directory agent knows.
//!
//! Searches happen after several agents have died together. Each agent either holds the flow or
//! reports that it doesn't. An agent whose table is complete receives a query, for many flows
//! at a time. Any other agent receives the packet itself, since only its target knows; the
//! target returns packets of flows that it doesn't hold. Once every known agent has reported
//! that it doesn't hold the flow, the flow is known to be gone, and its client receives a reset
//! at once instead of waiting for its timeout.

use std::time::Duration;

use indexmap::IndexMap;

use crate::flow::key::FlowKey;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Time that a search may take before the next packet of the flow starts another one.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which the agent remembers that the target doesn't hold a flow.
const NOT_HELD_LIFETIME: Duration = Duration::from_secs(3);

/// Maximum number of searches, of flows that the target doesn't hold, and of forwarded flows,
/// each.
const MAX_ENTRIES: usize = 8_192;

/// `Searches` holds the searches that this agent has started, and the flows that its target
/// doesn't hold.
#[derive(Debug, Default)]
pub(super) struct Searches {
    active: IndexMap<FlowKey, Search>,
    not_held: IndexMap<FlowKey, Timestamp>,
    /// Flows that were forwarded to their other directory agent.
    passed: IndexMap<FlowKey, Timestamp>,
    /// Flows to be sent in queries to agents with complete tables.
    queries: Vec<FlowKey>,
    /// Flows not held here, by the agent that searches them.
    replies: IndexMap<InstanceId, Vec<FlowKey>>,
}

#[derive(Debug)]
struct Search {
    since: Timestamp,
    pending: Vec<InstanceId>,
    /// Latest acknowledgement number from the client.
    acked: u32,
    /// Whether the flow can be gone: no other service may hold it.
    sole: bool,
}

impl Searches {
    /// Starts a search. Returns `false` if one is in progress or too many are stored.
    pub(super) fn begin(
        &mut self,
        now: Timestamp,
        flow: FlowKey,
        acked: u32,
        sole: bool,
        asked: &[InstanceId],
    ) -> bool {
        let under_way = self.active.get(&flow);
        if under_way.is_some_and(|it| now.since(it.since) < SEARCH_TIMEOUT) {
            return false;
        }
        if self.active.len() >= MAX_ENTRIES {
            return false;
        }
        let search = Search {
            since: now,
            pending: asked.to_vec(),
            acked,
            sole,
        };
        self.active.insert(flow, search);
        true
    }

    /// Whether a packet of an unknown flow may go to the other directory agent. Only one does
    /// within `NOT_HELD_LIFETIME`.
    pub(super) fn may_forward(&mut self, now: Timestamp, flow: FlowKey) -> bool {
        let passed = self.passed.get(&flow);
        if passed.is_some_and(|at| now.since(*at) < NOT_HELD_LIFETIME) {
            return false;
        }
        if self.passed.len() < MAX_ENTRIES {
            self.passed.insert(flow, now);
        }
        true
    }

    /// Records that an agent doesn't hold a flow. Once all have reported this, returns the
    /// client's latest acknowledgement number.
    pub(super) fn on_not_held(&mut self, from: InstanceId, flow: &FlowKey) -> Option<u32> {
        let search = self.active.get_mut(flow)?;
        search.pending.retain(|id| *id != from);
        if !search.pending.is_empty() || !search.sole {
            return None;
        }
        self.active.swap_remove(flow).map(|search| search.acked)
    }

    /// Adds a flow to the next queries.
    pub(super) fn add_query(&mut self, flow: FlowKey) {
        self.queries.push(flow);
    }

    /// Adds a flow to the next reply to `searcher`, as not held here.
    pub(super) fn add_reply(&mut self, searcher: InstanceId, flow: FlowKey) {
        self.replies.entry(searcher).or_default().push(flow);
    }

    /// Removes and returns the collected queries and replies.
    pub(super) fn take_queued(&mut self) -> (Vec<FlowKey>, IndexMap<InstanceId, Vec<FlowKey>>) {
        (
            std::mem::take(&mut self.queries),
            std::mem::take(&mut self.replies),
        )
    }

    /// Records that the own target doesn't hold a flow.
    pub(super) fn record_not_held(&mut self, now: Timestamp, flow: FlowKey) {
        if self.not_held.len() < MAX_ENTRIES {
            self.not_held.insert(flow, now);
        }
    }

    /// Whether it was recorded within `NOT_HELD_LIFETIME` that the own target doesn't hold a
    /// flow.
    pub(super) fn is_not_held(&self, now: Timestamp, flow: &FlowKey) -> bool {
        let recorded = self.not_held.get(flow);
        recorded.is_some_and(|at| now.since(*at) < NOT_HELD_LIFETIME)
    }

    /// Clears the record that the own target doesn't hold a flow.
    pub(super) fn on_found(&mut self, flow: &FlowKey) {
        self.not_held.swap_remove(flow);
    }

    /// Clears the flows recorded as not held, since the target is a new incarnation.
    pub(super) fn clear(&mut self) {
        self.not_held.clear();
    }

    /// Removes expired entries.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.active
            .retain(|_, it| now.since(it.since) < NOT_HELD_LIFETIME);
        self.passed
            .retain(|_, at| now.since(*at) < NOT_HELD_LIFETIME);
        self.not_held
            .retain(|_, at| now.since(*at) < NOT_HELD_LIFETIME);
    }
}
