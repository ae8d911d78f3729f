//! Estimates of service times from completed requests.

use std::time::Duration;

use crate::request::Class;

/// Divisor of the weight of a new sample: a sample has a weight of 1/16.
const WEIGHT_DIVISOR: u64 = 16;

/// Exponential moving average of the service time of each class that holds a
/// slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    short: Duration,
    bulk: Duration,
}

impl Estimate {
    /// Creates the averages with an initial value for each class.
    pub(crate) fn new(short: Duration, bulk: Duration) -> Estimate {
        Estimate { short, bulk }
    }

    /// Expected service time of a request of `class`; zero for feeds, which hold
    /// no slot.
    pub(crate) fn service_time(&self, class: Class) -> Duration {
        match class {
            Class::Feed => Duration::ZERO,
            Class::Short => self.short,
            Class::Bulk => self.bulk,
        }
    }

    /// Adds the service time of an answered request. Has no effect for feeds.
    pub(crate) fn add_sample(&mut self, class: Class, service_time: Duration) {
        match class {
            Class::Feed => {}
            Class::Short => self.short = smooth(self.short, service_time),
            Class::Bulk => self.bulk = smooth(self.bulk, service_time),
        }
    }
}

fn smooth(old: Duration, sample: Duration) -> Duration {
    let old = u64::try_from(old.as_micros()).unwrap_or(u64::MAX / WEIGHT_DIVISOR);
    let sample = u64::try_from(sample.as_micros()).unwrap_or(u64::MAX / WEIGHT_DIVISOR);
    let sum = old
        .saturating_mul(WEIGHT_DIVISOR - 1)
        .saturating_add(sample);
    Duration::from_micros(sum / WEIGHT_DIVISOR)
}
