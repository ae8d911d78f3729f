//! Slow start: limits the number of open slots of a target after the target
//! starts and while it refuses requests.

use std::time::Duration;

use crate::time::Timestamp;

/// Opens one more slot of a target after each interval.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowStart {
    /// Number of slots that are open at `since`.
    initial: usize,
    since: Timestamp,
}

impl SlowStart {
    /// Begins with one open slot at `now`.
    pub(crate) fn begin(now: Timestamp) -> SlowStart {
        SlowStart {
            initial: 1,
            since: now,
        }
    }

    /// Opens all `slots` at once.
    pub(crate) fn complete(slots: usize) -> SlowStart {
        SlowStart {
            initial: slots,
            since: Timestamp::ZERO,
        }
    }

    /// Number of open slots at `now`, limited to `slots`. One more slot opens per
    /// `interval`.
    pub(crate) fn limit(&self, slots: usize, interval: Duration, now: Timestamp) -> usize {
        let opened = now.since(self.since).as_micros() / interval.as_micros().max(1);
        let opened = usize::try_from(opened).unwrap_or(usize::MAX);
        self.initial.saturating_add(opened).min(slots)
    }

    /// Closes one of the `limit` open slots after the target refused a request
    /// that held a slot. One slot always stays open as a probe.
    pub(crate) fn shrink(&mut self, limit: usize, now: Timestamp) {
        self.initial = limit.saturating_sub(1).max(1);
        self.since = now;
    }
}
