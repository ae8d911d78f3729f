//! A simulated target and the agent beside it.

use std::collections::VecDeque;
use std::f64::consts::TAU;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;
use rand::RngExt;

use marigoldway_core::flow::agent::slot_queue::Arrival;
use marigoldway_core::flow::agent::slot_queue::QueueDecision;
use marigoldway_core::flow::agent::slot_queue::SlotQueue;
use marigoldway_core::flow::capacity::CapacityPolicy;
use marigoldway_core::flow::key::FlowKey;
use marigoldway_core::flow::message::Load;
use marigoldway_core::flow::message::TargetState;
use marigoldway_core::flow::routes::WorkClass;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::time::Timestamp;

use crate::sim::Policy;
use crate::sim::Spec;

/// Median service time of a request at a target of speed 1, without outliers.
const MEDIAN_MS: f64 = 40.0;

/// Standard deviation of the logarithm of service times.
const SPREAD: f64 = 0.5;

/// Fraction of the requests that take `TAIL_FACTOR` times as long.
const TAIL: f64 = 0.03;
const TAIL_FACTOR: f64 = 7.0;

/// A request at a target, with the time since which its client waits.
#[derive(Clone, Copy, Debug)]
struct Request {
    class: WorkClass,
    since: Timestamp,
}

/// A target and its agent.
pub struct SimTarget {
    spec: Spec,
    slow: bool,
    usual: f64,
    slots: u16,
    queue: SlotQueue,
    /// Requests at the agent or the target, by number.
    requests: IndexMap<u64, Request>,
    /// Admitted requests that wait for a slot at the target.
    admitted: VecDeque<u64>,
    running: usize,
    /// Load as the entries know it.
    pub reported: Load,
}

/// The address of agent `n`.
pub fn agent_id(n: usize) -> InstanceId {
    InstanceId::new(Ipv4Addr::from_bits(0x0a00_0000 + n as u32), 7_000)
}

/// The flow of request `n`.
pub fn flow_key(n: u64) -> FlowKey {
    FlowKey {
        client: SocketAddrV4::new(Ipv4Addr::from_bits(n as u32), 1_000),
        server: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 443),
    }
}

impl SimTarget {
    pub fn new(n: usize, spec: Spec, policy: Policy) -> SimTarget {
        let slots = 2 + (n / spec.speeds.len() % 3) as u16;
        let policy = match policy {
            Policy::Adaptive => CapacityPolicy::default(),
            _ => CapacityPolicy::FIXED,
        };
        SimTarget {
            spec,
            slow: spec.slowdown.is_some_and(|it| n < it.targets),
            usual: spec.speeds[n % spec.speeds.len()],
            slots,
            queue: SlotQueue::with_capacity_policy(policy),
            requests: IndexMap::new(),
            admitted: VecDeque::new(),
            running: 0,
            reported: Load::idle(TargetState::Serving, slots),
        }
    }

    /// Requests per second that the target serves at its usual speed.
    pub fn usual_rate(&self) -> f64 {
        let mixed = if self.spec.mixed { 1.5 } else { 1.0 };
        let tail = 1.0 + TAIL * (TAIL_FACTOR - 1.0);
        let mean = MEDIAN_MS / 1_000.0 * (SPREAD * SPREAD / 2.0).exp() * tail * mixed;
        f64::from(self.slots) / (mean * self.usual)
    }

    /// Whether the target is one that slows down during the run.
    pub fn slows_down(&self) -> bool {
        self.slow
    }

    /// The present service time relative to the typical one, apart from effects of concurrency.
    pub fn speed(&self, now: Timestamp) -> f64 {
        self.usual * self.slowdown(now, false)
    }

    fn slowdown(&self, now: Timestamp, beyond_half: bool) -> f64 {
        let at = now.since(Timestamp::from_millis(10_000));
        let Some(it) = self.spec.slowdown.filter(|_| self.slow) else {
            return 1.0;
        };
        let in_period = it.from <= at && at < it.to;
        let in_second = !it.flapping || at.as_secs().is_multiple_of(2);
        if in_period && in_second && (!it.beyond_half || beyond_half) {
            it.factor
        } else {
            1.0
        }
    }

    pub fn load(&self, now: Timestamp) -> Load {
        let mut load = Load::idle(TargetState::Serving, self.slots);
        load.running = self.queue.running() as u16;
        load.waiting = self.queue.waiting() as u16;
        load.capacity = self.queue.observer().capacity(now, self.slots);
        load
    }

    /// Requests per slot.
    pub fn occupancy(&self) -> f64 {
        (self.queue.running() + self.queue.waiting()) as f64 / f64::from(self.slots)
    }

    /// Replaces the load that the entries know.
    pub fn report(&mut self, now: Timestamp) {
        self.reported = self.load(now);
    }

    pub fn offer(&mut self, now: Timestamp, n: u64, arrival: &Arrival<'_>) -> QueueDecision {
        let request = Request {
            class: arrival.work.class,
            since: now,
        };
        self.requests.insert(n, request);
        let decision = self.queue.offer(now, self.slots, arrival);
        if decision == QueueDecision::Admitted {
            self.admitted.push_back(n);
        }
        decision
    }

    /// Does the agent's periodic work. Returns the number of queued requests that timed out.
    pub fn tick(&mut self, now: Timestamp) -> usize {
        let expired = self.queue.expire(now);
        self.queue.observe_tick(now, self.slots, false);
        expired.timed_out.len()
    }

    /// Ends a request that ran.
    pub fn finish(&mut self, now: Timestamp, n: u64) {
        self.requests.swap_remove(&n);
        self.running -= 1;
        self.queue.finish(now, &flow_key(n));
    }

    /// Admits queued requests.
    pub fn release(&mut self, now: Timestamp) {
        while let Some(released) = self.queue.release(now, self.slots) {
            let n = u64::from(released.flow.client.ip().to_bits());
            self.admitted.push_back(n);
        }
    }

    /// Starts the next admitted request if a slot is free. Returns its number, its service time, and
    /// the time since which its client waits, in microseconds.
    pub fn start(&mut self, now: Timestamp, rng: &mut impl Rng) -> Option<(u64, Duration, u64)> {
        if self.running >= usize::from(self.slots) {
            return None;
        }
        let n = self.admitted.pop_front()?;
        self.running += 1;
        let request = self.requests[&n];
        let beyond_half = self.running * 2 > usize::from(self.slots);
        let class = match request.class {
            WorkClass::Unsafe => 2.0,
            WorkClass::Safe | WorkClass::Upload | WorkClass::Download => 1.0,
        };
        let tail = if rng.random_bool(TAIL) {
            TAIL_FACTOR
        } else {
            1.0
        };
        let radius = (-2.0 * rng.random::<f64>().max(1e-12).ln()).sqrt();
        let normal = radius * (TAU * rng.random::<f64>()).cos();
        let factor = self.usual * self.slowdown(now, beyond_half);
        let millis = MEDIAN_MS * class * tail * factor * (SPREAD * normal).exp();
        let took = Duration::from_secs_f64(millis / 1_000.0);
        Some((n, took, request.since.as_micros()))
    }
}
