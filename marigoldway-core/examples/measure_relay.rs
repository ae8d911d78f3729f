//! Measures how unevenly requests load seven targets when 200 long flows are
//! pinned unevenly, with and without relaying.
//!
//! A flow stays at the agent beside one target. With relaying, an agent whose slots are
//! all in use sends a request to another agent, a peer, that has free slots.
//!
//! Run with `cargo run --release -p marigoldway-core --example measure_relay
//! [CSV]`. Both cases use the same seeds. A relayed request takes one hop each way.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fs;
use std::io;
use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use marigoldway_core::admission::Action;
use marigoldway_core::admission::Admission;
use marigoldway_core::admission::AdmissionOptions;
use marigoldway_core::admission::Arrival;
use marigoldway_core::admission::Completion;
use marigoldway_core::admission::CustomerKey;
use marigoldway_core::admission::RequestId;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::relay::Hops;
use marigoldway_core::relay::PeerLoad;
use marigoldway_core::relay::Relay;
use marigoldway_core::request::Class;
use marigoldway_core::time::Timestamp;

/// Number of targets.
const TARGETS: usize = 7;
/// Number of requests that a target runs at a time.
const SLOTS: usize = 4;
/// Number of flows over all targets, the sum of `PINNED`.
const FLOWS: usize = 200;
/// Number of seeded runs of each case.
const SEEDS: u64 = 20;

/// Number of flows pinned to each target; a third are at the first.
const PINNED: [usize; TARGETS] = [66, 40, 30, 24, 18, 12, 10];

/// Demand as a fraction of the capacity of all targets.
const DEMAND: f64 = 0.6;

/// Mean service time of a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// One-way delay between two domains.
const HOP_DELAY: Duration = Duration::from_millis(3);
/// Time during which requests arrive.
const RUN_TIME: Duration = Duration::from_secs(30);
/// Time from the arrival at the agent that admits a request to the request's deadline.
const DEADLINE: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request arrives at the target that its flow is pinned to.
    Request(usize),
    /// A request relayed from the first target arrives at the second.
    Relayed(usize, usize),
    /// A target completes a request.
    End(usize, RequestId),
    /// The first target receives the load report that the second, a peer, sends
    /// with an answer.
    Report(usize, usize),
}

struct Agent {
    admission: Admission,
    relay: Relay,
    /// Slot time used.
    busy: Duration,
}

/// Results of the runs, one row of the table.
#[derive(Default)]
struct Stats {
    /// Slot time used at each target, summed over the seeds.
    busy: [Duration; TARGETS],
    /// Queueing times of the started requests, plus both hops of a relayed request.
    waits: Vec<Duration>,
    refused: usize,
    relayed: usize,
}

struct Simulation {
    relaying: bool,
    rng: StdRng,
    agents: Vec<Agent>,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    /// Number of events and requests so far, which orders events of one time and identifies
    /// requests.
    next: u64,
    /// Arrival time of each admitted or refused request, and the target that relayed it, if any.
    arrivals: IndexMap<RequestId, (Timestamp, Option<usize>)>,
    stats: Stats,
}

fn main() -> io::Result<()> {
    let mut csv = String::from("relay,max_over_mean,min_over_mean,refused,p50_ms,p99_ms,relayed\n");
    println!("| relay | busiest / mean | idlest / mean | refused | wait p50 / p99 ms | relayed |");
    println!("|---|---|---|---|---|---|");
    for relaying in [false, true] {
        let mut stats = Stats::default();
        for seed in 1..=SEEDS {
            let run = Simulation::new(seed, relaying).run();
            stats.add(run);
        }
        stats.print(relaying, &mut csv);
    }
    match std::env::args().nth(1) {
        Some(path) => fs::write(path, csv),
        None => Ok(()),
    }
}

impl Simulation {
    fn new(seed: u64, relaying: bool) -> Simulation {
        let mut simulation = Simulation {
            relaying,
            rng: StdRng::seed_from_u64(seed),
            agents: (0..TARGETS).map(agent).collect(),
            events: BinaryHeap::new(),
            next: 0,
            arrivals: IndexMap::new(),
            stats: Stats::default(),
        };
        simulation.draw_requests();
        simulation
    }

    /// Schedules the requests of all flows; each flow sends at the same mean rate.
    fn draw_requests(&mut self) {
        let capacity = (TARGETS * SLOTS) as f64 / SERVICE_TIME.as_secs_f64();
        let gap = Duration::from_secs_f64(FLOWS as f64 / (capacity * DEMAND));
        let flows = PINNED.iter().enumerate();
        for target in flows.flat_map(|(target, flows)| (0..*flows).map(move |_| target)) {
            let mut at = Timestamp::ZERO + exponential(gap, &mut self.rng);
            while at < Timestamp::ZERO + RUN_TIME {
                self.schedule(at, Event::Request(target));
                at = at + exponential(gap, &mut self.rng);
            }
        }
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.next += 1;
        self.events.push(Reverse((at, self.next, event)));
    }

    fn run(mut self) -> Stats {
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Request(target) => self.request(target, now),
                Event::Relayed(from, to) => {
                    self.admit(to, now, Some(from), now);
                }
                Event::End(target, id) => self.end(target, id, now),
                Event::Report(at, peer) => {
                    let load = PeerLoad::from(self.agents[peer].admission.load(now));
                    self.agents[at].relay.report(instance(peer), load, now);
                }
            }
        }
        for (busy, agent) in self.stats.busy.iter_mut().zip(&self.agents) {
            *busy += agent.busy;
        }
        self.stats
    }

    fn request(&mut self, target: usize, now: Timestamp) {
        let agent = &mut self.agents[target];
        let load = agent.admission.load(now);
        let peer = match self.relaying {
            true => agent.relay.choose(&load, Hops::None, now, &mut self.rng),
            false => None,
        };
        let Some(peer) = peer else {
            return self.admit(target, now, None, now);
        };
        self.stats.relayed += 1;
        let to = usize::from(peer.0.port());
        self.schedule(now + HOP_DELAY, Event::Relayed(target, to));
    }

    fn admit(&mut self, target: usize, arrived: Timestamp, from: Option<usize>, now: Timestamp) {
        self.next += 1;
        let id = RequestId(self.next);
        self.arrivals.insert(id, (arrived, from));
        let arrival = Arrival {
            id,
            class: Class::Short,
            customer: CustomerKey(0),
            deadline: Some(now + DEADLINE),
        };
        let admission = &mut self.agents[target].admission;
        let actions = admission.arrive(arrival, now, &mut self.rng);
        self.act(target, &actions, now);
    }

    fn end(&mut self, target: usize, id: RequestId, now: Timestamp) {
        let admission = &mut self.agents[target].admission;
        let actions = admission.finish(id, Completion::Answered, now, &mut self.rng);
        self.act(target, &actions, now);
        if let Some((_, Some(from))) = self.arrivals.get(&id).copied() {
            self.schedule(now + HOP_DELAY, Event::Report(from, target));
        }
    }

    fn act(&mut self, target: usize, actions: &[Action], now: Timestamp) {
        for action in actions {
            match *action {
                Action::Start(id) => {
                    let (arrived, from) = self.arrivals[&id];
                    let hops = from.map_or(Duration::ZERO, |_| HOP_DELAY * 2);
                    let service = SERVICE_TIME.mul_f64(self.rng.random_range(0.5..1.5));
                    self.stats.waits.push(now.since(arrived) + hops);
                    self.agents[target].busy += service;
                    self.schedule(now + service, Event::End(target, id));
                }
                Action::Refuse { id, .. } => {
                    self.stats.refused += 1;
                    if let Some((_, Some(from))) = self.arrivals.get(&id).copied() {
                        self.schedule(now + HOP_DELAY, Event::Report(from, target));
                    }
                }
                Action::Cancel(_) => {}
            }
        }
    }
}

impl Stats {
    fn add(&mut self, run: Stats) {
        for (sum, busy) in self.busy.iter_mut().zip(run.busy) {
            *sum += busy;
        }
        self.waits.extend(run.waits);
        self.refused += run.refused;
        self.relayed += run.relayed;
    }

    fn print(&mut self, relaying: bool, csv: &mut String) {
        self.waits.sort();
        let waits: &[Duration] = &self.waits;
        let wait = |permille: usize| {
            let at = (waits.len() - 1) * permille / 1_000;
            waits[at].as_secs_f64() * 1_000.0
        };
        let busy = self.busy.map(|busy| busy.as_secs_f64());
        let mean = busy.iter().sum::<f64>() / TARGETS as f64;
        let busiest = busy.iter().copied().fold(0.0, f64::max) / mean;
        let idlest = busy.iter().copied().fold(f64::MAX, f64::min) / mean;
        let all = (self.waits.len() + self.refused) as f64;
        let refused = self.refused as f64 / all * 100.0;
        let relayed = self.relayed as f64 / all * 100.0;
        let (p50, p99) = (wait(500), wait(990));
        println!(
            "| {relaying} | {busiest:.2} | {idlest:.2} | {refused:.2}% | \
             {p50:.1} / {p99:.1} | {relayed:.1}% |"
        );
        csv.push_str(&format!(
            "{relaying},{busiest:.4},{idlest:.4},{refused:.4},{p50:.3},{p99:.3},{relayed:.3}\n"
        ));
    }
}

fn agent(index: usize) -> Agent {
    let options = AdmissionOptions {
        slots: SLOTS,
        ..AdmissionOptions::default()
    };
    let mut relay = Relay::default();
    relay.update((0..TARGETS).filter(|peer| *peer != index).map(instance));
    Agent {
        admission: Admission::new(options, Timestamp::ZERO).skip_slow_start(),
        relay,
        busy: Duration::ZERO,
    }
}

/// Returns the instance ID of a target: its port is the target's index.
fn instance(index: usize) -> InstanceId {
    InstanceId::new([127, 0, 0, 1].into(), index as u16)
}

/// Draws an exponentially distributed time with the given mean.
fn exponential(mean: Duration, rng: &mut impl Rng) -> Duration {
    mean.mul_f64(-(1.0 - rng.random::<f64>()).ln())
}
