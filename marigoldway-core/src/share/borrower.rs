//! Use of one customer's allowance at one agent, which borrows shares of it from
//! the customer's lender.

use std::collections::VecDeque;
use std::time::Duration;

use crate::share::Grant;
use crate::share::Report;
use crate::share::ShareOptions;
use crate::share::amounts::Amounts;
use crate::share::amounts::MILLI;
use crate::share::token_bucket::TokenBucket;
use crate::time::Timestamp;

/// Maximum number of unanswered reports whose grants are still accepted.
const MAX_PENDING_REPORTS: usize = 16;

/// Maximum number of consecutive unanswered reports that are followed by another
/// report after [`ShareOptions::changing_interval`]. After more of them it is
/// assumed that there is no lender.
const MAX_LOST_REPORTS: usize = 3;

/// Ratio of the requested amounts to the observed demand, as numerator and
/// denominator.
const HEADROOM: (u64, u64) = (9, 8);

/// Change of the demand since the last report, in percent, above which the next
/// report is sent before [`ShareOptions::steady_interval`] is over.
const CHANGE_PERCENT: u64 = 20;

/// Weight of a new sample in the moving average of the request rate.
const SMOOTHING: f64 = 0.2;

/// Number of standard deviations between a count and the estimate above which
/// the demand is taken to have changed, rather than to vary by chance.
const DEVIATIONS: f64 = 4.0;

/// Allowance of a customer as known to one agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limit {
    /// The whole allowance.
    pub whole: Amounts,
    /// Burst size of the whole allowance, in thousandths of a request.
    pub burst: u64,
    /// Part of the floor that belongs to this agent.
    pub floor: Amounts,
    /// Number of equal parts into which the floor of the allowance is divided.
    pub parts: u64,
}

/// Attempts since the last measurement of the demand.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    requests: u64,
    refused_connections: u64,
    refused_bulk: u64,
}

/// Use of one customer's allowance at one agent: the share lent to the agent, the
/// demand, and the open connections and bulk requests.
#[derive(Clone, Debug)]
pub struct Borrower {
    options: ShareOptions,
    limit: Limit,
    /// Share of the latest grant, in force before `until`.
    share: Amounts,
    until: Timestamp,
    /// Number of the report that `share` answers.
    applied: u64,
    /// Numbers and sending times of unanswered reports, oldest first.
    pending: VecDeque<(u64, Timestamp)>,
    bucket: TokenBucket,
    open: Amounts,
    /// Estimated demand in requests per second.
    demand: f64,
    window: Window,
    /// Open connections and bulk requests, with those refused in the last window.
    attempted: Amounts,
    window_start: Timestamp,
    reported_at: Timestamp,
    last_use: Timestamp,
    /// Amounts requested in the last report.
    last_requested: Amounts,
    /// Whether an attempt was refused or the limit changed since the last report.
    limited: bool,
    /// Whether a report is due at once: no report was made yet, or the lender
    /// has reduced the share and waits for this agent to confirm it.
    urgent: bool,
}

impl Borrower {
    /// Creates a borrower without a share: only its floor is usable.
    pub fn new(now: Timestamp, options: ShareOptions, limit: Limit) -> Borrower {
        let burst = burst(&limit, limit.floor.rate);
        Borrower {
            options,
            limit,
            share: Amounts::default(),
            until: now,
            applied: 0,
            pending: VecDeque::new(),
            bucket: TokenBucket::new(now, limit.floor.rate, burst),
            open: Amounts::default(),
            demand: 0.0,
            window: Window::default(),
            attempted: Amounts::default(),
            window_start: now,
            reported_at: now,
            last_use: now,
            last_requested: Amounts::default(),
            limited: true,
            urgent: true,
        }
    }

    /// Applies a changed allowance or floor.
    pub fn set_limit(&mut self, now: Timestamp, limit: Limit) {
        if self.limit != limit {
            self.limit = limit;
            self.limited = true;
            self.update_bucket(now);
        }
    }

    /// The whole allowance.
    pub fn whole(&self) -> Amounts {
        self.limit.whole
    }

    /// Amounts that the agent may use now: its floor and the share in force.
    pub fn usable(&self, now: Timestamp) -> Amounts {
        self.limit.floor.plus(self.share_in_force(now))
    }

    /// Share in force; zero if there is none or its term is over.
    pub fn share_in_force(&self, now: Timestamp) -> Amounts {
        if now >= self.until {
            return Amounts::default();
        }
        // A lowered allowance limits the share even before the lender applies it.
        let lendable = self
            .limit
            .whole
            .minus(self.limit.whole.floor(self.options.floor_percent));
        self.share.min(lendable)
    }

    /// Takes the token of one request.
    ///
    /// # Errors
    ///
    /// The time until a token is available.
    pub fn take_request(&mut self, now: Timestamp) -> Result<(), Duration> {
        self.last_use = now;
        self.window.requests += 1;
        self.update_bucket(now);
        let taken = self.bucket.take(now);
        self.limited |= taken.is_err();
        taken
    }

    /// Opens a connection. Returns `false` if the limit is reached.
    pub fn take_connection(&mut self, now: Timestamp) -> bool {
        self.last_use = now;
        let taken = self.open.connections < self.usable(now).connections;
        if taken {
            self.open.connections += 1;
        } else {
            self.window.refused_connections += 1;
            self.limited = true;
        }
        taken
    }

    /// Begins a bulk request. Returns `false` if the limit is reached.
    pub fn take_bulk(&mut self, now: Timestamp) -> bool {
        self.last_use = now;
        let taken = self.open.bulk < self.usable(now).bulk;
        if taken {
            self.open.bulk += 1;
        } else {
            self.window.refused_bulk += 1;
            self.limited = true;
        }
        taken
    }

    /// Releases a connection.
    pub fn release_connection(&mut self) {
        self.open.connections = self.open.connections.saturating_sub(1);
    }

    /// Releases a bulk request.
    pub fn release_bulk(&mut self) {
        self.open.bulk = self.open.bulk.saturating_sub(1);
    }

    /// Returns whether nothing is open and nothing was attempted during `time`.
    pub fn is_idle(&self, now: Timestamp, time: Duration) -> bool {
        let open = self.open.connections + self.open.bulk > 0;
        !open && now.since(self.last_use) >= time
    }

    /// Makes the next report with the given number. Returns `None` if none is due.
    pub fn report(&mut self, now: Timestamp, customer: &str, number: u64) -> Option<Report> {
        let elapsed = now.since(self.window_start);
        if elapsed < self.options.changing_interval && !self.urgent {
            return None;
        }
        if elapsed >= self.options.changing_interval {
            self.measure(elapsed);
            self.window_start = now;
        }
        let requested = self.requested();
        let due = now.since(self.reported_at) >= self.options.steady_interval;
        let insufficient = self.limited && !self.last_requested.fits(self.share_in_force(now));
        // Other agents may wait for this agent's confirmation of a reduced share.
        // An unanswered report is repeated soon, so that a lost message doesn't
        // delay them for long.
        let unanswered = (1..=MAX_LOST_REPORTS).contains(&self.pending.len());
        if !due && !insufficient && !unanswered && !self.urgent && !self.differs(requested) {
            return None;
        }

        self.urgent = false;
        self.limited = false;
        self.last_requested = requested;
        self.reported_at = now;
        if self.pending.len() == MAX_PENDING_REPORTS {
            self.pending.pop_front();
        }
        self.pending.push_back((number, now));
        Some(Report {
            customer: customer.to_owned(),
            number,
            requested,
            open: Amounts {
                rate: 0,
                ..self.open.minus(self.limit.floor)
            },
            share: self.share_in_force(now),
            applied: self.applied,
        })
    }

    /// Applies a granted share. A grant that answers no pending report, or whose
    /// term is over, is ignored.
    pub fn grant(&mut self, now: Timestamp, grant: &Grant) {
        let answers = |(number, _): &&(u64, Timestamp)| *number == grant.number;
        let Some(&(_, sent)) = self.pending.iter().find(answers) else {
            return;
        };
        self.pending.retain(|(number, _)| *number > grant.number);
        let until = sent + grant.term;
        if until <= now {
            return;
        }
        // If the share is reduced, the lender lends the difference to other agents
        // only after the next report of this agent confirms the reduction.
        self.urgent |= !self.share_in_force(now).fits(grant.share);
        self.share = grant.share;
        self.until = until;
        self.applied = grant.number;
        self.update_bucket(now);
    }

    /// Updates the estimate of the demand with the requests of the last
    /// `elapsed`. If their count differs from the expected one by more than
    /// [`DEVIATIONS`], the new rate replaces the estimate at once.
    fn measure(&mut self, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        let count = self.window.requests as f64;
        let expected = self.demand * seconds;
        let tolerance = DEVIATIONS * expected.max(1.0).sqrt();
        let weight = if (count - expected).abs() > tolerance {
            1.0
        } else {
            SMOOTHING
        };
        self.demand += (count / seconds - self.demand) * weight;
        self.attempted = self.open.plus(Amounts {
            rate: 0,
            connections: self.window.refused_connections,
            bulk: self.window.refused_bulk,
        });
        self.window = Window::default();
    }

    /// Amounts that the agent could use beyond its floor: the observed demand with
    /// headroom, and one more connection and bulk request.
    fn requested(&self) -> Amounts {
        let (numerator, denominator) = HEADROOM;
        let observed = Amounts {
            rate: (self.demand * MILLI as f64) as u64,
            ..self.attempted.max(self.open)
        };
        let one_more = Amounts {
            rate: 0,
            connections: 1,
            bulk: 1,
        };
        observed
            .part(numerator, denominator)
            .plus(one_more)
            .minus(self.limit.floor)
    }

    /// Returns whether a requested amount differs from that of the last report by
    /// more than [`CHANGE_PERCENT`].
    fn differs(&self, requested: Amounts) -> bool {
        let changed = |new: u64, old: u64| new.abs_diff(old) * 100 > old.max(1) * CHANGE_PERCENT;
        changed(requested.rate, self.last_requested.rate)
            || changed(requested.connections, self.last_requested.connections)
            || changed(requested.bulk, self.last_requested.bulk)
    }

    /// Sets the rate and burst of the bucket to those of the usable amounts.
    fn update_bucket(&mut self, now: Timestamp) {
        let rate = self.usable(now).rate;
        self.bucket.set(now, rate, burst(&self.limit, rate));
    }
}

/// Burst size at an agent that may use `rate`, in thousandths of a request. Half of
/// the customer's burst is divided in proportion to the rate. The other half is
/// divided evenly, as the floor is; otherwise an agent with a small share would
/// have almost no burst.
fn burst(limit: &Limit, rate: u64) -> u64 {
    let half = limit.burst / 2;
    let part = u128::from(half) * u128::from(rate) / u128::from(limit.whole.rate.max(1));
    half / limit.parts.max(1) + u64::try_from(part).unwrap_or(u64::MAX)
}
