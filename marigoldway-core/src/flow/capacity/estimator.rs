//! Estimates the capacity of a target from the service times of its requests.
//!
//! The estimate of a class is a moving mean of the logarithms of service times. The influence of one
//! request is bounded, since a few per cent of the requests take many times as long as the others.
//! Confidence in the estimate falls while no request ends, so a target that gets no requests
//! because it was slow is tried again.
//!
//! Concurrency is reduced if the target completes clearly fewer requests per second with more than
//! half of its slots in use than with half of them.

use std::time::Duration;

use crate::flow::capacity::CLASSES;
use crate::flow::capacity::Capacity;
use crate::flow::capacity::FULL_TRUST;
use crate::flow::capacity::LogTime;
use crate::flow::capacity::ServiceTime;
use crate::flow::capacity::class_index;
use crate::flow::capacity::min_limit;
use crate::flow::routes::WorkClass;
use crate::time::Timestamp;

/// Maximum number of requests of which an estimate is the mean. At 10 requests per second, an
/// estimate follows a change within about a second.
const MAX_EVIDENCE: f64 = 12.0;

/// Number of requests from which on an estimate is fully trusted.
const TRUSTED_EVIDENCE: f64 = 8.0;

/// Time in which the evidence for a service time halves while no request ends.
const EVIDENCE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Maximum influence of one request, as the difference of its logarithm from the mean: two standard
/// deviations of a log-normal distribution of spread 0.5.
const MAX_RESIDUAL: f64 = 1.0;

/// Maximum number of requests of which a throughput is the mean.
const MAX_THROUGHPUT_EVIDENCE: f64 = 40.0;

/// Time in which the evidence for a throughput halves while no request ends.
const THROUGHPUT_HALF_LIFE: Duration = Duration::from_secs(2);

/// Minimum evidence for both throughputs that are compared.
const MIN_THROUGHPUT_EVIDENCE: f64 = 8.0;

/// Loss of throughput, in logarithms, from which on concurrency is reduced, apart from the error of
/// the comparison. A target whose service times don't depend on concurrency loses nothing.
const THROUGHPUT_LOSS: f64 = 0.05;

/// Standard deviation assumed of the logarithm of a service time, outliers included.
const DEVIATION: f64 = 0.6;

/// Number of standard errors by which a loss has to exceed `THROUGHPUT_LOSS`. With fewer, a target
/// that loses none is limited too often by chance.
const CERTAINTY: f64 = 1.5;

/// Time after the last observed loss of throughput for which concurrency stays reduced.
const REDUCED_PERIOD: Duration = Duration::from_secs(4);

/// Interval between two changes of the concurrency limit, by 1 each.
const LIMIT_INTERVAL: Duration = Duration::from_millis(500);

/// `Observation` is the service time of one request, or a lower bound of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// Class of the request.
    pub class: WorkClass,
    /// Time for which the request used a slot.
    pub time: Duration,
    /// Number of requests that used a slot, on average over the request's time.
    pub concurrency: u16,
    /// Whether the request hasn't ended, so that its service time is at least `time`.
    pub censored: bool,
}

/// `CapacityEstimator` holds the estimates of one incarnation of a target.
#[derive(Debug, Default)]
pub struct CapacityEstimator {
    classes: [Estimate; CLASSES],
    /// Service time relative to the class, with half of the slots in use.
    half_used: Estimate,
    /// The same with more slots in use, less the gain of throughput that these would bring.
    more_used: Estimate,
    /// Number of slots by which the limit is below the slots.
    reduction: u16,
    /// When `reduction` last changed.
    changed_at: Timestamp,
    /// Until when concurrency stays reduced.
    reduced_until: Timestamp,
}

impl CapacityEstimator {
    /// Adds a service time. Has no effect for a class without an estimate.
    pub fn record(&mut self, now: Timestamp, slots: u16, observed: &Observation) {
        let Some(index) = class_index(observed.class) else {
            return;
        };
        let log_time = log_micros(observed.time);
        let estimate = &mut self.classes[index];
        let is_known = estimate.evidence_at(now, EVIDENCE_HALF_LIFE) >= 1.0;
        if observed.censored && (!is_known || log_time <= estimate.mean) {
            return;
        }
        let residual = log_time - estimate.mean;
        estimate.record(now, log_time, EVIDENCE_HALF_LIFE, MAX_EVIDENCE);
        if is_known && !observed.censored {
            self.record_throughput(now, slots, observed.concurrency, residual);
        }
    }

    /// Adds the time of a request, relative to its class, to the throughput that the target reaches
    /// at this concurrency.
    fn record_throughput(&mut self, now: Timestamp, slots: u16, concurrency: u16, residual: f64) {
        let half = min_limit(slots);
        if concurrency == half {
            self.half_used.record_throughput(now, residual);
        } else if concurrency > half {
            let gain = (f64::from(concurrency.min(slots)) / f64::from(half)).ln();
            let loss = residual - gain;
            self.more_used.record_throughput(now, loss);
        }
        if self.loses_throughput(now) {
            self.reduced_until = now + REDUCED_PERIOD;
        }
    }

    /// Whether the target completes fewer requests with more than half of its slots in use.
    fn loses_throughput(&self, now: Timestamp) -> bool {
        let evidence = |it: &Estimate| it.evidence_at(now, THROUGHPUT_HALF_LIFE);
        let (half, more) = (evidence(&self.half_used), evidence(&self.more_used));
        if half.min(more) < MIN_THROUGHPUT_EVIDENCE {
            return false;
        }
        let error = DEVIATION * (half.recip() + more.recip()).sqrt();
        let loss = self.more_used.mean - self.half_used.mean;
        loss >= THROUGHPUT_LOSS + CERTAINTY * error
    }

    /// Moves the concurrency limit by at most 1: down while concurrency is to be reduced, and up
    /// otherwise.
    pub fn update_limit(&mut self, now: Timestamp, slots: u16) {
        let max = slots.max(1) - min_limit(slots);
        self.reduction = self.reduction.min(max);
        if now.since(self.changed_at) < LIMIT_INTERVAL {
            return;
        }
        let next = if now < self.reduced_until {
            (self.reduction + 1).min(max)
        } else {
            self.reduction.saturating_sub(1)
        };
        if next != self.reduction {
            self.reduction = next;
            self.changed_at = now;
        }
    }

    /// Number of requests that the target runs well: `slots` or fewer, but no fewer than half.
    pub fn limit(&self, slots: u16) -> u16 {
        let slots = slots.max(1);
        slots.saturating_sub(self.reduction).max(min_limit(slots))
    }

    /// The estimate as load reports carry it.
    pub fn capacity(&self, now: Timestamp, slots: u16) -> Capacity {
        let limit = self.limit(slots);
        Capacity {
            limit: if limit < slots { limit } else { 0 },
            times: self.classes.map(|it| it.service_time(now)),
        }
    }

    /// Number of requests on which the estimate of a class rests, and the time since the last one.
    /// `None` if there was none.
    pub fn inputs(&self, now: Timestamp, class: WorkClass) -> Option<(f64, Duration)> {
        let estimate = &self.classes[class_index(class)?];
        let evidence = estimate.evidence_at(now, EVIDENCE_HALF_LIFE);
        (estimate.evidence > 0.0).then(|| (evidence, now.since(estimate.updated)))
    }
}

/// A moving mean of logarithms.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    mean: f64,
    /// Number of observations of which `mean` is the mean, as of `updated`.
    evidence: f64,
    updated: Timestamp,
}

impl Estimate {
    fn record_throughput(&mut self, now: Timestamp, value: f64) {
        self.record(now, value, THROUGHPUT_HALF_LIFE, MAX_THROUGHPUT_EVIDENCE);
    }

    fn record(&mut self, now: Timestamp, value: f64, half_life: Duration, max_evidence: f64) {
        let known = self.evidence_at(now, half_life);
        self.evidence = (known + 1.0).min(max_evidence);
        self.updated = now;
        let mut residual = value - self.mean;
        if known >= 1.0 {
            residual = residual.clamp(-MAX_RESIDUAL, MAX_RESIDUAL);
        }
        self.mean += residual / self.evidence;
    }

    /// The evidence at `now`, which has decayed since the last observation.
    fn evidence_at(&self, now: Timestamp, half_life: Duration) -> f64 {
        if self.evidence == 0.0 {
            return 0.0;
        }
        let age = now.since(self.updated).as_secs_f64();
        self.evidence * 0.5_f64.powf(age / half_life.as_secs_f64())
    }

    fn service_time(&self, now: Timestamp) -> ServiceTime {
        let evidence = self.evidence_at(now, EVIDENCE_HALF_LIFE);
        let trust = (evidence / TRUSTED_EVIDENCE).min(1.0) * f64::from(FULL_TRUST);
        // The cast truncates, so that an estimate of no weight is neutral.
        let trust = trust as u8;
        if trust == 0 {
            return ServiceTime::default();
        }
        ServiceTime {
            time: LogTime::from(self.mean),
            trust,
        }
    }
}

/// Natural logarithm of a time in microseconds; 0 for less than a microsecond.
fn log_micros(time: Duration) -> f64 {
    (time.as_secs_f64() * 1_000_000.0).max(1.0).ln()
}
