//! Flows at an entry that doesn't have the newest configuration. Another entry had it when the flow
//! was opened, so the flow is never reset before this entry's configuration is known to be newer.

use std::time::Duration;

use marigoldway_core::flow::entry::EntryAction;
use marigoldway_core::flow::route_moves::Continuity;

use crate::fleet::Fleet;
use crate::fleet::data;
use crate::fleet::flow;
use crate::fleet::routes;
use crate::fleet::syn;

/// Agents of two services.
const TARGETS: [(u16, &str); 4] = [(1, "orders"), (2, "orders"), (3, "papers"), (4, "papers")];

/// A fleet of two entries, of which the first alone has the configuration `ports`. The routes of the
/// second were confirmed a moment before that.
fn fleet_with_newer_routes(seed: u64, ports: &[(u16, &str)]) -> Fleet {
    let mut fleet = Fleet::new(seed, 2, &TARGETS);
    fleet.confirms = false;
    fleet.confirm(1, fleet.now);
    fleet.now = fleet.now + Duration::from_millis(300);
    fleet.entries[0].set_routes(fleet.now, routes(2, ports), Continuity::Next);
    fleet
}

fn settle(fleet: &mut Fleet) {
    for _ in 0..3 {
        fleet.now = fleet.now + Duration::from_millis(100);
        fleet.tick();
    }
}

/// Guards against the reset of an open flow by an entry that lacks a route that was just added.
#[test]
fn unrouted_flow_of_a_newer_configuration_is_kept() {
    let ports = [(443, "orders"), (444, "papers"), (445, "orders")];
    let mut fleet = fleet_with_newer_routes(1, &ports);
    let key = flow(1_000, 445);
    let origin = fleet.open(0, key).unwrap();
    for _ in 0..4 {
        assert_eq!(fleet.send(1, data(key, origin, 100)), EntryAction::Keep);
        fleet.now = fleet.now + Duration::from_millis(200);
    }
    fleet.entries[1].set_routes(fleet.now, routes(2, &ports), Continuity::Next);
    assert!(fleet.talk(1, key, origin));
    assert_eq!(fleet.resets(key), 0);
}

/// Guards against the end of an attempt that another entry has already placed.
#[test]
fn unrouted_copy_of_an_opening_packet_is_kept() {
    let mut fleet = fleet_with_newer_routes(2, &[(443, "orders"), (445, "orders")]);
    let key = flow(1_000, 445);
    assert!(matches!(
        fleet.send(0, syn(key, 0)),
        EntryAction::Forward(_)
    ));
    assert_eq!(fleet.send(1, syn(key, 1)), EntryAction::Keep);
    assert_eq!(fleet.resets(key), 0);
}

#[test]
fn unrouted_flow_is_reset_once_the_routes_are_confirmed() {
    let mut fleet = fleet_with_newer_routes(3, &[(443, "orders")]);
    let key = flow(1_000, 446);
    let first = fleet.now;
    assert_eq!(fleet.send(1, data(key, 7, 100)), EntryAction::Keep);
    fleet.now = fleet.now + Duration::from_millis(600);
    // The store's answer is older than the flow's first packet here.
    fleet.confirm(1, first.before(Duration::from_millis(1)));
    assert_eq!(fleet.send(1, data(key, 7, 100)), EntryAction::Keep);
    fleet.confirm(1, first);
    let action = fleet.send(1, data(key, 7, 100));
    assert!(matches!(action, EntryAction::Reset(..)));
}

#[test]
fn flow_to_a_dropped_route_is_reset_once_the_routes_are_confirmed() {
    let mut fleet = fleet_with_newer_routes(4, &[(443, "orders")]);
    let key = flow(1_000, 444);
    let origin = fleet.open(1, key).unwrap();
    assert_eq!(fleet.send(0, data(key, origin, 100)), EntryAction::Keep);
    fleet.confirm(0, fleet.now);
    let action = fleet.send(0, data(key, origin, 100));
    assert!(matches!(action, EntryAction::Reset(..)));
}

/// Guards against the reset of an open flow by an entry that searches it in the former service of
/// its address.
#[test]
fn flow_at_a_newer_service_is_not_reset_before_the_routes_are_confirmed() {
    let ports = [(443, "papers"), (444, "papers")];
    let mut fleet = fleet_with_newer_routes(5, &ports);
    let key = flow(1_000, 443);
    let origin = fleet.open(0, key).unwrap();
    for _ in 0..4 {
        fleet.send(1, data(key, origin, 100));
        settle(&mut fleet);
    }
    assert_eq!(fleet.resets(key), 0);
    fleet.entries[1].set_routes(fleet.now, routes(2, &ports), Continuity::Next);
    fleet.confirm(1, fleet.now);
    assert!((0..3).any(|_| {
        let answered = fleet.talk(1, key, origin);
        settle(&mut fleet);
        answered
    }));
    assert_eq!(fleet.resets(key), 0);
}

#[test]
fn flow_that_is_gone_is_reset_by_the_confirmation() {
    let mut fleet = fleet_with_newer_routes(6, &[(443, "orders")]);
    let key = flow(1_000, 443);
    fleet.send(1, data(key, 7, 100));
    let first = fleet.now;
    settle(&mut fleet);
    assert_eq!(fleet.resets(key), 0);
    fleet.confirm(1, first);
    assert_eq!(fleet.resets(key), 1);
}
