//! Admission control: starts, queues or refuses each request for a target.
//!
//! An agent is the process beside a target that admits requests to it. A slot is
//! the right to run one request at the target.
//!
//! [`Admission`] counts the slots and connections in use at one target. Requests
//! of the classes short and bulk hold a slot while they run. Until then they wait
//! in the bounded queue of their class, which serves the customers in fair turns.
//! A feed, a stream of events that stays open for hours, holds a connection and
//! no slot, and never waits.
//!
//! A request is refused as soon as it is not expected to be answered before its
//! deadline, so that no request is queued only to expire. A refused request has
//! not run.

mod backoff;
mod checks;
mod estimate;
mod options;
mod queue;
mod slow_start;
mod types;

use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;

use crate::admission::backoff::Backoff;
use crate::admission::estimate::Estimate;
use crate::admission::queue::FairQueue;
use crate::admission::queue::Waiting;
use crate::admission::slow_start::SlowStart;
use crate::request::Class;
use crate::request::Refusal;
use crate::time::Timestamp;

pub use crate::admission::options::AdmissionOptions;
pub use crate::admission::types::Action;
pub use crate::admission::types::Arrival;
pub use crate::admission::types::Completion;
pub use crate::admission::types::CustomerKey;
pub use crate::admission::types::Load;
pub use crate::admission::types::RequestId;
pub use crate::admission::types::TargetState;

#[derive(Clone, Copy, Debug)]
struct Running {
    class: Class,
    started: Timestamp,
}

/// Admission control of one target.
#[derive(Clone, Debug)]
pub struct Admission {
    options: AdmissionOptions,
    estimate: Estimate,
    slow_start: SlowStart,
    backoff: Backoff,
    running: IndexMap<RequestId, Running>,
    /// Numbers of running requests and open feeds. `limit` and `waiting` stay 0.
    in_use: Load,
    short: FairQueue,
    bulk: FairQueue,
    /// Class and customer of each waiting request.
    waiting: IndexMap<RequestId, (Class, CustomerKey)>,
    last_bulk_start: Option<Timestamp>,
    target: TargetState,
    leaving: bool,
}

impl Admission {
    /// Creates admission control for a target whose slow start begins at `now`.
    pub fn new(options: AdmissionOptions, now: Timestamp) -> Admission {
        Admission {
            options,
            estimate: Estimate::new(options.short_estimate, options.bulk_estimate),
            slow_start: SlowStart::begin(now),
            backoff: Backoff::default(),
            running: IndexMap::new(),
            in_use: Load::default(),
            short: FairQueue::default(),
            bulk: FairQueue::default(),
            waiting: IndexMap::new(),
            last_bulk_start: None,
            target: TargetState::Up,
            leaving: false,
        }
    }

    /// Opens every slot at once, for a target that needs no slow start.
    pub fn skip_slow_start(mut self) -> Admission {
        self.slow_start = SlowStart::complete(self.options.slots);
        self
    }

    /// Handles a new request: starts it, refuses it, or queues it. A queued
    /// request has no action of its own until it is started or refused.
    pub fn arrive(&mut self, arrival: Arrival, now: Timestamp, rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = self.tick(now, rng);
        if let Err(reason) = self.check(&arrival, now) {
            actions.push(self.refuse(arrival.id, reason, now, rng));
            return actions;
        }
        if arrival.class == Class::Feed {
            self.start(arrival.id, Class::Feed, now);
            actions.push(Action::Start(arrival.id));
            return actions;
        }

        if let Some(displaced) = self.displace_for(&arrival, now) {
            self.waiting.swap_remove(&displaced.id);
            actions.push(self.refuse(displaced.id, Refusal::QueueFull, now, rng));
        }
        self.waiting
            .insert(arrival.id, (arrival.class, arrival.customer));
        self.queue(arrival.class).push(Waiting {
            id: arrival.id,
            customer: arrival.customer,
            deadline: arrival.deadline,
        });
        self.dispatch(now, &mut actions);
        actions
    }

    /// Releases the slot or connection of a finished request and starts waiting
    /// requests. Has no effect if the request no longer holds a slot or connection.
    pub fn finish(
        &mut self,
        id: RequestId,
        completion: Completion,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let Some(running) = self.release(id) else {
            return Vec::new();
        };
        match completion {
            Completion::Answered => self
                .estimate
                .add_sample(running.class, now.since(running.started)),
            Completion::Refused => {
                let limit = self.limit(now);
                self.slow_start.shrink(limit, now);
            }
            Completion::Failed => {}
        }
        self.tick(now, rng)
    }

    /// Handles the disconnect of a request's caller. A waiting request leaves
    /// the queue. A running request keeps its slot or connection until
    /// [`Admission::cancel_accepted`] or [`Admission::finish`] is called for it.
    /// Has no effect if the request neither waits nor runs.
    pub fn cancel(&mut self, id: RequestId) -> Vec<Action> {
        if let Some((class, customer)) = self.waiting.swap_remove(&id) {
            self.queue(class).remove(customer, id);
            return Vec::new();
        }
        if self.running.contains_key(&id) {
            return vec![Action::Cancel(id)];
        }
        Vec::new()
    }

    /// Releases the slot or connection of a request that the target stopped on
    /// cancellation, and starts waiting requests.
    pub fn cancel_accepted(
        &mut self,
        id: RequestId,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        self.release(id);
        self.tick(now, rng)
    }

    /// Refuses waiting requests that are no longer expected to be answered before
    /// their deadlines, and starts waiting requests in free slots.
    pub fn tick(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, rng, &mut actions);
        self.dispatch(now, &mut actions);
        actions
    }

    /// Returns the time of the next [`Admission::tick`] call if no other method is
    /// called before: the earliest deadline of a waiting request, but no later than
    /// one [`AdmissionOptions::slot_interval`] after `now`. `None` if no request
    /// waits.
    pub fn next_tick(&self, now: Timestamp) -> Option<Timestamp> {
        if self.waiting.is_empty() {
            return None;
        }
        let next = now + self.options.slot_interval;
        let short = self.short.earliest_deadline();
        let bulk = self.bulk.earliest_deadline();
        [short, bulk].into_iter().flatten().chain([next]).min()
    }

    /// Updates the state of the target as observed by the agent. A target that is
    /// down has all its waiting requests refused. The slow start begins anew when
    /// the target is up again.
    pub fn observe(
        &mut self,
        target: TargetState,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        if self.target == TargetState::Down && target == TargetState::Up {
            self.slow_start = SlowStart::begin(now);
        }
        self.target = target;
        match target {
            TargetState::Up => self.tick(now, rng),
            TargetState::Down => self.refuse_waiting(Refusal::TargetDown, now, rng),
        }
    }

    /// Refuses new requests from now on. Requests that already wait still run.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Counts a refusal that was made outside admission control, for example by
    /// the target, and draws a random delay after which its caller may retry.
    pub fn retry_after(&mut self, now: Timestamp, rng: &mut impl Rng) -> Duration {
        let interval = self.completion_interval(now);
        self.backoff.draw(interval, now, rng)
    }

    /// Returns the numbers of open slots, running requests, open feeds and waiting
    /// requests.
    pub fn load(&self, now: Timestamp) -> Load {
        Load {
            limit: self.limit(now),
            waiting: self.waiting.len(),
            ..self.in_use
        }
    }

    /// Removes the request that would be served last from a full short queue, so
    /// that `arrival` can be queued. Returns `None` if `arrival` is no short
    /// request, the queue isn't full, or `arrival` would be served no earlier.
    fn displace_for(&mut self, arrival: &Arrival, now: Timestamp) -> Option<Waiting> {
        if arrival.class != Class::Short || self.short.len() < self.short_capacity(now) {
            return None;
        }
        self.short.displace(arrival.customer)
    }

    /// Refuses waiting requests that are not expected to be answered before their
    /// deadlines. While no slot is in use, only those whose deadline has passed are
    /// refused, so that a completion corrects a wrong estimate.
    fn expire(&mut self, now: Timestamp, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        let idle = self.in_use.short + self.in_use.bulk == 0;
        for class in [Class::Short, Class::Bulk] {
            let service_time = self.estimate.service_time(class);
            let cutoff = if idle { now } else { now + service_time };
            for expired in self.queue(class).expire(cutoff) {
                self.waiting.swap_remove(&expired.id);
                actions.push(self.refuse(expired.id, Refusal::Deadline, now, rng));
            }
        }
    }

    /// Starts waiting requests while a slot is free and the target is up.
    fn dispatch(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.target == TargetState::Down {
            return;
        }
        let limit = self.limit(now);
        while self.in_use.short + self.in_use.bulk < limit {
            let Some((waiting, class)) = self.pop_next(limit, now) else {
                return;
            };
            self.waiting.swap_remove(&waiting.id);
            self.start(waiting.id, class, now);
            actions.push(Action::Start(waiting.id));
        }
    }

    /// Removes the next request from the queues. Short requests take precedence,
    /// except for the share of time guaranteed to bulk requests
    /// ([`AdmissionOptions::bulk_permille`]).
    fn pop_next(&mut self, limit: usize, now: Timestamp) -> Option<(Waiting, Class)> {
        let allowed = self.in_use.bulk < self.options.bulk_slots(limit);
        let due = allowed && (self.short.is_empty() || self.bulk_due(now));
        if due && let Some(waiting) = self.bulk.pop() {
            self.last_bulk_start = Some(now);
            return Some((waiting, Class::Bulk));
        }
        self.short.pop().map(|waiting| (waiting, Class::Short))
    }

    /// Returns whether a bulk request may start although short requests wait: the
    /// time since the last start of a bulk request is long enough that bulk
    /// requests don't exceed their guaranteed share. True if none has started yet.
    fn bulk_due(&self, now: Timestamp) -> bool {
        let Some(last) = self.last_bulk_start else {
            return true;
        };
        let slots = u32::try_from(self.options.slots).unwrap_or(u32::MAX);
        let share = self.options.bulk_permille.saturating_mul(slots);
        let service_time = self.estimate.service_time(Class::Bulk);
        now.since(last).saturating_mul(share) >= service_time.saturating_mul(1_000)
    }

    fn start(&mut self, id: RequestId, class: Class, now: Timestamp) {
        *self.in_use_mut(class) += 1;
        let running = Running {
            class,
            started: now,
        };
        self.running.insert(id, running);
    }

    fn release(&mut self, id: RequestId) -> Option<Running> {
        let running = self.running.swap_remove(&id)?;
        *self.in_use_mut(running.class) -= 1;
        Some(running)
    }

    fn refuse_waiting(
        &mut self,
        reason: Refusal,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        self.waiting.clear();
        let mut waiting = self.short.drain();
        waiting.extend(self.bulk.drain());
        waiting
            .iter()
            .map(|waiting| self.refuse(waiting.id, reason, now, rng))
            .collect()
    }

    fn refuse(
        &mut self,
        id: RequestId,
        reason: Refusal,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Action {
        let retry_after = self.retry_after(now, rng);
        Action::Refuse {
            id,
            reason,
            retry_after,
        }
    }

    /// Mean time between two completions when every open slot runs short
    /// requests.
    fn completion_interval(&self, now: Timestamp) -> Duration {
        let slots = u32::try_from(self.limit(now)).unwrap_or(u32::MAX);
        self.estimate.service_time(Class::Short) / slots.max(1)
    }

    /// Number of open slots.
    fn limit(&self, now: Timestamp) -> usize {
        let options = &self.options;
        self.slow_start
            .limit(options.slots, options.slot_interval, now)
    }

    /// Queue of a class. Feeds never wait; for them the result has no meaning.
    fn queue(&mut self, class: Class) -> &mut FairQueue {
        match class {
            Class::Feed | Class::Short => &mut self.short,
            Class::Bulk => &mut self.bulk,
        }
    }

    fn in_use_mut(&mut self, class: Class) -> &mut usize {
        match class {
            Class::Feed => &mut self.in_use.feeds,
            Class::Short => &mut self.in_use.short,
            Class::Bulk => &mut self.in_use.bulk,
        }
    }
}
