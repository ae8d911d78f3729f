//! Observes for how long each admitted request uses a slot of the target.
//!
//! The agent admits a few more requests than the target has slots. A target runs requests in order
//! of arrival, so a request that was admitted while all slots were in use starts when an earlier one
//! ends. Its service time counts from then on and excludes the queueing at the target.

use std::time::Duration;

use indexmap::IndexMap;

use crate::flow::capacity::Capacity;
use crate::flow::capacity::estimator::CapacityEstimator;
use crate::flow::capacity::estimator::Observation;
use crate::flow::key::FlowKey;
use crate::flow::routes::WorkClass;
use crate::time::Timestamp;

/// Time without any event after which this process counts as paused. Its periodic work runs each
/// 100 ms. Requests that ran during a pause aren't observed: their answers may have arrived long
/// before.
const PAUSE_LIMIT: Duration = Duration::from_millis(300);

/// `RequestEnd` tells how a request ended for the observer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The target answered it.
    Answered,
    /// The target hasn't answered it for so long that it is assumed lost.
    Overdue,
    /// It failed, or its flow ended. Its time says nothing about the target's speed.
    Discarded,
}

/// `ServiceObserver` measures the service times of one incarnation of a target, and estimates its
/// capacity from them.
#[derive(Debug, Default)]
pub struct ServiceObserver {
    /// Whether concurrency limits and estimates are neutral.
    disabled: bool,
    /// Whether the target is in slow start. Its service times then say nothing about its later
    /// speed.
    slow_start: bool,
    slots: u16,
    /// Admitted requests in order of admission.
    admitted: IndexMap<FlowKey, AdmittedRequest>,
    estimator: CapacityEstimator,
    /// Time of the last event.
    now: Timestamp,
    /// End of the last pause of this process.
    resumed_at: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct AdmittedRequest {
    /// `None` if the request isn't observed.
    class: Option<WorkClass>,
    /// When the request started to use a slot, and the number of requests that used one then.
    started: Option<(Timestamp, usize)>,
}

impl ServiceObserver {
    /// Sets whether the estimate is neutral whatever the target does.
    pub fn set_disabled(&mut self, disabled: bool) {
        self.disabled = disabled;
    }

    /// Does the periodic work: adapts the concurrency limit, and notes whether the target is in slow
    /// start.
    pub fn tick(&mut self, now: Timestamp, slots: u16, slow_start: bool) {
        self.advance(now);
        self.slots = slots;
        if slow_start {
            self.estimator = CapacityEstimator::default();
        }
        self.slow_start = slow_start;
        self.estimator.update_limit(now, slots);
    }

    /// Adds an admitted request. `class` is `None` if its time isn't to be observed.
    pub fn admit(&mut self, now: Timestamp, slots: u16, flow: FlowKey, class: Option<WorkClass>) {
        self.advance(now);
        self.slots = slots;
        let request = AdmittedRequest {
            class,
            started: None,
        };
        self.admitted.insert(flow, request);
        self.start_next();
    }

    /// Removes a request that ended, and adds its service time to the estimate.
    pub fn end(&mut self, now: Timestamp, flow: &FlowKey, end: RequestEnd) {
        self.advance(now);
        let in_use = self.in_use();
        let Some(request) = self.admitted.shift_remove(flow) else {
            return;
        };
        if let (Some(class), Some((since, at_start))) = (request.class, request.started) {
            let was_paused = since < self.resumed_at;
            if end != RequestEnd::Discarded && !was_paused && !self.slow_start {
                let concurrency = (at_start + in_use).div_ceil(2);
                let observed = Observation {
                    class,
                    time: now.since(since),
                    concurrency: u16::try_from(concurrency).unwrap_or(u16::MAX),
                    censored: end == RequestEnd::Overdue,
                };
                self.estimator.record(now, self.slots, &observed);
            }
        }
        self.start_next();
    }

    /// Removes the request of a flow that has ended.
    pub fn forget(&mut self, flow: &FlowKey) {
        self.end(self.now, flow, RequestEnd::Discarded);
    }

    /// Removes all requests and estimates, after a restart of the target.
    pub fn clear(&mut self) {
        self.admitted.clear();
        self.estimator = CapacityEstimator::default();
    }

    /// Number of requests that the target runs well, up to `slots`.
    pub fn limit(&self, slots: u16) -> u16 {
        if self.disabled {
            return slots;
        }
        self.estimator.limit(slots).min(slots)
    }

    /// The estimate as load reports carry it.
    pub fn capacity(&self, now: Timestamp, slots: u16) -> Capacity {
        if self.disabled || self.slow_start {
            return Capacity::default();
        }
        self.estimator.capacity(now, slots)
    }

    /// The estimates, for logs and metrics.
    pub fn estimator(&self) -> &CapacityEstimator {
        &self.estimator
    }

    /// Number of requests that use a slot.
    fn in_use(&self) -> usize {
        let requests = self.admitted.values();
        requests.filter(|it| it.started.is_some()).count()
    }

    /// Starts the earliest admitted requests for which a slot is free.
    fn start_next(&mut self) {
        let mut in_use = self.in_use();
        let slots = usize::from(self.slots.max(1));
        for request in self.admitted.values_mut() {
            if in_use >= slots {
                return;
            }
            if request.started.is_none() {
                in_use += 1;
                request.started = Some((self.now, in_use));
            }
        }
    }

    /// Moves the time of the last event forward, and detects a pause.
    fn advance(&mut self, now: Timestamp) {
        if now.since(self.now) > PAUSE_LIMIT {
            self.resumed_at = now;
        }
        self.now = self.now.max(now);
    }
}
