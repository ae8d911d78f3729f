//! Health of the target, derived from the answers that pass the agent.
//!
//! It detects targets that pass their health check but fail, drop or never answer a part of
//! their requests. New flows then go to other targets as far as those have room. The recovery
//! of a target shows in the flows that it keeps, and in new flows once its failures are old.

use std::time::Duration;

use crate::time::Timestamp;

/// Weight of the latest request in the share of failures.
const REQUEST_WEIGHT: f64 = 0.1;

/// Time after which the weight of failures halves, so that a target without requests is tried
/// again.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Time for which an opening packet may stay unanswered before the target counts as silent. A
/// target answers within a millisecond; a turn of the event loop takes longer.
const SILENCE_LIMIT: Duration = Duration::from_millis(120);

/// Time between two opening packets that are sent to a silent target as trials.
const TRIAL_INTERVAL: Duration = Duration::from_millis(100);

/// `Health` holds the failure share and the silence of one incarnation of the target.
#[derive(Debug, Default)]
pub(super) struct Health {
    /// Share of failures among the latest requests, 0 to 1, as of `updated`.
    failures: f64,
    updated: Timestamp,
    /// When the earliest unanswered opening packet was sent.
    unanswered_since: Option<Timestamp>,
    last_trial: Timestamp,
}

impl Health {
    /// Records the outcome of a request.
    pub(super) fn record_request(&mut self, now: Timestamp, failed: bool) {
        let share = self.share(now);
        let last = f64::from(u8::from(failed));
        self.failures = share + (last - share) * REQUEST_WEIGHT;
        self.updated = now;
    }

    /// Records that an opening packet was sent to the target.
    pub(super) fn on_open(&mut self, now: Timestamp) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records that the target sent a packet of any kind.
    pub(super) fn on_packet(&mut self) {
        self.unanswered_since = None;
    }

    /// Whether the target leaves opening packets unanswered.
    pub(super) fn is_silent(&self, now: Timestamp) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.since(since) > SILENCE_LIMIT)
    }

    /// Whether a silent target gets another opening packet as a trial now. Starts the next
    /// interval if so.
    pub(super) fn take_trial(&mut self, now: Timestamp) -> bool {
        let due = now.since(self.last_trial) >= TRIAL_INTERVAL;
        if due {
            self.last_trial = now;
        }
        due
    }

    /// Percentage of the latest requests that failed; 100 while the target is silent.
    pub(super) fn failing(&self, now: Timestamp) -> u8 {
        if self.is_silent(now) {
            return 100;
        }
        (self.share(now) * 100.0) as u8
    }

    fn share(&self, now: Timestamp) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        self.failures * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
