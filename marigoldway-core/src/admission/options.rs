//! Capacity of a target and the rules by which its agent divides it between the
//! classes of requests.

use std::time::Duration;

/// Limits of one target and the rules for dividing them between classes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionOptions {
    /// Maximum number of requests that the target runs concurrently; at least 1.
    pub slots: usize,
    /// Maximum number of concurrent connections to the target. A feed holds a
    /// connection as long as it is open, any other request while it runs.
    pub connections: usize,
    /// Number of slots that only short requests may use, limited to
    /// `slots - 1`, since a target with one slot has none to reserve.
    pub short_reserved: usize,
    /// Maximum number of waiting short requests. `short_wait` may set a lower one.
    pub short_queue: usize,
    /// Maximum number of waiting bulk requests.
    pub bulk_queue: usize,
    /// Maximum expected wait of a short request at the time it is queued. Two short
    /// requests may always wait for each slot, also if they exceed it.
    pub short_wait: Duration,
    /// Share of the time of all slots, in thousandths, that is guaranteed to bulk
    /// requests while short requests wait.
    pub bulk_permille: u32,
    /// Interval at which the slow start opens one more slot.
    pub slot_interval: Duration,
    /// Initial estimate of the service time of a short request, used until
    /// requests complete.
    pub short_estimate: Duration,
    /// Initial estimate of the service time of a bulk request, used until
    /// requests complete.
    pub bulk_estimate: Duration,
}

impl AdmissionOptions {
    /// Maximum number of slots held by bulk requests when `limit` slots are open.
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
