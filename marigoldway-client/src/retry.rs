//! Retry rules: whether a request is sent again, and after which backoff.

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

/// Upper bound of the backoff before the first retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum backoff, unless the service asks for a delay.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Retry state of one request, from its first attempt to its last.
#[derive(Clone, Copy, Debug)]
pub struct RetryState {
    repeat: Repeat,
    /// Whether the request has an idempotency key, which is the same in every
    /// attempt.
    keyed: bool,
    /// Whether the outcome of an earlier attempt is unknown, so that the request may have run.
    maybe_ran: bool,
    retries: u32,
}

impl RetryState {
    /// Creates the state of `request` before its first attempt.
    pub fn new(request: &Request) -> RetryState {
        let repeat = match request.repeatable {
            true => Repeat::Idempotent,
            false => Repeat::AtMostOnce,
        };
        RetryState {
            repeat,
            keyed: request.key.is_some(),
            maybe_ran: false,
            retries: 0,
        }
    }

    /// Records the end of an attempt and returns whether the request may be sent again.
    /// Corrects the outcome in `answer` where earlier attempts may have run.
    ///
    /// Once the outcome of an attempt is unknown, a refusal of a later attempt does
    /// not prove that the request did not run. The exception is a refusal of the
    /// request's idempotency key by the service: it is final for every attempt with
    /// the key.
    pub fn on_attempt_end(&mut self, sent: Sent, answer: &mut Answer) -> bool {
        let may_retry = self.may_retry(sent, answer);
        if self.maybe_ran && answer.outcome == Outcome::NotRun && !self.is_settled(answer) {
            answer.outcome = Outcome::Unknown;
        }
        self.maybe_ran |= answer.outcome == Outcome::Unknown;
        may_retry
    }

    /// Returns whether `answer` is final for the request's idempotency key: the request
    /// has a key, and the service itself answered.
    fn is_settled(&self, answer: &Answer) -> bool {
        self.keyed && answer.status.is_some()
    }

    fn may_retry(&self, sent: Sent, answer: &Answer) -> bool {
        let known = answer.status.is_some() || answer.outcome != Outcome::Unknown;
        let outcome = known.then_some(answer.outcome);
        if self.keyed && answer.reason == Some(Reason::Unknown(UnknownReason::IssuerSilent)) {
            // The process that issued the key knows the outcome and may answer later.
            return true;
        }
        match retry::advise(self.repeat, sent, outcome) {
            Advice::Stop => false,
            Advice::SameKey => self.keyed,
            Advice::Retry if sent == Sent::Nothing => true,
            Advice::Retry if self.repeat == Repeat::Idempotent => {
                answer.reason.is_none_or(is_transient)
            }
            // A refusal is final for the key, and only the caller can request a new key.
            // Without a final answer, a retry with the same key can reveal more only if an
            // earlier attempt may have run.
            Advice::Retry if self.is_settled(answer) => false,
            Advice::Retry => self.keyed && self.maybe_ran && answer.reason.is_none_or(is_transient),
        }
    }

    /// Returns the backoff before the next attempt and counts it as a retry. See [`backoff`].
    pub fn next_backoff(&mut self, retry_after: Option<Duration>, rng: &mut impl Rng) -> Duration {
        self.retries += 1;
        backoff(self.retries - 1, retry_after, rng)
    }
}

/// Returns whether a repeatable request that ended with `answer` may succeed in a retry.
pub fn may_succeed_later(answer: &Answer) -> bool {
    answer.outcome != Outcome::Done && answer.reason.is_none_or(is_transient)
}

/// Returns whether the cause may be gone when the request is retried.
fn is_transient(reason: Reason) -> bool {
    let refusal = match reason {
        Reason::Refused(refusal) => refusal,
        Reason::NoConnection | Reason::Rejected | Reason::Broken => return true,
        Reason::Unknown(reason) => return reason != UnknownReason::AnswerLate,
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

/// Returns the backoff before retry number `retry`, counted from 0.
///
/// It is random between half of an upper bound and the whole. The bound is 50 ms
/// at first and doubles with each retry up to 2 s.
///
/// A delay that the service asks for in `retry_after` is kept in full and extended
/// by a random part of up to half of it, so that callers refused at the same time
/// do not retry at the same time.
pub fn backoff(retry: u32, retry_after: Option<Duration>, rng: &mut impl Rng) -> Duration {
    if let Some(retry_after) = retry_after {
        return retry_after.mul_f64(rng.random_range(1.0..1.5));
    }
    let ceiling = INITIAL_BACKOFF
        .saturating_mul(1 << retry.min(10))
        .min(MAX_BACKOFF);
    ceiling.mul_f64(rng.random_range(0.5..1.0))
}
