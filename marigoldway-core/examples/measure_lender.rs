//! Measures the time that a lender takes per report, by the number of reporting
//! agents.
//!
//! A lender is the entry (a load balancer process) that lends shares, parts of one
//! customer's allowance, to agents. Agents are the processes beside the targets. They
//! report the customer's demand to the lender.
//!
//! ```text
//! cargo run --release -p marigoldway-core --example measure_lender -- out.csv
//! ```

use std::env;
use std::fs;
use std::hint::black_box;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use marigoldway_core::share::Report;
use marigoldway_core::share::ShareOptions;
use marigoldway_core::share::amounts::Amounts;
use marigoldway_core::share::loans::CustomerLoans;
use marigoldway_core::time::Timestamp;

/// Minimum number of timed reports; the agents report in turn.
const MIN_REPORTS: u64 = 20_000;
/// Minimum simulated time for which all agents report, in seconds.
const MIN_SECONDS: u64 = 5;
/// Interval between checks for expired shares.
const TICK: Duration = Duration::from_millis(50);

const ALLOWANCE: Amounts = Amounts {
    rate: 10_000_000,
    connections: 100_000,
    bulk: 1_000,
};

fn report(number: u64, applied: u64, rng: &mut StdRng) -> Report {
    Report {
        customer: "a".to_owned(),
        number,
        requested: Amounts {
            rate: rng.random_range(0..20_000),
            connections: rng.random_range(0..200),
            bulk: rng.random_range(0..4),
        },
        open: Amounts::default(),
        share: Amounts::default(),
        applied,
    }
}

/// Returns the mean time per report in microseconds.
fn report_cost(agents: u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(1);
    let mut loans = CustomerLoans::new(ShareOptions::default(), Timestamp::ZERO);
    let now = |n: u64| Timestamp::from_micros(10_000_000 + n * 1_000_000 / agents);
    let addr = |n: u64| SocketAddrV4::new(Ipv4Addr::from_bits(n as u32), 7_001);
    for n in 0..agents {
        loans.report(now(0), addr(n), &report(1, 0, &mut rng), ALLOWANCE);
    }
    // Each agent reports once per second. The lender checks for expired shares
    // as often as the process does.
    let count = (MIN_SECONDS * agents).max(MIN_REPORTS);
    let mut ticked = now(0);
    let start = Instant::now();
    for n in 0..count {
        let number = 2 + n / agents;
        let report = report(number, number - 1, &mut rng);
        black_box(loans.report(now(n), addr(n % agents), &report, ALLOWANCE));
        if now(n).since(ticked) >= TICK {
            loans.expire(now(n));
            ticked = now(n);
        }
    }
    start.elapsed().as_secs_f64() * 1e6 / count as f64
}

fn main() -> io::Result<()> {
    let mut csv = String::from("agents,micros_per_report,core_percent\n");
    println!("| agents of one customer | a report | part of a core at one report a second each |");
    println!("|---|---|---|");
    for agents in [7, 70, 700, 1_300, 13_000] {
        let micros = report_cost(agents);
        let percent = micros * agents as f64 / 1e4;
        println!("| {agents} | {micros:.1} µs | {percent:.2}% |");
        csv += &format!("{agents},{micros:.2},{percent:.3}\n");
    }
    match env::args().nth(1) {
        Some(path) => fs::write(path, csv),
        None => Ok(()),
    }
}
