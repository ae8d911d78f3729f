//! The monotonic clock of a process, as the core's timestamps.

use std::time::Instant;

use marigoldway_core::time::Timestamp;

/// `Clock` counts from the moment it was made.
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

    /// Time since the start.
    pub fn now(&self) -> Timestamp {
        let micros = self.start.elapsed().as_micros();
        Timestamp::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
