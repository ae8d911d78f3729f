//! A directory agent denies a flow only by a list of agents that was the newest one when the flow was
//! open.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::fleet::agent_id;
use crate::fleet::flow;
use crate::fleet::service;

/// Two agents, each beside a target of the service `orders`.
const ORDERS: [(u16, &str); 2] = [(1, "orders"), (2, "orders")];

/// Number of flows that a test opens.
const FLOWS: u16 = 40;

/// A flow by the port of its client, with its initial sequence number.
type Opened = (u16, u32);

fn open_all(fleet: &mut Fleet) -> Vec<Opened> {
    let clients = 1_000..1_000 + FLOWS;
    clients
        .map(|client| (client, fleet.open(0, flow(client, 443)).unwrap()))
        .collect()
}

/// Sends data on each flow through entry 1, three times. Returns the number of flows that were
/// answered.
fn answered(fleet: &mut Fleet, opened: &[Opened]) -> usize {
    let mut answered = vec![false; opened.len()];
    for _ in 0..3 {
        for ((client, origin), answered) in opened.iter().zip(&mut answered) {
            *answered |= fleet.talk(1, flow(*client, 443), *origin);
        }
        settle(fleet);
    }
    answered.into_iter().filter(|it| *it).count()
}

/// Waits until queries and replies were exchanged.
fn settle(fleet: &mut Fleet) {
    for _ in 0..3 {
        fleet.now = fleet.now + Duration::from_millis(100);
        fleet.tick();
    }
}

fn resets(fleet: &Fleet, opened: &[Opened]) -> usize {
    let clients = opened.iter().map(|(client, _)| *client);
    clients.map(|client| fleet.resets(flow(client, 443))).sum()
}

/// Agent 1 no longer knows agent 2, as one that doesn't hear from the store when agent 2 is registered
/// again. Agent 2's first hellos are over.
fn forget_agent_2(fleet: &mut Fleet) {
    for _ in 0..15 {
        fleet.now = fleet.now + Duration::from_secs(1);
        fleet.heartbeat(1);
        fleet.heartbeat(2);
        fleet.tick();
    }
    let node = fleet.agents.get_mut(&agent_id(1)).unwrap();
    node.flows.agents_mut().remove(agent_id(2));
}

/// Guards against the reset of open flows by the word of a directory agent that doesn't hear from the
/// store, and so doesn't know that their holder is registered again.
#[test]
fn flows_are_kept_by_a_directory_agent_that_doesnt_hear_from_the_store() {
    let mut fleet = Fleet::new(1, 2, &ORDERS);
    forget_agent_2(&mut fleet);
    fleet.cut_off.insert(agent_id(1));
    let opened = open_all(&mut fleet);
    let held = opened.iter().map(|(client, _)| flow(*client, 443));
    let at_2 = held.filter(|it| fleet.holder(*it) == Some(agent_id(2)));
    assert!(at_2.count() > 5);
    answered(&mut fleet, &opened);
    assert_eq!(resets(&fleet, &opened), 0);
    // The list that is confirmed then has the holder.
    fleet.cut_off.clear();
    fleet.share_roster();
    assert_eq!(answered(&mut fleet, &opened), opened.len());
    assert_eq!(resets(&fleet, &opened), 0);
}

/// Guards against the same where the process of the holder is younger than the flows, so that it can
/// only tell by its target.
#[test]
fn flows_of_a_young_process_are_kept_by_a_directory_agent_that_doesnt_hear_from_the_store() {
    let mut fleet = Fleet::new(2, 2, &ORDERS);
    let opened = open_all(&mut fleet);
    fleet.start_agent(2, "orders");
    fleet.heartbeat(2);
    fleet.announce_again(2);
    fleet.share_with_entries();
    forget_agent_2(&mut fleet);
    fleet.cut_off.insert(agent_id(1));
    answered(&mut fleet, &opened);
    assert_eq!(resets(&fleet, &opened), 0);
}

/// Guards against flows that nobody finds while a directory agent doesn't hear from the store: an agent
/// whose record was gone announces itself to its peers again.
#[test]
fn flows_are_found_after_their_holder_has_announced_itself_again() {
    let mut fleet = Fleet::new(3, 2, &ORDERS);
    let opened = open_all(&mut fleet);
    forget_agent_2(&mut fleet);
    fleet.cut_off.insert(agent_id(1));
    let node = fleet.agents.get_mut(&agent_id(2)).unwrap();
    node.flows.announce_again();
    settle(&mut fleet);
    assert_eq!(answered(&mut fleet, &opened), opened.len());
    assert_eq!(resets(&fleet, &opened), 0);
}

/// Guards against flows of a target that starts under an agent whose record was removed: its peers
/// don't hear from the store.
#[test]
fn agent_announces_itself_again_with_a_new_target() {
    let mut fleet = Fleet::new(4, 2, &ORDERS);
    forget_agent_2(&mut fleet);
    fleet.cut_off.insert(agent_id(1));
    fleet.start_target(2, "orders");
    fleet.heartbeat(2);
    settle(&mut fleet);
    let opened = open_all(&mut fleet);
    assert_eq!(answered(&mut fleet, &opened), opened.len());
}

/// Guards against the reset of open flows by an agent whose service was changed: it knew the agents of
/// its former service only.
#[test]
fn agent_of_another_service_denies_no_flow_of_its_new_one() {
    let mut fleet = Fleet::new(6, 2, &[(1, "orders"), (2, "orders"), (3, "papers")]);
    let opened = open_all(&mut fleet);
    let node = fleet.agents.get_mut(&agent_id(3)).unwrap();
    assert!(node.flows.set_service(fleet.now, service("orders")));
    fleet.share_with_entries();
    fleet.advance(Duration::from_secs(12));
    answered(&mut fleet, &opened);
    assert_eq!(resets(&fleet, &opened), 0);
    fleet.share_roster();
    assert_eq!(answered(&mut fleet, &opened), opened.len());
    assert_eq!(resets(&fleet, &opened), 0);
}

#[test]
fn flow_that_is_gone_is_reset_once_the_list_is_confirmed() {
    let mut fleet = Fleet::new(5, 2, &ORDERS);
    let opened = open_all(&mut fleet);
    for n in 1..=2 {
        fleet.stop(n);
        fleet.start_agent(n, "orders");
        fleet.start_target(n, "orders");
        fleet.announce(n);
    }
    fleet.advance(Duration::from_secs(12));
    fleet.share_roster();
    fleet.cut_off.extend([agent_id(1), agent_id(2)]);
    answered(&mut fleet, &opened);
    assert_eq!(resets(&fleet, &opened), 0);
    fleet.cut_off.clear();
    answered(&mut fleet, &opened);
    let told = |it: &&Opened| fleet.resets(flow(it.0, 443)) > 0;
    assert_eq!(opened.iter().filter(told).count(), opened.len());
}
