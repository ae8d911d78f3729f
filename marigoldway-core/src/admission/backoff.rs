//! When a refused caller is asked to come back.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::time::Timestamp;

/// Shortest time before a refused caller may come back.
const SHORTEST: Duration = Duration::from_secs(1);

/// Narrowest and widest range over which the callers are spread.
const NARROWEST: Duration = Duration::from_secs(2);
const WIDEST: Duration = Duration::from_secs(30);

/// Length of the window in which refusals are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// `Backoff` spreads refused callers so that they don't come back together.
///
/// The range grows with the refusals of the last second: callers that were
/// refused together are spread over the time the target needs for them all.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backoff {
    start: Timestamp,
    count: u32,
    last: u32,
}

impl Backoff {
    /// Counts one refusal and draws its time to come back. `service` is the
    /// time between two completions of the target.
    pub(crate) fn draw(
        &mut self,
        service: Duration,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Duration {
        self.roll(now);
        self.count = self.count.saturating_add(1);

        let refused = self.count.max(self.last);
        let range = service.saturating_mul(refused).clamp(NARROWEST, WIDEST);
        SHORTEST + range.mul_f64(rng.random::<f64>())
    }

    fn roll(&mut self, now: Timestamp) {
        let age = now.since(self.start);
        if age < WINDOW {
            return;
        }
        self.last = if age < WINDOW * 2 { self.count } else { 0 };
        self.count = 0;
        self.start = now;
    }
}
