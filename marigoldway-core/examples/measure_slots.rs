//! Measures the value of answered requests at one target during an overload, by
//! the options of the slot queue.
//!
//! The slot queue is the queue in which the agent beside the target holds requests
//! until the target has a free slot, that is, until it can run one more request.
//! Requests of two classes exceed the capacity of the target's slots for four
//! seconds. The target runs two requests at a time, queues eight, and rejects the
//! rest. An answer within its objective earns the full value, a later answer a
//! part of it, and an answer after its deadline nothing.
//!
//! `cargo run --release --example measure_slots`

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use marigoldway_core::flow::agent::slot_queue::Arrival;
use marigoldway_core::flow::agent::slot_queue::QueueDecision;
use marigoldway_core::flow::agent::slot_queue::SlotQueue;
use marigoldway_core::flow::agent::slot_queue::SlotQueueOptions;
use marigoldway_core::flow::key::FlowKey;
use marigoldway_core::flow::routes::Work;
use marigoldway_core::flow::routes::WorkClass;
use marigoldway_core::time::Timestamp;

/// Number of seeded runs for each pair of options and each peak load.
const SEEDS: u64 = 200;
/// Number of requests that the target runs at a time.
const SLOTS: u16 = 2;
/// Maximum number of requests that the target itself queues.
const QUEUE: usize = 8;

/// Duration of a run in seconds.
const RUN_SECONDS: f64 = 14.0;
/// Start and end of the overload in seconds.
const OVERLOAD: (f64, f64) = (3.0, 7.0);

/// Sum of the travel times of a request and its answer between client and agent, in
/// milliseconds.
const TRAVEL_MS: f64 = 12.0;

/// A class of requests.
#[derive(Clone, Copy)]
struct Class {
    /// Fraction of the requests that belong to this class.
    share: f64,
    /// Mean service time in milliseconds, without the factor of the slow requests.
    mean_ms: f64,
    /// Value of an answer within the objective.
    value: f64,
    /// Value of an answer after the objective and within the timeout.
    late_value: f64,
    work: Work,
}

/// A request. Times are in seconds.
#[derive(Clone, Copy)]
struct Request {
    /// Index of the class.
    class: usize,
    sent_at: f64,
    service_time: f64,
}

fn work(priority: u8, objective: u64, timeout: u64) -> Work {
    Work {
        class: WorkClass::Safe,
        priority,
        objective: Duration::from_millis(objective),
        timeout: Duration::from_millis(timeout),
    }
}

/// Returns the two classes of the ordering service on the scaled-up deployment.
fn classes() -> [Class; 2] {
    [
        Class {
            share: 7.0 / 9.0,
            mean_ms: 26.0,
            value: 1.0,
            late_value: 0.3,
            work: work(2, 250, 3_000),
        },
        Class {
            share: 2.0 / 9.0,
            mean_ms: 33.0,
            value: 2.0,
            late_value: 0.6,
            work: work(1, 300, 3_000),
        },
    ]
}

/// Draws a log-normal time with a coefficient of variation of 0.5; one
/// in 33 is seven times as long.
fn draw(rng: &mut StdRng, mean: f64) -> f64 {
    let (a, b): (f64, f64) = (rng.random_range(1e-9..1.0), rng.random());
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    let sigma = 0.25_f64.ln_1p().sqrt();
    let time = mean * (sigma * normal - sigma * sigma / 2.0).exp();
    if rng.random::<f64>() < 0.03 {
        time * 7.0
    } else {
        time
    }
}

/// Draws the requests of a run in order of arrival. The load is `peak_load` times the
/// capacity of the slots during the overload, and 0.6 times the capacity otherwise.
fn arrivals(rng: &mut StdRng, classes: &[Class], peak_load: f64) -> Vec<Request> {
    let mean: f64 = classes.iter().map(|it| it.share * it.mean_ms * 1.18).sum();
    let capacity = f64::from(SLOTS) * 1e3 / mean;
    let mut requests = Vec::new();
    let mut now = 0.0;
    while now < RUN_SECONDS {
        let load = if (OVERLOAD.0..OVERLOAD.1).contains(&now) {
            peak_load
        } else {
            0.6
        };
        let gap: f64 = rng.random_range(1e-9..1.0_f64);
        now += -gap.ln() / (capacity * load);
        let class = usize::from(rng.random::<f64>() > classes[0].share);
        requests.push(Request {
            class,
            sent_at: now,
            service_time: draw(rng, classes[class].mean_ms) / 1e3,
        });
    }
    requests
}

fn at(seconds: f64) -> Timestamp {
    Timestamp::from_micros((seconds * 1e6) as u64)
}

fn key(index: usize) -> FlowKey {
    let client = SocketAddrV4::new(Ipv4Addr::from(index as u32), 1);
    FlowKey {
        client,
        server: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1),
    }
}

/// The simulated target. It identifies a request by the request's index.
#[derive(Default)]
struct Target {
    /// Running requests and the times at which they end, in seconds.
    slots: Vec<(usize, f64)>,
    queue: std::collections::VecDeque<usize>,
}

impl Target {
    /// Starts or queues a request. Returns `false` if the target rejects it.
    fn take(&mut self, now: f64, index: usize, requests: &[Request]) -> bool {
        if self.slots.len() < usize::from(SLOTS) {
            self.slots.push((index, now + requests[index].service_time));
            return true;
        }
        if self.queue.len() >= QUEUE {
            return false;
        }
        self.queue.push_back(index);
        true
    }

    /// Returns the running request that ends first and its end time; `None` if none runs.
    fn next_end(&self) -> Option<(usize, f64)> {
        let ends = self.slots.iter().copied();
        ends.min_by(|a, b| a.1.total_cmp(&b.1))
    }
}

/// Simulates one run. Returns the earned value as a fraction of the value that all requests
/// would earn if each were answered within its objective.
fn run(seed: u64, options: SlotQueueOptions, peak_load: f64) -> f64 {
    let classes = classes();
    let mut rng = StdRng::seed_from_u64(seed);
    let requests = arrivals(&mut rng, &classes, peak_load);
    let mut slot_queue = SlotQueue::new(options);
    let mut target = Target::default();
    let (mut earned, mut possible) = (0.0, 0.0);
    let mut next = 0;
    loop {
        let end = target.next_end();
        let arrival = requests.get(next).map(|it| it.sent_at);
        let now = match (end, arrival) {
            (Some((_, end)), Some(at)) if end <= at => end,
            (Some((_, end)), None) => end,
            (_, Some(at)) => at,
            (None, None) => break,
        };
        slot_queue.expire(at(now));
        if end.is_some_and(|(_, end)| end <= now) {
            let (index, _) = end.unwrap_or_default();
            target.slots.retain(|(it, _)| *it != index);
            let request = requests[index];
            let class = classes[request.class];
            let took = (now - request.sent_at) * 1e3 + TRAVEL_MS;
            if took <= class.work.objective.as_millis() as f64 {
                earned += class.value;
            } else if took <= class.work.timeout.as_millis() as f64 {
                earned += class.late_value;
            }
            slot_queue.finish(at(now), &key(index));
            if let Some(queued) = target.queue.pop_front() {
                target.take(now, queued, &requests);
            }
        } else {
            let class = classes[requests[next].class];
            possible += class.value;
            let arrival = Arrival {
                flow: key(next),
                packet: &[],
                work: class.work,
                waiting_since: at(now),
                first: false,
                guest: false,
                maybe_answered: false,
            };
            if slot_queue.offer(at(now), SLOTS, &arrival) == QueueDecision::Admitted {
                target.take(now, next, &requests);
            }
            next += 1;
        }
        while let Some(released) = slot_queue.release(at(now), SLOTS) {
            let index = released.flow.client.ip().to_bits() as usize;
            target.take(now, index, &requests);
        }
    }
    earned / possible
}

fn main() {
    println!(
        "{:>6} {:>8} {:>8} {:>8} {:>8}",
        "ahead", "reserve", "1.0", "1.2", "1.6"
    );
    for overcommit in [0, 1, 2, 3] {
        for reserve_factor in [0.0, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0] {
            let options = SlotQueueOptions {
                overcommit,
                reserve_factor,
            };
            let value = |peak_load| {
                let sum: f64 = (0..SEEDS).map(|seed| run(seed, options, peak_load)).sum();
                sum / SEEDS as f64
            };
            println!(
                "{overcommit:>6} {reserve_factor:>8} {:>8.3} {:>8.3} {:>8.3}",
                value(1.0),
                value(1.2),
                value(1.6)
            );
        }
    }
}
