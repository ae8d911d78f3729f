//! Token buckets for request rates.

use std::time::Duration;

use crate::share::amounts::MILLI;
use crate::time::Timestamp;

/// Number of billionths in one request. The level of a bucket is counted in
/// billionths of a request: a rate of one thousandth of a request per second adds
/// one billionth per microsecond.
const NANO: u64 = 1_000_000_000;

/// Token bucket that admits requests at a rate and, after an idle period, a burst
/// at once.
///
/// A higher rate takes effect from the time it is set and adds no tokens by
/// itself, so moving a rate between buckets admits no request twice.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    /// Rate in thousandths of a request per second.
    rate: u64,
    /// Capacity in billionths of a request.
    size: u64,
    /// Available tokens in billionths of a request.
    level: u64,
    updated_at: Timestamp,
}

impl TokenBucket {
    /// Creates a full bucket: `rate` in thousandths of a request per second,
    /// `burst` in thousandths of a request.
    pub fn new(now: Timestamp, rate: u64, burst: u64) -> TokenBucket {
        let size = size(burst);
        TokenBucket {
            rate,
            size,
            level: size,
            updated_at: now,
        }
    }

    /// Changes the rate and burst, in the units of [`TokenBucket::new`]. Tokens
    /// beyond the new burst are discarded.
    pub fn set(&mut self, now: Timestamp, rate: u64, burst: u64) {
        self.refill(now);
        self.rate = rate;
        self.size = size(burst);
        self.level = self.level.min(self.size);
    }

    /// Takes the token of one request.
    ///
    /// # Errors
    ///
    /// The time until a token is available.
    pub fn take(&mut self, now: Timestamp) -> Result<(), Duration> {
        self.refill(now);
        if self.level >= NANO {
            self.level -= NANO;
            return Ok(());
        }
        let micros = (NANO - self.level).div_ceil(self.rate.max(1));
        Err(Duration::from_micros(micros))
    }

    fn refill(&mut self, now: Timestamp) {
        let micros = u64::try_from(now.since(self.updated_at).as_micros()).unwrap_or(u64::MAX);
        let gain = micros.saturating_mul(self.rate);
        self.level = self.level.saturating_add(gain).min(self.size);
        self.updated_at = self.updated_at.max(now);
    }
}

/// Capacity of a bucket in billionths of a request. It is at least one request;
/// otherwise the bucket would never admit any.
fn size(burst: u64) -> u64 {
    burst.saturating_mul(NANO / MILLI).max(NANO)
}
