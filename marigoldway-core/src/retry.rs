//! Rules for retries: which requests may be sent again, and how many retries the
//! traffic allows.

use crate::request::Outcome;

/// Number of tokens that one retry takes from a [`RetryBudget`].
const TOKENS_PER_RETRY: u64 = 1_000;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Repeat {
    /// The request may safely run more than once.
    Idempotent,
    /// The request must not run more than once.
    AtMostOnce,
}

/// Whether any part of an attempt was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Sent {
    /// No octet was sent.
    Nothing,
    /// At least one octet was sent, so the request may run.
    Octets,
}

/// How a caller may retry a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Advice {
    /// Do not retry: the request ran, or may have run and must not run again.
    Stop,
    /// Retry as a new request, with a new idempotency key if it has one.
    Retry,
    /// Retry with the same idempotency key, which queries the outcome. The request
    /// does not run a second time. Do not retry a request that has no key.
    SameKey,
}

/// Returns how a caller may retry a request. `outcome` is `None` if no answer was
/// received.
pub fn advise(repeat: Repeat, sent: Sent, outcome: Option<Outcome>) -> Advice {
    match (outcome, sent, repeat) {
        (Some(Outcome::Done), _, _) => Advice::Stop,
        (Some(Outcome::NotRun), _, _) | (None, Sent::Nothing, _) => Advice::Retry,
        (Some(Outcome::Unknown) | None, _, Repeat::Idempotent) => Advice::Retry,
        (Some(Outcome::Unknown), _, Repeat::AtMostOnce) => Advice::Stop,
        (None, Sent::Octets, Repeat::AtMostOnce) => Advice::SameKey,
    }
}

/// Reports whether an agent may send a request to a target again.
pub fn may_resend(repeat: Repeat, sent: Sent) -> bool {
    match (repeat, sent) {
        (Repeat::Idempotent, _) | (Repeat::AtMostOnce, Sent::Nothing) => true,
        (Repeat::AtMostOnce, Sent::Octets) => false,
    }
}

/// Limits of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetOptions {
    /// Number of retries allowed per 1,000 first attempts. One first attempt adds this
    /// number of tokens.
    pub permille: u32,
    /// Maximum number of unused retries that the budget holds; also its initial
    /// number.
    pub burst: u32,
}

impl Default for BudgetOptions {
    fn default() -> BudgetOptions {
        BudgetOptions {
            permille: 100,
            burst: 10,
        }
    }
}

/// Limits retries to a fraction of the first attempts, so that retries can't multiply
/// the load during an overload.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    options: BudgetOptions,
    tokens: u64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(options: BudgetOptions) -> RetryBudget {
        RetryBudget {
            options,
            tokens: capacity(options),
        }
    }

    /// Adds the tokens of one first attempt to the budget, up to its maximum.
    pub fn deposit(&mut self) {
        let tokens = self.tokens + u64::from(self.options.permille);
        self.tokens = tokens.min(capacity(self.options));
    }

    /// Takes the tokens of one retry from the budget. Returns `false`, and takes none, if
    /// too few are left.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < TOKENS_PER_RETRY {
            return false;
        }
        self.tokens -= TOKENS_PER_RETRY;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new(BudgetOptions::default())
    }
}

fn capacity(options: BudgetOptions) -> u64 {
    u64::from(options.burst) * TOKENS_PER_RETRY
}
