//! The steps of one process that needs a confirmation.

use std::net::Ipv4Addr;
use std::time::Duration;

use marigoldway_core::ids::InstanceId;
use marigoldway_core::replica::sources::Freshness;
use marigoldway_core::replica::sources::Role;
use marigoldway_core::replica::sources::Sources;
use marigoldway_core::replica::sources::Step;
use marigoldway_core::replica::timing::Timing;

use crate::model::APPLY_LIMIT;
use crate::model::at;

fn id(n: u16) -> InstanceId {
    InstanceId::new(Ipv4Addr::LOCALHOST, n)
}

/// A process that the store answered at 0, and that has an open demand.
fn sources(role: Role) -> Sources {
    let mut sources = Sources::new(role, Timing::new(APPLY_LIMIT), Duration::from_millis(600));
    sources.on_store_answer(at(0), at(0), at(0), false);
    sources.demand(at(10));
    sources
}

fn is_demand(step: Step, follower: InstanceId) -> bool {
    matches!(step, Step::Follower(id, Freshness::AsOf(_)) if id == follower)
}

/// Guards against a follower that has just started and isn't asked again for seconds.
#[test]
fn refusal_counts_for_a_short_time_while_a_demand_is_open() {
    let mut sources = sources(Role::Reader);
    assert!(is_demand(sources.next(at(10), &[id(1), id(2)]), id(1)));
    sources.on_refusal(at(12), id(1), Duration::from_millis(300));
    // The next follower is asked at once.
    assert!(is_demand(sources.next(at(12), &[id(1), id(2)]), id(2)));
    sources.on_refusal(at(14), id(2), Duration::from_millis(300));
    let step = sources.next(at(14), &[id(1), id(2)]);
    assert_eq!(step, Step::Wait(at(112)));
    for ms in [112, 212] {
        assert!(is_demand(sources.next(at(ms), &[id(1), id(2)]), id(1)));
        sources.on_refusal(at(ms), id(1), Duration::ZERO);
        sources.on_refusal(at(ms), id(2), Duration::ZERO);
    }
    // After a while the process asks the store itself, which doesn't answer. The followers are
    // asked again before the next call.
    sources.on_refusal(at(311), id(1), Duration::ZERO);
    sources.on_refusal(at(311), id(2), Duration::ZERO);
    let step = sources.next(at(312), &[id(1), id(2)]);
    assert_eq!(step, Step::Store(Duration::ZERO));
    sources.on_store_failure(at(313), 0.5);
    let step = sources.next(at(313), &[id(1), id(2)]);
    assert_eq!(step, Step::Wait(at(411)));
    assert!(is_demand(sources.next(at(411), &[id(1), id(2)]), id(1)));
    // Without a demand the refusal counts for 5 s.
    let answer = sources.on_answer(at(420), id(1), at(411), Duration::ZERO);
    assert_eq!(answer, Some(at(411)));
    let step = sources.next(at(2_000), &[id(2)]);
    assert!(matches!(step, Step::Wait(_)), "{step:?}");
}

/// Guards against a call to the store for each demand of a process without a working follower.
#[test]
fn process_without_a_follower_calls_each_tenth_of_a_second() {
    let mut sources = sources(Role::Reader);
    let mut calls = 0;
    for ms in 10..1_010 {
        sources.demand(at(ms));
        if let Step::Store(hold) = sources.next(at(ms), &[]) {
            assert_eq!(hold, Duration::ZERO);
            calls += 1;
            sources.on_store_answer(at(ms), at(ms), at(ms), false);
            sources.demand(at(ms + 1));
        }
    }
    assert_eq!(calls, 10);
}

/// Guards against calls of the leading follower that follow each other without a pause.
#[test]
fn leading_follower_calls_each_twentieth_of_a_second() {
    let mut sources = sources(Role::Follower(id(1)));
    let mut calls = 0;
    for ms in 10..1_010 {
        sources.demand(at(ms));
        if let Step::Store(hold) = sources.next(at(ms), &[id(1), id(2)]) {
            assert_eq!(hold, Duration::ZERO);
            calls += 1;
            sources.on_store_answer(at(ms), at(ms), at(ms), false);
            sources.demand(at(ms + 1));
        }
    }
    assert_eq!(calls, 20);
}

/// Guards against a demand that bears only the time at which it is sent: a call since the decision
/// would count for nothing.
#[test]
fn demand_tells_the_age_of_the_decision() {
    let mut sources = sources(Role::Reader);
    let step = sources.next(at(45), &[id(1)]);
    let age = Duration::from_millis(35);
    assert_eq!(step, Step::Follower(id(1), Freshness::AsOf(age)));
    // The follower had a confirmation for the decision already.
    sources.on_answer(at(47), id(1), at(45), age);
    assert!(matches!(sources.next(at(200), &[id(1)]), Step::Wait(_)));
}

/// Guards against calls without number while the store refuses them: the waits grow, as without a
/// demand.
#[test]
fn failed_calls_are_repeated_after_growing_waits() {
    let mut sources = sources(Role::Reader);
    let mut calls = 0;
    for ms in 10..5_000 {
        sources.demand(at(ms));
        if let Step::Store(_) = sources.next(at(ms), &[]) {
            calls += 1;
            sources.on_store_failure(at(ms), 0.5);
        }
    }
    assert!(calls <= 5, "{calls} calls");
}
