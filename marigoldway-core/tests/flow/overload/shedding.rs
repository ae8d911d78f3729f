//! Tests of new flows that are reset since their request can't be served in time.

use std::time::Duration;

use crate::overload::TARGETS;
use crate::overload::capacity;
use crate::overload::class;
use crate::overload::model::Model;
use crate::overload::print;
use crate::overload::setup;

/// Loads of 2, 3 and 5 for 2 s. Best: the capacity of these 2 s and of the objective after them.
/// Guards against requests that wait in vain until the client's timeout.
#[test]
fn overload_is_served_up_to_the_capacity() {
    for (seed, load) in [(1, 2.0), (2, 3.0), (3, 5.0)] {
        let model = Model::run(setup(seed, vec![class(443, &[(0, 2_000, load)])]));
        let it = model.outcomes[0];
        let best = capacity(TARGETS.0) * 2.25;
        print(&format!("load {load}"), &it, best);
        assert!(f64::from(it.in_time) > 0.7 * best, "{load}: {it:?}");
        assert!(
            f64::from(it.timed_out) < 0.05 * f64::from(it.sent),
            "{load}: {it:?}"
        );
        assert!(f64::from(it.in_vain) < 0.01 * best, "{load}: {it:?}");
    }
}

/// Load 3 for 1.5 s, then 0.6. Best: all requests that are sent later than a second after the
/// overload are in time. Guards against retries that prolong an overload.
#[test]
fn retries_after_an_overload_end() {
    let classes = vec![
        class(443, &[(0, 1_500, 3.0)]),
        class(444, &[(2_500, 4_500, 0.6)]),
    ];
    let model = Model::run(setup(4, classes));
    let after = model.outcomes[1];
    print("after an overload", &after, f64::from(after.sent));
    assert!(
        f64::from(after.in_time) >= 0.99 * f64::from(after.sent),
        "{after:?}"
    );
}

/// Load 0.4, and 2 for one second each 13 s. Best: the capacity of each peak and of the objective
/// after it. Guards against a state that remains from one peak to the next.
#[test]
fn peaks_are_served_alike() {
    let peaks = class(443, &[(1_000, 2_000, 2.0), (14_000, 15_000, 2.0)]);
    let base = class(444, &[(0, 16_000, 0.4)]);
    let model = Model::run(setup(5, vec![peaks, base]));
    let [peaks, base] = [model.outcomes[0], model.outcomes[1]];
    let best = capacity(TARGETS.0) * (1.0 - 0.4) * 2.5;
    print("peaks", &peaks, best);
    print("base", &base, f64::from(base.sent));
    assert!(f64::from(peaks.in_time) > 0.7 * best, "{peaks:?}");
    assert!(
        f64::from(base.in_time) > 0.9 * f64::from(base.sent),
        "{base:?}"
    );
}

/// Load 0.9 for 3 s, of which a third of the targets run only 1 s; reports up to a second old.
/// Best: what the remaining targets can run, 0.67. Guards against requests that wait for lost ones.
#[test]
fn loss_of_a_third_of_the_targets_is_survived() {
    let mut setup = setup(6, vec![class(443, &[(0, 3_000, 0.9)])]);
    setup.loss = Some((1_000, TARGETS.0 / 3));
    setup.load_age = Duration::from_secs(1);
    let it = Model::run(setup).outcomes[0];
    let best = capacity(TARGETS.0) * (0.9 + 2.25 * 2.0 / 3.0);
    print("loss of a third", &it, best);
    assert!(f64::from(it.in_time) > 0.7 * best, "{it:?}");
}

/// Load 0.8 on a route of one service. Best: all in time, none reset. Guards against resets without
/// an overload.
#[test]
fn load_below_capacity_is_never_shed() {
    let it = Model::run(setup(7, vec![class(443, &[(0, 4_000, 0.8)])])).outcomes[0];
    print("load 0.8", &it, f64::from(it.sent));
    assert_eq!((it.shed, it.in_time), (0, it.sent));
}
