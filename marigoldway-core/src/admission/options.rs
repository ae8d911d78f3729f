//! What a target can take, and how its agent shares it out.

use std::time::Duration;

/// `AdmissionOptions` holds the limits of one target and the rules for sharing
/// them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionOptions {
    /// Requests that the target runs at a time; at least one.
    pub slots: usize,
    /// Connections that the target holds at a time. A feed holds one for as
    /// long as it is open, any other request while it runs.
    pub connections: usize,
    /// Slots that bulk requests leave to short ones. A target with one slot has
    /// none to keep, so at most `slots - 1` count.
    pub short_reserved: usize,
    /// Short requests that may wait at a time.
    pub short_queue: usize,
    /// Bulk requests that may wait at a time.
    pub bulk_queue: usize,
    /// Longest time that a short request is expected to wait when it is taken.
    pub short_wait: Duration,
    /// Share of the target's time that bulk requests may begin to use while
    /// short ones wait, in thousandths.
    pub bulk_permille: u32,
    /// Time in which a cold target gets one slot more.
    pub slot_interval: Duration,
    /// Service time of a short request before one has been seen.
    pub short_estimate: Duration,
    /// Service time of a bulk request before one has been seen.
    pub bulk_estimate: Duration,
}

impl AdmissionOptions {
    /// Slots that bulk requests may hold together when `limit` slots are open.
    pub(crate) fn bulk_slots(&self, limit: usize) -> usize {
        limit.saturating_sub(self.short_reserved.min(self.slots.saturating_sub(1)))
    }
}

impl Default for AdmissionOptions {
    fn default() -> AdmissionOptions {
        AdmissionOptions {
            slots: 4,
            connections: 2_000,
            short_reserved: 2,
            short_queue: 256,
            bulk_queue: 16,
            short_wait: Duration::from_millis(250),
            bulk_permille: 30,
            slot_interval: Duration::from_millis(500),
            short_estimate: Duration::from_millis(20),
            bulk_estimate: Duration::from_secs(1),
        }
    }
}
