//! An entry that has never seen a flow locates the agent whose target holds it.
//!
//! The entry forwards the packet to one of the flow's two directory agents, with
//! which the holder registers the flow. If neither knows the flow, a directory agent
//! searches all agents of the service.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::fleet::IDLE_TIMEOUT;
use crate::fleet::agent_id;
use crate::fleet::flow;
use crate::fleet::service;

/// Five agents, each beside a target of the service `orders`.
const ORDERS: [(u16, &str); 5] = [
    (1, "orders"),
    (2, "orders"),
    (3, "orders"),
    (4, "orders"),
    (5, "orders"),
];

/// Number of flows that a test opens: enough that every pair of agents is the pair
/// of directory agents of some flows.
const FLOWS: u16 = 60;

/// Opens the flows through entry 0. Returns their numbers and initial sequence
/// numbers.
fn open_all(fleet: &mut Fleet) -> Vec<(u16, u32)> {
    let opened = (0..FLOWS).map(|n| (n, fleet.open(0, flow(1_000 + n, 443)).unwrap()));
    opened.collect()
}

/// Sends data on each flow through entry `n`. Returns the number of flows whose target
/// answers, and whose client has received no reset.
fn answered(fleet: &mut Fleet, n: usize, opened: &[(u16, u32)]) -> usize {
    let mut count = 0;
    for (client, origin) in opened {
        let key = flow(1_000 + client, 443);
        if fleet.talk(n, key, *origin) && fleet.resets(key) == 0 {
            count += 1;
        }
    }
    count
}

#[test]
fn locate_at_an_entry_that_never_saw_the_flow() {
    let mut fleet = Fleet::new(1, 2, &ORDERS);
    let opened = open_all(&mut fleet);
    assert_eq!(answered(&mut fleet, 1, &opened), opened.len());
}

#[test]
fn locate_after_one_agent_joined() {
    let mut fleet = Fleet::new(2, 2, &ORDERS);
    let opened = open_all(&mut fleet);
    fleet.start_agent(6, "orders");
    fleet.start_target(6, "orders");
    fleet.share_roster();
    // No owner has registered its flows again yet.
    assert_eq!(answered(&mut fleet, 1, &opened), opened.len());
}

#[test]
fn locate_after_four_agents_joined() {
    let mut fleet = Fleet::new(3, 2, &ORDERS);
    let opened = open_all(&mut fleet);
    for n in 6..=9 {
        fleet.start_agent(n, "orders");
        fleet.start_target(n, "orders");
        fleet.share_roster();
    }
    fleet.tick();
    assert_eq!(answered(&mut fleet, 1, &opened), opened.len());
}

#[test]
fn locate_without_a_directory_agent_that_knows_the_flow() {
    let mut fleet = Fleet::new(4, 2, &ORDERS);
    let opened = open_all(&mut fleet);
    for n in 6..=20 {
        fleet.start_agent(n, "orders");
        fleet.start_target(n, "orders");
    }
    fleet.share_roster();
    // Agents whose tables contain every flow of their targets receive a query for
    // many flows, but not the packet itself. The flow's next packet reaches the target.
    answered(&mut fleet, 1, &opened);
    fleet.now = fleet.now + Duration::from_millis(200);
    fleet.tick();
    assert_eq!(answered(&mut fleet, 1, &opened), opened.len());
}

#[test]
fn locate_of_an_idle_flow_after_an_agent_joined() {
    let mut fleet = Fleet::new(5, 2, &ORDERS);
    let opened = open_all(&mut fleet);
    fleet.advance(IDLE_TIMEOUT - Duration::from_secs(5));
    fleet.start_agent(6, "orders");
    fleet.start_target(6, "orders");
    fleet.share_roster();
    fleet.tick();
    assert_eq!(answered(&mut fleet, 1, &opened), opened.len());
}

#[test]
fn locate_with_a_dead_directory_agent() {
    let mut fleet = Fleet::new(6, 2, &ORDERS);
    let opened = open_all(&mut fleet);
    let living: Vec<(u16, u32)> = opened
        .into_iter()
        .filter(|(n, _)| fleet.holder(flow(1_000 + n, 443)) != Some(agent_id(3)))
        .collect();
    // The dead agent is still registered in the store.
    fleet.stop(3);
    let first = answered(&mut fleet, 1, &living);
    assert!(first < living.len(), "no directory agent was dead");
    // The next packet of a flow, such as a retransmission, goes to the other directory
    // agent.
    answered(&mut fleet, 1, &living);
    // By now each owner has reported to the entry that it holds the flow.
    assert_eq!(answered(&mut fleet, 1, &living), living.len());
}

#[test]
fn locate_after_all_agents_restarted() {
    let mut fleet = Fleet::new(7, 2, &ORDERS);
    let opened = open_all(&mut fleet);
    for n in 1..=5 {
        fleet.start_agent(n, "orders");
        fleet.heartbeat(n);
    }
    fleet.share_roster();
    assert_eq!(answered(&mut fleet, 1, &opened), opened.len());
}

#[test]
fn owned_after_the_owner_restarted() {
    let mut fleet = Fleet::new(8, 1, &ORDERS);
    let opened = open_all(&mut fleet);
    for n in 1..=5 {
        fleet.start_agent(n, "orders");
        fleet.heartbeat(n);
        fleet.share_roster();
        assert_eq!(answered(&mut fleet, 0, &opened), opened.len());
    }
}

#[test]
fn locate_after_all_entries_restarted() {
    let mut fleet = Fleet::new(9, 2, &ORDERS);
    let opened = open_all(&mut fleet);
    fleet.restart_entry(0);
    fleet.restart_entry(1);
    assert_eq!(answered(&mut fleet, 0, &opened), opened.len());
    assert_eq!(answered(&mut fleet, 1, &opened), opened.len());
}

#[test]
fn locate_of_a_flow_that_two_targets_answered() {
    let mut fleet = Fleet::new(10, 2, &ORDERS);
    for n in 0..FLOWS {
        let key = flow(3_000 + n, 443);
        let first = fleet.open(0, key).unwrap();
        // A late copy of the opening packet may open the flow at another target too.
        fleet.send(1, crate::fleet::syn(key, 1));
        assert!(fleet.talk(1, key, first), "flow {n}");
        assert_eq!(fleet.resets(key), 0);
    }
}

#[test]
fn packets_never_reach_another_service() {
    let mut fleet = Fleet::new(11, 2, &[(1, "orders"), (2, "orders"), (3, "papers")]);
    let opened = open_all(&mut fleet);
    // The instance of agent 2 is reassigned to another service.
    fleet.stop(2);
    fleet.start_agent(2, "papers");
    fleet.start_target(2, "papers");
    answered(&mut fleet, 0, &opened);
    fleet.open(0, flow(9_000, 443));
    for node in fleet.agents.values() {
        let target = node.target.as_ref().unwrap();
        if target.service == service("papers") {
            assert!(target.seen.iter().all(|key| key.server.port() == 444));
        }
    }
}

#[test]
fn locate_with_one_directory_agent_replaced_and_one_dead() {
    let targets: Vec<(u16, &str)> = (1..=8).map(|n| (n, "orders")).collect();
    let mut fleet = Fleet::new(12, 2, &targets);
    let opened = open_all(&mut fleet);
    // A joining agent replaces one directory agent of some flows. The other directory
    // agent of some of these flows is dead and still registered in the store.
    fleet.start_agent(9, "orders");
    fleet.start_target(9, "orders");
    fleet.announce(9);
    fleet.share_with_entries();
    fleet.stop(3);
    let living: Vec<(u16, u32)> = opened
        .into_iter()
        .filter(|(n, _)| fleet.holder(flow(1_000 + n, 443)).is_some())
        .collect();
    // A client sends a packet five times before it times out.
    for _ in 0..4 {
        answered(&mut fleet, 1, &living);
        fleet.now = fleet.now + Duration::from_millis(200);
        for n in [1, 2, 4, 5, 6, 7, 8, 9] {
            fleet.heartbeat(n);
        }
        // Only the joining agent ticks, so no owner registers its flows again.
        fleet.tick_agent(agent_id(9));
    }
    assert_eq!(answered(&mut fleet, 1, &living), living.len());
}
