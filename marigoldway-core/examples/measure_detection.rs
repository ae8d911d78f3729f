//! Measures how long entries keep placing new flows on a target that leaves or fails.
//!
//! An entry is a load balancer process. It places a flow on an agent, the process beside a
//! target. Monitors, which are entries, detect the failure of an agent or of another entry.
//! The example simulates agents and entries; "target" stands for its agent.
//!
//! `cargo run --release --example measure_detection -- FILE.csv`

#[allow(dead_code)]
#[path = "../tests/membership/fleet.rs"]
mod fleet;

use std::fmt::Write;
use std::fs;
use std::time::Duration;

use marigoldway_core::ids::InstanceId;
use marigoldway_core::membership::Input;
use marigoldway_core::membership::MembershipOptions;
use marigoldway_core::monitor::MonitorCandidates;
use marigoldway_core::roster::State;

use crate::fleet::Fleet;
use crate::fleet::instance;

/// Number of seeded runs of each case.
const SEEDS: u64 = 30;
/// Maximum simulated time after the event.
const TIME_LIMIT: Duration = Duration::from_secs(60);
/// Numbers of entries and of agents of service 1 in each of three domains.
const SIZES: [(u32, u32); 3] = [(1, 3), (3, 5), (20, 20)];
/// Fractions of the messages that are lost after the event.
const LOSSES: [f64; 2] = [0.0, 0.05];

#[derive(Clone, Copy)]
enum Case {
    /// The target announces that it leaves.
    Leave,
    /// The target fails without notice.
    Fail,
    /// The target and the first of its monitors fail together.
    FailWithMonitor,
    /// All processes in the target's domain fail.
    DomainFail,
}

const CASES: [(&str, Case); 4] = [
    ("leaves", Case::Leave),
    ("dies", Case::Fail),
    ("dies-with-monitor", Case::FailWithMonitor),
    ("domain-dies", Case::DomainFail),
];

/// Returns the first of the target's monitors in order of rank.
fn first_monitor(fleet: &Fleet, target: InstanceId) -> InstanceId {
    let own = &fleet.processes[&target].membership;
    MonitorCandidates::new(own.roster(), |_| true).monitors(own.own())[0]
}

/// Returns the seconds until no entry places flows on the target; infinity if
/// that takes longer than `TIME_LIMIT`.
fn detection_time(case: Case, size: (u32, u32), loss: f64, seed: u64) -> f64 {
    let mut fleet = Fleet::new(seed, MembershipOptions::default());
    let (entries, agents) = size;
    fleet.populate(3, entries, agents);
    // The seed shifts the event within a heartbeat interval.
    fleet.run(Duration::from_secs(30) + Duration::from_millis(seed * 37));
    fleet.loss = loss;

    let target = instance(15_000);
    match case {
        Case::Leave => fleet.input(target, Input::State(State::Leaving)),
        Case::Fail => fleet.kill(target),
        Case::FailWithMonitor => {
            fleet.kill(first_monitor(&fleet, target));
            fleet.kill(target);
        }
        Case::DomainFail => {
            (0..entries).for_each(|n| fleet.kill(instance(10_000 + n)));
            (0..agents).for_each(|n| fleet.kill(instance(15_000 + n)));
        }
    }
    let took = fleet.run_until(TIME_LIMIT, |it| !it.places_on(&[target]));
    took.map_or(f64::INFINITY, |it| it.as_secs_f64())
}

fn main() {
    let mut csv = String::from("records,case,loss,mean,max\n");
    println!("records case               loss  mean s   max s   ({SEEDS} seeds)");
    for size in SIZES {
        let records = 3 * (size.0 + size.1);
        for (name, case) in CASES {
            for loss in LOSSES {
                let times: Vec<f64> = (1..=SEEDS)
                    .map(|seed| detection_time(case, size, loss, seed))
                    .collect();
                let mean = times.iter().sum::<f64>() / SEEDS as f64;
                let max = times.iter().copied().fold(0.0, f64::max);
                println!("{records:>7} {name:<18} {loss:>4.2} {mean:>7.2} {max:>7.2}");
                let _ = writeln!(csv, "{records},{name},{loss},{mean:.3},{max:.3}");
            }
        }
    }
    if let Some(file) = std::env::args().nth(1) {
        fs::write(&file, csv).expect("the CSV file can be written");
    }
}
