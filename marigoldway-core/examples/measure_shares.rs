//! Compares a customer's use with its allowance while the customer's demand rises suddenly
//! and moves between agents, the processes that admit requests.
//!
//! One customer may send 700 requests per second (burst 70) over seven agents.
//! Its demand is 140 requests per second for five seconds, then 1,400. Nearly all
//! of it arrives at one agent; which one changes every five seconds. Three ways
//! of enforcing the allowance are compared:
//!
//! - `lent`: one process, the lender, lends parts of the allowance, called shares, to the
//!   agents that report demand, as marigoldway does.
//! - `static`: each agent has one seventh of the allowance.
//! - `central`: each request queries one counter; the round trip takes 5 ms.
//!
//! ```text
//! cargo run --release -p marigoldway-core --example measure_shares -- out.csv
//! ```

use std::collections::VecDeque;
use std::env;
use std::fs;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;

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
use marigoldway_core::share::amounts::MILLI;
use marigoldway_core::share::enforcement::Enforcement;
use marigoldway_core::share::lender::Lender;
use marigoldway_core::share::token_bucket::TokenBucket;
use marigoldway_core::time::Timestamp;

const PLANS: &str = "list plans\ngeneration 1\nchange 0000000000000001\n\
    customer a plan=p\n";
const ALLOWANCES: &str = "list allowances\ngeneration 1\nchange 0000000000000001\n\
    service s id=1\nplan p services=s connections=100 rate=700 burst=70 bulk=7\n";

const AGENTS: usize = 7;
/// Allowed requests per second.
const RATE: u64 = 700;
/// Allowed burst in requests.
const BURST: u64 = 70;
/// Demand before and after the jump, in requests per second.
const DEMAND: [f64; 2] = [140.0, 1_400.0];
/// Fraction of the demand that arrives at the busy agent.
const BUSY_FRACTION: f64 = 0.94;
/// Interval at which the busy agent changes, in milliseconds.
const PHASE_MS: u64 = 5_000;
/// Duration of one run in milliseconds.
const RUN_MS: u64 = 60_000;
/// Minimum and maximum one-way delay between two processes, in milliseconds.
const ONE_WAY_MS: (f64, f64) = (2.0, 3.0);
/// Fraction of the messages that are lost.
const LOSS_RATE: f64 = 0.01;
/// Tick interval of an agent in milliseconds.
const TICK_MS: u64 = 50;
/// Number of seeded runs of each policy.
const SEEDS: u64 = 200;

/// `Policy` is a way of enforcing the allowance.
trait Policy {
    /// Handles all that is due at `now`, in milliseconds.
    fn tick(&mut self, now: u64, rng: &mut StdRng);
    /// Reports whether a request that arrives at `agent` is admitted.
    fn admit(&mut self, now: u64, agent: usize, rng: &mut StdRng) -> bool;
    /// Returns the number of messages sent so far.
    fn messages(&self) -> u64;
}

/// A message between an agent, given by its index, and the lender.
enum Message {
    Report(usize, Report),
    Grant(usize, Grant),
}

struct LentShares {
    agents: Vec<Enforcement>,
    lender: Lender,
    /// Messages that have not arrived, with their arrival times in milliseconds.
    in_flight: VecDeque<(u64, Message)>,
    sent: u64,
}

fn at(millis: u64) -> Timestamp {
    // The run starts at 10 s, after the handover time, in which a new lender lends nothing
    // that an agent doesn't already have.
    Timestamp::from_millis(millis + 10_000)
}

fn agent_addr(agent: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, 8_000 + agent as u16)
}

impl LentShares {
    fn new(options: ShareOptions) -> LentShares {
        let catalog = Arc::new(Catalog::parse(PLANS, ALLOWANCES).expect("the lists are valid"));
        let own = InstanceId::new(Ipv4Addr::LOCALHOST, 7_000);
        let mut lender = Lender::new(Timestamp::ZERO, options, own);
        lender.set_catalog(catalog.clone());
        let agents = (0..AGENTS).map(|_| {
            let mut agent = Enforcement::new(options, ServiceId(1), 0);
            agent.set_agents(at(0), AGENTS);
            agent.set_catalog(at(0), catalog.clone());
            agent
        });
        LentShares {
            agents: agents.collect(),
            lender,
            in_flight: VecDeque::new(),
            sent: 0,
        }
    }

    fn send(&mut self, now: u64, message: Message, rng: &mut StdRng) {
        self.sent += 1;
        if !rng.random_bool(LOSS_RATE) {
            let delay = rng.random_range(ONE_WAY_MS.0..=ONE_WAY_MS.1).round() as u64;
            self.in_flight.push_back((now + delay, message));
        }
    }
}

impl Policy for LentShares {
    fn tick(&mut self, now: u64, rng: &mut StdRng) {
        self.lender.tick(at(now));
        for agent in 0..AGENTS {
            if (now + 7 * agent as u64).is_multiple_of(TICK_MS) {
                for report in self.agents[agent].tick(at(now)) {
                    self.send(now, Message::Report(agent, report), rng);
                }
            }
        }
        for _ in 0..self.in_flight.len() {
            match self.in_flight.pop_front() {
                Some((due, Message::Report(agent, report))) if due <= now => {
                    if let Some(grant) = self.lender.report(at(now), agent_addr(agent), &report) {
                        self.send(now, Message::Grant(agent, grant), rng);
                    }
                }
                Some((due, Message::Grant(agent, grant))) if due <= now => {
                    self.agents[agent].grant(at(now), &grant);
                }
                Some(later) => self.in_flight.push_back(later),
                None => (),
            }
        }
    }

    fn admit(&mut self, now: u64, agent: usize, _rng: &mut StdRng) -> bool {
        let customer = "a";
        self.agents[agent]
            .admit(at(now), customer, Class::Short)
            .is_ok()
    }

    fn messages(&self) -> u64 {
        self.sent
    }
}

/// A token bucket for each agent, each with an equal part of the allowance.
struct StaticShares(Vec<TokenBucket>);

impl Policy for StaticShares {
    fn tick(&mut self, _now: u64, _rng: &mut StdRng) {}

    fn admit(&mut self, now: u64, agent: usize, _rng: &mut StdRng) -> bool {
        self.0[agent].take(at(now)).is_ok()
    }

    fn messages(&self) -> u64 {
        0
    }
}

/// One token bucket that all agents query.
struct CentralCounter {
    bucket: TokenBucket,
    sent: u64,
}

impl Policy for CentralCounter {
    fn tick(&mut self, _now: u64, _rng: &mut StdRng) {}

    /// The round trip to the counter delays each request but doesn't change which
    /// requests are admitted. A lost message rejects the request.
    fn admit(&mut self, now: u64, _agent: usize, rng: &mut StdRng) -> bool {
        self.sent += 2;
        let lost = rng.random_bool(LOSS_RATE) || rng.random_bool(LOSS_RATE);
        self.bucket.take(at(now)).is_ok() && !lost
    }

    fn messages(&self) -> u64 {
        self.sent
    }
}

/// `Stats` holds the results of one run.
#[derive(Clone, Copy, Default)]
struct Stats {
    /// Maximum number of requests admitted in any second above rate plus burst, in
    /// percent of that sum.
    excess: f64,
    /// Maximum number of requests admitted in any second above the rate, in percent of it.
    above_rate: f64,
    /// Minimum percentage of the rate used in the second that starts 2 s after a move.
    after: f64,
    /// Maximum time from a move to the first 100 ms that use 90% of the rate, in milliseconds.
    reach: u64,
    /// Percentage of the rate left unused while demand exceeded it.
    unused: f64,
    /// Messages per second.
    messages: f64,
}

fn run(policy: &mut dyn Policy, seed: u64) -> Stats {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut admitted = vec![0_u64; RUN_MS as usize];
    for now in 0..RUN_MS {
        policy.tick(now, &mut rng);
        let phase = now / PHASE_MS;
        let demand = DEMAND[usize::from(phase > 0)] / 1_000.0;
        for agent in 0..AGENTS {
            let busy = phase as usize % AGENTS == agent;
            let part = if busy {
                BUSY_FRACTION
            } else {
                (1.0 - BUSY_FRACTION) / (AGENTS - 1) as f64
            };
            // Arrivals in one millisecond: the integer part, plus one with the
            // probability of the fraction.
            let expected = demand * part;
            let count = expected as u64 + u64::from(rng.random_bool(expected.fract()));
            for _ in 0..count {
                admitted[now as usize] += u64::from(policy.admit(now, agent, &mut rng));
            }
        }
    }
    stats(&admitted, policy.messages())
}

/// Computes the results from the number of requests admitted in each millisecond.
fn stats(admitted: &[u64], messages: u64) -> Stats {
    let sum = |from: u64, to: u64| -> u64 { admitted[from as usize..to as usize].iter().sum() };
    let most = (0..RUN_MS - 1_000)
        .map(|from| sum(from, from + 1_000))
        .max();
    let most = most.unwrap_or_default();
    let percent_over =
        |most: u64, limit: u64| most.saturating_sub(limit) as f64 / limit as f64 * 100.0;

    // No move precedes the first phase, whose demand is low.
    let moves = (1..RUN_MS / PHASE_MS).map(|phase| phase * PHASE_MS);
    let after = moves
        .clone()
        .map(|start| sum(start + 2_000, start + 3_000) as f64 / RATE as f64)
        .fold(f64::MAX, f64::min);
    let enough = RATE / 10 * 9 / 10;
    let reach = moves.map(|start| {
        (0..PHASE_MS - 100)
            .find(|wait| sum(start + wait, start + wait + 100) >= enough)
            .unwrap_or(PHASE_MS)
    });
    let busy = RUN_MS - PHASE_MS;
    let usable = (RATE * busy / 1_000) as f64;
    Stats {
        excess: percent_over(most, RATE + BURST),
        above_rate: percent_over(most, RATE),
        after: after * 100.0,
        reach: reach.max().unwrap_or_default(),
        unused: (1.0 - sum(PHASE_MS, RUN_MS) as f64 / usable).max(0.0) * 100.0,
        messages: messages as f64 * 1_000.0 / RUN_MS as f64,
    }
}

fn policy(name: &str) -> Box<dyn Policy> {
    let (rate, burst) = (RATE * MILLI, BURST * MILLI);
    let part = |whole: u64| whole / AGENTS as u64;
    match name {
        "lent" => Box::new(LentShares::new(ShareOptions::default())),
        "static" => Box::new(StaticShares(
            (0..AGENTS)
                .map(|_| TokenBucket::new(at(0), part(rate), part(burst)))
                .collect(),
        )),
        _ => Box::new(CentralCounter {
            bucket: TokenBucket::new(at(0), rate, burst),
            sent: 0,
        }),
    }
}

fn main() -> io::Result<()> {
    let header = "way,seed,excess_percent,above_rate_percent,\
                  usable_after_2s_percent,reach_ms,unused_percent,messages_per_s";
    let mut csv = format!("{header}\n");
    println!("worst of {SEEDS} seeds (unused and messages: mean)");
    println!(
        "| way | excess | above rate | usable 2 s after a move | 90% reached after | unused | messages/s |"
    );
    println!("|---|---|---|---|---|---|---|");
    for name in ["lent", "static", "central"] {
        let mut worst = Stats {
            after: f64::MAX,
            ..Stats::default()
        };
        for seed in 0..SEEDS {
            let one = run(policy(name).as_mut(), seed);
            csv += &format!(
                "{name},{seed},{:.2},{:.2},{:.1},{},{:.2},{:.1}\n",
                one.excess, one.above_rate, one.after, one.reach, one.unused, one.messages
            );
            worst.excess = worst.excess.max(one.excess);
            worst.above_rate = worst.above_rate.max(one.above_rate);
            worst.after = worst.after.min(one.after);
            worst.reach = worst.reach.max(one.reach);
            worst.unused += one.unused / SEEDS as f64;
            worst.messages += one.messages / SEEDS as f64;
        }
        println!(
            "| {name} | {:.1}% | {:.1}% | {:.1}% | {} ms | {:.1}% | {:.1} |",
            worst.excess, worst.above_rate, worst.after, worst.reach, worst.unused, worst.messages
        );
    }
    match env::args().nth(1) {
        Some(path) => fs::write(path, csv),
        None => Ok(()),
    }
}
