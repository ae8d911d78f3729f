//! Measures the membership traffic per process in octets and messages per second:
//! in steady state, and after the loss of a whole failure domain.
//!
//! The processes are state machines of `marigoldway-core` in a simulation. Sizes
//! are those of the wire encoding with the frame's tag and the WebSocket header,
//! without TCP.
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
/// Numbers of entries (processes that forward packets) and of agents (processes beside the
/// targets) in each of three failure domains.
const SIZES: [(u32, u32); 4] = [(2, 15), (7, 60), (27, 240), (80, 720)];
/// Number of agents per service and failure domain.
const SERVICE_AGENTS: u32 = 3;
/// Maximum time in seconds until every entry knows all processes, which start together.
const CONVERGENCE_LIMIT: u32 = 300;
/// Time in seconds over which steady-state traffic is measured.
const STEADY_TIME: u32 = 60;
/// Time in seconds over which traffic is measured after the loss of a failure domain.
const LOSS_TIME: u32 = 60;
/// Length in octets of a frame's tag and of its WebSocket header with mask.
const OVERHEAD: usize = 16 + 8;

/// `Traffic` counts what one process sent and received.
#[derive(Clone, Copy, Default)]
struct Traffic {
    octets: usize,
    messages: usize,
}

type TrafficMap = Rc<RefCell<IndexMap<InstanceId, Traffic>>>;

fn populate(entries: u32, agents: u32, traffic: &TrafficMap) -> Fleet {
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
    let traffic = Rc::clone(traffic);
    fleet.observe = Some(Box::new(move |from, to, message: &Message| {
        let frame = Frame::Membership(MembershipWire::from(message));
        let octets = encode(&frame).expect("messages can be encoded").len() + OVERHEAD;
        let mut traffic = traffic.borrow_mut();
        for id in [from, to] {
            let total = traffic.entry(id).or_default();
            total.octets += octets;
            total.messages += 1;
        }
    }));
    fleet
}

/// Returns the mean octets and messages per running process of a role, since `traffic` was
/// last cleared.
fn mean_traffic(fleet: &Fleet, traffic: &TrafficMap, role: Role) -> (f64, f64) {
    let traffic = traffic.borrow();
    let ids: Vec<_> = fleet
        .running()
        .filter(|it| it.own().role == role)
        .map(|it| it.own().id)
        .collect();
    let mean = |field: fn(&Traffic) -> usize| {
        let values = ids.iter().filter_map(|id| traffic.get(id)).map(field);
        values.sum::<usize>() as f64 / ids.len() as f64
    };
    (mean(|it| it.octets), mean(|it| it.messages))
}

fn main() {
    let mut csv = String::from("records,role,phase,octets,messages\n");
    println!(
        "records role   steady B/s  msg/s   loss: peak B/s  sum B over {LOSS_TIME} s  moved after"
    );
    for (entries, agents) in SIZES {
        let records = 3 * (entries + agents);
        let traffic = TrafficMap::default();
        let started = Instant::now();
        let mut fleet = populate(entries, agents, &traffic);
        let converged = |fleet: &Fleet| {
            let mut entries = fleet.entries();
            entries.all(|it| it.roster().len() as u32 == records)
        };
        let converged_after = fleet.run_until(CONVERGENCE_LIMIT * SECOND, converged);
        let converged_after = converged_after.expect("the fleet converges within the limit");
        fleet.run(30 * SECOND);

        traffic.borrow_mut().clear();
        fleet.run(STEADY_TIME * SECOND);
        let roles = [Role::Entry, Role::Agent];
        let steady = roles.map(|role| mean_traffic(&fleet, &traffic, role));

        let lost: Vec<_> = fleet.processes.keys().copied().collect();
        let lost: Vec<_> = lost.into_iter().filter(|id| in_first_domain(*id)).collect();
        for id in &lost {
            fleet.kill(*id);
        }
        let mut peak = [0.0_f64; 2];
        let mut sum = [0.0; 2];
        // Number of seconds until no entry selects an agent of the lost domain for a new flow.
        let mut moved_after = None;
        for second in 1..=LOSS_TIME {
            traffic.borrow_mut().clear();
            fleet.run(SECOND);
            for (index, role) in roles.into_iter().enumerate() {
                let (octets, _) = mean_traffic(&fleet, &traffic, role);
                peak[index] = peak[index].max(octets);
                sum[index] += octets;
            }
            if moved_after.is_none() && !fleet.places_on(&lost) {
                moved_after = Some(second);
            }
        }
        for (index, name) in ["entry", "agent"].into_iter().enumerate() {
            let octets = steady[index].0 / f64::from(STEADY_TIME);
            let rate = steady[index].1 / f64::from(STEADY_TIME);
            let moved = moved_after.map_or("never".to_owned(), |it| format!("{it} s"));
            let (peak, sum) = (peak[index], sum[index]);
            println!(
                "{records:>7} {name} {octets:>11.0} {rate:>6.1} {peak:>16.0} {sum:>18.0}  {moved}"
            );
            let _ = writeln!(csv, "{records},{name},steady,{octets:.1},{rate:.2}");
            let _ = writeln!(csv, "{records},{name},loss-peak,{peak:.1},");
            let _ = writeln!(csv, "{records},{name},loss-sum,{sum:.1},");
        }
        eprintln!(
            "{records} records converged after {:.0} s of simulated time, took {:.1} s",
            converged_after.as_secs_f64(),
            started.elapsed().as_secs_f64()
        );
    }
    if let Some(file) = std::env::args().nth(1) {
        fs::write(&file, csv).expect("failed to write the CSV file");
    }
}

/// Returns whether an instance is in the first failure domain.
fn in_first_domain(id: InstanceId) -> bool {
    (id.0.ip().to_bits() - 0x7f00_0000) / 10_000 == 1
}
