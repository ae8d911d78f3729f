//! Faults that are in force.

use std::time::Duration;
use std::time::Instant;

/// `Faults` holds what the stand-in does wrong.
#[derive(Debug, Default)]
pub(super) struct Faults {
    down: Option<Instant>,
    unwatched: Option<Instant>,
    delay: Duration,
    lost: u64,
}

impl Faults {
    /// Sets one fault and tells whether `kind` is known.
    pub(super) fn set(&mut self, kind: &str, amount: u64) -> bool {
        let until = Some(Instant::now() + Duration::from_millis(amount));
        match kind {
            "down" => self.down = until,
            "slow" => self.delay = Duration::from_millis(amount),
            "lose-answer" => self.lost = amount,
            "cut-watches" => self.unwatched = until,
            "none" => *self = Faults::default(),
            _ => return false,
        }
        true
    }

    pub(super) fn is_down(&self) -> bool {
        self.down.is_some_and(|until| Instant::now() < until)
    }

    pub(super) fn refuses_watches(&self) -> bool {
        self.unwatched.is_some_and(|until| Instant::now() < until)
    }

    pub(super) fn delay(&self) -> Duration {
        self.delay
    }

    /// Tells whether the answer to the write just made is lost.
    pub(super) fn loses_answer(&mut self) -> bool {
        let lost = self.lost > 0;
        self.lost = self.lost.saturating_sub(1);
        lost
    }
}
