//! When a request is sent again, and after what pause.

use std::time::Duration;

use marigoldway_core::request::Outcome;
use marigoldway_core::request::Refusal;
use marigoldway_core::request::UnknownReason;
use marigoldway_core::retry;
use marigoldway_core::retry::Advice;
use marigoldway_core::retry::Repeat;
use marigoldway_core::retry::Sent;
use rand::Rng;
use rand::RngExt;

use crate::answer::Answer;
use crate::answer::Reason;
use crate::request::Request;

/// Pause before the first retry.
const PAUSE_FIRST: Duration = Duration::from_millis(50);

/// Longest pause that grows out of retries.
const PAUSE_LIMIT: Duration = Duration::from_secs(2);

/// `Course` follows one request from its first try to its last.
#[derive(Clone, Copy, Debug)]
pub struct Course {
    repeat: Repeat,
    /// Whether the request carries an idempotency key, which stays the same in
    /// every try.
    keyed: bool,
    /// Whether an earlier try may have run.
    doubt: bool,
    retries: u32,
}

impl Course {
    /// Starts the course of `request`.
    pub fn new(request: &Request) -> Course {
        let repeat = match request.repeatable {
            true => Repeat::Idempotent,
            false => Repeat::AtMostOnce,
        };
        Course {
            repeat,
            keyed: request.key.is_some(),
            doubt: false,
            retries: 0,
        }
    }

    /// Takes the end of a try, corrects its answer by what is known of the
    /// earlier ones, and says whether the request may be sent again.
    ///
    /// Once a try has ended in doubt, no refusal of a later one proves that the
    /// request did not run, unless the service refused its idempotency key: that
    /// settles the key for every try.
    pub fn judge(&mut self, sent: Sent, answer: &mut Answer) -> bool {
        let again = self.may_retry(sent, answer);
        if self.doubt && answer.outcome == Outcome::NotRun && !self.is_settled(answer) {
            answer.outcome = Outcome::Unknown;
        }
        self.doubt |= answer.outcome == Outcome::Unknown;
        again
    }

    /// Whether the service itself answered for the idempotency key.
    fn is_settled(&self, answer: &Answer) -> bool {
        self.keyed && answer.status.is_some()
    }

    fn may_retry(&self, sent: Sent, answer: &Answer) -> bool {
        let told = answer.status.is_some() || answer.outcome != Outcome::Unknown;
        let outcome = told.then_some(answer.outcome);
        if self.keyed && answer.reason == Some(Reason::Unknown(UnknownReason::IssuerSilent)) {
            // The process that can tell is only out of reach for now.
            return true;
        }
        match retry::advise(self.repeat, sent, outcome) {
            Advice::Stop => false,
            Advice::SameKey => self.keyed,
            Advice::Retry if sent == Sent::Nothing => true,
            Advice::Retry if self.repeat == Repeat::Idempotent => answer.reason.is_none_or(passes),
            // A refusal settles the key, and a new one is the caller's to take.
            // Only where an earlier try is in doubt, the same key may tell more.
            Advice::Retry if self.is_settled(answer) => false,
            Advice::Retry => self.keyed && self.doubt && answer.reason.is_none_or(passes),
        }
    }

    /// The pause before the next try. See [`pause`].
    pub fn pause(&mut self, asked: Option<Duration>, rng: &mut impl Rng) -> Duration {
        self.retries += 1;
        pause(self.retries - 1, asked, rng)
    }
}

/// Whether a refusal may have passed when a repeatable request comes again.
pub fn may_pass(answer: &Answer) -> bool {
    answer.outcome != Outcome::Done && answer.reason.is_none_or(passes)
}

/// Whether what stood in the way may have passed when the request comes again.
fn passes(reason: Reason) -> bool {
    let refusal = match reason {
        Reason::Refused(refusal) => refusal,
        Reason::NoConnection | Reason::Rejected | Reason::Broken => return true,
        Reason::Unknown(doubt) => return doubt != UnknownReason::AnswerLate,
        Reason::Timeout | Reason::TooLong => return false,
    };
    match refusal {
        Refusal::Leaving
        | Refusal::QueueFull
        | Refusal::ConnectionLimit
        | Refusal::CustomerConnections
        | Refusal::RequestRate
        | Refusal::BulkLimit
        | Refusal::NoLists
        | Refusal::TargetRefused
        | Refusal::TargetDown => true,
        Refusal::Deadline
        | Refusal::UnknownCustomer
        | Refusal::NotInPlan
        | Refusal::KeyInvalid
        | Refusal::KeyReused
        | Refusal::BodyLimit
        | Refusal::Malformed => false,
    }
}

/// The pause before retry number `retry`, counted from 0.
///
/// A pause that the service asks for is kept in full and spread by half of
/// itself, so that callers refused together don't come back together.
pub fn pause(retry: u32, asked: Option<Duration>, rng: &mut impl Rng) -> Duration {
    if let Some(asked) = asked {
        return asked.mul_f64(rng.random_range(1.0..1.5));
    }
    let ceiling = PAUSE_FIRST
        .saturating_mul(1 << retry.min(10))
        .min(PAUSE_LIMIT);
    ceiling.mul_f64(rng.random_range(0.5..1.0))
}
