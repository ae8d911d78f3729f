//! Measures service at the crest of a swing: demand rises from 0.5 to 5 times
//! capacity within a second, stays for ten, and falls back.
//!
//! Run with `cargo run --release -p marigoldway-core --example measure_crest
//! [CSV]`. One row a policy, the same seeds for all, 2% bulk requests 50 times
//! as long as the short ones.

mod bench;
mod demand;
mod policy;

use std::fs;
use std::io;
use std::time::Duration;

use marigoldway_core::admission::CustomerKey;
use marigoldway_core::request::Class;
use marigoldway_core::time::Timestamp;

use crate::bench::Fate;
use crate::demand::CALM;
use crate::demand::END;
use crate::demand::FALL;
use crate::demand::RISE;
use crate::demand::SLOTS;
use crate::demand::STEADY;
use crate::demand::TOP;
use crate::policy::Kind;
use crate::policy::Policy;

/// Seeds of the runs that are pooled.
const SEEDS: u64 = 20;

/// Width of a window in which the return to normal is judged, in milliseconds.
const WINDOW: u64 = 250;

/// Length of the crest in seconds.
const CREST: f64 = (FALL - TOP) as f64 / 1_000.0;

/// `Row` is one line of the table.
struct Row {
    /// Share of the short requests of the crest that were answered in time.
    answered: f64,
    /// The same as a share of the work that the slots can do.
    worth: f64,
    /// Waits of the short requests that started: p50, p99, longest.
    crest: [Duration; 3],
    calm: [Duration; 3],
    /// Slot time of the crest not spent on requests answered in time.
    lost: f64,
    /// Time from the end of the fall until service is as before the swing.
    back: Option<Duration>,
    /// Smallest share answered in time of a customer within its plan.
    least: f64,
    /// Share answered in time of all customers within their plan.
    steady: f64,
    /// Bulk requests of the whole run that were answered in time.
    bulk: f64,
}

fn main() -> io::Result<()> {
    let mut csv = String::from(
        "policy,answered,worth,crest_p50_ms,crest_p99_ms,crest_max_ms,\
         calm_p50_ms,calm_p99_ms,calm_max_ms,lost,back_ms,within_plan,least,bulk\n",
    );
    let mut p99 = Vec::new();
    print_head();
    for kind in Kind::ALL {
        let row = Row::new(&fates(kind, true));
        print_row(kind.as_str(), &row);
        csv.push_str(&csv_row(kind.as_str(), &row));
        p99.push((row.crest[1], row.calm[1]));
    }
    let alone = Row::new(&fates(Kind::Ours, false));
    print_row("ours, no bulk work", &alone);
    csv.push_str(&csv_row("ours, no bulk work", &alone));

    let ratio = |with: Duration, without: Duration| with.as_secs_f64() / without.as_secs_f64();
    let (crest, calm) = p99[0];
    println!();
    println!("p99 wait of short work, with bulk / without:");
    println!("  crest {:.2}", ratio(crest, alone.crest[1]));
    println!("  before the swing {:.2}", ratio(calm, alone.calm[1]));
    match std::env::args().nth(1) {
        Some(path) => fs::write(path, csv),
        None => Ok(()),
    }
}

/// The pooled requests of all seeds under one policy.
fn fates(kind: Kind, bulk: bool) -> Vec<Vec<Fate>> {
    let run = |seed| {
        let mut requests = demand::draw(seed);
        requests.retain(|request| bulk || request.class == Class::Short);
        bench::run(&requests, Policy::new(kind, seed))
    };
    (1..=SEEDS).map(run).collect()
}

impl Row {
    fn new(runs: &[Vec<Fate>]) -> Row {
        let all: Vec<&Fate> = runs.iter().flatten().collect();
        let crest = short(&all, TOP, FALL);
        let calm = short(&all, 0, RISE);
        let good: Duration = crest
            .iter()
            .filter(|fate| fate.in_time())
            .map(|fate| fate.request.service)
            .sum();
        let slots = SLOTS as f64 * CREST * runs.len() as f64;
        Row {
            answered: share(&crest),
            worth: good.as_secs_f64() / slots,
            crest: waits(&crest),
            calm: waits(&calm),
            lost: 1.0 - useful(&all) / slots,
            back: back(&all, share(&calm), waits(&calm)[1]),
            least: least(runs),
            steady: share(&steady(&crest)),
            bulk: share(&bulk(&all)),
        }
    }
}

fn short<'a>(all: &[&'a Fate], from: u64, to: u64) -> Vec<&'a Fate> {
    let inside = |fate: &&&Fate| fate.is_short(from, to);
    all.iter().filter(inside).copied().collect()
}

fn bulk<'a>(all: &[&'a Fate]) -> Vec<&'a Fate> {
    let inside = |fate: &&&Fate| fate.request.class == Class::Bulk;
    all.iter().filter(inside).copied().collect()
}

fn steady<'a>(all: &[&'a Fate]) -> Vec<&'a Fate> {
    let inside = |fate: &&&Fate| fate.request.customer < CustomerKey(STEADY);
    all.iter().filter(inside).copied().collect()
}

fn share(fates: &[&Fate]) -> f64 {
    let good = fates.iter().filter(|fate| fate.in_time()).count();
    good as f64 / fates.len().max(1) as f64
}

fn waits(fates: &[&Fate]) -> [Duration; 3] {
    let mut waits: Vec<Duration> = fates.iter().filter_map(|fate| fate.wait()).collect();
    waits.sort();
    let at = |permille: usize| match waits.len() {
        0 => Duration::ZERO,
        len => waits[(len - 1) * permille / 1_000],
    };
    [at(500), at(990), at(1_000)]
}

/// Slot seconds of the crest that went into requests answered in time.
fn useful(all: &[&Fate]) -> f64 {
    let (top, fall) = (Timestamp::from_millis(TOP), Timestamp::from_millis(FALL));
    let inside = |fate: &&Fate| {
        let started = fate.started?;
        let end = (started + fate.request.service).min(fall);
        fate.in_time().then(|| end.since(started.max(top)))
    };
    let sum: Duration = all.iter().filter_map(inside).sum();
    sum.as_secs_f64()
}

/// Time from the end of the fall to the first window from which on no window is
/// worse than the time before the swing was: a smaller share answered in time
/// by a hundredth, or a median wait above the p99 of then.
fn back(all: &[&Fate], normal: f64, wait: Duration) -> Option<Duration> {
    let good = |from: u64| {
        let window = short(all, from, from + WINDOW);
        share(&window) >= normal - 0.01 && waits(&window)[0] <= wait
    };
    let last_bad = (CALM..END - 2 * WINDOW)
        .step_by(WINDOW as usize)
        .filter(|from| !good(*from))
        .last();
    match last_bad {
        None => Some(Duration::ZERO),
        Some(from) if from + 3 * WINDOW >= END => None,
        Some(from) => Some(Duration::from_millis(from + WINDOW - CALM)),
    }
}

/// The smallest share of answers in time that a customer within its plan had in
/// the crest of one run.
fn least(runs: &[Vec<Fate>]) -> f64 {
    let of = |run: &Vec<Fate>, customer: u64| {
        let own = |fate: &&Fate| {
            fate.request.customer == CustomerKey(customer) && fate.is_short(TOP, FALL)
        };
        share(&run.iter().filter(own).collect::<Vec<_>>())
    };
    runs.iter()
        .flat_map(|run| (0..STEADY).map(move |customer| of(run, customer)))
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
    let back = row
        .back
        .map_or("not".to_owned(), |back| back.as_millis().to_string());
    println!(
        "| {name} | {:.1}% | {:.1}% | {} | {} | {:.1}% | {back} | {:.1}% | {:.1}% | {:.1}% |",
        row.answered * 100.0,
        row.worth * 100.0,
        list(row.crest),
        list(row.calm),
        row.lost * 100.0,
        row.steady * 100.0,
        row.least * 100.0,
        row.bulk * 100.0,
    );
}

fn csv_row(name: &str, row: &Row) -> String {
    let list = |waits: [Duration; 3]| waits.map(|wait| format!("{:.3}", millis(wait))).join(",");
    let back = row
        .back
        .map_or(String::new(), |back| back.as_millis().to_string());
    format!(
        "\"{name}\",{:.4},{:.4},{},{},{:.4},{back},{:.4},{:.4},{:.4}\n",
        row.answered,
        row.worth,
        list(row.crest),
        list(row.calm),
        row.lost,
        row.steady,
        row.least,
        row.bulk,
    )
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
