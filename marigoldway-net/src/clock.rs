//! A monotonic clock that returns the timestamps of `marigoldway-core`.

use std::time::Instant;

use marigoldway_core::time::Timestamp;

/// `Clock` measures monotonic time from its creation. Copies share the same start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// Returns the time since [`Clock::start`]. Its resolution is one microsecond.
    pub fn now(&self) -> Timestamp {
        let micros = self.start.elapsed().as_micros();
        Timestamp::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
