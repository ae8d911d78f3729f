//! Delay after which a refused caller may retry.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::time::Timestamp;

/// Minimum delay before a refused caller may retry.
const MIN_DELAY: Duration = Duration::from_secs(1);

/// Minimum and maximum width of the range from which the delay above
/// [`MIN_DELAY`] is drawn.
const MIN_RANGE: Duration = Duration::from_secs(2);
const MAX_RANGE: Duration = Duration::from_secs(30);

/// Length of the window in which refusals are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Draws random retry delays so that refused callers don't retry all at once.
///
/// The range of the delays grows with the number of refusals in the current or
/// the previous window, whichever is larger. Callers that were refused together
/// thus retry over the time that the target needs to serve all of them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backoff {
    window_start: Timestamp,
    /// Number of refusals in the current window.
    count: u32,
    /// Number of refusals in the previous window.
    previous: u32,
}

impl Backoff {
    /// Counts one refusal and draws its retry delay. `interval` is the mean time
    /// between two completions at the target.
    pub(crate) fn draw(
        &mut self,
        interval: Duration,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Duration {
        self.advance(now);
        self.count = self.count.saturating_add(1);

        let refused = self.count.max(self.previous);
        let range = interval.saturating_mul(refused).clamp(MIN_RANGE, MAX_RANGE);
        MIN_DELAY + range.mul_f64(rng.random::<f64>())
    }

    /// Starts a new window if the current one has ended.
    fn advance(&mut self, now: Timestamp) {
        let age = now.since(self.window_start);
        if age < WINDOW {
            return;
        }
        self.previous = if age < WINDOW * 2 { self.count } else { 0 };
        self.count = 0;
        self.window_start = now;
    }
}
