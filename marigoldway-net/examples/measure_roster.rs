//! Measures what membership costs a process in octets and messages a second:
//! steady, and when a failure domain is lost whole.
//!
//! The processes are the state machines of the core; sizes are those of the
//! real encoding, with the frame's tag and the WebSocket header, without TCP.
//!
//! `cargo run --release -p marigoldway-net --example measure_roster -- FILE.csv`

#[allow(dead_code)]
#[path = "../../marigoldway-core/tests/membership/fleet.rs"]
mod fleet;

use std::cell::RefCell;
use std::fmt::Write;
use std::fs;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use marigoldway_core::ids::InstanceId;
use marigoldway_core::membership::MembershipOptions;
use marigoldway_core::message::Message;
use marigoldway_core::roster::Role;
use marigoldway_net::wire::Frame;
use marigoldway_net::wire::encode;
use marigoldway_net::wire::membership::MembershipWire;

use crate::fleet::Fleet;
use crate::fleet::record;

const SECOND: Duration = Duration::from_secs(1);
/// Entries and agents in each of three domains.
const SIZES: [(u32, u32); 4] = [(2, 15), (7, 60), (27, 240), (80, 720)];
/// Agents of a service in a domain.
const SERVICE_AGENTS: u32 = 3;
/// Longest time in which all processes, started at once, find each other.
const SETTLE: u32 = 300;
/// Time over which steady traffic is measured.
const STEADY: u32 = 60;
/// Time over which the loss of a domain is measured.
const LOSS: u32 = 60;
/// Octets of a frame's tag and of its WebSocket header with mask.
const OVERHEAD: usize = 16 + 8;

/// Octets and messages of one process, both ways.
#[derive(Clone, Copy, Default)]
struct Traffic {
    octets: usize,
    messages: usize,
}

type Ledger = Rc<RefCell<IndexMap<InstanceId, Traffic>>>;

fn populate(entries: u32, agents: u32, ledger: &Ledger) -> Fleet {
    let mut fleet = Fleet::new(1, MembershipOptions::default());
    for domain in 1..=3_u8 {
        let base = u32::from(domain) * 10_000;
        for n in 0..entries {
            fleet.start(record(base + n, None, domain, domain.div_ceil(2)));
        }
        for n in 0..agents {
            let service = (n / SERVICE_AGENTS) as u16 + 1;
            let own = record(base + 5_000 + n, Some(service), domain, domain.div_ceil(2));
            fleet.start(own);
        }
    }
    let ledger = Rc::clone(ledger);
    fleet.observe = Some(Box::new(move |from, to, message: &Message| {
        let frame = Frame::Membership(MembershipWire::from(message));
        let octets = encode(&frame).expect("messages can be encoded").len() + OVERHEAD;
        let mut ledger = ledger.borrow_mut();
        for id in [from, to] {
            let traffic = ledger.entry(id).or_default();
            traffic.octets += octets;
            traffic.messages += 1;
        }
    }));
    fleet
}

/// Mean octets and messages a process that runs, by role, since the last call.
fn take(fleet: &Fleet, ledger: &Ledger, role: Role) -> (f64, f64) {
    let ledger = ledger.borrow();
    let ids: Vec<_> = fleet
        .running()
        .filter(|it| it.own().role == role)
        .map(|it| it.own().id)
        .collect();
    let sum = |part: fn(&Traffic) -> usize| {
        let parts = ids.iter().filter_map(|id| ledger.get(id)).map(part);
        parts.sum::<usize>() as f64 / ids.len() as f64
    };
    (sum(|it| it.octets), sum(|it| it.messages))
}

fn main() {
    let mut csv = String::from("records,role,phase,octets,messages\n");
    println!(
        "records role   steady B/s  msg/s   loss: peak B/s  sum B over {LOSS} s  flows off it after"
    );
    for (entries, agents) in SIZES {
        let records = 3 * (entries + agents);
        let ledger = Ledger::default();
        let started = Instant::now();
        let mut fleet = populate(entries, agents, &ledger);
        let whole = |fleet: &Fleet| {
            let mut entries = fleet.entries();
            entries.all(|it| it.roster().len() as u32 == records)
        };
        let settled = fleet.run_until(SETTLE * SECOND, whole);
        let settled = settled.expect("the fleet settles");
        fleet.run(30 * SECOND);

        ledger.borrow_mut().clear();
        fleet.run(STEADY * SECOND);
        let roles = [Role::Entry, Role::Agent];
        let steady = roles.map(|role| take(&fleet, &ledger, role));

        let lost: Vec<_> = fleet.processes.keys().copied().collect();
        let lost: Vec<_> = lost.into_iter().filter(|id| is_first(*id)).collect();
        for id in &lost {
            fleet.kill(*id);
        }
        let mut peak = [0.0_f64; 2];
        let mut sum = [0.0; 2];
        let mut off = None;
        for second in 1..=LOSS {
            ledger.borrow_mut().clear();
            fleet.run(SECOND);
            for (at, role) in roles.into_iter().enumerate() {
                let (octets, _) = take(&fleet, &ledger, role);
                peak[at] = peak[at].max(octets);
                sum[at] += octets;
            }
            if off.is_none() && !fleet.places_on(&lost) {
                off = Some(second);
            }
        }
        for (at, name) in ["entry", "agent"].into_iter().enumerate() {
            let octets = steady[at].0 / f64::from(STEADY);
            let messages = steady[at].1 / f64::from(STEADY);
            let off = off.map_or("never".to_owned(), |it| format!("{it} s"));
            let (peak, sum) = (peak[at], sum[at]);
            println!(
                "{records:>7} {name} {octets:>11.0} {messages:>6.1} {peak:>16.0} {sum:>18.0}  {off}"
            );
            let _ = writeln!(csv, "{records},{name},steady,{octets:.1},{messages:.2}");
            let _ = writeln!(csv, "{records},{name},loss-peak,{peak:.1},");
            let _ = writeln!(csv, "{records},{name},loss-sum,{sum:.1},");
        }
        eprintln!(
            "{records} records settled after {:.0} s of modelled time, took {:.1} s",
            settled.as_secs_f64(),
            started.elapsed().as_secs_f64()
        );
    }
    if let Some(file) = std::env::args().nth(1) {
        fs::write(&file, csv).expect("the CSV file can be written");
    }
}

/// Tells whether an instance stands in the first domain.
fn is_first(id: InstanceId) -> bool {
    (id.0.ip().to_bits() - 0x7f00_0000) / 10_000 == 1
}
