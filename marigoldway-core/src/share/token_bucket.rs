//! Token buckets for request rates.

use std::time::Duration;

use crate::share::amounts::MILLI;
use crate::time::Timestamp;

/// Billionths of a request in a request. A thousandth of a request a second
/// is one billionth in a microsecond.
const NANO: u64 = 1_000_000_000;

/// `TokenBucket` admits requests at a rate and, after a pause, a burst at once.
///
/// A higher rate takes effect from now on. It brings no tokens by itself, so
/// moving a rate between buckets makes no request admissible twice.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate: u64,
    size: u64,
    level: u64,
    at: Timestamp,
}

impl TokenBucket {
    /// Makes a full bucket: `rate` in thousandths of a request a second,
    /// `burst` in thousandths of a request.
    pub fn new(now: Timestamp, rate: u64, burst: u64) -> TokenBucket {
        let size = size(burst);
        TokenBucket {
            rate,
            size,
            level: size,
            at: now,
        }
    }

    /// Sets another rate and burst.
    pub fn set(&mut self, now: Timestamp, rate: u64, burst: u64) {
        self.fill(now);
        self.rate = rate;
        self.size = size(burst);
        self.level = self.level.min(self.size);
    }

    /// Takes the token of one request.
    ///
    /// # Errors
    ///
    /// The time after which there will be a token.
    pub fn take(&mut self, now: Timestamp) -> Result<(), Duration> {
        self.fill(now);
        if self.level >= NANO {
            self.level -= NANO;
            return Ok(());
        }
        let micros = (NANO - self.level).div_ceil(self.rate.max(1));
        Err(Duration::from_micros(micros))
    }

    fn fill(&mut self, now: Timestamp) {
        let micros = u64::try_from(now.since(self.at).as_micros()).unwrap_or(u64::MAX);
        let gain = micros.saturating_mul(self.rate);
        self.level = self.level.saturating_add(gain).min(self.size);
        self.at = self.at.max(now);
    }
}

/// The size of a bucket. It holds one request at least, or it would never
/// admit any.
fn size(burst: u64) -> u64 {
    burst.saturating_mul(NANO / MILLI).max(NANO)
}
