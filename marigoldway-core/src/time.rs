//! Monotonic timestamps. This crate reads no clock: callers pass in the current time.

use std::ops::Add;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// `Timestamp` is a point on the monotonic clock of one process, in
/// microseconds since an origin that the process chooses.
///
/// Timestamps of different processes can't be compared.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Origin of the clock.
    pub const ZERO: Timestamp = Timestamp(0);

    /// Creates a timestamp from microseconds since the origin of the clock.
    pub const fn from_micros(micros: u64) -> Timestamp {
        Timestamp(micros)
    }

    /// Creates a timestamp from milliseconds since the origin of the clock.
    pub const fn from_millis(millis: u64) -> Timestamp {
        Timestamp(millis * 1_000)
    }

    /// Microseconds since the origin of the clock.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The timestamp `span` earlier, or the origin of the clock if that is later.
    pub fn before(self, span: Duration) -> Timestamp {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_sub(micros))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    /// Returns the timestamp `rhs` later, or the greatest one if the sum is out of range.
    fn add(self, rhs: Duration) -> Timestamp {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_add(micros))
    }
}
