//! Retries: which attempts may follow, and how many the traffic bears.

use crate::request::Outcome;

/// Tokens that one attempt more costs.
const TOKENS_RETRY: u64 = 1_000;

/// `Repeat` says whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Repeat {
    /// Running it again does no harm.
    Idempotent,
    /// It may run once at most.
    AtMostOnce,
}

/// `Sent` says how far an attempt got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Sent {
    /// No octet of it has gone out.
    Nothing,
    /// Its first octet has gone out, so it may run.
    Octets,
}

/// `Advice` says how a request may be tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Advice {
    /// It is over.
    Stop,
    /// As a request of its own; under a new idempotency key, if it has one.
    Retry,
    /// Under the same idempotency key, which asks what became of it. It does
    /// not run a second time.
    SameKey,
}

/// Says how a caller may try a request again. `outcome` is `None` if no answer
/// came.
pub fn advise(repeat: Repeat, sent: Sent, outcome: Option<Outcome>) -> Advice {
    match (outcome, sent, repeat) {
        (Some(Outcome::Done), _, _) => Advice::Stop,
        (Some(Outcome::NotRun), _, _) | (None, Sent::Nothing, _) => Advice::Retry,
        (Some(Outcome::Unknown) | None, _, Repeat::Idempotent) => Advice::Retry,
        (Some(Outcome::Unknown), _, Repeat::AtMostOnce) => Advice::Stop,
        (None, Sent::Octets, Repeat::AtMostOnce) => Advice::SameKey,
    }
}

/// Tells whether an agent may send a request to a target once more.
pub fn may_resend(repeat: Repeat, sent: Sent) -> bool {
    match (repeat, sent) {
        (Repeat::Idempotent, _) | (Repeat::AtMostOnce, Sent::Nothing) => true,
        (Repeat::AtMostOnce, Sent::Octets) => false,
    }
}

/// `BudgetOptions` bounds the retries of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetOptions {
    /// Retries that the traffic bears, in thousandths of the first attempts.
    pub permille: u32,
    /// Retries that may be saved up, which is also what a budget starts with.
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

/// `RetryBudget` keeps retries to a share of the traffic, so that they can't
/// multiply the load of a crest.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    options: BudgetOptions,
    tokens: u64,
}

impl RetryBudget {
    /// Starts a full budget.
    pub fn new(options: BudgetOptions) -> RetryBudget {
        RetryBudget {
            options,
            tokens: full(options),
        }
    }

    /// Counts the first attempt of a request.
    pub fn deposit(&mut self) {
        let tokens = self.tokens + u64::from(self.options.permille);
        self.tokens = tokens.min(full(self.options));
    }

    /// Takes one retry out, and tells whether there was one.
    pub fn withdraw(&mut self) -> bool {
        if self.tokens < TOKENS_RETRY {
            return false;
        }
        self.tokens -= TOKENS_RETRY;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new(BudgetOptions::default())
    }
}

fn full(options: BudgetOptions) -> u64 {
    u64::from(options.burst) * TOKENS_RETRY
}
