//! Measures the time that an entry, a load balancer process, takes to select the target of a new flow.
//!
//! `cargo run --release --example measure_placement -- FILE.csv`

use std::fmt::Write;
use std::fs;
use std::hint::black_box;
use std::net::Ipv4Addr;
use std::time::Instant;

use marigoldway_core::ids::InstanceId;
use marigoldway_core::placement::Member;
use marigoldway_core::placement::PlacementTable;
use marigoldway_core::placement::mix;

/// Number of timed selections times the number of targets.
const ROUNDS: u64 = 2_000_000;

fn main() {
    let mut csv = String::from("targets,nanoseconds\n");
    println!("targets  ns a choice");
    for targets in [2_u32, 7, 64, 1_000] {
        let table = PlacementTable::new((1..=targets).map(|n| Member {
            id: InstanceId::new(Ipv4Addr::from_bits(0x0a00_0000 + n), 7000),
            weight: 100,
        }));
        let rounds = ROUNDS / u64::from(targets);
        let start = Instant::now();
        for key in 0..rounds {
            black_box(table.choose(mix(black_box(key))));
        }
        let nanos = start.elapsed().as_nanos() as f64 / rounds as f64;
        println!("{targets:>7} {nanos:>12.1}");
        let _ = writeln!(csv, "{targets},{nanos:.1}");
    }
    if let Some(file) = std::env::args().nth(1) {
        fs::write(&file, csv).expect("the CSV file can be written");
    }
}
