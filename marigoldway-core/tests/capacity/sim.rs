//! A simulation of entries, agents and targets that differ in speed or change it.
//!
//! Selection, comparison, slot queue and estimate are those of the system. Redirection follows
//! `flow/agent/redirect.rs`: an agent above the threshold forwards a flow three times at most, and the
//! last one gives it to the least loaded. All entries read the same figures, which are up to a
//! second old, and no entry counts the flows that it has sent: with 1,500 entries, these are few.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use marigoldway_core::flow::agent::slot_queue::Arrival;
use marigoldway_core::flow::agent::slot_queue::QueueDecision;
use marigoldway_core::flow::candidates::CANDIDATES;
use marigoldway_core::flow::capacity;
use marigoldway_core::flow::capacity::CapacityPolicy;
use marigoldway_core::flow::capacity::LogTime;
use marigoldway_core::flow::message::LoadLevel;
use marigoldway_core::flow::routes::Work;
use marigoldway_core::flow::routes::WorkClass;
use marigoldway_core::flow::selection;
use marigoldway_core::flow::selection::Candidate;
use marigoldway_core::time::Timestamp;

use crate::outcome::Outcome;
use crate::outcome::Recorder;
use crate::target::SimTarget;
use crate::target::agent_id;
use crate::target::flow_key;

/// Interval of the agents' periodic work.
const TICK: Duration = Duration::from_millis(100);

/// Age at which the entries' figures of a target are replaced.
const REPORT_AGE: Duration = Duration::from_secs(1);

/// Maximum number of forwardings before the least loaded agent accepts a flow.
const MAX_REDIRECTS: u32 = 3;

/// Intended response time, and time after which the client gives up.
pub const OBJECTIVE: Duration = Duration::from_millis(250);
const TIMEOUT: Duration = Duration::from_secs(3);

/// How new flows are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Each candidate is equally likely, whatever its load.
    Equal,
    /// The less loaded of two candidates, without redirection.
    Two,
    /// The system with `capacity = fixed`: the less loaded of two, with redirection.
    Fixed,
    /// The same, where the present speed of each target is known.
    Known,
    /// The system with `capacity = adaptive`.
    Adaptive,
}

/// A period in which some targets are slower.
#[derive(Clone, Copy, Debug)]
pub struct Slowdown {
    /// Number of slow targets, the first ones.
    pub targets: usize,
    pub from: Duration,
    pub to: Duration,
    pub factor: f64,
    /// Whether only requests that start with more than half of the slots in use are slow.
    pub beyond_half: bool,
    /// Whether the targets are slow in every other second only.
    pub flapping: bool,
}

/// A simulated service and its load.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
    pub targets: usize,
    /// Service times of the targets relative to the typical one, repeated.
    pub speeds: &'static [f64],
    /// Arrivals as a fraction of the capacity of all targets at their usual speed.
    pub load: f64,
    pub slowdown: Option<Slowdown>,
    /// Whether half of the requests are of a class that takes twice as long.
    pub mixed: bool,
    pub length: Duration,
    pub seed: u64,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Done(usize, u64, u64),
    Tick,
}

/// The state of one run.
pub struct Sim {
    spec: Spec,
    policy: Policy,
    now: Timestamp,
    rng: StdRng,
    events: BinaryHeap<Reverse<(Timestamp, u64, Event)>>,
    events_count: u64,
    targets: Vec<SimTarget>,
    flows: u64,
    recorder: Recorder,
}

/// Runs a service under a policy.
pub fn run(spec: Spec, policy: Policy) -> Outcome {
    let targets = (0..spec.targets).map(|n| SimTarget::new(n, spec, policy));
    let mut sim = Sim {
        spec,
        policy,
        now: Timestamp::from_millis(10_000),
        rng: StdRng::seed_from_u64(spec.seed),
        events: BinaryHeap::new(),
        events_count: 0,
        targets: targets.collect(),
        flows: 0,
        recorder: Recorder::new(spec, Timestamp::from_millis(10_000)),
    };
    let end = sim.now + spec.length;
    sim.schedule(Duration::ZERO, Event::Arrive);
    sim.schedule(Duration::ZERO, Event::Tick);
    while let Some(Reverse((at, _, event))) = sim.events.pop() {
        if at > end {
            break;
        }
        sim.now = at;
        sim.handle(event);
    }
    sim.recorder.finish(sim.now)
}

impl Sim {
    fn schedule(&mut self, after: Duration, event: Event) {
        self.events_count += 1;
        let entry = (self.now + after, self.events_count, event);
        self.events.push(Reverse(entry));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => {
                self.arrive();
                let rate: f64 = self.targets.iter().map(SimTarget::usual_rate).sum();
                let gap = -self.rng.random::<f64>().max(1e-12).ln() / (rate * self.spec.load);
                self.schedule(Duration::from_secs_f64(gap), Event::Arrive);
            }
            Event::Done(n, flow, since) => {
                let took = self.now.since(Timestamp::from_micros(since));
                self.recorder.answered(self.now, took);
                self.targets[n].finish(self.now, flow);
                self.release(n);
            }
            Event::Tick => {
                self.tick();
                self.schedule(TICK, Event::Tick);
            }
        }
    }

    fn tick(&mut self) {
        for n in 0..self.targets.len() {
            let timed_out = self.targets[n].tick(self.now);
            for _ in 0..timed_out {
                self.recorder.answered(self.now, TIMEOUT);
            }
            self.release(n);
            // The reports of different targets are of different age.
            let phase = Duration::from_millis(100 * (n as u64 % 10));
            let micros = (self.now + phase).as_micros();
            if micros.is_multiple_of(REPORT_AGE.as_micros() as u64) {
                self.targets[n].report(self.now);
            }
        }
        let policy = CapacityPolicy::default();
        self.recorder.sample(self.now, &self.targets, policy);
    }

    fn arrive(&mut self) {
        let class = if self.spec.mixed && self.rng.random_bool(0.5) {
            WorkClass::Unsafe
        } else {
            WorkClass::Safe
        };
        let ids = self.draw();
        let target = self.place(&ids, class);
        self.flows += 1;
        let arrival = Arrival {
            flow: flow_key(self.flows),
            packet: b"data",
            work: Work {
                class,
                priority: 1,
                objective: OBJECTIVE,
                timeout: TIMEOUT,
            },
            waiting_since: self.now,
            first: true,
            guest: false,
            maybe_answered: false,
        };
        let decision = self.targets[target].offer(self.now, self.flows, &arrival);
        if decision == QueueDecision::Admitted {
            self.start(target);
        }
    }

    /// Draws the candidates of a flow.
    fn draw(&mut self) -> Vec<usize> {
        let count = CANDIDATES.min(self.targets.len());
        let mut ids = Vec::new();
        while ids.len() < count {
            let id = self.rng.random_range(0..self.targets.len());
            if !ids.contains(&id) {
                ids.push(id);
            }
        }
        ids
    }

    /// The policy's estimate of how slow a target is; `true_mean` is the mean over the candidates of
    /// the logarithms of their speeds.
    fn known_slowness(&self, n: usize, true_mean: f64) -> f64 {
        (self.targets[n].speed(self.now).ln() - true_mean).exp()
    }

    /// What an entry knows of the candidates of a flow.
    fn candidates(&self, ids: &[usize]) -> Vec<Candidate> {
        let known = ids.iter().map(|n| Candidate {
            id: agent_id(*n),
            load: self.targets[*n].reported,
            sent: 0,
            same_domain: true,
            suspect: false,
            slowness: 1.0,
        });
        known.collect()
    }

    /// Selects a target as an entry and the agents do.
    fn place(&mut self, ids: &[usize], class: WorkClass) -> usize {
        if self.policy == Policy::Equal {
            return ids[self.rng.random_range(0..ids.len())];
        }
        let mut candidates = self.candidates(ids);
        let options = match self.policy {
            Policy::Adaptive => CapacityPolicy::default(),
            _ => CapacityPolicy::FIXED,
        };
        let reference = capacity::compare(&mut candidates, class, options);
        let logs = ids.iter().map(|n| self.targets[*n].speed(self.now).ln());
        let true_mean = logs.sum::<f64>() / ids.len() as f64;
        if self.policy == Policy::Known {
            for (candidate, n) in candidates.iter_mut().zip(ids) {
                candidate.slowness = self.known_slowness(*n, true_mean);
            }
        }
        let selected = selection::choose(&candidates, class, &mut self.rng).unwrap();
        let index = |id| ids[candidates.iter().position(|it| it.id == id).unwrap()];
        let first = index(selected.agent);
        if self.policy == Policy::Two {
            return first;
        }
        let threshold = selection::threshold(&candidates, class);
        let other = selected.alternate.map(index);
        let level = |n: usize| self.level(n, class, reference, true_mean);
        self.redirect(first, other, ids, threshold, &level)
    }

    /// An agent's own load, by the reference of the flow's header.
    fn level(&self, n: usize, class: WorkClass, reference: LogTime, true_mean: f64) -> LoadLevel {
        let load = self.targets[n].load(self.now);
        let slowness = match self.policy {
            Policy::Known => self.known_slowness(n, true_mean),
            Policy::Adaptive => {
                let time = load.capacity.time(class);
                capacity::slowness(time, reference, CapacityPolicy::default())
            }
            Policy::Equal | Policy::Two | Policy::Fixed => 1.0,
        };
        selection::load_level(&load, class, slowness)
    }

    /// Forwards a flow from agent to agent until one accepts it.
    fn redirect(
        &self,
        first: usize,
        mut other: Option<usize>,
        ids: &[usize],
        threshold: LoadLevel,
        level: &dyn Fn(usize) -> LoadLevel,
    ) -> usize {
        let (mut at, mut best) = (first, None);
        for hop in 0..=MAX_REDIRECTS {
            let own = (at, level(at));
            if own.1 <= threshold {
                return at;
            }
            let least = best.filter(|it: &(usize, LoadLevel)| it.1 <= own.1);
            let least = least.unwrap_or(own);
            best = Some(least);
            if hop == MAX_REDIRECTS {
                return least.0;
            }
            let fits = |n: &usize| *n != at && *n != least.0;
            let start = self.flows as usize % ids.len();
            let rotation = ids.iter().cycle().skip(start).take(ids.len()).copied();
            let next = other.take().filter(fits);
            let Some(next) = next.or_else(|| rotation.clone().find(|n| fits(n))) else {
                return at;
            };
            at = next;
        }
        at
    }

    fn release(&mut self, n: usize) {
        self.targets[n].release(self.now);
        self.start(n);
    }

    /// Starts the requests at a target for which a slot is free.
    fn start(&mut self, n: usize) {
        while let Some((flow, took, since)) = self.targets[n].start(self.now, &mut self.rng) {
            self.schedule(took, Event::Done(n, flow, since));
        }
    }
}
