//! Tests of new flows that go to another service of their route.

use std::time::Duration;

use crate::overload::SERVICE_MS;
use crate::overload::TARGETS;
use crate::overload::capacity;
use crate::overload::class;
use crate::overload::model::Class;
use crate::overload::model::Model;
use crate::overload::model::Outcome;
use crate::overload::print;
use crate::overload::setup;

/// A class of which nearly all flows go to `main` by weight, but may overflow.
fn shared_class(load: f64, flow_requests: u32) -> Class {
    Class {
        weights: (1_000, 1),
        flow_requests,
        ..class(443, &[(0, 3_000, load)])
    }
}

/// Load 0.7. Best: all in time, and each flow where the weights place it. Guards against an overflow
/// that starts while the own service has spare capacity.
#[test]
fn overflow_below_capacity_takes_nothing() {
    for flow_requests in [1, 20] {
        let mut setup = setup(1, vec![shared_class(0.7, flow_requests)]);
        let on = Model::run(setup.clone()).outcomes[0];
        setup.overflow = false;
        let off = Model::run(setup).outcomes[0];
        print("below capacity", &on, f64::from(on.sent));
        assert_eq!(on, off);
        assert_eq!(on.in_time, on.sent);
    }
}

/// Load 1.25 for 3 s, reports up to a second old. Best: all in time, since both services together
/// have a capacity of 1.33. Guards against overflow that leaves the second service idle.
#[test]
fn overflow_in_an_overload_uses_the_second_service() {
    let mut setup = setup(2, vec![shared_class(1.25, 1)]);
    let present = Model::run(setup.clone()).outcomes[0];
    print(
        "overflow on, present loads",
        &present,
        f64::from(present.sent),
    );
    assert!(f64::from(present.in_time) > 0.95 * f64::from(present.sent));
    setup.load_age = Duration::from_secs(1);
    let on = Model::run(setup.clone()).outcomes[0];
    setup.overflow = false;
    let off = Model::run(setup).outcomes[0];
    print("overflow on", &on, f64::from(on.sent));
    print("overflow off", &off, f64::from(off.sent));
    // The reports of the first second show no load, and flows are accepted up to an occupancy of 0.7.
    let usable = 0.7 * capacity(TARGETS.1) * 2.0;
    assert!(f64::from(on.at_second) > 0.7 * usable, "{on:?}");
    let missed = |it: &Outcome| it.sent - it.in_time;
    assert!(3 * missed(&on) < 2 * missed(&off), "{on:?} {off:?}");
}

/// Load 2 for 3 s on `main`, and 0.3 of the second service's capacity on its own route, with flows
/// of many requests and reports up to a second old. Best: the requests of the second service are all
/// in time. Guards against overflow that takes the other service's own capacity.
#[test]
fn overflow_leaves_the_other_service_its_capacity() {
    let own_load = 0.3 * f64::from(TARGETS.1) / f64::from(TARGETS.0);
    let own = Class {
        weights: (0, 1),
        ..class(444, &[(0, 4_000, own_load)])
    };
    let mut setup = setup(3, vec![shared_class(2.0, 20), own]);
    setup.load_age = Duration::from_secs(1);
    let on = Model::run(setup.clone()).outcomes;
    setup.overflow = false;
    let off = Model::run(setup).outcomes;
    print("guests", &on[0], capacity(TARGETS.0 + TARGETS.1) * 3.0);
    print("own, on", &on[1], f64::from(on[1].sent));
    print("own, off", &off[1], f64::from(off[1].sent));
    assert!(f64::from(on[1].in_time) >= 0.99 * f64::from(on[1].sent));
    let mean = |it: &Outcome| it.answer_ms / f64::from(it.in_time + it.late + it.too_late);
    // An own request may wait for the rest of one request of a guest.
    assert!(mean(&on[1]) < mean(&off[1]) + SERVICE_MS);
}
