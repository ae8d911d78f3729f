//! Tests of opening packets that a target returns, and of requests whose client has gone.

use std::time::Duration;

use marigoldway_core::flow::agent::AgentAction;
use marigoldway_core::flow::agent::DropReason;
use marigoldway_core::flow::key::FlowKey;

use crate::fleet::Fleet;
use crate::fleet::Mode;
use crate::fleet::agent_id;
use crate::fleet::data;
use crate::fleet::flow;
use crate::fleet::syn;

/// Number of targets that an opening packet has reached.
fn targets_reached(fleet: &Fleet, key: FlowKey) -> usize {
    let targets = fleet.agents.values().filter_map(|it| it.target.as_ref());
    targets.filter(|it| it.seen.contains(&key)).count()
}

/// Guards against an opening packet that goes from target to target while all reject it.
#[test]
fn returned_open_is_redirected_once() {
    let five: Vec<(u16, &str)> = (1..=5).map(|n| (n, "orders")).collect();
    let mut fleet = Fleet::new(11, 1, &five);
    for n in 1..=5 {
        fleet.set_mode(n, Mode::Returning);
    }
    for n in 0..20 {
        let key = flow(1_000 + n, 443);
        fleet.send(0, syn(key, 0));
        assert_eq!(targets_reached(&fleet, key), 2, "flow {n}");
    }
}

/// A fleet of one target that answers no request, with six requests at it and one queued, and the
/// key and origin of the queued one.
fn fleet_with_queued_request() -> (Fleet, FlowKey, u32) {
    let mut fleet = Fleet::new(12, 1, &[(1, "orders")]);
    fleet.set_mode(1, Mode::Mute);
    let mut last = None;
    for n in 0..7 {
        let key = flow(1_000 + n, 443);
        let origin = fleet.open(0, key).unwrap();
        fleet.send(0, data(key, origin, 100));
        last = Some((key, origin));
    }
    let (key, origin) = last.unwrap();
    assert_eq!(queued(&fleet), (6, 1));
    (fleet, key, origin)
}

/// Numbers of requests at the target of agent 1 and in front of it.
fn queued(fleet: &Fleet) -> (u16, u16) {
    let load = fleet.agents[&agent_id(1)].flows.load(fleet.now);
    (load.running, load.waiting)
}

/// Guards against a request that runs although its client has closed the flow, also if the client
/// repeats its data.
#[test]
fn queued_request_of_a_closed_flow_never_runs() {
    let (mut fleet, key, origin) = fleet_with_queued_request();
    let mut close = data(key, origin, 0);
    close.flags.fin = true;
    fleet.send(0, close);
    assert_eq!(queued(&fleet), (6, 0));
    fleet.now = fleet.now + Duration::from_millis(400);
    fleet.tick();
    assert_eq!(queued(&fleet), (0, 0));
    let action = |fleet: &mut Fleet| fleet.send_owned(1, data(key, origin, 100));
    assert_eq!(
        action(&mut fleet),
        [AgentAction::Drop(DropReason::Abandoned)]
    );
    assert_eq!(queued(&fleet), (0, 0));
}

/// Guards against a request that runs for a flow that the client has replaced by another one between
/// the same addresses.
#[test]
fn queued_request_of_a_replaced_flow_is_removed() {
    let (mut fleet, key, _) = fleet_with_queued_request();
    // A copy of the flow's own opening packet, and a first copy, which may be an old one.
    fleet.send(0, syn(key, 1));
    let mut other = syn(key, 0);
    other.seq = 900;
    fleet.send(0, other);
    assert_eq!(queued(&fleet), (6, 1));
    other.ack = 1;
    fleet.send(0, other);
    assert_eq!(queued(&fleet), (6, 0));
}
