//! What an agent may use of one customer's allowance, and uses.

use std::collections::VecDeque;
use std::time::Duration;

use crate::share::Grant;
use crate::share::Report;
use crate::share::ShareOptions;
use crate::share::amounts::Amounts;
use crate::share::amounts::MILLI;
use crate::share::token_bucket::TokenBucket;
use crate::time::Timestamp;

/// Reports whose answers may still come.
const PENDING_REPORTS: usize = 16;

/// Reports without an answer in a row that are made again soon. More of them
/// mean that there is no holder.
const LOST_REPORTS: usize = 3;

/// Demand above what was seen that an agent asks for, as a fraction.
const HEADROOM: (u64, u64) = (9, 8);

/// Change of the demand since the last report, in percent, that is reported
/// sooner.
const CHANGE_PERCENT: u64 = 20;

/// Part by which a new count moves the estimate of the request rate.
const SMOOTHING: f64 = 0.2;

/// Standard deviations by which a count differs from the estimate when the
/// demand has changed and not merely varies.
const DEVIATIONS: f64 = 4.0;

/// `Limit` is a customer's allowance as one agent sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limit {
    /// The whole allowance.
    pub whole: Amounts,
    /// Burst of the whole allowance, in thousandths of a request.
    pub burst: u64,
    /// Part of the floor that belongs to this agent.
    pub floor: Amounts,
    /// Number of equal parts into which the floor is divided.
    pub parts: u64,
}

/// Attempts since the last report.
#[derive(Clone, Copy, Debug, Default)]
struct Window {
    requests: u64,
    refused_connections: u64,
    refused_bulk: u64,
}

/// `Borrower` is the use of one customer's allowance at one agent.
#[derive(Clone, Debug)]
pub struct Borrower {
    options: ShareOptions,
    limit: Limit,
    share: Amounts,
    until: Timestamp,
    applied: u64,
    pending: VecDeque<(u64, Timestamp)>,
    bucket: TokenBucket,
    open: Amounts,
    /// Requests a second.
    demand: f64,
    window: Window,
    /// Open connections and bulk work, with those refused in the last window.
    tried: Amounts,
    since: Timestamp,
    sent: Timestamp,
    used: Timestamp,
    reported: Amounts,
    pressed: bool,
    /// Whether a report is due at once: nothing was asked for yet, or the holder
    /// waits to hear that a share was let go of.
    urgent: bool,
}

impl Borrower {
    /// Makes a borrower that has its floor only.
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
            tried: Amounts::default(),
            since: now,
            sent: now,
            used: now,
            reported: Amounts::default(),
            pressed: true,
            urgent: true,
        }
    }

    /// Takes a changed allowance or floor.
    pub fn set_limit(&mut self, now: Timestamp, limit: Limit) {
        if self.limit != limit {
            self.limit = limit;
            self.pressed = true;
            self.refresh(now);
        }
    }

    /// The whole allowance.
    pub fn whole(&self) -> Amounts {
        self.limit.whole
    }

    /// What the agent may use now.
    pub fn usable(&self, now: Timestamp) -> Amounts {
        self.limit.floor.plus(self.lent(now))
    }

    /// The share in force.
    pub fn lent(&self, now: Timestamp) -> Amounts {
        if now >= self.until {
            return Amounts::default();
        }
        // A lowered allowance counts before the holder knows of it.
        let lendable = self
            .limit
            .whole
            .minus(self.limit.whole.floor(self.options.floor_percent));
        self.share.min(lendable)
    }

    /// Takes the token of one request, or gives the time to wait for one.
    pub fn take_request(&mut self, now: Timestamp) -> Result<(), Duration> {
        self.used = now;
        self.window.requests += 1;
        self.refresh(now);
        let taken = self.bucket.take(now);
        self.pressed |= taken.is_err();
        taken
    }

    /// Opens a connection, and tells whether there is one left.
    pub fn take_connection(&mut self, now: Timestamp) -> bool {
        self.used = now;
        let taken = self.open.connections < self.usable(now).connections;
        if taken {
            self.open.connections += 1;
        } else {
            self.window.refused_connections += 1;
            self.pressed = true;
        }
        taken
    }

    /// Begins a piece of bulk work, and tells whether there is one left.
    pub fn take_bulk(&mut self, now: Timestamp) -> bool {
        self.used = now;
        let taken = self.open.bulk < self.usable(now).bulk;
        if taken {
            self.open.bulk += 1;
        } else {
            self.window.refused_bulk += 1;
            self.pressed = true;
        }
        taken
    }

    /// Ends a connection.
    pub fn give_connection(&mut self) {
        self.open.connections = self.open.connections.saturating_sub(1);
    }

    /// Ends a piece of bulk work.
    pub fn give_bulk(&mut self) {
        self.open.bulk = self.open.bulk.saturating_sub(1);
    }

    /// Tells whether nothing is open and nothing was asked for during `time`.
    pub fn is_idle(&self, now: Timestamp, time: Duration) -> bool {
        let open = self.open.connections + self.open.bulk > 0;
        !open && now.since(self.used) >= time
    }

    /// The next report, if it is due. `number` is its number.
    pub fn report(&mut self, now: Timestamp, customer: &str, number: u64) -> Option<Report> {
        let elapsed = now.since(self.since);
        if elapsed < self.options.changing_interval && !self.urgent {
            return None;
        }
        if elapsed >= self.options.changing_interval {
            self.measure(elapsed);
            self.since = now;
        }
        let want = self.want();
        let due = now.since(self.sent) >= self.options.steady_interval;
        let short = self.pressed && !self.reported.fits(self.lent(now));
        // A lost message must not hold back for long what others wait for.
        let lost = (1..=LOST_REPORTS).contains(&self.pending.len());
        if !due && !short && !lost && !self.urgent && !self.differs(want) {
            return None;
        }

        self.urgent = false;
        self.pressed = false;
        self.reported = want;
        self.sent = now;
        if self.pending.len() == PENDING_REPORTS {
            self.pending.pop_front();
        }
        self.pending.push_back((number, now));
        Some(Report {
            customer: customer.to_owned(),
            number,
            requested: want,
            open: Amounts {
                rate: 0,
                ..self.open.minus(self.limit.floor)
            },
            share: self.lent(now),
            applied: self.applied,
        })
    }

    /// Takes a share. A grant that answers no open report changes nothing.
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
        // The holder lends the difference on only once it knows that this
        // agent has let go of it.
        self.urgent |= !self.lent(now).fits(grant.share);
        self.share = grant.share;
        self.until = until;
        self.applied = grant.number;
        self.refresh(now);
    }

    /// Takes the requests of the last `elapsed` into the estimate. A count that
    /// can't be chance replaces the estimate at once.
    fn measure(&mut self, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64();
        let count = self.window.requests as f64;
        let expected = self.demand * seconds;
        let chance = DEVIATIONS * expected.max(1.0).sqrt();
        let weight = if (count - expected).abs() > chance {
            1.0
        } else {
            SMOOTHING
        };
        self.demand += (count / seconds - self.demand) * weight;
        self.tried = self.open.plus(Amounts {
            rate: 0,
            connections: self.window.refused_connections,
            bulk: self.window.refused_bulk,
        });
        self.window = Window::default();
    }

    /// What the agent could use beyond its floor.
    fn want(&self) -> Amounts {
        let (more, of) = HEADROOM;
        let seen = Amounts {
            rate: (self.demand * MILLI as f64) as u64,
            ..self.tried.max(self.open)
        };
        let next = Amounts {
            rate: 0,
            connections: 1,
            bulk: 1,
        };
        seen.part(more, of).plus(next).minus(self.limit.floor)
    }

    fn differs(&self, want: Amounts) -> bool {
        let far = |new: u64, old: u64| new.abs_diff(old) * 100 > old.max(1) * CHANGE_PERCENT;
        far(want.rate, self.reported.rate)
            || far(want.connections, self.reported.connections)
            || far(want.bulk, self.reported.bulk)
    }

    /// Brings the bucket in line with the share in force.
    fn refresh(&mut self, now: Timestamp) {
        let rate = self.usable(now).rate;
        self.bucket.set(now, rate, burst(&self.limit, rate));
    }
}

/// Half of the burst goes with `rate`. The other half is divided evenly, as the
/// floor is, or an agent with a small share would hardly have any.
fn burst(limit: &Limit, rate: u64) -> u64 {
    let half = limit.burst / 2;
    let part = u128::from(half) * u128::from(rate) / u128::from(limit.whole.rate.max(1));
    half / limit.parts.max(1) + u64::try_from(part).unwrap_or(u64::MAX)
}
