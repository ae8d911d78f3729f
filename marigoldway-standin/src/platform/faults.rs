//! Faults that tests inject into the stand-in.

use std::time::Duration;
use std::time::Instant;

/// `Faults` are the faults that are currently active.
#[derive(Debug, Default)]
pub(super) struct Faults {
    /// Time until which every request closes its connection without a response.
    down_until: Option<Instant>,
    /// Time until which new watches are rejected.
    reject_watches_until: Option<Instant>,
    /// Time by which the handling of every request is delayed.
    delay: Duration,
    /// Number of further transactions whose response is lost.
    lost_responses: u64,
}

impl Faults {
    /// Sets one fault, or ends all with `none`, and returns whether `kind` is known.
    /// `amount` is in milliseconds, for `lose-answer` a number of transactions.
    pub(super) fn set(&mut self, kind: &str, amount: u64) -> bool {
        let until = Some(Instant::now() + Duration::from_millis(amount));
        match kind {
            "down" => self.down_until = until,
            "slow" => self.delay = Duration::from_millis(amount),
            "lose-answer" => self.lost_responses = amount,
            "cut-watches" => self.reject_watches_until = until,
            "none" => *self = Faults::default(),
            _ => return false,
        }
        true
    }

    pub(super) fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| Instant::now() < until)
    }

    pub(super) fn rejects_watches(&self) -> bool {
        self.reject_watches_until
            .is_some_and(|until| Instant::now() < until)
    }

    pub(super) fn delay(&self) -> Duration {
        self.delay
    }

    /// Counts a transaction, and returns whether its response is to be lost.
    pub(super) fn loses_response(&mut self) -> bool {
        let lost = self.lost_responses > 0;
        self.lost_responses = self.lost_responses.saturating_sub(1);
        lost
    }
}
