//! When a request is sent again, and after what pause.

use std::time::Duration;

use marigoldway_core::request::Outcome;
use marigoldway_core::request::Refusal;
use rand::Rng;
use rand::RngExt;

use crate::answer::Answer;
use crate::answer::Reason;

/// Share of the requests that may be retries.
const BUDGET_SHARE: f64 = 0.1;

/// Most retries that may follow each other at once.
const BUDGET_LIMIT: f64 = 10.0;

/// Pause before the first retry.
const PAUSE_FIRST: Duration = Duration::from_millis(50);

/// Longest pause that grows out of retries.
const PAUSE_LIMIT: Duration = Duration::from_secs(2);

/// `Budget` bounds retries by a share of the requests, so that retries can't
/// multiply the load of an overloaded service.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget {
            tokens: BUDGET_LIMIT,
        }
    }
}

impl Budget {
    /// Notes a first try.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + BUDGET_SHARE).min(BUDGET_LIMIT);
    }

    /// Takes one retry, or says that the budget is used up.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// `Repeat` says how far a request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// The target may run the request more than once.
    Free,
    /// The request carries an idempotency key, and the agent that issued it
    /// keeps the request from running twice.
    Keyed,
    /// The request may not leave this process twice.
    Never,
}

/// Whether a request whose last try ended with `answer` may be sent again.
///
/// `sent` says whether an octet of the request may have left this process.
pub fn may_retry(repeat: Repeat, sent: bool, answer: &Answer) -> bool {
    if answer.outcome == Outcome::Done {
        return false;
    }
    if !sent {
        return true;
    }
    match repeat {
        Repeat::Never => false,
        // A server that says unknown to a keyed request has lost the agent that
        // issued the key, and no further try can tell more.
        Repeat::Keyed if answer.outcome == Outcome::Unknown && answer.status.is_some() => false,
        Repeat::Keyed | Repeat::Free => answer.reason.is_none_or(passes),
    }
}

/// Corrects the answer to a later try by what is known of the earlier ones.
///
/// Once a try has ended in doubt, no refusal of a later try proves that the
/// request did not run. `doubt` holds this between the tries of one request.
pub fn settle(doubt: &mut bool, answer: &mut Answer) {
    if *doubt && answer.outcome == Outcome::NotRun {
        answer.outcome = Outcome::Unknown;
    }
    *doubt |= answer.outcome == Outcome::Unknown;
}

/// Whether what stood in the way may have passed when the request comes again.
fn passes(reason: Reason) -> bool {
    let refusal = match reason {
        Reason::Refused(refusal) => refusal,
        Reason::NoConnection | Reason::Rejected | Reason::Broken => return true,
        Reason::Timeout | Reason::TooLong => return false,
    };
    match refusal {
        Refusal::Leaving
        | Refusal::QueueFull
        | Refusal::ConnectionLimit
        | Refusal::CustomerConnections
        | Refusal::RequestRate
        | Refusal::BulkLimit
        | Refusal::TargetRefused
        | Refusal::TargetDown => true,
        Refusal::Deadline
        | Refusal::UnknownCustomer
        | Refusal::NotInPlan
        | Refusal::KeyInvalid
        | Refusal::KeyReused
        | Refusal::KeyMissing
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
