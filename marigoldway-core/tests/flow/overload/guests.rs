//! Tests of overflow beside drained domains, and of marks on queued opening packets.

use std::time::Duration;

use marigoldway_core::flow::agent::AgentAction;
use marigoldway_core::flow::entry::EntryAction;
use marigoldway_core::flow::entry::Forwarding;
use marigoldway_core::flow::entry::ResetReason;
use marigoldway_core::flow::message::Header;
use marigoldway_core::flow::message::Hello;
use marigoldway_core::flow::message::RefuseReason;
use marigoldway_core::flow::message::Verdict;

use crate::drains;
use crate::fleet::Fleet;
use crate::fleet::Mode;
use crate::fleet::Received;
use crate::fleet::agent_id;
use crate::fleet::data;
use crate::fleet::flow;
use crate::fleet::service;
use crate::fleet::split_routes;
use crate::fleet::syn;
use crate::slow_start;

/// The service `orders` in domain `a`, saturated, and the service `papers` in domain `b`, idle, as
/// the entry knows them. Nearly all flows belong to `orders`.
fn saturated_fleet() -> Fleet {
    let targets = [(1, "orders"), (3, "orders"), (2, "papers"), (4, "papers")];
    let domain_of = |n: u16| if n.is_multiple_of(2) { "b" } else { "a" };
    let mut fleet = Fleet::with_domains(61, 1, &targets, domain_of);
    fleet.apply_routes(split_routes(2, &[("orders", 10_000), ("papers", 1)]));
    for n in [1, 3] {
        let record = fleet.agents[&agent_id(n)].flows.hello(fleet.now).record;
        let mut load = fleet.agents[&agent_id(n)].flows.load(fleet.now);
        load.running = load.slots;
        load.waiting = load.slots;
        let hello = Hello {
            record,
            load,
            version: 2,
        };
        fleet.entries[0].on_hello(fleet.now, &hello);
    }
    fleet
}

/// What the entry does with the opening packet of a new flow.
fn place(fleet: &mut Fleet, client: u16) -> EntryAction {
    fleet.entries[0].on_packet(fleet.now, &syn(flow(client, 443), 0))
}

fn forwarding(action: EntryAction) -> Forwarding {
    match action {
        EntryAction::Forward(forwardings) => forwardings[0],
        other => panic!("{other:?}"),
    }
}

/// Guards against a flow that overflows to a service whose targets are in a drained domain.
#[test]
fn overflow_skips_drained_domains() {
    let mut fleet = saturated_fleet();
    let before = forwarding(place(&mut fleet, 1_000));
    assert_eq!(before.header.service, service("papers"));
    assert_eq!(before.header.placement_hint.home, Some(service("orders")));
    drains::tell_all(&mut fleet, &drains::drain("b"));
    for n in 0..20 {
        let after = forwarding(place(&mut fleet, 1_100 + n));
        assert_eq!(after.header.service, service("orders"), "{n}");
        assert_eq!(after.header.placement_hint.home, None, "{n}");
    }
}

/// Guards against overflow in place of the rejection that an operator gets who drains all domains of
/// a service.
#[test]
fn overflow_does_not_start_for_a_drained_service() {
    let mut fleet = saturated_fleet();
    drains::tell_all(&mut fleet, &drains::drain("a"));
    let action = place(&mut fleet, 1_000);
    assert!(
        matches!(action, EntryAction::Reset(_, ResetReason::Drained)),
        "{action:?}"
    );
}

/// Guards against a flow of another service that a drained agent drops, or forwards to a further
/// agent of the service that the flow overflowed to.
#[test]
fn guest_at_a_drained_agent_returns_to_its_service() {
    let mut fleet = drains::start(62, 1);
    drains::tell_agents(&mut fleet, &drains::drain("a"));
    let drained = drains::members("a").next().unwrap();
    let home = agent_id(99);
    let mut header = drains::header(Some(home), None, 0);
    header.placement_hint.home = Some(service("papers"));
    let actions = drains::open_at(&mut fleet, drained, &header, 1_000);
    let [
        AgentAction::ToEntry(_, report),
        AgentAction::ToAgents(agents, onward),
    ] = &actions[..]
    else {
        panic!("{actions:?}");
    };
    assert_eq!(report.verdict, Verdict::Refused(RefuseReason::Drained));
    assert_eq!(agents, &[home]);
    let expected = Header {
        hops: 1,
        other: None,
        service: service("papers"),
        placement_hint: drains::header(None, None, 0).placement_hint,
        ..header
    };
    assert_eq!(*onward, expected);
}

/// Guards against an opening packet that loses its sequence number while it waits for the ramp: the
/// request of its flow then runs although the client has replaced the flow.
#[test]
fn queued_open_keeps_its_sequence_number() {
    let mut fleet = slow_start::slow_fleet(63, 1, &[(1, "orders")], 6);
    fleet.set_mode(1, Mode::Mute);
    let keys: Vec<_> = (0..7).map(|n| flow(1_000 + n, 443)).collect();
    for key in &keys {
        fleet.send(0, syn(*key, 0));
    }
    assert_eq!(fleet.target(1).openings.len(), 6);
    fleet.now = fleet.now + Duration::from_millis(1_001);
    fleet.release_openings();
    assert_eq!(fleet.target(1).openings.len(), 7);
    for key in &keys {
        let origin = fleet.received.iter().find_map(|(flow, it)| match it {
            Received::Segment(segment) if flow == key => Some(segment.seq),
            Received::Segment(_) | Received::Reset(_) => None,
        });
        fleet.send(0, data(*key, origin.unwrap(), 100));
    }
    let waiting = |fleet: &Fleet| fleet.agents[&agent_id(1)].flows.load(fleet.now).waiting;
    assert_eq!(waiting(&fleet), 1);
    let mut other = syn(keys[6], 1);
    other.seq = 900;
    fleet.send(0, other);
    assert_eq!(waiting(&fleet), 0);
}
