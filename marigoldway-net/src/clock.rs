//! A clock that returns the timestamps of `marigoldway-core`.

use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::Timespec;

use marigoldway_core::time::Timestamp;

/// `Clock` measures the time since its creation, including the time for which the instance was
/// suspended: a lease or a confirmation that ran out meanwhile must not count as valid. It never
/// steps back. Copies share the same start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Clock {
        Clock { start: boot_time() }
    }

    /// Returns the time since [`Clock::start`]. Its resolution is one microsecond.
    pub fn now(&self) -> Timestamp {
        let micros = boot_time().saturating_sub(self.start).as_micros();
        Timestamp::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// Time since the instance booted. Unlike the monotonic clock of the standard library, it counts
/// the time for which the instance was suspended.
fn boot_time() -> Duration {
    let Timespec { tv_sec, tv_nsec } = rustix::time::clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(tv_sec).unwrap_or_default();
    let nanos = u64::try_from(tv_nsec).unwrap_or_default();
    Duration::from_secs(seconds) + Duration::from_nanos(nanos)
}
