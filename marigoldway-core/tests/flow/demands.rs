//! An entry demands a confirmation of its routes for flows that it doesn't locate soon, while they
//! are searched, and for no others.

use std::time::Duration;

use marigoldway_core::flow::entry::EntryAction;
use marigoldway_core::time::Timestamp;

use crate::fleet::Fleet;
use crate::fleet::data;
use crate::fleet::flow;

/// Agents of two services.
const TARGETS: [(u16, &str); 4] = [(1, "orders"), (2, "orders"), (3, "papers"), (4, "papers")];

/// A fleet of two entries whose routes were confirmed a moment ago.
fn fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed, 2, &TARGETS);
    fleet.confirms = false;
    fleet.confirm(1, fleet.now);
    pass(&mut fleet, 300);
    fleet
}

fn pass(fleet: &mut Fleet, ms: u64) {
    fleet.now = fleet.now + Duration::from_millis(ms);
}

/// Passes a packet of an unknown flow to the second entry, whose messages aren't delivered yet.
fn receive(fleet: &mut Fleet, port: u16) {
    let segment = data(flow(port, 443), 7, 100);
    let action = fleet.entries[1].on_packet(fleet.now, &segment);
    assert!(matches!(action, EntryAction::Forward(_)));
}

/// The demand of the second entry after some milliseconds.
fn demand_after(fleet: &mut Fleet, ms: u64) -> Option<Timestamp> {
    pass(fleet, ms);
    fleet.entries[1].take_demand(fleet.now)
}

/// Guards against demands that wait for the end of the search.
#[test]
fn demand_is_for_the_first_packet_of_an_unknown_flow() {
    let mut fleet = fleet(1);
    let first = fleet.now;
    receive(&mut fleet, 1_000);
    let due = fleet.entries[1].demand_due().unwrap();
    assert!(due.since(first) < Duration::from_millis(45));
    assert_eq!(demand_after(&mut fleet, 5), None);
    assert_eq!(demand_after(&mut fleet, 15), Some(first));
    assert_eq!(fleet.entries[1].demand_due(), None);
}

/// Guards against calls to the store for flows that move to another entry: a change of the rotation
/// moves nearly all.
#[test]
fn demand_is_not_made_for_a_flow_that_is_located() {
    let mut fleet = fleet(2);
    let key = flow(1_000, 443);
    let origin = fleet.open(0, key).unwrap();
    assert!(fleet.talk(1, key, origin));
    assert_eq!(demand_after(&mut fleet, 100), None);
}

/// Guards against several demands for one flow: those for its packets, and those after its search.
#[test]
fn demand_is_made_once_for_a_flow() {
    let mut fleet = fleet(3);
    let key = flow(1_000, 443);
    fleet.send(1, data(key, 7, 100));
    assert!(demand_after(&mut fleet, 20).is_some());
    for _ in 0..3 {
        pass(&mut fleet, 100);
        fleet.tick();
        fleet.send(1, data(key, 7, 100));
        assert_eq!(fleet.entries[1].take_demand(fleet.now), None);
    }
    let later = fleet.now;
    fleet.send(1, data(flow(1_001, 443), 7, 100));
    assert_eq!(demand_after(&mut fleet, 20), Some(later));
}

#[test]
fn demand_is_not_made_for_a_time_that_is_confirmed() {
    let mut fleet = fleet(4);
    receive(&mut fleet, 1_000);
    fleet.confirm(1, fleet.now);
    assert_eq!(demand_after(&mut fleet, 20), None);
}

/// Guards against kept packets of an address without a route that wait for the usual read.
#[test]
fn demand_is_made_for_a_flow_without_a_route() {
    let mut fleet = fleet(5);
    let first = fleet.now;
    let action = fleet.send(1, data(flow(1_000, 446), 7, 100));
    assert_eq!(action, EntryAction::Keep);
    assert_eq!(demand_after(&mut fleet, 20), Some(first));
}

/// Guards against a second confirmation for packets that a starting entry kept: a read of the store
/// after their arrival shows the routes that the flow needs.
#[test]
fn kept_packet_is_confirmed_by_a_read_after_its_arrival() {
    let mut fleet = fleet(6);
    let (arrived, key) = (fleet.now, flow(1_000, 446));
    pass(&mut fleet, 200);
    let read = arrived + Duration::from_millis(1);
    fleet.confirm(1, arrived.before(Duration::from_millis(1)));
    let segment = data(key, 7, 100);
    let entry = &mut fleet.entries[1];
    let action = entry.on_kept_packet(fleet.now, arrived, &segment);
    assert_eq!(action, EntryAction::Keep);
    entry.confirm_routes(fleet.now, read);
    let action = entry.on_kept_packet(fleet.now, arrived, &segment);
    assert!(matches!(action, EntryAction::Reset(..)));
    let times = entry.take_reset_times();
    assert_eq!(times, [Duration::from_millis(200)]);
}

/// Guards against memory that grows with the unknown flows, and against a flow without any demand
/// when there are too many: it is demanded for once its search has ended.
#[test]
fn demand_for_many_unknown_flows_covers_the_last() {
    let mut fleet = fleet(7);
    for port in 0..3_000 {
        fleet.send(1, data(flow(1_000 + port, 443), 7, 100));
    }
    let last = fleet.now;
    for _ in 0..3 {
        pass(&mut fleet, 100);
        fleet.tick();
    }
    assert_eq!(fleet.entries[1].take_demand(fleet.now), Some(last));
    fleet.confirm(1, last);
    let resets = (0..3_000).map(|port| fleet.resets(flow(1_000 + port, 443)));
    assert_eq!(resets.sum::<usize>(), 3_000);
}
