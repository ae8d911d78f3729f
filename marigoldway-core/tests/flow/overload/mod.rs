//! Tests of the decisions under overload, in a model of two services.
//!
//! Each test names its load as a multiple of what the slots of `main` can run, states the best
//! result that the capacity allows, and asserts a bound derived from it. `docs/design/overload.md`
//! has the figures.

mod guests;
mod model;
mod overflow;
mod queue;
mod shedding;

use std::time::Duration;

use model::Class;
use model::Outcome;
use model::SLOTS;
use model::Setup;

/// Mean service time in milliseconds.
const SERVICE_MS: f64 = 26.0;

/// Targets of `main` and `second`.
const TARGETS: (u16, u16) = (6, 2);

/// Requests per second that a number of targets can run.
fn capacity(targets: u16) -> f64 {
    f64::from(targets * SLOTS) * 1e3 / SERVICE_MS
}

/// Requests of a route whose flows go to `main` alone, at a load during a span in milliseconds.
fn class(port: u16, rates: &[(u64, u64, f64)]) -> Class {
    let rates = rates.iter().map(|(from, until, load)| {
        let rate = load * capacity(TARGETS.0);
        (*from, *until, rate)
    });
    Class {
        port,
        priority: 1,
        objective: Duration::from_millis(250),
        timeout: Duration::from_millis(1_500),
        weights: (1, 0),
        service_ms: SERVICE_MS,
        addresses: (200, 0),
        flow_requests: 1,
        rates: rates.collect(),
    }
}

fn setup(seed: u64, classes: Vec<Class>) -> Setup {
    Setup {
        seed,
        entries: 4,
        targets: TARGETS,
        overflow: true,
        load_age: Duration::ZERO,
        loss: None,
        classes,
    }
}

/// Prints the result beside the best one that the capacity allows, for the design note.
fn print(name: &str, outcome: &Outcome, best: f64) {
    eprintln!("{name}: best={best:.0} {outcome:?}");
}
