//! Measures service during an overload: demand rises from 0.5 to 5 times
//! capacity within one second, stays there for ten seconds, and falls back.
//!
//! Run with `cargo run --release -p marigoldway-core --example measure_overload
//! [CSV]`. Prints one row per policy. All policies get the same seeds; 2% of
//! the requests are bulk requests, 50 times as long as the short ones.

mod demand;
mod policy;
mod simulation;

use std::fs;
use std::io;
use std::time::Duration;

use marigoldway_core::admission::CustomerKey;
use marigoldway_core::request::Class;
use marigoldway_core::time::Timestamp;

use crate::demand::FALL_END;
use crate::demand::FALL_START;
use crate::demand::PEAK_START;
use crate::demand::RISE_START;
use crate::demand::RUN_END;
use crate::demand::SLOTS;
use crate::demand::STEADY_CUSTOMERS;
use crate::policy::Policy;
use crate::policy::PolicyKind;
use crate::simulation::Outcome;

/// Number of seeded runs per policy; their results are pooled.
const SEEDS: u64 = 20;

/// Width of the windows in which recovery is checked, in milliseconds.
const WINDOW: u64 = 250;

/// Duration of the overload in seconds.
const OVERLOAD_SECONDS: f64 = (FALL_START - PEAK_START) as f64 / 1_000.0;

/// `Row` holds the results of one policy. Fractions are between 0 and 1.
struct Row {
    /// Fraction of the short requests of the overload answered in time.
    in_time: f64,
    /// Service time of the short requests answered in time as a fraction of the slot time of the overload.
    goodput: f64,
    /// Queueing times of the started short requests of the overload: p50, p99, maximum.
    overload_waits: [Duration; 3],
    /// Queueing times of the started short requests before the surge: p50, p99, maximum.
    normal_waits: [Duration; 3],
    /// Fraction of the slot time of the overload not spent on requests answered in time.
    wasted: f64,
    /// Time from the end of the surge until service is as before it, if within the run.
    recovery: Option<Duration>,
    /// Smallest fraction answered in time of any customer within its plan.
    worst_customer: f64,
    /// Fraction answered in time of all customers within their plan.
    within_plan: f64,
    /// Fraction of the bulk requests of the whole run answered in time.
    bulk: f64,
}

fn main() -> io::Result<()> {
    let mut csv = String::from(
        "policy,answered,worth,crest_p50_ms,crest_p99_ms,crest_max_ms,\
         calm_p50_ms,calm_p99_ms,calm_max_ms,lost,back_ms,within_plan,least,bulk\n",
    );
    let mut p99 = Vec::new();
    print_head();
    for kind in PolicyKind::ALL {
        let row = Row::new(&outcomes(kind, true));
        print_row(kind.as_str(), &row);
        csv.push_str(&csv_row(kind.as_str(), &row));
        p99.push((row.overload_waits[1], row.normal_waits[1]));
    }
    let no_bulk = Row::new(&outcomes(PolicyKind::Shipped, false));
    print_row("ours, no bulk work", &no_bulk);
    csv.push_str(&csv_row("ours, no bulk work", &no_bulk));

    let ratio = |with: Duration, without: Duration| with.as_secs_f64() / without.as_secs_f64();
    let (overload, normal) = p99[0];
    println!();
    println!("p99 wait of short work, with bulk / without:");
    println!("  crest {:.2}", ratio(overload, no_bulk.overload_waits[1]));
    println!(
        "  before the swing {:.2}",
        ratio(normal, no_bulk.normal_waits[1])
    );
    match std::env::args().nth(1) {
        Some(path) => fs::write(path, csv),
        None => Ok(()),
    }
}

/// Runs one policy with every seed; `bulk` includes the bulk requests.
fn outcomes(kind: PolicyKind, bulk: bool) -> Vec<Vec<Outcome>> {
    let run = |seed| {
        let mut requests = demand::draw(seed);
        requests.retain(|request| bulk || request.class == Class::Short);
        simulation::run(&requests, Policy::new(kind, seed))
    };
    (1..=SEEDS).map(run).collect()
}

impl Row {
    fn new(runs: &[Vec<Outcome>]) -> Row {
        let all: Vec<&Outcome> = runs.iter().flatten().collect();
        let overload = short(&all, PEAK_START, FALL_START);
        let normal = short(&all, 0, RISE_START);
        let good: Duration = overload
            .iter()
            .filter(|outcome| outcome.in_time())
            .map(|outcome| outcome.request.service)
            .sum();
        let slots = SLOTS as f64 * OVERLOAD_SECONDS * runs.len() as f64;
        Row {
            in_time: fraction_in_time(&overload),
            goodput: good.as_secs_f64() / slots,
            overload_waits: waits(&overload),
            normal_waits: waits(&normal),
            wasted: 1.0 - useful_slot_time(&all) / slots,
            recovery: recovery(&all, fraction_in_time(&normal), waits(&normal)[1]),
            worst_customer: worst_customer(runs),
            within_plan: fraction_in_time(&within_plan(&overload)),
            bulk: fraction_in_time(&bulk(&all)),
        }
    }
}

fn short<'a>(all: &[&'a Outcome], from: u64, to: u64) -> Vec<&'a Outcome> {
    let inside = |outcome: &&&Outcome| outcome.is_short(from, to);
    all.iter().filter(inside).copied().collect()
}

fn bulk<'a>(all: &[&'a Outcome]) -> Vec<&'a Outcome> {
    let inside = |outcome: &&&Outcome| outcome.request.class == Class::Bulk;
    all.iter().filter(inside).copied().collect()
}

fn within_plan<'a>(all: &[&'a Outcome]) -> Vec<&'a Outcome> {
    let inside = |outcome: &&&Outcome| outcome.request.customer < CustomerKey(STEADY_CUSTOMERS);
    all.iter().filter(inside).copied().collect()
}

/// Returns the fraction of the requests that were answered in time; 0 without requests.
fn fraction_in_time(outcomes: &[&Outcome]) -> f64 {
    let good = outcomes.iter().filter(|outcome| outcome.in_time()).count();
    good as f64 / outcomes.len().max(1) as f64
}

/// Returns the p50, p99 and maximum of the queueing times, without requests that never
/// started; zeros if none started.
fn waits(outcomes: &[&Outcome]) -> [Duration; 3] {
    let mut waits: Vec<Duration> = outcomes.iter().filter_map(|it| it.wait()).collect();
    waits.sort();
    let at = |permille: usize| match waits.len() {
        0 => Duration::ZERO,
        len => waits[(len - 1) * permille / 1_000],
    };
    [at(500), at(990), at(1_000)]
}

/// Returns the slot time of the overload spent on requests answered in time, in seconds.
fn useful_slot_time(all: &[&Outcome]) -> f64 {
    let (peak_start, fall_start) = (
        Timestamp::from_millis(PEAK_START),
        Timestamp::from_millis(FALL_START),
    );
    let inside = |outcome: &&Outcome| {
        let started = outcome.started?;
        let end = (started + outcome.request.service).min(fall_start);
        outcome
            .in_time()
            .then(|| end.since(started.max(peak_start)))
    };
    let sum: Duration = all.iter().filter_map(inside).sum();
    sum.as_secs_f64()
}

/// Returns the time from the end of the surge to the first window from which
/// on no window is worse than before the surge. A window is worse if its fraction
/// answered in time is lower by more than 0.01, or if its median wait exceeds
/// the p99 wait before the surge (`wait`).
fn recovery(all: &[&Outcome], normal: f64, wait: Duration) -> Option<Duration> {
    let good = |from: u64| {
        let window = short(all, from, from + WINDOW);
        fraction_in_time(&window) >= normal - 0.01 && waits(&window)[0] <= wait
    };
    let last_bad = (FALL_END..RUN_END - 2 * WINDOW)
        .step_by(WINDOW as usize)
        .filter(|from| !good(*from))
        .last();
    match last_bad {
        None => Some(Duration::ZERO),
        Some(from) if from + 3 * WINDOW >= RUN_END => None,
        Some(from) => Some(Duration::from_millis(from + WINDOW - FALL_END)),
    }
}

/// Returns the smallest fraction answered in time that a customer within its
/// plan had during the overload of a single run.
fn worst_customer(runs: &[Vec<Outcome>]) -> f64 {
    let in_time = |run: &Vec<Outcome>, customer: u64| {
        let own = |outcome: &&Outcome| {
            outcome.request.customer == CustomerKey(customer)
                && outcome.is_short(PEAK_START, FALL_START)
        };
        fraction_in_time(&run.iter().filter(own).collect::<Vec<_>>())
    };
    runs.iter()
        .flat_map(|run| (0..STEADY_CUSTOMERS).map(move |customer| in_time(run, customer)))
        .fold(1.0, f64::min)
}

fn print_head() {
    println!(
        "| policy | in time | of capacity | crest wait p50 / p99 / max ms | \
         calm wait p50 / p99 / max ms | lost | back after ms | within plan | least of these | bulk |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
}

fn print_row(name: &str, row: &Row) {
    let list = |waits: [Duration; 3]| waits.map(|wait| format!("{:.0}", millis(wait))).join(" / ");
    let recovery = row
        .recovery
        .map_or("not".to_owned(), |time| time.as_millis().to_string());
    println!(
        "| {name} | {:.1}% | {:.1}% | {} | {} | {:.1}% | {recovery} | {:.1}% | {:.1}% | {:.1}% |",
        row.in_time * 100.0,
        row.goodput * 100.0,
        list(row.overload_waits),
        list(row.normal_waits),
        row.wasted * 100.0,
        row.within_plan * 100.0,
        row.worst_customer * 100.0,
        row.bulk * 100.0,
    );
}

fn csv_row(name: &str, row: &Row) -> String {
    let list = |waits: [Duration; 3]| waits.map(|wait| format!("{:.3}", millis(wait))).join(",");
    let recovery = row
        .recovery
        .map_or(String::new(), |time| time.as_millis().to_string());
    format!(
        "\"{name}\",{:.4},{:.4},{},{},{:.4},{recovery},{:.4},{:.4},{:.4}\n",
        row.in_time,
        row.goodput,
        list(row.overload_waits),
        list(row.normal_waits),
        row.wasted,
        row.within_plan,
        row.worst_customer,
        row.bulk,
    )
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
