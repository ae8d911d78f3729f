//! Flows stay where they are when a configuration moves their address to other services.
//!
//! An entry that doesn't know such a flow finds it in whichever service holds it, or tells
//! its client that it is gone. Until then the flow is never reset.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::fleet::IDLE_TIMEOUT;
use crate::fleet::agent_id;
use crate::fleet::flow;
use crate::fleet::routes;
use crate::fleet::server;
use crate::fleet::service;
use crate::fleet::split_routes;

/// Agents of two services, four each.
const TARGETS: [(u16, &str); 8] = [
    (1, "orders"),
    (2, "orders"),
    (3, "orders"),
    (4, "orders"),
    (5, "papers"),
    (6, "papers"),
    (7, "papers"),
    (8, "papers"),
];

/// Number of flows that a test opens.
const FLOWS: u16 = 60;

/// A flow by the port of its client, with its initial sequence number.
type Opened = (u16, u32);

fn open_from(fleet: &mut Fleet, first: u16) -> Vec<Opened> {
    let clients = first..first + FLOWS;
    clients
        .map(|client| (client, fleet.open(0, flow(client, 443)).unwrap()))
        .collect()
}

/// Sends data on each flow through entry `n` three times, as a client does that gets no
/// answer. Returns the number of flows that were answered and not reset.
fn served(fleet: &mut Fleet, n: usize, opened: &[Opened]) -> usize {
    let mut answered = vec![false; opened.len()];
    for _ in 0..3 {
        for ((client, origin), answered) in opened.iter().zip(&mut answered) {
            *answered |= fleet.talk(n, flow(*client, 443), *origin);
        }
        settle(fleet);
    }
    let served = opened.iter().zip(&answered);
    served
        .filter(|((client, _), answered)| **answered && fleet.resets(flow(*client, 443)) == 0)
        .count()
}

/// Waits until the agents have exchanged queries and replies.
fn settle(fleet: &mut Fleet) {
    for _ in 0..3 {
        fleet.now = fleet.now + Duration::from_millis(100);
        fleet.tick();
    }
}

#[test]
fn flows_are_found_after_their_address_moved_to_another_service() {
    let mut fleet = Fleet::new(1, 2, &TARGETS);
    let opened = open_from(&mut fleet, 1_000);
    fleet.apply_routes(routes(2, &[(443, "papers"), (444, "orders")]));
    for n in 0..2 {
        assert_eq!(served(&mut fleet, n, &opened), opened.len(), "entry {n}");
    }
}

#[test]
fn new_flows_follow_the_route_at_once() {
    let mut fleet = Fleet::new(2, 1, &TARGETS);
    open_from(&mut fleet, 1_000);
    fleet.apply_routes(routes(2, &[(443, "papers")]));
    for (client, _) in open_from(&mut fleet, 2_000) {
        let holder = fleet.holder(flow(client, 443)).unwrap();
        assert!(holder >= agent_id(5), "{client}");
    }
}

#[test]
fn flows_are_found_after_their_address_moved_to_and_fro() {
    let mut fleet = Fleet::new(3, 2, &TARGETS);
    let mut opened = open_from(&mut fleet, 1_000);
    for (version, name, first) in [
        (2, "papers", 2_000),
        (3, "orders", 3_000),
        (4, "papers", 4_000),
    ] {
        fleet.apply_routes(routes(version, &[(443, name)]));
        opened.extend(open_from(&mut fleet, first));
    }
    assert_eq!(served(&mut fleet, 1, &opened), opened.len());
}

#[test]
fn flows_are_found_while_a_route_becomes_split_and_whole_again() {
    let mut fleet = Fleet::new(4, 2, &TARGETS);
    let mut opened = open_from(&mut fleet, 1_000);
    fleet.apply_routes(split_routes(2, &[("orders", 90), ("papers", 10)]));
    opened.extend(open_from(&mut fleet, 2_000));
    fleet.apply_routes(split_routes(3, &[("orders", 10), ("papers", 90)]));
    opened.extend(open_from(&mut fleet, 3_000));
    assert_eq!(served(&mut fleet, 1, &opened), opened.len());
    fleet.apply_routes(split_routes(4, &[("papers", 1)]));
    fleet.restart_entry_with_lists(1);
    assert_eq!(served(&mut fleet, 1, &opened), opened.len());
}

#[test]
fn flows_are_found_by_entries_that_started_after_the_change() {
    let mut fleet = Fleet::new(5, 2, &TARGETS);
    let opened = open_from(&mut fleet, 1_000);
    fleet.apply_routes(routes(2, &[(443, "papers"), (444, "orders")]));
    for n in 0..2 {
        fleet.restart_entry_with_lists(n);
        assert_eq!(served(&mut fleet, n, &opened), opened.len(), "entry {n}");
    }
}

#[test]
fn flows_are_found_after_a_change_and_the_end_of_all_processes() {
    let mut fleet = Fleet::new(6, 1, &TARGETS);
    let opened = open_from(&mut fleet, 1_000);
    fleet.apply_routes(routes(2, &[(443, "papers"), (444, "orders")]));
    for (n, name) in TARGETS {
        fleet.start_agent(n, name);
        fleet.heartbeat(n);
    }
    fleet.restart_entry_with_lists(0);
    assert_eq!(served(&mut fleet, 0, &opened), opened.len());
}

#[test]
fn flows_are_found_after_a_change_with_a_dead_directory_agent() {
    let mut fleet = Fleet::new(7, 2, &TARGETS);
    let opened = open_from(&mut fleet, 1_000);
    fleet.apply_routes(routes(2, &[(443, "papers"), (444, "orders")]));
    let held_by = |fleet: &Fleet, client| fleet.holder(flow(client, 443));
    let living: Vec<Opened> = opened
        .into_iter()
        .filter(|(client, _)| held_by(&fleet, *client) != Some(agent_id(2)))
        .collect();
    fleet.stop(2);
    assert_eq!(served(&mut fleet, 1, &living), living.len());
}

#[test]
fn flow_is_never_handed_to_a_target_of_a_reassigned_address() {
    let mut fleet = Fleet::new(8, 2, &TARGETS);
    let opened = open_from(&mut fleet, 1_000);
    // The instances of two agents are reassigned to the other service.
    for n in 1..=2 {
        fleet.stop(n);
        fleet.start_agent(n, "papers");
        fleet.start_target(n, "papers");
    }
    served(&mut fleet, 0, &opened);
    served(&mut fleet, 1, &opened);
    for n in [1, 2, 5, 6, 7, 8] {
        let target = fleet.agents[&agent_id(n)].target.as_ref().unwrap();
        assert!(target.seen.is_empty(), "agent {n}");
    }
}

#[test]
fn flow_that_is_gone_is_reset_once_no_service_of_its_address_holds_it() {
    for split in [false, true] {
        let mut fleet = Fleet::new(9, 1, &TARGETS);
        let opened = open_from(&mut fleet, 1_000);
        fleet.apply_routes(if split {
            split_routes(2, &[("orders", 50), ("papers", 50)])
        } else {
            routes(2, &[(443, "papers"), (444, "orders")])
        });
        fleet.now = fleet.now + Duration::from_secs(1);
        for (n, name) in TARGETS {
            fleet.stop(n);
            fleet.start_agent(n, name);
            fleet.start_target(n, name);
        }
        fleet.restart_entry_with_lists(0);
        for (client, origin) in &opened {
            fleet.talk(0, flow(*client, 443), *origin);
        }
        // One round of queries and one of replies: no retransmission is needed.
        for _ in 0..2 {
            fleet.now = fleet.now + Duration::from_millis(20);
            fleet.flush();
        }
        for (client, _) in &opened {
            assert_eq!(
                fleet.resets(flow(*client, 443)),
                1,
                "split={split} {client}"
            );
        }
    }
}

#[test]
fn flow_is_not_reset_while_an_agent_of_its_former_service_is_silent() {
    let mut fleet = Fleet::new(10, 1, &TARGETS);
    let opened = open_from(&mut fleet, 1_000);
    fleet.apply_routes(routes(2, &[(443, "papers"), (444, "orders")]));
    // The store still has the records of the agents that hold the flows.
    for n in 1..=4 {
        fleet.stop(n);
    }
    served(&mut fleet, 0, &opened);
    for (client, _) in &opened {
        assert_eq!(fleet.resets(flow(*client, 443)), 0, "{client}");
    }
}

#[test]
fn former_service_is_forgotten_after_the_lifetime_of_a_flow() {
    let mut fleet = Fleet::new(11, 1, &TARGETS);
    open_from(&mut fleet, 1_000);
    fleet.apply_routes(routes(2, &[(443, "papers"), (444, "orders")]));
    fleet.advance(IDLE_TIMEOUT + Duration::from_secs(6));
    let lists = fleet.listed_addrs();
    assert!(
        !lists[&service("orders")].contains(&server(443)),
        "{lists:?}"
    );
}

/// Guards against addresses that a restored store has lost and that nobody lists again: entries would
/// not look for the service's flows.
#[test]
fn address_that_the_store_has_lost_is_listed_again() {
    let mut fleet = Fleet::new(12, 1, &TARGETS);
    open_from(&mut fleet, 1_000);
    let listed = fleet.listed_addrs().clone();
    assert!(listed[&service("orders")].contains(&server(443)));
    fleet.lose_addrs();
    assert_eq!(*fleet.listed_addrs(), listed);
}

/// Guards against the reset of open flows by an entry that started after their address had moved, and
/// before any agent had listed the address: it asked the present service alone.
#[test]
fn flows_are_found_by_an_entry_that_started_before_their_address_was_listed() {
    let mut fleet = Fleet::new(13, 2, &TARGETS);
    let opened = open_from(&mut fleet, 1_000);
    fleet.apply_routes(routes(2, &[(443, "papers"), (444, "orders")]));
    fleet.restart_entry(1);
    assert_eq!(served(&mut fleet, 1, &opened), opened.len());
}

/// Guards against the same while the followers haven't recorded the move either.
#[test]
fn flows_are_found_by_an_entry_that_started_before_the_move_was_recorded() {
    let mut fleet = Fleet::new(14, 2, &TARGETS);
    let opened = open_from(&mut fleet, 1_000);
    fleet.apply_routes(routes(2, &[(443, "papers"), (444, "orders")]));
    fleet.lose_moves();
    fleet.restart_entry(1);
    assert_eq!(served(&mut fleet, 1, &opened), opened.len());
}

#[test]
fn flow_that_is_gone_is_reset_though_the_moves_were_not_recorded() {
    let mut fleet = Fleet::new(15, 1, &TARGETS);
    let opened = open_from(&mut fleet, 1_000);
    fleet.lose_moves();
    fleet.now = fleet.now + Duration::from_secs(1);
    for (n, name) in TARGETS {
        fleet.stop(n);
        fleet.start_agent(n, name);
        fleet.start_target(n, name);
    }
    fleet.restart_entry(0);
    served(&mut fleet, 0, &opened);
    for (client, _) in &opened {
        assert!(fleet.resets(flow(*client, 443)) > 0, "{client}");
    }
}
