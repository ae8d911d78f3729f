//! The sum of the amounts that agents may use stays within the allowance under
//! pauses, kills, partitions and lost, late or duplicated messages.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use marigoldway_core::ids::InstanceId;
use marigoldway_core::ids::ServiceId;
use marigoldway_core::lists::catalog::Catalog;
use marigoldway_core::request::Class;
use marigoldway_core::share::Grant;
use marigoldway_core::share::Report;
use marigoldway_core::share::ShareOptions;
use marigoldway_core::share::amounts::Amounts;
use marigoldway_core::share::enforcement::Enforcement;
use marigoldway_core::share::enforcement::Permit;
use marigoldway_core::share::lender;
use marigoldway_core::share::lender::Lender;
use marigoldway_core::time::Timestamp;

const PLANS: &str = "list plans\ngeneration 1\nchange 0000000000000001\n\
    customer a plan=p\n";
const ALLOWANCES: &str = "list allowances\ngeneration 1\nchange 0000000000000001\n\
    service s id=1\nplan p services=s connections=100 rate=700 burst=100 bulk=20\n";
const WHOLE: Amounts = Amounts {
    rate: 700_000,
    connections: 100,
    bulk: 20,
};

const AGENTS: usize = 5;
const ENTRIES: usize = 3;
const STEP: Duration = Duration::from_millis(20);

/// Minimum and maximum time, in milliseconds, after which a process learns that
/// an entry is down or back. They differ by less than a term.
const DETECTION_MS: (u64, u64) = (1_500, 3_000);

/// A message with the index of the agent that sends the report or receives the
/// grant.
#[derive(Clone, Debug)]
enum Packet {
    Report(usize, Report),
    Grant(usize, Grant),
}

struct Simulation {
    now: Timestamp,
    rng: StdRng,
    lenders: Vec<Lender>,
    agents: Vec<Enforcement>,
    /// Time until which each process is paused, entries first.
    paused: Vec<Timestamp>,
    /// Entries that each process considers live.
    views: Vec<Vec<bool>>,
    /// Future changes of `views`: time, process, entry, live.
    view_changes: Vec<(Timestamp, usize, usize, bool)>,
    /// Sent packets, with time of arrival and receiving process.
    in_flight: Vec<(Timestamp, usize, Packet)>,
    /// Open connections of each agent.
    connections: Vec<Vec<Permit>>,
    /// Probability that a packet is lost.
    loss: f64,
    /// Maximum so far of the sum of the amounts that all agents may use.
    max_usable: Amounts,
}

fn entry(n: usize) -> InstanceId {
    InstanceId::new(Ipv4Addr::LOCALHOST, 7_000 + u16::try_from(n).unwrap())
}

fn agent(n: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, 8_000 + u16::try_from(n).unwrap())
}

impl Simulation {
    fn new(options: ShareOptions, seed: u64) -> Simulation {
        let catalog = Arc::new(Catalog::parse(PLANS, ALLOWANCES).unwrap());
        let now = Timestamp::from_millis(1_000);
        let lenders = (0..ENTRIES).map(|n| {
            let mut lender = Lender::new(now, options, entry(n));
            lender.set_catalog(catalog.clone());
            lender
        });
        let agents = (0..AGENTS).map(|_| {
            let mut agent = Enforcement::new(options, ServiceId(1), 0);
            agent.set_agents(now, AGENTS);
            agent.set_catalog(now, catalog.clone());
            agent
        });
        Simulation {
            now,
            rng: StdRng::seed_from_u64(seed),
            lenders: lenders.collect(),
            agents: agents.collect(),
            paused: vec![Timestamp::ZERO; ENTRIES + AGENTS],
            views: vec![vec![true; ENTRIES]; ENTRIES + AGENTS],
            view_changes: Vec::new(),
            in_flight: Vec::new(),
            connections: (0..AGENTS).map(|_| Vec::new()).collect(),
            loss: 0.1,
            max_usable: Amounts::default(),
        }
    }

    fn live(&self, process: usize) -> Vec<InstanceId> {
        let view = self.views[process].iter().enumerate();
        view.filter(|(_, live)| **live)
            .map(|(n, _)| entry(n))
            .collect()
    }

    /// Pauses a process. If it is an entry, every other process considers it down
    /// after a random time, unless the pause ends before, and considers it live again
    /// a random time after the end of the pause.
    fn pause(&mut self, process: usize, time: Duration) {
        let until = self.now + time;
        self.paused[process] = self.paused[process].max(until);
        if process >= ENTRIES {
            return;
        }
        for other in (0..ENTRIES + AGENTS).filter(|other| *other != process) {
            let down = Duration::from_millis(self.rng.random_range(DETECTION_MS.0..DETECTION_MS.1));
            let back = Duration::from_millis(self.rng.random_range(0..1_000));
            if self.now + down < until {
                self.view_changes
                    .push((self.now + down, other, process, false));
                self.view_changes.push((until + back, other, process, true));
            }
        }
    }

    fn send(&mut self, to: usize, packet: &Packet) {
        let copies = if self.rng.random_bool(0.05) { 2 } else { 1 };
        for _ in 0..copies {
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let delay = Duration::from_millis(self.rng.random_range(1..200));
            self.in_flight.push((self.now + delay, to, packet.clone()));
        }
    }

    fn generate_demand(&mut self) {
        let customer = "a";
        for n in 0..AGENTS {
            if self.now < self.paused[ENTRIES + n] {
                continue;
            }
            let busy = self.now.as_micros() / 5_000_000 % AGENTS as u64 == n as u64;
            let count = if busy {
                20
            } else {
                u32::from(self.rng.random_bool(0.1))
            };
            for _ in 0..count {
                let _ = self.agents[n].admit(self.now, customer, Class::Short);
            }
            if self.rng.random_bool(0.5)
                && let Ok(permit) = self.agents[n].connect(self.now, customer)
            {
                self.connections[n].push(permit);
            }
            if self.rng.random_bool(0.3)
                && let Some(permit) = self.connections[n].pop()
            {
                self.agents[n].release(permit);
            }
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        let due = |at: &Timestamp| *at <= now;
        for (_, process, entry, live) in self.view_changes.extract_if(.., |(at, ..)| due(at)) {
            self.views[process][entry] = live;
        }
        for process in 0..ENTRIES + AGENTS {
            if now < self.paused[process] {
                continue;
            }
            let entries = self.live(process);
            if process < ENTRIES {
                self.lenders[process].set_entries(now, &entries);
                self.lenders[process].tick(now);
                continue;
            }
            let n = process - ENTRIES;
            for report in self.agents[n].tick(now) {
                let lender = lender::lender_of(&report.customer, &entries);
                let to = (0..ENTRIES).find(|n| Some(entry(*n)) == lender);
                if let Some(to) = to {
                    self.send(to, &Packet::Report(n, report));
                }
            }
        }
        self.deliver();
        self.generate_demand();
        self.record_usable();
    }

    /// Delivers packets that are due. Packets to a paused process wait in its
    /// socket.
    fn deliver(&mut self) {
        let (now, paused) = (self.now, self.paused.clone());
        let arrived: Vec<_> = self
            .in_flight
            .extract_if(.., |(at, to, _)| *at <= now && paused[*to] <= now)
            .collect();
        for (_, to, packet) in arrived {
            match packet {
                Packet::Report(from, report) => {
                    if let Some(grant) = self.lenders[to].report(now, agent(from), &report) {
                        self.send(ENTRIES + from, &Packet::Grant(from, grant));
                    }
                }
                Packet::Grant(n, grant) => self.agents[n].grant(now, &grant),
            }
        }
    }

    fn record_usable(&mut self) {
        let usable = self.agents.iter().map(|it| it.usable(self.now, "a"));
        let sum = usable.flatten().fold(Amounts::default(), Amounts::plus);
        self.max_usable = self.max_usable.max(sum);
    }

    /// Runs for `seconds`. With `pauses`, random processes pause at random times, one
    /// at a time.
    fn run(&mut self, seconds: u64, pauses: bool) {
        for _ in 0..seconds * 50 {
            if pauses && self.rng.random_bool(0.01) {
                let process = self.rng.random_range(0..ENTRIES + AGENTS);
                let idle = self.paused.iter().all(|until| *until <= self.now)
                    && self.view_changes.is_empty();
                let time = Duration::from_millis(self.rng.random_range(100..9_000));
                if idle {
                    self.pause(process, time);
                }
            }
            self.step();
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn usable_sum_stays_within_the_allowance(seed: u64, loss in 0.0..0.5, immediate_limit in prop::sample::select(vec![0, 64])) {
        let options = ShareOptions {
            immediate_limit,
            ..ShareOptions::default()
        };
        let mut simulation = Simulation::new(options, seed);
        simulation.loss = loss;
        simulation.run(60, true);
        prop_assert!(simulation.max_usable.fits(WHOLE), "{:?}", simulation.max_usable);
        // The test is meaningful only if shares were lent.
        prop_assert!(simulation.max_usable.rate > WHOLE.rate / 4, "{:?}", simulation.max_usable);
    }
}

/// Returns the maximum sum of the amounts that all agents may use, over 16 seeds.
fn max_usable(options: ShareOptions) -> Amounts {
    let seeds = 0..16;
    let runs = seeds.map(|seed| {
        let mut simulation = Simulation::new(options, seed);
        simulation.run(60, true);
        simulation.max_usable
    });
    runs.fold(Amounts::default(), Amounts::max)
}

#[test]
fn usable_sum_exceeds_the_allowance_without_handover() {
    let options = ShareOptions::default();
    let none = ShareOptions {
        handover: Duration::ZERO,
        ..options
    };
    assert!(!max_usable(none).fits(WHOLE));
    assert!(max_usable(options).fits(WHOLE));
}

#[test]
fn usable_sum_exceeds_the_allowance_without_pause_limit() {
    let none = ShareOptions {
        pause_limit: Duration::MAX,
        ..ShareOptions::default()
    };
    assert!(!max_usable(none).fits(WHOLE));
}

#[test]
fn usable_sum_in_a_partition_is_bounded_by_the_groups() {
    for seed in 0..8 {
        let mut simulation = Simulation::new(ShareOptions::default(), seed);
        simulation.run(10, false);
        // Two groups that cannot reach each other: entry 0 with agents 0 and 1, and
        // all other processes.
        for process in 0..ENTRIES + AGENTS {
            let first_group = [0, ENTRIES, ENTRIES + 1].contains(&process);
            simulation.views[process] = (0..ENTRIES).map(|n| (n == 0) == first_group).collect();
        }
        simulation.run(30, false);
        assert!(
            simulation.max_usable.fits(WHOLE.part(2, 1)),
            "{:?}",
            simulation.max_usable
        );
    }
}

#[test]
fn share_follows_demand_and_a_lost_lender_leaves_the_floor() {
    let mut simulation = Simulation::new(ShareOptions::default(), 3);
    simulation.run(10, false);
    // Agent 1 is busy between 5 s and 10 s, agent 2 afterwards.
    simulation.run(4, false);
    let usable = simulation.agents[2].usable(simulation.now, "a").unwrap();
    assert!(usable.rate * 10 >= WHOLE.rate * 9, "{usable:?}");

    for n in 0..ENTRIES {
        simulation.paused[n] = simulation.now + Duration::from_secs(60);
    }
    simulation.run(10, false);
    let floor = WHOLE.floor(5).part(1, AGENTS as u64);
    assert_eq!(
        simulation.agents[2].usable(simulation.now, "a"),
        Some(floor)
    );
}
