//! This module defines how much load a target handles well.
//!
//! The agent beside a target estimates the target's service time by work class, and the number of
//! requests beyond which more concurrency lowers throughput ([`estimator`]). Its load
//! reports carry both as [`Capacity`]. An entry compares the candidates of a new flow with the
//! mean of those that it knows ([`compare`]), and sends this mean along with the opening packet, so
//! that the agents that receive the packet compare themselves with the same reference.
//!
//! Spare capacity has one definition, which selection, redirection and admission use:
//! [`load_per_slot`], [`spare_slots`], [`expected_wait`] and [`cost`].

pub mod estimator;
pub mod observer;

use std::time::Duration;

use crate::flow::message::Load;
use crate::flow::routes::WorkClass;
use crate::flow::selection::Candidate;

/// Number of work classes with an estimate. Uploads have none: they bypass the slot queue and spend
/// most of their time in transit.
pub const CLASSES: usize = 3;

/// Default of [`CapacityPolicy::floor`], in per cent.
pub const DEFAULT_FLOOR: u8 = 25;

/// Difference of the logarithms of two service times that counts as none. The estimate of a target
/// has a standard deviation of 0.12 with log-normal service times of spread 0.5 and 3% of requests
/// that take 7 times as long, so a difference within 2.5 standard deviations may be noise.
const DEAD_BAND: f64 = 0.3;

/// Number of units of a [`LogTime`] in 1 of the natural logarithm.
const UNITS: f64 = 1_000.0;

/// Confidence in an estimate that has as many observations as it can use.
pub const FULL_TRUST: u8 = 100;

/// `CapacityPolicy` sets whether and how far estimates affect decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityPolicy {
    /// Whether targets are compared by their estimates. Otherwise, only the stated slots count.
    pub adaptive: bool,
    /// Minimum capacity per slot assumed of a target, in per cent of the mean of the candidates, 1 to
    /// 100. Its inverse bounds the capacity of a fast target.
    pub floor: u8,
}

impl CapacityPolicy {
    /// The policy that ignores estimates.
    pub const FIXED: CapacityPolicy = CapacityPolicy {
        adaptive: false,
        floor: 100,
    };

    /// Maximum service time assumed of a target, relative to the mean of the candidates.
    pub fn max_slowness(self) -> f64 {
        100.0 / f64::from(self.floor.clamp(1, 100))
    }
}

impl Default for CapacityPolicy {
    fn default() -> CapacityPolicy {
        CapacityPolicy {
            adaptive: true,
            floor: DEFAULT_FLOOR,
        }
    }
}

/// `LogTime` is the natural logarithm of a service time in microseconds, in thousandths. 0 means
/// that the time isn't known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogTime(pub u16);

impl LogTime {
    /// The value for an unknown time.
    pub const UNKNOWN: LogTime = LogTime(0);

    /// Whether the time is known.
    pub fn is_known(self) -> bool {
        self != LogTime::UNKNOWN
    }

    /// The time itself, or `None` if it isn't known.
    pub fn duration(self) -> Option<Duration> {
        let micros = (f64::from(self.0) / UNITS).exp();
        self.is_known()
            .then(|| Duration::from_secs_f64(micros / 1_000_000.0))
    }
}

impl From<f64> for LogTime {
    /// Converts the natural logarithm of a number of microseconds.
    fn from(log_micros: f64) -> LogTime {
        // The cast saturates. The longest time that fits is longer than a year.
        LogTime((log_micros * UNITS).round().max(1.0) as u16)
    }
}

/// `ServiceTime` is the estimated service time of one work class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceTime {
    /// Typical time for which a request uses a slot: the geometric mean, without outliers.
    pub time: LogTime,
    /// Confidence in `time`, 0 to [`FULL_TRUST`]. It falls while no request ends.
    pub trust: u8,
}

/// `Capacity` is what an agent's load reports say about the capacity of its target. The default
/// value is neutral: no service time is known, and all slots are used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Number of requests that the target runs without loss of throughput. 0 stands for all slots.
    pub limit: u16,
    /// Service times by [`class_index`].
    pub times: [ServiceTime; CLASSES],
}

impl Capacity {
    /// The estimated service time of a work class.
    pub fn time(&self, class: WorkClass) -> ServiceTime {
        class_index(class).map_or(ServiceTime::default(), |index| self.times[index])
    }
}

/// Index of a work class in [`Capacity::times`]. `None` for a class without an estimate.
pub fn class_index(class: WorkClass) -> Option<usize> {
    match class {
        WorkClass::Safe => Some(0),
        WorkClass::Unsafe => Some(1),
        WorkClass::Download => Some(2),
        WorkClass::Upload => None,
    }
}

/// Smallest concurrency limit of a target with this number of slots: half of them, rounded up, and
/// at least 1.
pub fn min_limit(slots: u16) -> u16 {
    slots.div_ceil(2).max(1)
}

/// Number of requests that a target runs well: its concurrency limit, bounded by its slots and by
/// half of them. At least 1.
pub fn usable_slots(load: &Load) -> u16 {
    let slots = load.slots.max(1);
    match load.capacity.limit {
        0 => slots,
        limit => limit.clamp(min_limit(slots), slots),
    }
}

/// Number of requests at a target: running ones, queued ones, and expected ones of flows that were
/// just accepted. `sent` is the number of new flows that were sent to it since `load` was reported.
pub fn requests(load: &Load, sent: u32) -> u32 {
    let known = [load.running, load.waiting, load.opening];
    known.into_iter().map(u32::from).sum::<u32>() + sent
}

/// Number of requests per usable slot, where `idle_flows` is the load of the open flows in running
/// requests.
pub fn load_per_slot(load: &Load, sent: u32, idle_flows: f64) -> f64 {
    (f64::from(requests(load, sent)) + idle_flows) / f64::from(usable_slots(load))
}

/// Number of further requests that a target can run at once. If negative, the number of requests
/// that wait. With a request waiting for each slot, it is at most `-usable_slots(load)`.
pub fn spare_slots(load: &Load, sent: u32) -> i64 {
    i64::from(usable_slots(load)) - i64::from(requests(load, sent))
}

/// Expected time that a new request of `class` waits at a target before it runs, as of its last
/// report: the requests that have to end first, each of the class's typical service time. Zero if
/// a slot is free. `None` if requests wait and the service time isn't known.
pub fn expected_wait(load: &Load, sent: u32, class: WorkClass) -> Option<Duration> {
    let spare = spare_slots(load, sent);
    if spare > 0 {
        return Some(Duration::ZERO);
    }
    let time = load.capacity.time(class).time.duration()?;
    let ahead = spare.unsigned_abs() as f64 + 1.0;
    Some(time.mul_f64(ahead / f64::from(usable_slots(load))))
}

/// Cost of sending a new request to a target: its expected completion time in units of the mean
/// service time of the candidates, less the 1 that an idle target of mean speed has. At the
/// neutral `slowness` of 1, this is the load per slot.
pub fn cost(load_per_slot: f64, slowness: f64) -> f64 {
    if slowness == 1.0 {
        return load_per_slot;
    }
    (1.0 + load_per_slot) * slowness - 1.0
}

/// Service time of a target relative to `reference`, which [`compare`] returned: 1 if they differ by
/// no more than noise, if either is unknown, or if the policy ignores estimates.
pub fn slowness(time: ServiceTime, reference: LogTime, policy: CapacityPolicy) -> f64 {
    if !policy.adaptive || !reference.is_known() || !time.time.is_known() {
        return 1.0;
    }
    let difference = (f64::from(time.time.0) - f64::from(reference.0)) / UNITS;
    let trust = f64::from(time.trust.min(FULL_TRUST)) / f64::from(FULL_TRUST);
    let size = beyond_noise(difference.abs() * trust);
    if size == 0.0 {
        return 1.0;
    }
    let limit = policy.max_slowness();
    // The bounds are applied after the exponential, which saves a logarithm for each candidate.
    let slowness = size.copysign(difference).exp();
    slowness.clamp(limit.recip(), limit)
}

/// The part of a difference that counts: none within the dead band, all of it from twice the band
/// on, and in between a share that rises steadily, so that a small change of the estimate never
/// changes a decision by much.
fn beyond_noise(difference: f64) -> f64 {
    if difference <= DEAD_BAND {
        return 0.0;
    }
    difference.min(2.0 * (difference - DEAD_BAND))
}

/// Sets the slowness of each candidate relative to the mean of the candidates whose service time
/// for `class` is known, and returns this mean, the reference. It is unknown if fewer than two are
/// known or if the policy ignores estimates. A policy without estimates also ignores concurrency
/// limits.
pub fn compare(candidates: &mut [Candidate], class: WorkClass, policy: CapacityPolicy) -> LogTime {
    if !policy.adaptive {
        for candidate in candidates {
            candidate.load.capacity = Capacity::default();
        }
        return LogTime::UNKNOWN;
    }
    let reference = mean_time(candidates, class);
    for candidate in candidates {
        let time = candidate.load.capacity.time(class);
        candidate.slowness = slowness(time, reference, policy);
    }
    reference
}

/// Mean of the logarithms of the known service times, each weighted by its trust.
fn mean_time(candidates: &[Candidate], class: WorkClass) -> LogTime {
    let (mut count, mut weights, mut sum) = (0, 0_u32, 0_u32);
    for candidate in candidates {
        let known = candidate.load.capacity.time(class);
        if known.time.is_known() && known.trust > 0 {
            let weight = u32::from(known.trust.min(FULL_TRUST));
            count += 1;
            weights += weight;
            sum += weight * u32::from(known.time.0);
        }
    }
    if count < 2 {
        return LogTime::UNKNOWN;
    }
    LogTime(u16::try_from(sum / weights).unwrap_or(u16::MAX))
}
