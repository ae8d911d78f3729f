//! When a request is sent again, and after what pause.

use std::time::Duration;

use marigoldway_core::request::Doubt;
use marigoldway_core::request::Outcome;
use marigoldway_core::request::Refusal;
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
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Longest pause that grows out of retries.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// `RetryState` follows one request from its first try to its last.
#[derive(Clone, Copy, Debug)]
pub struct RetryState {
    repeat: Repeat,
    /// Whether the request carries an idempotency key, which stays the same in
    /// every try.
    keyed: bool,
    /// Whether an earlier try may have run.
    maybe_ran: bool,
    retries: u32,
}

impl RetryState {
    /// Starts the course of `request`.
    pub fn new(request: &Request) -> RetryState {
        let repeat = match request.repeatable {
            true => Repeat::Idempotent,
            false => Repeat::Once,
        };
        RetryState {
            repeat,
            keyed: request.key.is_some(),
            maybe_ran: false,
            retries: 0,
        }
    }

    /// Takes the end of a try, corrects its answer by what is known of the
    /// earlier ones, and says whether the request may be sent again.
    ///
    /// Once a try has ended in doubt, no refusal of a later one proves that the
    /// request did not run, unless the service refused its idempotency key: that
    /// settles the key for every try.
    pub fn on_attempt_end(&mut self, sent: Sent, answer: &mut Answer) -> bool {
        let again = self.may_retry(sent, answer);
        if self.maybe_ran && answer.outcome == Outcome::NotRun && !self.is_settled(answer) {
            answer.outcome = Outcome::Unknown;
        }
        self.maybe_ran |= answer.outcome == Outcome::Unknown;
        again
    }

    /// Whether the service itself answered for the idempotency key.
    fn is_settled(&self, answer: &Answer) -> bool {
        self.keyed && answer.status.is_some()
    }

    fn may_retry(&self, sent: Sent, answer: &Answer) -> bool {
        let known = answer.status.is_some() || answer.outcome != Outcome::Unknown;
        let outcome = known.then_some(answer.outcome);
        if self.keyed && answer.reason == Some(Reason::Unknown(Doubt::IssuerSilent)) {
            // The process that can tell is only out of reach for now.
            return true;
        }
        match retry::advise(self.repeat, sent, outcome) {
            Advice::Stop => false,
            Advice::SameKey => self.keyed,
            Advice::Again if sent == Sent::Nothing => true,
            Advice::Again if self.repeat == Repeat::Idempotent => {
                answer.reason.is_none_or(is_transient)
            }
            // A refusal settles the key, and a new one is the caller's to take.
            // Only where an earlier try is in doubt, the same key may tell more.
            Advice::Again if self.is_settled(answer) => false,
            Advice::Again => self.keyed && self.maybe_ran && answer.reason.is_none_or(is_transient),
        }
    }

    /// The pause before the next try. See [`pause`].
    pub fn next_backoff(&mut self, retry_after: Option<Duration>, rng: &mut impl Rng) -> Duration {
        self.retries += 1;
        backoff(self.retries - 1, retry_after, rng)
    }
}

/// Whether a refusal may have passed when a repeatable request comes again.
pub fn may_succeed_later(answer: &Answer) -> bool {
    answer.outcome != Outcome::Done && answer.reason.is_none_or(is_transient)
}

/// Whether what stood in the way may have passed when the request comes again.
fn is_transient(reason: Reason) -> bool {
    let refusal = match reason {
        Reason::Refused(refusal) => refusal,
        Reason::NoConnection | Reason::Rejected | Reason::Broken => return true,
        Reason::Unknown(reason) => return reason != Doubt::AnswerLate,
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
pub fn backoff(retry: u32, retry_after: Option<Duration>, rng: &mut impl Rng) -> Duration {
    if let Some(retry_after) = retry_after {
        return retry_after.mul_f64(rng.random_range(1.0..1.5));
    }
    let ceiling = INITIAL_BACKOFF
        .saturating_mul(1 << retry.min(10))
        .min(MAX_BACKOFF);
    ceiling.mul_f64(rng.random_range(0.5..1.0))
}
