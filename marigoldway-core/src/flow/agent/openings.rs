//! Tracks the accepted flows whose first request hasn't arrived yet.
//!
//! These flows count as load. After many processes have ended together, or at the start of a burst,
//! many flows open within the time that a client needs to send its request. Without this count
//! the target would look idle until the requests arrive.

use std::time::Duration;

use indexmap::IndexMap;

use crate::flow::key::FlowKey;
use crate::time::Timestamp;

/// Time from its opening packet after which a flow without a request no longer counts. By then a
/// client has abandoned an opening packet that wasn't answered.
const OPENING_LIFETIME: Duration = Duration::from_millis(1_400);

/// `Openings` maps the accepted flows without a request to the time of their opening packet.
#[derive(Debug, Default)]
pub(super) struct Openings {
    since: IndexMap<FlowKey, Timestamp>,
}

impl Openings {
    /// Adds the flow of an opening packet.
    pub(super) fn begin(&mut self, now: Timestamp, flow: FlowKey) {
        self.since.insert(flow, now);
    }

    /// Removes a flow that sends its first request, or has ended without one.
    pub(super) fn end(&mut self, flow: &FlowKey) {
        self.since.swap_remove(flow);
    }

    /// Removes all flows.
    pub(super) fn clear(&mut self) {
        self.since.clear();
    }

    /// Removes the flows that opened at least `OPENING_LIFETIME` ago.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.since
            .retain(|_, since| now.since(*since) < OPENING_LIFETIME);
    }

    /// Whether the flow's first request is still expected.
    pub(super) fn contains(&self, flow: &FlowKey) -> bool {
        self.since.contains_key(flow)
    }

    /// Number of flows whose first request is still expected.
    pub(super) fn len(&self) -> usize {
        self.since.len()
    }
}
