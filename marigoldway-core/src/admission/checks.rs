//! Checks that a request passes on arrival.

use std::time::Duration;

use crate::admission::Admission;
use crate::admission::Arrival;
use crate::admission::TargetState;
use crate::request::Class;
use crate::request::Refusal;
use crate::time::Timestamp;

/// Fewest short requests that may wait for each slot.
const TURNS_MIN: usize = 2;

impl Admission {
    /// Tells whether a request may wait or start.
    pub(super) fn check(&self, arrival: &Arrival, now: Timestamp) -> Result<(), Refusal> {
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        if self.target == TargetState::Down {
            return Err(Refusal::TargetDown);
        }
        match arrival.class {
            Class::Feed => self.check_feed(),
            Class::Short => self.check_short(arrival, now),
            Class::Bulk => self.check_bulk(arrival, now),
        }
    }

    /// Feeds leave one connection to each slot.
    fn check_feed(&self) -> Result<(), Refusal> {
        let free = self.options.connections.saturating_sub(self.options.slots);
        if self.counts.feeds >= free {
            return Err(Refusal::ConnectionLimit);
        }
        Ok(())
    }

    fn check_short(&self, arrival: &Arrival, now: Timestamp) -> Result<(), Refusal> {
        let ahead = self.short.ahead(arrival.customer);
        let wait = self.short_wait(ahead, now);
        self.check_deadline(arrival, wait, now)?;
        if ahead >= self.short_room(now) {
            return Err(Refusal::QueueFull);
        }
        Ok(())
    }

    /// Short requests that may wait, so that the last one is expected to wait
    /// for the longest time allowed. A slow target still has a few in hand for
    /// each slot.
    pub(super) fn short_room(&self, now: Timestamp) -> usize {
        let slots = self.limit(now).saturating_sub(self.counts.bulk).max(1);
        let service = self.estimate.service(Class::Short).as_micros().max(1);
        let turns = self.options.short_wait.as_micros() / service;
        let turns = usize::try_from(turns).unwrap_or(usize::MAX);
        let room = turns.max(TURNS_MIN).saturating_mul(slots);
        room.clamp(1, self.options.short_queue)
    }

    fn check_bulk(&self, arrival: &Arrival, now: Timestamp) -> Result<(), Refusal> {
        if self.bulk.len() >= self.options.bulk_queue {
            return Err(Refusal::QueueFull);
        }
        let slots = self.options.bulk_slots(self.limit(now)).max(1);
        let ahead = self.counts.bulk + self.bulk.len();
        let rounds = u32::try_from(ahead / slots).unwrap_or(u32::MAX);
        let wait = self.estimate.service(Class::Bulk).saturating_mul(rounds);
        self.check_deadline(arrival, wait, now)
    }

    /// Refuses a request whose deadline lies before its expected end. An idle
    /// target takes any request whose deadline has not passed, so that a wrong
    /// estimate is corrected.
    fn check_deadline(
        &self,
        arrival: &Arrival,
        wait: Duration,
        now: Timestamp,
    ) -> Result<(), Refusal> {
        let Some(deadline) = arrival.deadline else {
            return Ok(());
        };
        let end = now + wait + self.estimate.service(arrival.class);
        let idle = self.counts.short + self.counts.bulk == 0 && self.places.is_empty();
        if deadline <= now || (end > deadline && !idle) {
            return Err(Refusal::Deadline);
        }
        Ok(())
    }

    /// Expected wait of a short request with `ahead` others before it.
    fn short_wait(&self, ahead: usize, now: Timestamp) -> Duration {
        let limit = self.limit(now);
        let free = limit.saturating_sub(self.counts.short + self.counts.bulk);
        if free > ahead {
            return Duration::ZERO;
        }
        let slots = limit.saturating_sub(self.counts.bulk).max(1);
        let turns = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        let service = self.estimate.service(Class::Short).saturating_mul(turns);
        service / u32::try_from(slots).unwrap_or(u32::MAX)
    }
}
