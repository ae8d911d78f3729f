//! What an agent believes of the target beside it, from the target's own
//! heartbeats.

use std::time::Duration;

use crate::flow::key::NameKey;
use crate::flow::message::TargetState;
use crate::time::Timestamp;

/// Heartbeat intervals after which a silent target is taken for absent: one
/// heartbeat may be late by half an interval.
const LEASE_INTERVALS: f64 = 1.6;

/// Earlier incarnations whose late heartbeats are recognized.
const ENDED_LEN: usize = 8;

/// `Heartbeat` is what a target says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Name of the target.
    pub id: String,
    /// When the target says that it started, in Unix milliseconds.
    pub started_at: u64,
    /// Counts the heartbeats of one incarnation.
    pub number: u64,
    /// The service that it belongs to.
    pub service: NameKey,
    /// Whether it drains.
    pub draining: bool,
    /// Requests that it runs at a time.
    pub slots: u16,
    /// Time for which it is still slow after its start.
    pub slow_start: Duration,
}

/// `HeartbeatOutcome` says what became of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// It comes from a target that wasn't known: flows of an earlier one are
    /// gone.
    Started,
    /// It says something new of the known target.
    Changed,
    /// It says that all is as before.
    Same,
    /// It is older than what is known, and says nothing.
    Late,
}

/// `Target` is the belief.
#[derive(Debug)]
pub struct Target {
    interval: Duration,
    current: Option<Heartbeat>,
    heard: Timestamp,
    /// Incarnations that were replaced or have left.
    ended: Vec<(String, u64)>,
    incarnations: u64,
}

impl Target {
    /// Knows nothing of a target that says a word every `interval`.
    pub fn new(interval: Duration) -> Target {
        Target {
            interval,
            current: None,
            heard: Timestamp::ZERO,
            ended: Vec::new(),
            incarnations: 0,
        }
    }

    /// The last heartbeat that counted.
    pub fn current(&self) -> Option<&Heartbeat> {
        self.current.as_ref()
    }

    /// Time since the last heartbeat that counted.
    pub fn age(&self, now: Timestamp) -> Duration {
        now.since(self.heard)
    }

    /// Counts the incarnations that were seen.
    pub fn incarnations(&self) -> u64 {
        self.incarnations
    }

    /// Whether the target takes new flows.
    pub fn state(&self, now: Timestamp) -> TargetState {
        let Some(current) = &self.current else {
            return TargetState::Absent;
        };
        if self.age(now) > self.interval.mul_f64(LEASE_INTERVALS) {
            return TargetState::Absent;
        }
        if current.draining {
            return TargetState::Draining;
        }
        TargetState::Serving
    }

    /// Time for which the target is still slow.
    pub fn slow_start(&self, now: Timestamp) -> Duration {
        let left = self
            .current
            .as_ref()
            .map_or(Duration::ZERO, |it| it.slow_start);
        left.saturating_sub(self.age(now))
    }

    /// Takes a heartbeat.
    pub fn on_heartbeat(&mut self, now: Timestamp, heartbeat: Heartbeat) -> HeartbeatOutcome {
        let Some(current) = &self.current else {
            if self.has_ended(&heartbeat) {
                return HeartbeatOutcome::Late;
            }
            return self.start(now, heartbeat);
        };
        if current.id == heartbeat.id && current.started_at == heartbeat.started_at {
            if heartbeat.number <= current.number {
                return HeartbeatOutcome::Late;
            }
            let same = current.draining == heartbeat.draining
                && current.service == heartbeat.service
                && current.slots == heartbeat.slots
                && self.state(now) != TargetState::Absent;
            // A target that leaves doesn't come back in the same incarnation.
            let draining = current.draining || heartbeat.draining;
            self.heard = now;
            self.current = Some(Heartbeat {
                draining,
                ..heartbeat
            });
            return if same {
                HeartbeatOutcome::Same
            } else {
                HeartbeatOutcome::Changed
            };
        }
        // Clocks step, so an earlier start is believed of one that speaks
        // while the known target is silent.
        let earlier = heartbeat.started_at < current.started_at;
        if self.has_ended(&heartbeat) || (earlier && self.state(now) != TargetState::Absent) {
            return HeartbeatOutcome::Late;
        }
        self.start(now, heartbeat)
    }

    /// Takes a target's word that it ends. Says whether it is the known one.
    pub fn on_leave(&mut self, id: &str) -> bool {
        if self.current.as_ref().is_none_or(|current| current.id != id) {
            return false;
        }
        self.end();
        true
    }

    fn has_ended(&self, heartbeat: &Heartbeat) -> bool {
        self.ended
            .iter()
            .any(|(id, started_at)| *id == heartbeat.id && *started_at == heartbeat.started_at)
    }

    fn start(&mut self, now: Timestamp, heartbeat: Heartbeat) -> HeartbeatOutcome {
        self.end();
        self.heard = now;
        self.incarnations += 1;
        self.current = Some(heartbeat);
        HeartbeatOutcome::Started
    }

    fn end(&mut self) {
        let Some(current) = self.current.take() else {
            return;
        };
        if self.ended.len() >= ENDED_LEN {
            self.ended.remove(0);
        }
        self.ended.push((current.id, current.started_at));
    }
}
