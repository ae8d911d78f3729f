//! Log lines and metrics of the capacity estimate of the target.

use std::time::Duration;

use marigoldway_core::flow::capacity::Capacity;
use marigoldway_core::flow::routes::WorkClass;
use marigoldway_core::time::Timestamp;

use crate::packets::agent::Agent;

/// Interval between two log lines on the estimate of a work class.
pub(super) const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Work classes with an estimate, and their names in logs and metrics.
const CLASSES: [(WorkClass, &str); 3] = [
    (WorkClass::Safe, "safe"),
    (WorkClass::Unsafe, "unsafe"),
    (WorkClass::Download, "download"),
];

/// `CapacityLog` is what the log last said about the estimate.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CapacityLog {
    /// When the estimates were last logged.
    logged_at: Timestamp,
    /// Concurrency limit that was last logged; 0 for all slots.
    limit: u16,
}

impl Agent {
    /// Publishes the estimate as metrics. Logs each change of the concurrency limit, and the
    /// estimates of the classes that have had requests, once per [`LOG_INTERVAL`].
    pub(super) fn publish_capacity(&self, now: Timestamp, log: &mut CapacityLog) {
        let load = self.flows.borrow().load(now);
        let capacity = load.capacity;
        self.update_gauges(now, &capacity, load.slots);
        if capacity.limit != log.limit {
            log.limit = capacity.limit;
            let event = "capacity-limit";
            self.node.count(event);
            let limit = effective_limit(&capacity, load.slots);
            log::info!("event={event} limit={limit} slots={}", load.slots);
        }
        if now.since(log.logged_at) < LOG_INTERVAL {
            return;
        }
        log.logged_at = now;
        for (class, name) in CLASSES {
            self.log_estimate(now, &capacity, load.slots, class, name);
        }
    }

    fn log_estimate(
        &self,
        now: Timestamp,
        capacity: &Capacity,
        slots: u16,
        class: WorkClass,
        name: &str,
    ) {
        let flows = self.flows.borrow();
        let estimator = flows.service_observer().estimator();
        let Some((samples, age)) = estimator.inputs(now, class) else {
            return;
        };
        let estimate = capacity.time(class);
        let micros = estimate.time.duration().unwrap_or_default().as_micros();
        log::info!(
            "event=capacity class={name} service-us={micros} trust={} samples={samples:.1} \
             age-ms={} limit={} slots={slots}",
            estimate.trust,
            age.as_millis(),
            effective_limit(capacity, slots),
        );
    }

    fn update_gauges(&self, now: Timestamp, capacity: &Capacity, slots: u16) {
        let gauges = &self.node.histograms.capacity;
        gauges
            .limit
            .set(f64::from(effective_limit(capacity, slots)));
        let flows = self.flows.borrow();
        let estimator = flows.service_observer().estimator();
        for (class, name) in CLASSES {
            let Some((_, age)) = estimator.inputs(now, class) else {
                continue;
            };
            let estimate = capacity.time(class);
            let time = estimate.time.duration().unwrap_or_default();
            let set = |gauge: &prometheus::GaugeVec, value| {
                gauge.with_label_values(&[name]).set(value);
            };
            set(&gauges.service, time.as_secs_f64());
            set(&gauges.trust, f64::from(estimate.trust) / 100.0);
            set(&gauges.age, age.as_secs_f64());
        }
    }
}

/// Concurrency limit that the estimate stands for.
fn effective_limit(capacity: &Capacity, slots: u16) -> u16 {
    if capacity.limit == 0 {
        return slots;
    }
    capacity.limit
}
