//! Tests of the order in which queued requests are served under load.

use crate::overload::TARGETS;
use crate::overload::capacity;
use crate::overload::class;
use crate::overload::model::Class;
use crate::overload::model::Model;
use crate::overload::print;
use crate::overload::setup;

/// Load 2 in the higher priority and 0.5 in the lower one for 2 s, on long flows. Best: a tenth of
/// the slots' time for the lower one, and the rest for the higher. Guards against starvation.
#[test]
fn lower_priority_gets_a_tenth() {
    let high = class(443, &[(0, 2_000, 2.0)]);
    let low = Class {
        priority: 2,
        ..class(444, &[(0, 2_000, 0.5)])
    };
    let model = Model::run(setup(1, vec![high, low]));
    let [high, low] = [model.outcomes[0], model.outcomes[1]];
    let total = capacity(TARGETS.0) * 2.0;
    print("higher", &high, 0.9 * total);
    print("lower", &low, 0.1 * total);
    assert!(f64::from(low.in_time + low.late) > 0.08 * total, "{low:?}");
    assert!(f64::from(high.in_time) > 0.6 * total, "{high:?}");
}

/// Load 2 in the lower priority and 0.4 in the higher one for 2 s. Best: the higher one is all in
/// time. Guards against an overload of one class that harms a higher one.
#[test]
fn overload_in_a_lower_priority_leaves_the_higher_one() {
    let high = class(443, &[(0, 2_000, 0.4)]);
    let low = Class {
        priority: 2,
        ..class(444, &[(0, 2_000, 2.0)])
    };
    let model = Model::run(setup(2, vec![high, low]));
    let [high, low] = [model.outcomes[0], model.outcomes[1]];
    print("higher", &high, f64::from(high.sent));
    print("lower", &low, 0.6 * capacity(TARGETS.0) * 2.25);
    assert!(
        f64::from(high.in_time) > 0.98 * f64::from(high.sent),
        "{high:?}"
    );
}

/// Load 2 from two addresses, as behind the translator of one domain, and 0.4 from 200 others, for
/// 2 s, with the same priority. Best: the others are all in time. Guards against a client address
/// that takes the capacity of others.
#[test]
fn many_requests_of_one_address_leave_those_of_others() {
    let many = Class {
        addresses: (2, 1_000),
        ..class(443, &[(0, 2_000, 2.0)])
    };
    let others = class(444, &[(0, 2_000, 0.4)]);
    let model = Model::run(setup(3, vec![many, others]));
    let [many, others] = [model.outcomes[0], model.outcomes[1]];
    print("many", &many, 0.6 * capacity(TARGETS.0) * 2.25);
    print("others", &others, f64::from(others.sent));
    assert!(
        f64::from(others.in_time) > 0.9 * f64::from(others.sent),
        "{others:?}"
    );
}
