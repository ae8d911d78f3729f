//! This module derives the state of the target beside an agent from the target's
//! heartbeats.
//!
//! An incarnation is one run of a target. The target's name and its start time
//! identify it.

use std::time::Duration;

use crate::flow::key::NameKey;
use crate::flow::message::TargetState;
use crate::time::Timestamp;

/// Time without a heartbeat after which a target is considered absent, in heartbeat
/// intervals. One heartbeat may be late by half an interval.
const ABSENT_INTERVALS: f64 = 1.6;

/// Time for which heartbeats must arrive after the doubtful announcement of a stop until it counts
/// as that of an earlier incarnation, in heartbeat intervals. The last heartbeat before a true one
/// may be late by half an interval.
const REVIVAL_INTERVALS: f64 = 0.6;

/// Maximum number of earlier incarnations whose late heartbeats are recognized.
const MAX_ENDED: usize = 8;

/// Maximum time from the first heartbeat of an incarnation for which the target counts as in slow
/// start, whatever its heartbeats state.
const MAX_SLOW_START: Duration = Duration::from_secs(60);

/// `Heartbeat` is a target's periodic report about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Name of the target.
    pub id: String,
    /// Start time by the target's own clock, in Unix milliseconds.
    pub started_at: u64,
    /// Sequence number of the heartbeat within one incarnation.
    pub number: u64,
    /// Service that the target belongs to.
    pub service: NameKey,
    /// Whether the target is draining.
    pub draining: bool,
    /// Maximum number of requests that the target runs at a time.
    pub slots: u16,
    /// Remaining time of the slow start after the target's start; zero once it is
    /// over.
    pub slow_start: Duration,
}

/// `HeartbeatOutcome` tells how a heartbeat changed the known state. Log lines
/// contain the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The heartbeat is from a new incarnation. Flows of an earlier incarnation no
    /// longer exist.
    Started,
    /// The state of the known target changed.
    Changed,
    /// The state of the known target is unchanged.
    Same,
    /// The heartbeat was ignored: it is older than the known state, or from an
    /// incarnation that has ended.
    Late,
}

/// `Target` tracks the current incarnation of a target.
#[derive(Debug)]
pub struct Target {
    interval: Duration,
    current: Option<Heartbeat>,
    last_heartbeat: Timestamp,
    /// When the first heartbeat of the current incarnation arrived.
    started: Timestamp,
    /// Name and start time of incarnations that were replaced or that announced
    /// their stop, in the order in which they ended.
    ended: Vec<(String, u64)>,
    /// Whether the current incarnation replaced one of the same name that hadn't announced its
    /// stop. A late announcement would name the current one too.
    unannounced_end: bool,
    /// The incarnation whose stop was announced under a name that fits an earlier one too.
    doubtful: Option<DoubtfulEnd>,
    incarnations: u64,
    /// Start time of the target that an earlier process of the agent knew, in Unix milliseconds.
    /// Heartbeats of earlier incarnations may still arrive.
    expected: Option<u64>,
    /// The incarnation that seems to precede the expected one, and when its first heartbeat arrived.
    early: Option<EarlyStart>,
}

/// An incarnation whose start time is before that of the expected one.
#[derive(Debug)]
struct EarlyStart {
    id: String,
    started_at: u64,
    heard: Timestamp,
}

/// An incarnation that ended by an announcement which may be that of an earlier one.
#[derive(Debug)]
struct DoubtfulEnd {
    last: Heartbeat,
    /// When the first heartbeat after the announcement arrived.
    heard: Option<Timestamp>,
}

impl Target {
    /// Creates the state for a target that sends a heartbeat every `interval`. The
    /// target is absent until its first heartbeat.
    pub fn new(interval: Duration) -> Target {
        Target {
            interval,
            current: None,
            last_heartbeat: Timestamp::ZERO,
            started: Timestamp::ZERO,
            ended: Vec::new(),
            unannounced_end: false,
            doubtful: None,
            incarnations: 0,
            expected: None,
            early: None,
        }
    }

    /// Notes that an earlier process of the agent knew a target with this start time, in Unix
    /// milliseconds. If the only heartbeats so far are those of an earlier incarnation, they were late.
    pub fn expect(&mut self, started_at: u64) {
        self.expected = self.expected.max(Some(started_at));
        let is_late = |it: &Heartbeat| it.started_at < started_at;
        if self.incarnations == 1 && self.current.as_ref().is_some_and(is_late) {
            self.end();
            self.incarnations = 0;
        }
    }

    /// The last heartbeat of the current incarnation that wasn't late. `None` before
    /// the first heartbeat, and after the target has announced that it is stopping.
    pub fn current(&self) -> Option<&Heartbeat> {
        self.current.as_ref()
    }

    /// Time since the last heartbeat that wasn't late.
    pub fn age(&self, now: Timestamp) -> Duration {
        now.since(self.last_heartbeat)
    }

    /// Number of incarnations seen so far.
    pub fn incarnations(&self) -> u64 {
        self.incarnations
    }

    /// Whether the target accepts new flows. The target is absent if there is no
    /// current incarnation or its last heartbeat is too old.
    pub fn state(&self, now: Timestamp) -> TargetState {
        let Some(current) = &self.current else {
            return TargetState::Absent;
        };
        if self.age(now) > self.interval.mul_f64(ABSENT_INTERVALS) {
            return TargetState::Absent;
        }
        if current.draining {
            return TargetState::Draining;
        }
        TargetState::Serving
    }

    /// Remaining time of the target's slow start, at most `MAX_SLOW_START` from the first
    /// heartbeat on; zero if the slow start is over or there is no current incarnation.
    pub fn slow_start(&self, now: Timestamp) -> Duration {
        let remaining = self
            .current
            .as_ref()
            .map_or(Duration::ZERO, |it| it.slow_start);
        let left = MAX_SLOW_START.saturating_sub(now.since(self.started));
        remaining.saturating_sub(self.age(now)).min(left)
    }

    /// Processes a heartbeat, and returns how it changed the state.
    pub fn on_heartbeat(&mut self, now: Timestamp, heartbeat: Heartbeat) -> HeartbeatOutcome {
        let Some(current) = &self.current else {
            if self.precedes_expected(now, &heartbeat) {
                return HeartbeatOutcome::Late;
            }
            if self.has_ended(&heartbeat) {
                return self.review_end(now, heartbeat);
            }
            return self.start(now, heartbeat);
        };
        if current.id == heartbeat.id && current.started_at == heartbeat.started_at {
            if heartbeat.number <= current.number {
                return HeartbeatOutcome::Late;
            }
            let unchanged = current.draining == heartbeat.draining
                && current.service == heartbeat.service
                && current.slots == heartbeat.slots
                && self.state(now) != TargetState::Absent;
            // A draining target doesn't accept new flows again in the same
            // incarnation.
            let draining = current.draining || heartbeat.draining;
            self.last_heartbeat = now;
            self.current = Some(Heartbeat {
                draining,
                ..heartbeat
            });
            return if unchanged {
                HeartbeatOutcome::Same
            } else {
                HeartbeatOutcome::Changed
            };
        }
        // Clocks may step back, so a heartbeat with an earlier start time is
        // accepted once the known target is absent.
        let earlier = heartbeat.started_at < current.started_at;
        if self.has_ended(&heartbeat) || (earlier && self.state(now) != TargetState::Absent) {
            return HeartbeatOutcome::Late;
        }
        self.start(now, heartbeat)
    }

    /// Processes a message in which the target named `id` announces that it is
    /// stopping. If it is the current target, its incarnation ends. Returns whether
    /// it is.
    pub fn on_leave(&mut self, id: &str) -> bool {
        if self.current.as_ref().is_none_or(|current| current.id != id) {
            return false;
        }
        let last = self.current.clone().filter(|_| self.unannounced_end);
        self.doubtful = last.map(|last| DoubtfulEnd { last, heard: None });
        self.end();
        true
    }

    /// Whether the first heartbeats of this process are late ones, of an incarnation before the
    /// expected one. Clocks may step back, so an incarnation counts all the same if its heartbeats keep
    /// arriving for as long as a target may be silent.
    fn precedes_expected(&mut self, now: Timestamp, heartbeat: &Heartbeat) -> bool {
        let started_at = heartbeat.started_at;
        if self.incarnations > 0 || self.expected <= Some(started_at) {
            return false;
        }
        let known = self.early.take();
        let known = known.filter(|it| it.id == heartbeat.id && it.started_at == started_at);
        let early = known.unwrap_or_else(|| EarlyStart {
            id: heartbeat.id.clone(),
            started_at,
            heard: now,
        });
        if now.since(early.heard) >= self.interval.mul_f64(ABSENT_INTERVALS) {
            self.ended
                .retain(|(id, at)| *id != heartbeat.id || *at != started_at);
            return false;
        }
        self.early = Some(early);
        true
    }

    /// Processes a heartbeat of an ended incarnation while there is no current one. If the
    /// announcement of its stop may be that of an earlier incarnation, and heartbeats keep arriving,
    /// the incarnation is the current one again.
    fn review_end(&mut self, now: Timestamp, heartbeat: Heartbeat) -> HeartbeatOutcome {
        let Some(doubtful) = &mut self.doubtful else {
            return HeartbeatOutcome::Late;
        };
        let last = &doubtful.last;
        let is_same = last.id == heartbeat.id && last.started_at == heartbeat.started_at;
        if !is_same || heartbeat.number <= last.number {
            return HeartbeatOutcome::Late;
        }
        // One heartbeat may have been sent before the announcement.
        let heard = *doubtful.heard.get_or_insert(now);
        if now.since(heard) < self.interval.mul_f64(REVIVAL_INTERVALS) {
            return HeartbeatOutcome::Late;
        }
        let draining = last.draining || heartbeat.draining;
        self.doubtful = None;
        self.unannounced_end = false;
        self.last_heartbeat = now;
        self.ended
            .retain(|(id, at)| *id != heartbeat.id || *at != heartbeat.started_at);
        self.current = Some(Heartbeat {
            draining,
            ..heartbeat
        });
        HeartbeatOutcome::Changed
    }

    /// Whether the heartbeat is from one of the remembered ended incarnations.
    fn has_ended(&self, heartbeat: &Heartbeat) -> bool {
        self.ended
            .iter()
            .any(|(id, started_at)| *id == heartbeat.id && *started_at == heartbeat.started_at)
    }

    /// Replaces the current incarnation by the one that sent the heartbeat.
    fn start(&mut self, now: Timestamp, heartbeat: Heartbeat) -> HeartbeatOutcome {
        let replaced = self.current.as_ref().map(|it| it.id.clone());
        self.unannounced_end = replaced.as_ref() == Some(&heartbeat.id);
        self.doubtful = None;
        self.end();
        self.last_heartbeat = now;
        self.started = now;
        self.incarnations += 1;
        self.current = Some(heartbeat);
        HeartbeatOutcome::Started
    }

    /// Ends the current incarnation, if there is one.
    fn end(&mut self) {
        let Some(current) = self.current.take() else {
            return;
        };
        if self.ended.len() >= MAX_ENDED {
            self.ended.remove(0);
        }
        self.ended.push((current.id, current.started_at));
    }
}
