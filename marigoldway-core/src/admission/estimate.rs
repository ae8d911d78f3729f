//! Service times, learned from completions.

use std::time::Duration;

use crate::request::Class;

/// Weight of a new sample is one part in this many.
const SMOOTHING: u64 = 16;

/// `Estimate` keeps a moving average of the service time of each class that
/// holds a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    short: Duration,
    bulk: Duration,
}

impl Estimate {
    /// Starts from a guess for each class.
    pub(crate) fn new(short: Duration, bulk: Duration) -> Estimate {
        Estimate { short, bulk }
    }

    /// Expected service time of a request of `class`.
    pub(crate) fn service(&self, class: Class) -> Duration {
        match class {
            Class::Feed => Duration::ZERO,
            Class::Short => self.short,
            Class::Bulk => self.bulk,
        }
    }

    /// Takes in the service time of a request that was answered.
    pub(crate) fn learn(&mut self, class: Class, service: Duration) {
        match class {
            Class::Feed => {}
            Class::Short => self.short = smooth(self.short, service),
            Class::Bulk => self.bulk = smooth(self.bulk, service),
        }
    }
}

fn smooth(old: Duration, sample: Duration) -> Duration {
    let old = u64::try_from(old.as_micros()).unwrap_or(u64::MAX / SMOOTHING);
    let sample = u64::try_from(sample.as_micros()).unwrap_or(u64::MAX / SMOOTHING);
    let sum = old.saturating_mul(SMOOTHING - 1).saturating_add(sample);
    Duration::from_micros(sum / SMOOTHING)
}
