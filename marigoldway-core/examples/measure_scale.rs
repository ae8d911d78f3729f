//! Measures the processor time that membership takes at an entry, by roster size.
//!
//! An entry is a load balancer process. Its roster has one record for each entry and each
//! agent, the process beside a target. Membership keeps the roster up to date by messages.
//!
//! `cargo run --release --example measure_scale -- FILE.csv`

use std::fmt::Write;
use std::fs;
use std::hint::black_box;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;
use rand::SeedableRng;
use rand::rngs::StdRng;

use marigoldway_core::digest;
use marigoldway_core::ids::DomainId;
use marigoldway_core::ids::Incarnation;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::ids::RegionId;
use marigoldway_core::ids::ServiceId;
use marigoldway_core::membership::Input;
use marigoldway_core::membership::Membership;
use marigoldway_core::membership::MembershipOptions;
use marigoldway_core::message::Delta;
use marigoldway_core::message::Heartbeat;
use marigoldway_core::message::Message;
use marigoldway_core::message::Scope;
use marigoldway_core::roster::FULL_WEIGHT;
use marigoldway_core::roster::Record;
use marigoldway_core::roster::Role;
use marigoldway_core::roster::State;
use marigoldway_core::time::Timestamp;

/// Number of failure domains.
const DOMAINS: u32 = 7;
/// Number of agents per entry at full size.
const AGENTS_PER_ENTRY: u32 = 9;
/// Number of agents per service at full size.
const AGENTS_PER_SERVICE: u32 = 3;

fn record(n: u32) -> Record {
    let ip = Ipv4Addr::from_bits(0x0a00_0000 + n);
    let is_entry = n.is_multiple_of(AGENTS_PER_ENTRY + 1);
    Record {
        id: InstanceId::new(ip, 7000),
        incarnation: Incarnation(1),
        role: if is_entry { Role::Entry } else { Role::Agent },
        service: (!is_entry).then_some(ServiceId((n / AGENTS_PER_SERVICE) as u16)),
        domain: DomainId((n / 10 % DOMAINS) as u8),
        region: RegionId((n / 10 % DOMAINS / 3) as u8),
        control: SocketAddrV4::new(ip, 7001),
        state: State::Serving,
        version: 0,
        weight: FULL_WEIGHT,
    }
}

/// Returns the mean time of one call of `work` in microseconds.
fn micros(rounds: u32, mut work: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    (0..rounds).for_each(&mut work);
    start.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

fn main() {
    let mut csv = String::from("records,action,microseconds\n");
    println!(
        "records  heartbeat us  quiet tick us  tick after an entry left us  view us  digest us"
    );
    for records in [50, 200, 800, 14_500] {
        let mut rng = StdRng::seed_from_u64(1);
        let options = MembershipOptions::default();
        let mut now = Timestamp::from_millis(1_000);
        let mut entry = Membership::new(now, record(0), Vec::new(), options);
        let others: Vec<Record> = (1..records).map(record).collect();
        let from = others[0].control;
        let delta = Delta {
            records: others,
            counters: Vec::new(),
        };
        let message = Message::Delta(delta);
        entry.handle(now, Input::Receive { from, message }, &mut rng);
        entry.handle(now, Input::Tick, &mut rng);

        let sum = digest::sum(entry.roster(), Scope::Service(ServiceId(0)));
        let heartbeat = micros(200, |_| {
            let message = Message::Heartbeat(Heartbeat {
                id: record(1).id,
                incarnation: Incarnation(1),
                version: 0,
                sum: Some(sum),
                revision: 0,
            });
            black_box(entry.handle(now, Input::Receive { from, message }, &mut rng));
        });
        let quiet = micros(5, |_| {
            now = now + Duration::from_millis(200);
            black_box(entry.handle(now, Input::Tick, &mut rng));
        });
        let churn = micros(5, |round| {
            now = now + Duration::from_millis(200);
            let mut left = record(10 * (round + 1));
            left.state = State::Leaving;
            left.version = 1;
            let message = Message::Delta(Delta {
                records: vec![left],
                counters: Vec::new(),
            });
            entry.handle(now, Input::Receive { from, message }, &mut rng);
            black_box(entry.handle(now, Input::Tick, &mut rng));
        });
        let none = IndexSet::new();
        let view = micros(10, |_| {
            black_box(entry.roster().view(&none));
        });
        let sums = micros(10, |_| {
            black_box(digest::digest(entry.roster(), Scope::All));
        });
        println!(
            "{records:>7} {heartbeat:>13.1} {quiet:>14.0} {churn:>28.0} {view:>8.0} {sums:>10.0}"
        );
        let figures = [heartbeat, quiet, churn, view, sums];
        for (action, figure) in ["heartbeat", "tick", "churn", "view", "digest"]
            .iter()
            .zip(figures)
        {
            let _ = writeln!(csv, "{records},{action},{figure:.1}");
        }
    }
    if let Some(file) = std::env::args().nth(1) {
        fs::write(&file, csv).expect("the CSV file can be written");
    }
}
