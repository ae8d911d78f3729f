//! What an agent believes of its target.

use std::time::Duration;

use marigoldway_core::flow::key::NameKey;
use marigoldway_core::flow::message::TargetState;
use marigoldway_core::flow::target::Heartbeat;
use marigoldway_core::flow::target::HeartbeatOutcome;
use marigoldway_core::flow::target::Target;
use marigoldway_core::time::Timestamp;

use crate::fleet::HEARTBEAT;

fn beat(id: &str, started_at: u64, number: u64) -> Heartbeat {
    Heartbeat {
        id: id.to_owned(),
        started_at,
        number,
        service: NameKey::from("orders"),
        draining: false,
        slots: 4,
        slow_start: Duration::ZERO,
    }
}

fn draining(heartbeat: Heartbeat) -> Heartbeat {
    Heartbeat {
        draining: true,
        ..heartbeat
    }
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(10_000 + ms)
}

#[test]
fn heartbeat_numbers_tell_late_ones() {
    let mut target = Target::new(HEARTBEAT);
    assert_eq!(
        target.on_heartbeat(at(0), beat("a", 5, 1)),
        HeartbeatOutcome::Started
    );
    let leaving = draining(beat("a", 5, 3));
    assert_eq!(
        target.on_heartbeat(at(10), leaving),
        HeartbeatOutcome::Changed
    );
    assert_eq!(
        target.on_heartbeat(at(20), beat("a", 5, 2)),
        HeartbeatOutcome::Late
    );
    assert_eq!(target.state(at(30)), TargetState::Draining);
}

#[test]
fn heartbeat_of_a_draining_target_never_brings_it_back() {
    let mut target = Target::new(HEARTBEAT);
    target.on_heartbeat(at(0), draining(beat("a", 5, 1)));
    target.on_heartbeat(at(10), beat("a", 5, 2));
    assert_eq!(target.state(at(20)), TargetState::Draining);
}

#[test]
fn heartbeat_under_the_same_id_from_a_new_start() {
    let mut target = Target::new(HEARTBEAT);
    target.on_heartbeat(at(0), beat("a", 5, 90));
    assert_eq!(
        target.on_heartbeat(at(10), beat("a", 6, 1)),
        HeartbeatOutcome::Started
    );
    // What the former one sent before it died comes late.
    assert_eq!(
        target.on_heartbeat(at(20), beat("a", 5, 91)),
        HeartbeatOutcome::Late
    );
    assert_eq!(target.incarnations(), 2);
}

#[test]
fn heartbeat_of_a_target_that_left_is_late() {
    let mut target = Target::new(HEARTBEAT);
    target.on_heartbeat(at(0), beat("a", 5, 1));
    assert!(target.on_leave("a"));
    assert_eq!(
        target.on_heartbeat(at(10), beat("a", 5, 2)),
        HeartbeatOutcome::Late
    );
    assert_eq!(target.state(at(20)), TargetState::Absent);
}

#[test]
fn heartbeat_with_an_earlier_start_is_believed_of_a_successor() {
    let mut target = Target::new(HEARTBEAT);
    target.on_heartbeat(at(0), beat("a", 5_000, 1));
    // The clock stepped back by 2.4 s before the next target started.
    let next = beat("b", 2_600, 1);
    assert_eq!(
        target.on_heartbeat(at(500), next.clone()),
        HeartbeatOutcome::Late
    );
    assert_eq!(
        target.on_heartbeat(at(3_000), next),
        HeartbeatOutcome::Started
    );
}

#[test]
fn silence_makes_a_target_absent_before_its_address_is_used_again() {
    let mut target = Target::new(HEARTBEAT);
    target.on_heartbeat(at(0), beat("a", 5, 1));
    assert_eq!(target.state(at(1_800)), TargetState::Serving);
    assert_eq!(target.state(at(2_000)), TargetState::Absent);
}
