//! Measures how much of a target's capacity is in use, to decide whether it accepts a flow of
//! another service.
//!
//! An accepted flow may send requests for a long time, so a slot that is free at the moment isn't
//! enough: the target must have had free slots for a while.

use std::time::Duration;

use crate::time::Timestamp;

/// Time constant of the moving mean: long against a request (some 30 ms), and short enough that the
/// requests of accepted flows show before many more are accepted.
const TIME_CONSTANT: Duration = Duration::from_millis(500);

/// Maximum mean fraction of busy slots at which flows of other services are accepted. With two
/// slots, requests of the own service find both of them taken half of the time at this value, and
/// then wait for a part of one request.
const MAX_OCCUPANCY: f64 = 0.7;

/// `Occupancy` is the moving mean of the fraction of a target's slots that run a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Occupancy {
    mean: f64,
    /// Fraction of busy slots since `updated`.
    current: f64,
    updated: Timestamp,
}

impl Occupancy {
    /// Records the number of requests at the target from `now` on.
    pub fn record(&mut self, now: Timestamp, running: usize, slots: u16) {
        self.mean = self.mean(now);
        self.updated = now;
        let slots = f64::from(slots.max(1));
        self.current = (running as f64 / slots).min(1.0);
    }

    /// The moving mean at `now`, 0 to 1.
    pub fn mean(&self, now: Timestamp) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        let weight = (-age / TIME_CONSTANT.as_secs_f64()).exp();
        self.current + (self.mean - self.current) * weight
    }

    /// Whether the target has capacity that the requests of its own service don't use.
    pub fn has_spare(&self, now: Timestamp) -> bool {
        self.mean(now) <= MAX_OCCUPANCY
    }
}
