//! Tests of placement among simulated targets that differ in speed. Each prints a row per policy,
//! from which the table in `docs/design/capacity.md` is made (`--nocapture`).

use std::time::Duration;

use crate::outcome::Outcome;
use crate::sim::Policy;
use crate::sim::Slowdown;
use crate::sim::Spec;
use crate::sim::run;

/// Number of seeds of the policies of the system.
const SEEDS: u64 = 4;

/// All policies, in the order of [`compare`]'s result.
const POLICIES: [Policy; 5] = [
    Policy::Equal,
    Policy::Two,
    Policy::Fixed,
    Policy::Known,
    Policy::Adaptive,
];

const UNIFORM: Spec = Spec {
    targets: 10,
    speeds: &[1.0],
    load: 0.8,
    slowdown: None,
    mixed: false,
    length: Duration::from_secs(24),
    seed: 1,
};

const THREE: Spec = Spec {
    targets: 12,
    speeds: &[0.6, 1.0, 1.6],
    ..UNIFORM
};

/// Runs a service under each of the policies, and prints the results. Those of the policies of the
/// system are means of several seeds: near the full capacity, they vary by two per cent.
fn compare<const N: usize>(name: &str, spec: Spec, policies: [Policy; N]) -> [Outcome; N] {
    policies.map(|policy| {
        let seeds = match policy {
            Policy::Equal | Policy::Two => 1,
            Policy::Fixed | Policy::Known | Policy::Adaptive => SEEDS,
        };
        let runs = (1..=seeds).map(|seed| run(Spec { seed, ..spec }, policy));
        let it = Outcome::mean(&runs.collect::<Vec<Outcome>>());
        println!(
            "| {name} | {policy:?} | {} | {:.2} | {:.2} | {:?} | {:?} | {:.3} | {:.3} |",
            it.p99.as_millis(),
            it.in_time * 100.0,
            it.swing,
            it.tracked,
            it.recovered,
            it.neutral,
            it.limit
        );
        it
    })
}

fn slowdown(factor: f64) -> Slowdown {
    Slowdown {
        targets: 1,
        from: Duration::from_secs(8),
        to: Duration::from_secs(15),
        factor,
        beyond_half: false,
        flapping: false,
    }
}

// Guards against estimates that disturb a service whose targets are alike.
#[test]
fn uniform_targets_are_served_as_before() {
    for load in [0.8, 0.95] {
        let spec = Spec { load, ..UNIFORM };
        let [_, _, fixed, _, adaptive] = compare(&format!("uniform, {load}"), spec, POLICIES);
        assert!(adaptive.neutral > 0.97, "{}", adaptive.neutral);
        assert!(adaptive.in_time > fixed.in_time - 0.01);
        assert!(adaptive.swing < fixed.swing * 1.2);
    }
}

// Guards against a share by slots, which overloads slow targets while fast ones have spare capacity.
#[test]
fn three_speeds_share_the_load_by_capacity() {
    for load in [0.6, 0.7, 0.8, 0.9, 0.95] {
        let spec = Spec { load, ..THREE };
        let name = format!("three speeds, {load}");
        let [equal, two, fixed, known, adaptive] = compare(&name, spec, POLICIES);
        assert!(adaptive.in_time > equal.in_time + 0.05);
        assert!(adaptive.in_time > two.in_time + 0.05);
        assert!(adaptive.in_time > fixed.in_time - 0.01);
        assert!(adaptive.in_time > known.in_time - 0.02);
        assert!(adaptive.p99 < two.p99);
    }
}

// Guards against an estimate of one class that is distorted by requests of another.
#[test]
fn three_speeds_with_mixed_classes_share_the_load() {
    let spec = Spec {
        mixed: true,
        ..THREE
    };
    let [equal, two, fixed, _, adaptive] = compare("mixed classes, 0.8", spec, POLICIES);
    assert!(adaptive.in_time > equal.in_time.max(two.in_time) + 0.05);
    assert!(adaptive.in_time > fixed.in_time - 0.01);
}

// Guards against an estimate that follows a change too slowly, or that keeps a recovered target from
// its requests.
#[test]
fn slow_target_is_tracked_and_recovers() {
    for factor in [2.0, 4.0, 8.0] {
        let spec = Spec {
            load: 0.7,
            slowdown: Some(slowdown(factor)),
            ..UNIFORM
        };
        let name = format!("one slows down by {factor}, 0.7");
        let [_, two, fixed, _, adaptive] = compare(&name, spec, POLICIES);
        assert!(adaptive.tracked.unwrap() <= Duration::from_secs(4));
        assert!(adaptive.recovered.unwrap() <= Duration::from_secs(4));
        assert!(adaptive.in_time > two.in_time + 0.05);
        assert!(adaptive.in_time > fixed.in_time - 0.01);
    }
}

// Guards against a target that gets requests in all of its slots although it is faster with half of
// them.
#[test]
fn target_that_slows_down_beyond_half_gets_fewer_requests() {
    let spec = Spec {
        load: 0.7,
        slowdown: Some(Slowdown {
            targets: 3,
            from: Duration::from_secs(6),
            to: Duration::from_secs(23),
            beyond_half: true,
            ..slowdown(3.0)
        }),
        ..UNIFORM
    };
    let [_, _, fixed, _, adaptive] = compare("three slow beyond half, 0.7", spec, POLICIES);
    assert!(adaptive.limit < 0.97, "{}", adaptive.limit);
    assert!(adaptive.in_time > fixed.in_time + 0.02);
}

// Guards against an estimate that follows a flapping target at the wrong moments.
#[test]
fn flapping_target_is_served_as_before() {
    let spec = Spec {
        load: 0.7,
        slowdown: Some(Slowdown {
            flapping: true,
            ..slowdown(4.0)
        }),
        ..UNIFORM
    };
    let [_, _, fixed, _, adaptive] = compare("one flaps by 4, 0.7", spec, POLICIES);
    assert!(adaptive.in_time > fixed.in_time - 0.01);
    assert!(adaptive.swing < fixed.swing * 1.3);
}

// Guards against a penalty if all targets slow down together.
#[test]
fn all_slow_together_are_served_as_before() {
    let spec = Spec {
        load: 0.6,
        slowdown: Some(Slowdown {
            targets: 10,
            factor: 1.5,
            ..slowdown(1.5)
        }),
        ..UNIFORM
    };
    let [_, _, fixed, _, adaptive] = compare("all slow by 1.5, 0.6", spec, POLICIES);
    assert!(adaptive.neutral > 0.95, "{}", adaptive.neutral);
    assert!(adaptive.in_time > fixed.in_time - 0.015);
}

// Guards against oscillation where many entries read the same stale figures: with more targets, the
// requests per slot vary no more over time than without estimates, and responses aren't later.
#[test]
fn thousand_targets_do_not_oscillate() {
    let spec = Spec {
        targets: 1_000,
        load: 0.9,
        length: Duration::from_secs(7),
        ..THREE
    };
    let fixed = run(spec, Policy::Fixed);
    let adaptive = run(spec, Policy::Adaptive);
    println!("1,000 of three speeds, 0.9: {fixed:?} {adaptive:?}");
    assert!(adaptive.swing < fixed.swing * 1.4);
    assert!(adaptive.in_time > fixed.in_time);
}
