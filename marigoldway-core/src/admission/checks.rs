//! Checks of a request on arrival.

use std::time::Duration;

use crate::admission::Admission;
use crate::admission::Arrival;
use crate::admission::TargetState;
use crate::request::Class;
use crate::request::Refusal;
use crate::time::Timestamp;

/// Minimum number of short requests that may wait for each slot.
const MIN_WAITING_PER_SLOT: usize = 2;

impl Admission {
    /// Checks whether a request may wait or start.
    ///
    /// # Errors
    ///
    /// The reason of the refusal, if the request may neither wait nor start.
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

    /// Checks the connection limit for a feed. Feeds leave one connection free for
    /// each slot.
    fn check_feed(&self) -> Result<(), Refusal> {
        let max_feeds = self.options.connections.saturating_sub(self.options.slots);
        if self.in_use.feeds >= max_feeds {
            return Err(Refusal::ConnectionLimit);
        }
        Ok(())
    }

    fn check_short(&self, arrival: &Arrival, now: Timestamp) -> Result<(), Refusal> {
        let ahead = self.short.count_ahead(arrival.customer);
        let wait = self.short_wait(ahead, now);
        self.check_deadline(arrival, wait, now)?;
        if ahead >= self.short_capacity(now) {
            return Err(Refusal::QueueFull);
        }
        Ok(())
    }

    /// Maximum number of waiting short requests: the last one is expected to
    /// wait no longer than [`AdmissionOptions::short_wait`]. On a slow target
    /// at least [`MIN_WAITING_PER_SLOT`] requests may wait for each open slot that
    /// no bulk request holds. The maximum never exceeds
    /// [`AdmissionOptions::short_queue`].
    ///
    /// [`AdmissionOptions::short_wait`]: crate::admission::AdmissionOptions::short_wait
    /// [`AdmissionOptions::short_queue`]: crate::admission::AdmissionOptions::short_queue
    pub(super) fn short_capacity(&self, now: Timestamp) -> usize {
        let slots = self.limit(now).saturating_sub(self.in_use.bulk).max(1);
        let service_time = self.estimate.service_time(Class::Short).as_micros().max(1);
        let per_slot = self.options.short_wait.as_micros() / service_time;
        let per_slot = usize::try_from(per_slot).unwrap_or(usize::MAX);
        let capacity = per_slot.max(MIN_WAITING_PER_SLOT).saturating_mul(slots);
        capacity.clamp(1, self.options.short_queue)
    }

    fn check_bulk(&self, arrival: &Arrival, now: Timestamp) -> Result<(), Refusal> {
        if self.bulk.len() >= self.options.bulk_queue {
            return Err(Refusal::QueueFull);
        }
        let slots = self.options.bulk_slots(self.limit(now)).max(1);
        let ahead = self.in_use.bulk + self.bulk.len();
        let rounds = u32::try_from(ahead / slots).unwrap_or(u32::MAX);
        let wait = self
            .estimate
            .service_time(Class::Bulk)
            .saturating_mul(rounds);
        self.check_deadline(arrival, wait, now)
    }

    /// Refuses a request whose deadline lies before its expected end, `wait` and
    /// the estimated service time from `now`. While no slot is in use and no request
    /// waits, any request whose deadline has not passed is accepted, so that its
    /// completion corrects a wrong estimate.
    fn check_deadline(
        &self,
        arrival: &Arrival,
        wait: Duration,
        now: Timestamp,
    ) -> Result<(), Refusal> {
        let Some(deadline) = arrival.deadline else {
            return Ok(());
        };
        let end = now + wait + self.estimate.service_time(arrival.class);
        let idle = self.in_use.short + self.in_use.bulk == 0 && self.waiting.is_empty();
        if deadline <= now || (end > deadline && !idle) {
            return Err(Refusal::Deadline);
        }
        Ok(())
    }

    /// Expected wait of a short request that has `ahead` requests before it.
    fn short_wait(&self, ahead: usize, now: Timestamp) -> Duration {
        let limit = self.limit(now);
        let free = limit.saturating_sub(self.in_use.short + self.in_use.bulk);
        if free > ahead {
            return Duration::ZERO;
        }
        let slots = limit.saturating_sub(self.in_use.bulk).max(1);
        let turns = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        let total = self
            .estimate
            .service_time(Class::Short)
            .saturating_mul(turns);
        total / u32::try_from(slots).unwrap_or(u32::MAX)
    }
}
