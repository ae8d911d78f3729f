//! This module decides where a process reads the keys that it needs, and when: from a follower or
//! from the store.
//!
//! What a process knows is borne by a confirmation: a time as of which the store had no change that
//! the process lacks. An answer of the store confirms the time at which it was asked; the answer of
//! a follower confirms as much as the follower's own confirmation. A call that waits confirms
//! nothing, since the store may never answer it. A confirmation that no source renews in time makes
//! the process ask the store itself. So each process, whatever it reads and from whom, learns of a
//! change within the limit, or knows that it may be late.
//!
//! A decision may need a confirmation of the present. The process then demands one of its follower,
//! and this one of the leading follower, which asks the store once for all.

use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::InstanceId;
use crate::replica::timing::Timing;
use crate::time::Timestamp;

/// Time for which a follower that failed isn't asked again.
const RETRY_AFTER: Duration = Duration::from_secs(5);

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
    /// Read from this follower, of which a confirmation of the present is demanded or not.
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
    /// That the follower confirms what it has as soon as it can. The reader asks again for it.
    Now,
}

/// Maximum number of times that the interval between the reads of a demand doubles.
const MAX_DOUBLINGS: u32 = 4;

/// `Sources` chooses the source of each read of one prefix.
#[derive(Clone, Debug)]
pub struct Sources {
    role: Role,
    timing: Timing,
    /// Interval between two reads from a follower.
    interval: Duration,
    /// Time as of which the process is known to lack no change. `None` before the first answer.
    confirmed: Option<Timestamp>,
    /// Followers that failed, with the time of the last failure.
    failed: IndexMap<InstanceId, Timestamp>,
    /// Time of the next read from a follower.
    next_read: Timestamp,
    /// Earliest time of the next call to the store.
    next_call: Timestamp,
    /// Number of calls to the store that failed one after the other.
    failures: u32,
    /// Time for which a confirmation is needed.
    demand: Option<Timestamp>,
    /// Time of the last demand to a follower or call to the store.
    demanded: Timestamp,
    /// Number of reads since then.
    reads: u32,
}

impl Sources {
    /// The state of a process that knows nothing. It reads from a follower each `interval`, or
    /// sooner if its confirmation is about to age.
    pub fn new(role: Role, timing: Timing, interval: Duration) -> Sources {
        Sources {
            role,
            timing,
            interval,
            confirmed: None,
            failed: IndexMap::new(),
            next_read: Timestamp::ZERO,
            next_call: Timestamp::ZERO,
            failures: 0,
            demand: None,
            demanded: Timestamp::ZERO,
            reads: 0,
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
        let retry = self.retry_after();
        self.failed.retain(|_, at| now.since(*at) < retry);
        let usable = followers
            .iter()
            .take_while(|id| self.role != Role::Follower(**id))
            .find(|id| !self.failed.contains_key(*id));
        if self.role == Role::FollowersOnly {
            return self.next_from_followers(now, usable.copied());
        }
        let leads = usable.is_none() && self.role != Role::Reader;
        let demand = self.open_demand();
        let patience = match usable {
            // No one else can meet the demand.
            None if leads || demand.is_some() => Duration::ZERO,
            Some(_) | None => self.patience(),
        };
        let due = self.confirmed.map_or(Timestamp::ZERO, |at| at + patience);
        let due = due.max(self.next_call);
        if now >= due {
            return Step::Store(self.hold(now, leads && demand.is_none()));
        }
        let Some(id) = usable else {
            return Step::Wait(due);
        };
        // One demand is made for all decisions of a while.
        let next_demand = self.demanded + self.timing.relay;
        let is_new = demand.is_some_and(|at| at > self.demanded);
        if is_new && now >= next_demand {
            self.demanded = now;
            self.reads = 0;
            return Step::Follower(*id, Freshness::Now);
        }
        let next_read = match demand {
            Some(_) if is_new => self.next_read.min(next_demand),
            Some(_) if self.reads <= MAX_DOUBLINGS => {
                let factor = (2 << self.reads) - 1;
                self.next_read
                    .min(self.demanded + self.timing.demand * factor)
            }
            Some(_) | None => self.next_read,
        };
        if now < next_read {
            return Step::Wait(due.min(next_read));
        }
        self.reads += 1;
        Step::Follower(*id, Freshness::Known)
    }

    /// The next step of a process that never asks the store. `usable` is the follower to ask.
    fn next_from_followers(&self, now: Timestamp, usable: Option<InstanceId>) -> Step {
        match usable {
            Some(id) if now >= self.next_read => Step::Follower(id, Freshness::Known),
            Some(_) => Step::Wait(self.next_read),
            None => Step::Wait(now + self.timing.relay),
        }
    }

    /// Time for which a follower that failed isn't asked again.
    fn retry_after(&self) -> Duration {
        match self.role {
            Role::Reader | Role::Follower(_) => RETRY_AFTER,
            // There is no other source if all followers have failed.
            Role::FollowersOnly => self.timing.hold,
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
            self.on_failure(now, follower, Duration::ZERO);
            return None;
        }
        let confirmed = self.confirm(as_of);
        // The followers are asked once more before the process has to ask the store.
        let last = confirmed + self.patience().saturating_sub(self.timing.relay);
        let earliest = now + self.timing.relay / 2;
        self.next_read = (now + self.interval).min(last).max(earliest);
        Some(as_of)
    }

    /// Notes that a follower didn't answer, or that its answer is of no use. The next read is due
    /// after `wait`.
    pub fn on_failure(&mut self, now: Timestamp, follower: InstanceId, wait: Duration) {
        self.failed.insert(follower, now);
        self.next_read = now + wait;
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
