//! Measures how evenly placement policies distribute new flows over seven targets.
//!
//! A flow is one client connection. Under the shipped policy (`ours`), it is offered to the
//! agent, the process beside one target. The agent keeps the flow, or passes it to a second
//! agent that has reported a lower load.
//!
//! `cargo run --release --example measure_imbalance -- FILE.csv`

mod load_stats;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::fmt::Write;
use std::fs;
use std::net::Ipv4Addr;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use marigoldway_core::acceptance::Acceptance;
use marigoldway_core::acceptance::AcceptanceOptions;
use marigoldway_core::acceptance::Hop;
use marigoldway_core::acceptance::Verdict;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::message::Load;
use marigoldway_core::placement::Member;
use marigoldway_core::placement::PlacementTable;
use marigoldway_core::time::Timestamp;

use crate::load_stats::LoadStats;

/// Number of targets.
const TARGETS: usize = 7;
/// Index of the failure domain of each target.
const DOMAINS: [usize; TARGETS] = [0, 0, 0, 1, 1, 2, 2];
/// Mean fraction of the total capacity in use.
const USED: f64 = 0.7;
/// Age of the loads that policies see, in seconds.
const REPORT_AGE: f64 = 2.0;
/// Interval between load samples, in seconds.
const SAMPLE_INTERVAL: f64 = 0.2;
/// Length of the window over which loads are averaged, in seconds.
const WINDOW: f64 = 60.0;
/// Number of seeded runs of each policy under each workload.
const SEEDS: u64 = 10;

/// Concurrency and service time of the simulated flows.
#[derive(Clone, Copy)]
struct Workload {
    name: &'static str,
    /// Maximum number of flows that a target serves concurrently; the others wait.
    slots: usize,
    /// Mean service time in seconds, except of stragglers.
    mean: f64,
    /// Fraction of flows that are stragglers, whose mean service time is ten times as long.
    stragglers: f64,
    /// Duration of a run after the warm-up, in seconds.
    duration: f64,
}

const WORKLOADS: [Workload; 3] = [
    Workload {
        name: "slots-short",
        slots: 4,
        mean: 1.0,
        stragglers: 0.0,
        duration: 1_800.0,
    },
    Workload {
        name: "slots-stragglers",
        slots: 4,
        mean: 1.0,
        stragglers: 0.05,
        duration: 1_800.0,
    },
    Workload {
        name: "connections",
        slots: 2_000,
        mean: 600.0,
        stragglers: 0.0,
        duration: 1_800.0,
    },
];

/// A rule by which the target of a new flow is chosen.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    Random,
    /// Takes the first candidate by rendezvous hashing.
    Hashing,
    /// Takes the target with the lowest load `REPORT_AGE` ago. Ties go to a random target.
    LeastReported,
    /// Knows every current load: a bound that no real policy reaches.
    Perfect,
    /// Offers the flow to the first candidate, which may pass it to the second.
    Acceptance {
        tolerance: u32,
    },
    /// Like `Acceptance`, but the first candidate is in the failure domain of the entry,
    /// the process that forwards the flow.
    OwnDomainFirst {
        tolerance: u32,
    },
}

const POLICIES: [(&str, Policy); 8] = [
    ("random", Policy::Random),
    ("hashing", Policy::Hashing),
    ("least-reported", Policy::LeastReported),
    ("perfect-knowledge", Policy::Perfect),
    ("ours", Policy::Acceptance { tolerance: 256 }),
    (
        "ours-exact",
        Policy::Acceptance {
            tolerance: u32::MAX,
        },
    ),
    ("ours-64", Policy::Acceptance { tolerance: 64 }),
    (
        "own-domain-first",
        Policy::OwnDomainFirst { tolerance: 256 },
    ),
];

/// A simulated target and its load history.
struct Target {
    running: usize,
    /// Service times of the waiting flows, in seconds.
    waiting: VecDeque<f64>,
    /// Times in seconds and the loads at them.
    history: VecDeque<(f64, u32)>,
    acceptance: Acceptance,
}

impl Target {
    fn load(&self) -> u32 {
        (self.running + self.waiting.len()) as u32
    }

    /// Records the current load and removes entries too old for any report.
    fn record(&mut self, now: f64) {
        self.history.push_back((now, self.load()));
        while self.history.len() > 1 && self.history[1].0 <= now - REPORT_AGE {
            self.history.pop_front();
        }
    }

    /// Returns the load `REPORT_AGE` seconds before `now`.
    fn reported(&self, now: f64) -> u32 {
        let seen = self.history.iter().rev();
        let mut seen = seen.skip_while(|(at, _)| *at > now - REPORT_AGE);
        seen.next().map_or(0, |(_, load)| *load)
    }
}

struct Run {
    workload: Workload,
    targets: Vec<Target>,
    ids: Vec<InstanceId>,
    table: PlacementTable,
    /// Placement table of each failure domain.
    domains: Vec<PlacementTable>,
    /// End times of the running flows, in microseconds, and their targets.
    ends: BinaryHeap<Reverse<(u64, usize)>>,
    rng: StdRng,
    /// Number of flows that the first candidate passed to the second.
    passed: u64,
    flows: u64,
}

fn members(ids: &[InstanceId], keep: impl Fn(usize) -> bool) -> PlacementTable {
    let kept = ids.iter().enumerate().filter(|(index, _)| keep(*index));
    PlacementTable::new(kept.map(|(_, id)| Member {
        id: *id,
        weight: 100,
    }))
}

impl Run {
    fn new(workload: Workload, policy: Policy, seed: u64) -> Run {
        let tolerance_divisor = match policy {
            Policy::Acceptance { tolerance } | Policy::OwnDomainFirst { tolerance } => tolerance,
            _ => 0,
        };
        let options = AcceptanceOptions {
            max_flows: u32::MAX,
            tolerance_divisor,
            ..AcceptanceOptions::default()
        };
        let ids: Vec<_> = (1..=TARGETS as u16)
            .map(|n| InstanceId::new(Ipv4Addr::new(10, 0, 0, n as u8), 7000))
            .collect();
        Run {
            workload,
            targets: (0..TARGETS)
                .map(|_| Target {
                    running: 0,
                    waiting: VecDeque::new(),
                    history: VecDeque::new(),
                    acceptance: Acceptance::new(options),
                })
                .collect(),
            table: members(&ids, |_| true),
            domains: (0..3)
                .map(|domain| members(&ids, |index| DOMAINS[index] == domain))
                .collect(),
            ids,
            ends: BinaryHeap::new(),
            rng: StdRng::seed_from_u64(seed),
            passed: 0,
            flows: 0,
        }
    }

    fn index(&self, id: InstanceId) -> usize {
        usize::from(id.0.ip().octets()[3]) - 1
    }

    /// Draws an exponentially distributed time with the given mean, in seconds.
    fn draw(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    /// Returns the index of the target of a new flow.
    fn choose(&mut self, now: f64, policy: Policy) -> usize {
        let key: u64 = self.rng.random();
        let candidates = self.table.choose(key).expect("no targets");
        match policy {
            Policy::Random => self.rng.random_range(0..TARGETS),
            Policy::Hashing => self.index(candidates.first),
            Policy::LeastReported => {
                let skip = key as usize % TARGETS;
                let least =
                    |index: &usize| (self.targets[*index].reported(now), (index + skip) % TARGETS);
                (0..TARGETS).min_by_key(least).expect("no targets")
            }
            Policy::Perfect => {
                let skip = key as usize % TARGETS;
                let least = |index: &usize| (self.targets[*index].load(), (index + skip) % TARGETS);
                (0..TARGETS).min_by_key(least).expect("no targets")
            }
            Policy::Acceptance { .. } => self.accept(now, key, candidates.first, candidates.second),
            Policy::OwnDomainFirst { .. } => {
                // The fabric delivers the flow to an entry of any domain.
                let domain = self.rng.random_range(0..3);
                let near = self.domains[domain].choose(key).expect("no targets").first;
                let second = match candidates.first == near {
                    true => candidates.second,
                    false => Some(candidates.first),
                };
                self.accept(now, key, near, second)
            }
        }
    }

    /// Offers a flow to the agent of `first` and returns the index of the target that gets
    /// it. The flow stays at `first` unless the agent passes it on.
    fn accept(
        &mut self,
        now: f64,
        key: u64,
        first: InstanceId,
        second: Option<InstanceId>,
    ) -> usize {
        let at = Timestamp::from_micros((now * 1e6) as u64);
        let index = self.index(first);
        let loads: Vec<Load> = self
            .targets
            .iter()
            .zip(&self.ids)
            .map(|(target, id)| Load {
                id: *id,
                flows: target.reported(now),
            })
            .filter(|load| load.id != first)
            .collect();
        let target = &mut self.targets[index];
        target.acceptance.set_flows(target.load());
        for load in loads {
            target.acceptance.observe(at, load);
        }
        match target.acceptance.decide(at, key, Hop::Offered { second }) {
            Verdict::Pass(second) => {
                self.passed += 1;
                self.index(second)
            }
            Verdict::Keep | Verdict::Return(_) | Verdict::Refuse => index,
        }
    }

    fn start(&mut self, now: f64, index: usize, work: f64) {
        let target = &mut self.targets[index];
        if target.running == self.workload.slots {
            target.waiting.push_back(work);
            return;
        }
        target.running += 1;
        let end = ((now + work) * 1e6) as u64;
        self.ends.push(Reverse((end, index)));
    }

    fn finish(&mut self, now: f64, index: usize) {
        let target = &mut self.targets[index];
        target.running -= 1;
        if let Some(work) = target.waiting.pop_front() {
            target.running += 1;
            let end = ((now + work) * 1e6) as u64;
            self.ends.push(Reverse((end, index)));
        }
        target.record(now);
    }

    fn run(&mut self, policy: Policy) -> LoadStats {
        let workload = self.workload;
        let mean = workload.mean * (1.0 + 9.0 * workload.stragglers);
        let rate = USED * (workload.slots * TARGETS) as f64 / mean;
        let warmup = 5.0 * workload.mean + WINDOW;
        let mut result = LoadStats::default();
        let mut next = self.draw(1.0 / rate);
        let mut sample = warmup;
        while sample < warmup + workload.duration {
            let end = self.ends.peek().map(|it| it.0.0 as f64 / 1e6);
            let end = end.unwrap_or(f64::INFINITY);
            if sample <= next && sample <= end {
                result.sample(self.targets.iter().map(Target::load));
                let waiting = self
                    .targets
                    .iter()
                    .map(|it| it.waiting.len())
                    .sum::<usize>();
                result.waiting += waiting as f64;
                sample += SAMPLE_INTERVAL;
            } else if end <= next {
                let Reverse((_, index)) = self.ends.pop().expect("a flow end is scheduled");
                self.finish(end, index);
            } else {
                let long = self.rng.random_bool(workload.stragglers);
                let work = self.draw(workload.mean * if long { 10.0 } else { 1.0 });
                let index = self.choose(next, policy);
                self.start(next, index, work);
                self.targets[index].record(next);
                self.flows += 1;
                next += self.draw(1.0 / rate);
            }
        }
        result.passed = self.passed as f64 / self.flows as f64;
        result
    }
}

fn main() {
    let mut csv = String::from(
        "workload,policy,window_peak,window_variation,peak,variation,waiting,passed\n",
    );
    println!("{TARGETS} targets at {USED} of capacity, reports {REPORT_AGE} s late, {SEEDS} seeds");
    println!(
        "workload          policy            60s max/mean  60s var  now max/mean  now var  waiting  passed"
    );
    for workload in WORKLOADS {
        for (name, policy) in POLICIES {
            let mut sums = [0.0; 6];
            for seed in 1..=SEEDS {
                let result = Run::new(workload, policy, seed).run(policy);
                let values = [
                    result.window_peak / result.windows,
                    result.window_variation / result.windows,
                    result.peak / result.samples,
                    result.variation / result.samples,
                    result.waiting / result.samples,
                    result.passed,
                ];
                for (sum, value) in sums.iter_mut().zip(values) {
                    *sum += value / SEEDS as f64;
                }
            }
            let [a, b, c, d, e, f] = sums;
            println!(
                "{:<17} {name:<18} {a:>11.3} {b:>8.3} {c:>13.3} {d:>8.3} {e:>8.2} {f:>7.3}",
                workload.name
            );
            let _ = writeln!(
                csv,
                "{},{name},{a:.4},{b:.4},{c:.4},{d:.4},{e:.4},{f:.4}",
                workload.name
            );
        }
    }
    if let Some(file) = std::env::args().nth(1) {
        fs::write(&file, csv).expect("the CSV file can be written");
    }
}
