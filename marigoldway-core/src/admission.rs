//! Admission: which requests a target runs, which wait and which are refused.
//!
//! [`Admission`] counts the real slots and connections of one target. Requests
//! of the classes short and bulk hold a slot while they run, and wait in a
//! bounded queue that takes turns between customers. A feed holds a connection
//! and no slot. A request is refused as soon as it can be told that it won't be
//! answered in time, so nothing is queued only to expire. Whatever is refused
//! here has not run.

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

/// `Admission` is the admission of one target.
#[derive(Clone, Debug)]
pub struct Admission {
    options: AdmissionOptions,
    estimate: Estimate,
    slow_start: SlowStart,
    backoff: Backoff,
    running: IndexMap<RequestId, Running>,
    counts: Load,
    short: FairQueue,
    bulk: FairQueue,
    /// Which class and customer a waiting request belongs to.
    places: IndexMap<RequestId, (Class, CustomerKey)>,
    bulk_start: Option<Timestamp>,
    target: TargetState,
    leaving: bool,
}

impl Admission {
    /// Starts the admission of a target that is cold at `now`.
    pub fn new(options: AdmissionOptions, now: Timestamp) -> Admission {
        Admission {
            options,
            estimate: Estimate::new(options.short_estimate, options.bulk_estimate),
            slow_start: SlowStart::cold(now),
            backoff: Backoff::default(),
            running: IndexMap::new(),
            counts: Load::default(),
            short: FairQueue::default(),
            bulk: FairQueue::default(),
            places: IndexMap::new(),
            bulk_start: None,
            target: TargetState::Up,
            leaving: false,
        }
    }

    /// Opens every slot at once, for a target that is known to be warm.
    pub fn skip_slow_start(mut self) -> Admission {
        self.slow_start = SlowStart::warm(self.options.slots);
        self
    }

    /// Takes in a request. It is started, refused, or waits without an action.
    pub fn arrive(&mut self, arrival: Arrival, now: Timestamp, rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = self.tick(now, rng);
        if let Err(reason) = self.check(&arrival, now) {
            actions.push(self.refuse(arrival.id, reason, now, rng));
            return actions;
        }
        if arrival.class == Class::Feed {
            self.run(arrival.id, Class::Feed, now);
            actions.push(Action::Start(arrival.id));
            return actions;
        }

        if let Some(displaced) = self.make_room(&arrival, now) {
            self.places.swap_remove(&displaced.id);
            actions.push(self.refuse(displaced.id, Refusal::QueueFull, now, rng));
        }
        self.places
            .insert(arrival.id, (arrival.class, arrival.customer));
        self.queue(arrival.class).push(Waiting {
            id: arrival.id,
            customer: arrival.customer,
            deadline: arrival.deadline,
        });
        self.dispatch(now, &mut actions);
        actions
    }

    /// Takes in the end of a request that was started, and starts the next. A
    /// late end, of a request that holds nothing any more, changes nothing.
    pub fn finish(
        &mut self,
        id: RequestId,
        ended: Completion,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let Some(running) = self.release(id) else {
            return Vec::new();
        };
        match ended {
            Completion::Answered => self
                .estimate
                .learn(running.class, now.since(running.started)),
            Completion::Refused => {
                let limit = self.limit(now);
                self.slow_start.shrink(limit, now);
            }
            Completion::Failed => {}
        }
        self.tick(now, rng)
    }

    /// Takes in that the caller of a request went away. A waiting request
    /// leaves the queue. One that runs keeps its slot until the target accepts
    /// the cancellation or answers.
    pub fn cancel(&mut self, id: RequestId) -> Vec<Action> {
        if let Some((class, customer)) = self.places.swap_remove(&id) {
            self.queue(class).remove(customer, id);
            return Vec::new();
        }
        if self.running.contains_key(&id) {
            return vec![Action::Cancel(id)];
        }
        Vec::new()
    }

    /// Takes in that the target stopped a request, which frees its slot.
    pub fn cancel_accepted(
        &mut self,
        id: RequestId,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        self.release(id);
        self.tick(now, rng)
    }

    /// Refuses waiting requests that can't be answered in time any more, and
    /// fills open slots.
    pub fn tick(&mut self, now: Timestamp, rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now, rng, &mut actions);
        self.dispatch(now, &mut actions);
        actions
    }

    /// When [`Admission::tick`] has something to do, if nothing else happens
    /// before.
    pub fn next_tick(&self, now: Timestamp) -> Option<Timestamp> {
        if self.places.is_empty() {
            return None;
        }
        let next = now + self.options.slot_interval;
        let short = self.short.earliest();
        let bulk = self.bulk.earliest();
        [short, bulk].into_iter().flatten().chain([next]).min()
    }

    /// Takes in what the agent saw of its target. A target that comes back is
    /// cold.
    pub fn observe(
        &mut self,
        target: TargetState,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        if self.target == TargetState::Down && target == TargetState::Up {
            self.slow_start = SlowStart::cold(now);
        }
        self.target = target;
        match target {
            TargetState::Up => self.tick(now, rng),
            TargetState::Down => self.refuse_waiting(Refusal::TargetDown, now, rng),
        }
    }

    /// Stops taking new requests. What waits already is still run.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Draws the time after which a caller that was refused elsewhere, by the
    /// target or by its plan, may come back.
    pub fn retry_after(&mut self, now: Timestamp, rng: &mut impl Rng) -> Duration {
        let gap = self.gap(now);
        self.backoff.draw(gap, now, rng)
    }

    /// What is held now.
    pub fn load(&self, now: Timestamp) -> Load {
        Load {
            limit: self.limit(now),
            waiting: self.places.len(),
            ..self.counts
        }
    }

    /// Makes room in a full short queue, at the cost of the customer that is
    /// furthest beyond its share.
    fn make_room(&mut self, arrival: &Arrival, now: Timestamp) -> Option<Waiting> {
        if arrival.class != Class::Short || self.short.len() < self.short_room(now) {
            return None;
        }
        self.short.displace(arrival.customer)
    }

    fn expire(&mut self, now: Timestamp, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        let idle = self.counts.short + self.counts.bulk == 0;
        for class in [Class::Short, Class::Bulk] {
            let service = self.estimate.service(class);
            let limit = if idle { now } else { now + service };
            for late in self.queue(class).expire(limit) {
                self.places.swap_remove(&late.id);
                actions.push(self.refuse(late.id, Refusal::Deadline, now, rng));
            }
        }
    }

    fn dispatch(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.target == TargetState::Down {
            return;
        }
        let limit = self.limit(now);
        while self.counts.short + self.counts.bulk < limit {
            let Some((waiting, class)) = self.next(limit, now) else {
                return;
            };
            self.places.swap_remove(&waiting.id);
            self.run(waiting.id, class, now);
            actions.push(Action::Start(waiting.id));
        }
    }

    /// Takes the next request from the queues. Short ones go first, but for the
    /// share of the time that bulk ones are promised.
    fn next(&mut self, limit: usize, now: Timestamp) -> Option<(Waiting, Class)> {
        let open = self.counts.bulk < self.options.bulk_slots(limit);
        let due = open && (self.short.is_empty() || self.bulk_due(now));
        if due && let Some(waiting) = self.bulk.pop() {
            self.bulk_start = Some(now);
            return Some((waiting, Class::Bulk));
        }
        self.short.pop().map(|waiting| (waiting, Class::Short))
    }

    /// Tells whether the promised share of bulk requests is due, counted from
    /// the start of the last one.
    fn bulk_due(&self, now: Timestamp) -> bool {
        let Some(last) = self.bulk_start else {
            return true;
        };
        let slots = u32::try_from(self.options.slots).unwrap_or(u32::MAX);
        let share = self.options.bulk_permille.saturating_mul(slots);
        let service = self.estimate.service(Class::Bulk);
        now.since(last).saturating_mul(share) >= service.saturating_mul(1_000)
    }

    fn run(&mut self, id: RequestId, class: Class, now: Timestamp) {
        *self.count(class) += 1;
        let running = Running {
            class,
            started: now,
        };
        self.running.insert(id, running);
    }

    fn release(&mut self, id: RequestId) -> Option<Running> {
        let running = self.running.swap_remove(&id)?;
        *self.count(running.class) -= 1;
        Some(running)
    }

    fn refuse_waiting(
        &mut self,
        reason: Refusal,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        self.places.clear();
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

    /// Mean time between two completions when every open slot runs short work.
    fn gap(&self, now: Timestamp) -> Duration {
        let slots = u32::try_from(self.limit(now)).unwrap_or(u32::MAX);
        self.estimate.service(Class::Short) / slots.max(1)
    }

    fn limit(&self, now: Timestamp) -> usize {
        let options = &self.options;
        self.slow_start
            .limit(options.slots, options.slot_interval, now)
    }

    fn queue(&mut self, class: Class) -> &mut FairQueue {
        match class {
            Class::Feed | Class::Short => &mut self.short,
            Class::Bulk => &mut self.bulk,
        }
    }

    fn count(&mut self, class: Class) -> &mut usize {
        match class {
            Class::Feed => &mut self.counts.feeds,
            Class::Short => &mut self.counts.short,
            Class::Bulk => &mut self.counts.bulk,
        }
    }
}
