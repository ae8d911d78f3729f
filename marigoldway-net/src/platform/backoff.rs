//! Exponential backoff with jitter between attempts to reach the platform.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

/// Upper bound of the wait after the first failure.
const INITIAL_BOUND: Duration = Duration::from_millis(100);

/// Maximum of the upper bound, up to which it doubles.
const MAX_BOUND: Duration = Duration::from_secs(5);

/// `Backoff` doubles the upper bound of the wait with each failed attempt. Each
/// wait is drawn uniformly between a quarter of the bound and the bound, so that
/// processes that lost the platform at the same time don't reconnect at the same
/// time.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    bound: Duration,
}

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff {
            bound: INITIAL_BOUND,
        }
    }
}

impl Backoff {
    /// Returns the wait before the next attempt and doubles the upper bound.
    pub fn next_wait(&mut self, rng: &mut impl Rng) -> Duration {
        let bound = self.bound;
        self.bound = (bound * 2).min(MAX_BOUND);
        bound.mul_f64(rng.random_range(0.25..1.0))
    }

    /// Sets the upper bound back to its initial value after a successful attempt.
    pub fn reset(&mut self) {
        self.bound = INITIAL_BOUND;
    }
}
