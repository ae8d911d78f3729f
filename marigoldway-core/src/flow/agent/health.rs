//! Derives the health of the target from the answers that pass the agent.
//!
//! It detects targets that pass their health check but fail, drop or never answer a part of
//! their requests. New flows then go to other targets as far as those have room. The agent
//! detects the recovery of a target by requests on the flows that the target keeps, and by new
//! flows, which it receives again once its failures are old.

use std::time::Duration;

use crate::time::Timestamp;

/// Weight of the latest request in the failure rate.
const REQUEST_WEIGHT: f64 = 0.1;

/// Time in which the failure rate halves while no request ends, so that a target without requests
/// is tried again.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Time for which an opening packet may stay unanswered before the target counts as silent. A
/// target answers within a millisecond; a turn of the event loop takes longer.
const SILENCE_LIMIT: Duration = Duration::from_millis(120);

/// Time between two opening packets that are sent to a silent target as trials.
const TRIAL_INTERVAL: Duration = Duration::from_millis(100);

/// `Health` holds the failure rate of one incarnation of the target, and the time since which the
/// target leaves opening packets unanswered.
#[derive(Debug, Default)]
pub(super) struct Health {
    /// Fraction of the latest requests that failed, 0 to 1, as of `updated`.
    failure_rate: f64,
    updated: Timestamp,
    /// When the first opening packet after the target's last packet was sent.
    unanswered_since: Option<Timestamp>,
    last_trial: Timestamp,
}

impl Health {
    /// Records whether a request that has ended failed.
    pub(super) fn record_request(&mut self, now: Timestamp, failed: bool) {
        let rate = self.decayed_failure_rate(now);
        let last = f64::from(u8::from(failed));
        self.failure_rate = rate + (last - rate) * REQUEST_WEIGHT;
        self.updated = now;
    }

    /// Records that an opening packet was sent to the target.
    pub(super) fn on_open(&mut self, now: Timestamp) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records that the target sent a packet of any kind, so it isn't silent.
    pub(super) fn on_packet(&mut self) {
        self.unanswered_since = None;
    }

    /// Whether an opening packet was sent more than `SILENCE_LIMIT` ago and the target has sent no
    /// packet since.
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
        (self.decayed_failure_rate(now) * 100.0) as u8
    }

    /// The failure rate at `now`, which has decayed since the last request.
    fn decayed_failure_rate(&self, now: Timestamp) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}
