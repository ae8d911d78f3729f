//! Jittered waits between tries.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

/// First upper bound of a wait.
const FIRST: Duration = Duration::from_millis(100);

/// Largest upper bound of a wait.
const LAST: Duration = Duration::from_secs(5);

/// `Backoff` doubles the upper bound of the wait with each try that fails and
/// draws each wait evenly below it, so that processes that lost the platform at
/// once don't return at once.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    bound: Duration,
}

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff { bound: FIRST }
    }
}

impl Backoff {
    /// The wait before the next try.
    pub fn next_wait(&mut self, rng: &mut impl Rng) -> Duration {
        let bound = self.bound;
        self.bound = (bound * 2).min(LAST);
        bound.mul_f64(rng.random_range(0.25..1.0))
    }

    /// Starts over after a try that went well.
    pub fn reset(&mut self) {
        self.bound = FIRST;
    }
}
