//! How many slots of a target are open: few while it is cold or sheds load.

use std::time::Duration;

use crate::time::Timestamp;

/// `SlowStart` opens one slot more after each step of time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowStart {
    floor: usize,
    since: Timestamp,
}

impl SlowStart {
    /// Starts with one open slot at `now`.
    pub(crate) fn cold(now: Timestamp) -> SlowStart {
        SlowStart {
            floor: 1,
            since: now,
        }
    }

    /// Starts with every one of `slots` open.
    pub(crate) fn warm(slots: usize) -> SlowStart {
        SlowStart {
            floor: slots,
            since: Timestamp::ZERO,
        }
    }

    /// Slots open at `now`, of `slots` in all.
    pub(crate) fn limit(&self, slots: usize, step: Duration, now: Timestamp) -> usize {
        let steps = now.since(self.since).as_micros() / step.as_micros().max(1);
        let steps = usize::try_from(steps).unwrap_or(usize::MAX);
        self.floor.saturating_add(steps).min(slots)
    }

    /// Closes one slot of the `limit` open now, since the target refused a
    /// request that it had a slot for. One slot stays open as a probe.
    pub(crate) fn shrink(&mut self, limit: usize, now: Timestamp) {
        self.floor = limit.saturating_sub(1).max(1);
        self.since = now;
    }
}
