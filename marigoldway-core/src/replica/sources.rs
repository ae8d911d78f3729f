//! This module decides where a process reads the keys that it needs, and when: from a follower or
//! from the store.
//!
//! A process holds a confirmation of what it knows: a time as of which the store had no change that
//! the process lacks. An answer of the store confirms the time at which it was asked; the answer of
//! a follower confirms as much as the follower's own confirmation. A call that waits confirms
//! nothing, since the store may never answer it. A confirmation that no source renews in time makes
//! the process ask the store itself. So each process, whatever it reads and from whom, learns of a
//! change within the limit, or knows that it may be late.
//!
//! A decision may need a later confirmation than there is. The process then demands one from its
//! follower, and that follower from the leading one, which asks the store once for all. A follower
//! holds a demand until it has the confirmation. A process has one demand outstanding at a time, and
//! further decisions share the next one.

mod failure;

use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::InstanceId;
use crate::replica::sources::failure::Failure;
use crate::replica::timing::DEMAND_HOLD;
use crate::replica::timing::DEMAND_SPACING;
use crate::replica::timing::DIRECT_DELAY;
use crate::replica::timing::DIRECT_SPACING;
use crate::replica::timing::REFUSAL_RETRY;
use crate::replica::timing::Timing;
use crate::time::Timestamp;

/// Part of a process's patience after which it repeats a failed call to the store for the first
/// time, and beyond which the wait doesn't grow.
const RETRY_PARTS: (f64, f64) = (0.25, 0.6);

/// Part of the hold time between an answer with changes and the next call, so that changes that
/// follow each other closely arrive in one answer.
const PAUSE_PART: f64 = 0.5;

/// `Role` is what a process reads for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The process reads for itself.
    Reader,
    /// The process reads for itself, but never from the store.
    FollowersOnly,
    /// The process with this ID also answers others. All followers know each other in one order, and
    /// the first that works is the leading one: it alone asks the store all the time.
    Follower(InstanceId),
}

/// `Step` is what a process does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read from this follower, of which a confirmation is demanded or not.
    Follower(InstanceId, Freshness),
    /// Ask the store, which may hold the call for this long while nothing changes.
    Store(Duration),
    /// Do nothing before this time.
    Wait(Timestamp),
}

/// `Freshness` tells what a reader demands of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// What the follower has.
    Known,
    /// A confirmation for a time this long before the request. The follower holds the request until
    /// it has one, for at most [`DEMAND_HOLD`]. The time is that
    /// of the decision, so a call to the store that was made since meets the demand, although the
    /// demand arrived later.
    AsOf(Duration),
}

/// Maximum number of times that the time between two demands doubles while none is met, so that it
/// stays below half a second.
const MAX_DOUBLINGS: u32 = 3;

/// `Sources` chooses the source of each read of one prefix.
#[derive(Clone, Debug)]
pub struct Sources {
    role: Role,
    timing: Timing,
    /// Interval between two reads from a follower.
    interval: Duration,
    /// Time as of which the process is known to lack no change. `None` before the first answer.
    confirmed: Option<Timestamp>,
    /// Followers that failed, with the last failure of each.
    failed: IndexMap<InstanceId, Failure>,
    /// Time since which each follower that was asked has failed.
    failing_since: Option<Timestamp>,
    /// Time of the next read from a follower.
    next_read: Timestamp,
    /// Earliest time of the next call to the store that no demand needs.
    next_call: Timestamp,
    /// Time at which the last call that the store answered was made.
    last_call: Option<Timestamp>,
    /// Number of calls to the store that failed one after the other.
    failures: u32,
    /// Time for which a confirmation is needed.
    demand: Option<Timestamp>,
    /// Time of the last demand to the follower that is asked.
    demanded: Option<Timestamp>,
    /// Whether the last read from a follower was a demand.
    is_demanding: bool,
    /// Number of demands that weren't met, one after the other.
    unmet: u32,
}

impl Sources {
    /// The state of a process that knows nothing. It reads from a follower each `interval`, or
    /// sooner if its confirmation is about to become too old.
    pub fn new(role: Role, timing: Timing, interval: Duration) -> Sources {
        Sources {
            role,
            timing,
            interval,
            confirmed: None,
            failed: IndexMap::new(),
            failing_since: None,
            next_read: Timestamp::ZERO,
            next_call: Timestamp::ZERO,
            last_call: None,
            failures: 0,
            demand: None,
            demanded: None,
            is_demanding: false,
            unmet: 0,
        }
    }

    /// Notes that a decision needs a confirmation for the time `at`.
    pub fn demand(&mut self, at: Timestamp) {
        self.demand = self.demand.max(Some(at));
    }

    /// Time as of which the process is known to lack no change, or `None` before the first answer.
    pub fn confirmed(&self) -> Option<Timestamp> {
        self.confirmed
    }

    /// The next step of a process that knows these followers, in the order in which it asks them.
    pub fn next(&mut self, now: Timestamp, followers: &[InstanceId]) -> Step {
        if self.role == Role::FollowersOnly {
            return self.next_from_followers(now, followers);
        }
        let demand = self.open_demand();
        let usable = self.usable(now, followers, demand.is_some());
        let leads = usable.is_none() && self.role != Role::Reader;
        let due = match usable {
            // No one else can meet the demand.
            None if demand.is_some() => {
                let failing_since = self.failing_since.filter(|_| !followers.is_empty());
                self.due_demanded_call(leads, failing_since)
            }
            None if leads => self.next_call,
            Some(_) | None => {
                let aged = self.confirmed.map(|at| at + self.patience());
                aged.unwrap_or(Timestamp::ZERO).max(self.next_call)
            }
        };
        if now >= due {
            return Step::Store(self.hold(now, leads && demand.is_none()));
        }
        let Some(id) = usable else {
            let retry = self.next_retry(now).filter(|_| demand.is_some());
            return Step::Wait(retry.map_or(due, |at| at.min(due)));
        };
        self.is_demanding = demand.is_some();
        if let Some(at) = demand {
            let spacing = DEMAND_SPACING * (1 << self.unmet.min(MAX_DOUBLINGS));
            let next_demand = self.demanded.map_or(now, |at| at + spacing);
            if now < next_demand {
                return Step::Wait(due.min(next_demand));
            }
            self.demanded = Some(now);
            return Step::Follower(id, Freshness::AsOf(now.since(at)));
        }
        if now < self.next_read {
            return Step::Wait(due.min(self.next_read));
        }
        Step::Follower(id, Freshness::Known)
    }

    /// The first of the followers that works. `demanding` tells whether a demand is open: a reader
    /// then prefers those that can meet it.
    fn usable(
        &mut self,
        now: Timestamp,
        followers: &[InstanceId],
        demanding: bool,
    ) -> Option<InstanceId> {
        self.failed
            .retain(|_, failure| failure.excludes(now, false) || failure.excludes(now, true));
        let failed = &self.failed;
        let others = followers
            .iter()
            .take_while(|id| self.role != Role::Follower(**id));
        let excluding = |id: &InstanceId| {
            let failure = failed.get(id)?;
            failure.excludes(now, demanding).then_some(*failure)
        };
        let is_reader = self.role == Role::Reader;
        let may_ask = |id: &&InstanceId| excluding(id).is_none_or(Failure::is_unmet);
        let works = others.clone().find(|id| excluding(id).is_none());
        let unmet = others.filter(|_| is_reader).find(may_ask);
        works.or(unmet).copied()
    }

    /// Time at which the next follower that refused may be asked again for a demand.
    fn next_retry(&self, now: Timestamp) -> Option<Timestamp> {
        let retry = |failure: &Failure| match failure {
            Failure::Refused(at) => Some(*at + REFUSAL_RETRY),
            Failure::Silent(_) | Failure::Unmet(_) => None,
        };
        let retries = self.failed.values().filter_map(retry);
        retries.filter(|at| *at > now).min()
    }

    /// Time of the next call to the store by a process whose demand no follower meets. `failing_since`
    /// is the time since which the followers, if any, have failed.
    fn due_demanded_call(&self, leads: bool, failing_since: Option<Timestamp>) -> Timestamp {
        let (spacing, earliest) = if leads {
            (DEMAND_SPACING, Timestamp::ZERO)
        } else {
            let earliest = failing_since.map_or(Timestamp::ZERO, |at| at + DIRECT_DELAY);
            (DIRECT_SPACING, earliest)
        };
        let due = match self.last_call {
            Some(at) if self.failures == 0 => at + spacing,
            Some(_) | None => self.next_call,
        };
        due.max(earliest)
    }

    /// The next step of a process that never asks the store. It asks a follower that failed again
    /// sooner than others do, since it has no other source.
    fn next_from_followers(&mut self, now: Timestamp, followers: &[InstanceId]) -> Step {
        let limit = self.timing.hold;
        self.failed.retain(|_, it| now.since(it.at()) < limit);
        match self.usable(now, followers, false) {
            Some(id) if now >= self.next_read => Step::Follower(id, Freshness::Known),
            Some(_) => Step::Wait(self.next_read),
            None => Step::Wait(now + self.timing.relay),
        }
    }

    /// Time for which the store may hold a call made now. `may_wait` tells whether it may at all.
    fn hold(&self, now: Timestamp, may_wait: bool) -> Duration {
        let age = self.confirmed.map(|at| now.since(at));
        match age {
            Some(age) if may_wait => self.timing.hold.saturating_sub(age),
            _ => Duration::ZERO,
        }
    }

    /// The time for which a confirmation is needed and not there yet.
    fn open_demand(&mut self) -> Option<Timestamp> {
        let confirmed = self.confirmed;
        self.demand = self.demand.filter(|at| confirmed < Some(*at));
        self.demand
    }

    /// Notes the answer of a follower that was asked at `asked`: the store confirmed what it says
    /// `age` before. Returns the time as of which the process lacks no change, or `None` if the
    /// answer is too old to be used, which counts as a failure.
    pub fn on_answer(
        &mut self,
        now: Timestamp,
        follower: InstanceId,
        asked: Timestamp,
        age: Duration,
    ) -> Option<Timestamp> {
        let as_of = asked.before(age);
        if now.since(as_of) >= self.patience() {
            self.on_refusal(now, follower, Duration::ZERO);
            return None;
        }
        self.failing_since = None;
        let confirmed = self.confirm_by(now, follower, asked, as_of);
        // The followers are asked once more before the process has to ask the store.
        let last = confirmed + self.patience().saturating_sub(self.timing.relay);
        let earliest = now + self.timing.relay / 2;
        self.next_read = (now + self.interval).min(last).max(earliest);
        Some(as_of)
    }

    /// Notes the confirmation by a follower's answer to a request made at `asked`. A follower that has
    /// held a demand in vain, and has had no answer of the store for as long before, isn't the first
    /// choice for a while. A store that is only slow doesn't count against it.
    fn confirm_by(
        &mut self,
        now: Timestamp,
        follower: InstanceId,
        asked: Timestamp,
        as_of: Timestamp,
    ) -> Timestamp {
        let confirmed = self.confirm(as_of);
        let is_unmet = self.is_demanding && self.open_demand().is_some();
        if !is_unmet {
            self.unmet = 0;
            self.failed.swap_remove(&follower);
            return confirmed;
        }
        self.unmet += 1;
        if as_of + DEMAND_HOLD < asked {
            self.failed.insert(follower, Failure::Unmet(now));
        }
        confirmed
    }

    /// Notes that a follower didn't answer in time. The next read is due after `wait`, or at once
    /// if a demand is open.
    pub fn on_failure(&mut self, now: Timestamp, follower: InstanceId, wait: Duration) {
        self.fail(now, follower, Failure::Silent(now), wait);
    }

    /// Notes that a follower has no copy, that its answer is of no use, or that no process listens
    /// at its address. The next read is due after `wait`, or at once if a demand is open.
    pub fn on_refusal(&mut self, now: Timestamp, follower: InstanceId, wait: Duration) {
        self.fail(now, follower, Failure::Refused(now), wait);
    }

    fn fail(&mut self, now: Timestamp, follower: InstanceId, failure: Failure, wait: Duration) {
        self.failed.insert(follower, failure);
        self.failing_since.get_or_insert(now);
        self.next_read = now + wait;
        self.demanded = None;
    }

    /// Notes the store's answer to a call made at `asked`, by which the process lacks no change as of
    /// `as_of`. `changed` tells whether the answer had changes.
    pub fn on_store_answer(
        &mut self,
        now: Timestamp,
        asked: Timestamp,
        as_of: Timestamp,
        changed: bool,
    ) {
        self.confirm(as_of);
        self.failures = 0;
        self.last_call = Some(asked);
        let pause = if changed { PAUSE_PART } else { 0.0 };
        let earliest = asked + self.timing.relay;
        self.next_call = earliest.max(now + self.timing.hold.mul_f64(pause));
        self.next_read = now + self.interval;
    }

    /// Notes that the store didn't answer or refused the call. `jitter`, from 0 to 1, spreads the
    /// calls of processes that the store refuses together.
    pub fn on_store_failure(&mut self, now: Timestamp, jitter: f64) {
        let (first, last) = RETRY_PARTS;
        let growth = 2_f64.powi(self.failures.min(8) as i32);
        let part = (first * growth).min(last);
        self.failures += 1;
        // The store doesn't answer this process either, so followers aren't at fault.
        self.failed.retain(|_, failure| !failure.is_unmet());
        self.next_call = now + self.patience().mul_f64(part * (0.75 + jitter / 2.0));
    }

    /// Age of the confirmation from which on the process asks the store although a follower may
    /// answer, and from which on an answer is of no use.
    fn patience(&self) -> Duration {
        match self.role {
            Role::Reader | Role::FollowersOnly => self.timing.reader,
            Role::Follower(_) => self.timing.follower,
        }
    }

    fn confirm(&mut self, as_of: Timestamp) -> Timestamp {
        let confirmed = self.confirmed.map_or(as_of, |at| at.max(as_of));
        *self.confirmed.insert(confirmed)
    }
}
