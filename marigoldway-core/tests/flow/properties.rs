//! Two properties hold for any order, loss and duplication of datagrams, and for any
//! sequence of restarts and changes of the roster, the list of agents: a flow that a
//! target holds is never reset, and no packet reaches another service. The first one
//! also holds while the address of the flows moves between services.

use std::num::NonZeroU32;
use std::time::Duration;

use proptest::prelude::*;

use marigoldway_core::flow::capacity::LogTime;
use marigoldway_core::flow::message::Header;
use marigoldway_core::flow::message::Intent;
use marigoldway_core::flow::message::LoadLevel;
use marigoldway_core::flow::message::PlacementHint;
use marigoldway_core::flow::target::Heartbeat;

use crate::fleet::Fleet;
use crate::fleet::agent_id;
use crate::fleet::data;
use crate::fleet::flow;
use crate::fleet::routes;
use crate::fleet::server;
use crate::fleet::service;
use crate::fleet::split_routes;
use crate::fleet::syn;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A client opens its flow through an entry: entry and client.
    Open(u8, u16),
    /// A copy of a client's opening packet arrives at an entry: entry and client.
    Copy(u8, u16),
    /// A client sends data through an entry if its flow is open: entry and client.
    Talk(u8, u16),
    /// An entry is replaced by a new process.
    RestartEntry(u8),
    /// An agent is replaced by a new process. Its target keeps running.
    RestartAgent(u16),
    /// An agent and a target of the service `orders` start, or replace running ones.
    AddAgent(u16),
    /// An agent and its target are replaced by ones of the service `papers`.
    TakeOver(u16),
    /// Every process receives the records of all agents.
    ShareRoster,
    /// Every process ticks.
    Tick,
}

fn arb_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..2_u8, 0..12_u16).prop_map(|(n, client)| Event::Open(n, client)),
        2 => (0..2_u8, 0..12_u16).prop_map(|(n, client)| Event::Copy(n, client)),
        8 => (0..2_u8, 0..12_u16).prop_map(|(n, client)| Event::Talk(n, client)),
        1 => (0..2_u8).prop_map(Event::RestartEntry),
        1 => (1..5_u16).prop_map(Event::RestartAgent),
        1 => (5..9_u16).prop_map(Event::AddAgent),
        1 => (3..5_u16).prop_map(Event::TakeOver),
        2 => Just(Event::ShareRoster),
        2 => Just(Event::Tick),
    ]
}

/// A change during which flows must stay reachable or silent, never reset.
#[derive(Clone, Copy, Debug)]
enum RouteEvent {
    /// A client opens its flow through an entry: entry and client.
    Open(u8, u16),
    /// A client sends data through an entry if its flow is open: entry and client.
    Talk(u8, u16),
    /// The address of the flows goes to the services with these weights.
    Route(u32, u32),
    /// An entry is replaced by a new process, which reads the store.
    RestartEntry(u8),
    /// An agent is replaced by a new process. Its target keeps running.
    RestartAgent(u16),
    /// Every process receives the records of all agents.
    ShareRoster,
    /// Time passes, and every process ticks.
    Tick,
}

fn arb_route_event() -> impl Strategy<Value = RouteEvent> {
    prop_oneof![
        4 => (0..2_u8, 0..12_u16).prop_map(|(n, client)| RouteEvent::Open(n, client)),
        8 => (0..2_u8, 0..12_u16).prop_map(|(n, client)| RouteEvent::Talk(n, client)),
        2 => (0..3_u32, 0..3_u32).prop_map(|(a, b)| RouteEvent::Route(a, b)),
        1 => (0..2_u8).prop_map(RouteEvent::RestartEntry),
        1 => (1..7_u16).prop_map(RouteEvent::RestartAgent),
        2 => Just(RouteEvent::ShareRoster),
        4 => Just(RouteEvent::Tick),
    ]
}

/// Any message of a process, also one that no process would send.
fn arb_header() -> impl Strategy<Value = Header> {
    let intents = [Intent::Open, Intent::Owned, Intent::Locate, Intent::Search];
    let ids = (1..9_u16, prop::option::of(0..9_u16));
    let best = prop::option::of((0..9_u16, any::<u16>()));
    let hint = (any::<u16>(), best, any::<bool>());
    let rest = (any::<u8>(), any::<u64>(), any::<bool>());
    let rest = (rest, any::<u32>(), any::<u32>());
    (prop::sample::select(intents.to_vec()), ids, hint, rest).prop_map(
        |(
            intent,
            (entry, other),
            (threshold, best, home),
            ((hops, version, search), ramp, waited),
        )| {
            Header {
                intent,
                hops,
                service: service("orders"),
                version,
                entry: agent_id(entry),
                other: other.map(agent_id),
                search,
                work: routes(1, &[(443, "orders")]).by_addr[&server(443)].work,
                placement_hint: PlacementHint {
                    threshold: LoadLevel(threshold),
                    best: best.map(|(id, load)| (agent_id(id), LoadLevel(load))),
                    reference: LogTime(threshold),
                    home: home.then(|| service("papers")),
                },
                ramp: NonZeroU32::new(ramp),
                waited: Duration::from_millis(u64::from(waited)),
            }
        },
    )
}

/// Numbers that are often at the limit of their type.
fn arb_number() -> impl Strategy<Value = u64> {
    prop_oneof![any::<u64>(), Just(u64::MAX), Just(0)]
}

fn arb_heartbeat() -> impl Strategy<Value = Heartbeat> {
    let slots = prop_oneof![any::<u16>(), Just(u16::MAX)];
    let rest = (any::<bool>(), slots, any::<u32>());
    (arb_number(), arb_number(), rest).prop_map(
        |(started_at, number, (draining, slots, slow_start))| Heartbeat {
            id: "t1".to_owned(),
            started_at,
            number,
            service: service("orders"),
            draining,
            slots: slots.max(1),
            slow_start: Duration::from_millis(u64::from(slow_start)),
        },
    )
}

/// Name of the service of agent `n`; `orders` if the agent isn't running.
fn service_name(fleet: &Fleet, n: u16) -> &'static str {
    let known = fleet.agents.get(&agent_id(n));
    match known.map(|node| node.flows.service()) {
        Some(it) if it == service("papers") => "papers",
        _ => "orders",
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn history_never_resets_or_misroutes_a_flow(
        seed: u64,
        loss in 0..30_u32,
        duplication in 0..20_u32,
        events in prop::collection::vec(arb_event(), 1..80),
    ) {
        let targets = [(1, "orders"), (2, "orders"), (3, "orders"), (4, "papers")];
        let mut fleet = Fleet::new(seed, 2, &targets);
        fleet.loss = loss;
        fleet.duplication = duplication;
        let mut origins = [None; 12];
        for event in events {
            match event {
                Event::Open(n, client) => {
                    if origins[usize::from(client)].is_none() {
                        origins[usize::from(client)] =
                            fleet.open(usize::from(n), flow(client, 443));
                    }
                }
                Event::Copy(n, client) => {
                    fleet.send(usize::from(n), syn(flow(client, 443), 1));
                }
                Event::Talk(n, client) => {
                    if let Some(origin) = origins[usize::from(client)] {
                        fleet.talk(usize::from(n), flow(client, 443), origin);
                    }
                }
                Event::RestartEntry(n) => fleet.restart_entry(usize::from(n)),
                Event::RestartAgent(n) => {
                    let name = service_name(&fleet, n);
                    fleet.start_agent(n, name);
                    fleet.heartbeat(n);
                }
                Event::AddAgent(n) => {
                    fleet.start_agent(n, "orders");
                    fleet.start_target(n, "orders");
                }
                Event::TakeOver(n) => {
                    fleet.stop(n);
                    fleet.start_agent(n, "papers");
                    fleet.start_target(n, "papers");
                }
                Event::ShareRoster => fleet.share_roster(),
                Event::Tick => fleet.tick(),
            }
            // A flow may be reset once its target was replaced, since no target holds
            // it any more.
            for (client, origin) in (0..).zip(&origins) {
                let held = origin.is_some_and(|origin| fleet.is_held(flow(client, 443), origin));
                let reset = fleet.resets(flow(client, 443)) > 0;
                prop_assert!(!held || !reset, "a flow that a target holds was reset");
            }
        }
        for node in fleet.agents.values() {
            let target = node.target.as_ref().unwrap();
            let other = target.service != service("orders");
            prop_assert!(!other || target.seen.is_empty(), "a packet reached another service");
        }
    }

    #[test]
    fn changes_of_routes_never_reset_a_flow(
        seed: u64,
        loss in 0..20_u32,
        events in prop::collection::vec(arb_route_event(), 1..80),
    ) {
        let targets = [
            (1, "orders"), (2, "orders"), (3, "orders"), (4, "papers"), (5, "papers"), (6, "papers"),
        ];
        let mut fleet = Fleet::new(seed, 2, &targets);
        fleet.loss = loss;
        let mut origins = [None; 12];
        let mut version = 1;
        for event in events {
            match event {
                RouteEvent::Open(n, client) => {
                    let origin = &mut origins[usize::from(client)];
                    if origin.is_none() {
                        *origin = fleet.open(usize::from(n), flow(client, 443));
                    }
                }
                RouteEvent::Talk(n, client) => {
                    if let Some(origin) = origins[usize::from(client)] {
                        fleet.talk(usize::from(n), flow(client, 443), origin);
                    }
                }
                RouteEvent::Route(orders, papers) => {
                    version += 1;
                    let weights = [("orders", orders), ("papers", papers)];
                    fleet.apply_routes(split_routes(version, &weights));
                }
                RouteEvent::RestartEntry(n) => fleet.restart_entry_with_lists(usize::from(n)),
                RouteEvent::RestartAgent(n) => {
                    let name = service_name(&fleet, n);
                    fleet.start_agent(n, name);
                    fleet.heartbeat(n);
                }
                RouteEvent::ShareRoster => fleet.share_roster(),
                RouteEvent::Tick => {
                    fleet.now = fleet.now + Duration::from_millis(100);
                    fleet.tick();
                }
            }
            for (client, origin) in (0..).zip(&origins) {
                let held = origin.is_some_and(|origin| fleet.is_held(flow(client, 443), origin));
                let reset = fleet.resets(flow(client, 443)) > 0;
                prop_assert!(!held || !reset, "a flow that a target holds was reset");
            }
        }
    }

    #[test]
    fn any_message_is_handled(
        headers in prop::collection::vec(arb_header(), 1..40),
        opens: bool,
        has_target: bool,
        len in 0..3_u16,
    ) {
        let mut fleet = Fleet::new(1, 1, &[(1, "orders"), (2, "orders"), (3, "orders")]);
        if !has_target {
            fleet.agents[&agent_id(1)].flows.on_leave(fleet.now, "t1");
        }
        for (client, header) in (0..).zip(headers) {
            let key = flow(client % 8, 443);
            let segment = if opens { syn(key, u32::from(len)) } else { data(key, 7, len) };
            let flows = &mut fleet.agents[&agent_id(1)].flows;
            let mut actions = Vec::new();
            flows.on_client(fleet.now, &header, &segment, b"data", &mut actions);
            flows.on_query(fleet.now, header.entry, header.entry, &[key], &mut actions);
            let class = header.work.class;
            flows.on_search(fleet.now, header.entry, class, &[key, key], &mut actions);
            flows.on_not_held(fleet.now, header.entry, &[key], &mut actions);
            flows.tick(fleet.now, &mut actions);
        }
    }

    /// Another program may write any number into a heartbeat.
    #[test]
    fn any_heartbeat_is_handled(heartbeats in prop::collection::vec(arb_heartbeat(), 1..20)) {
        let mut fleet = Fleet::new(1, 1, &[(1, "orders"), (2, "orders")]);
        for heartbeat in heartbeats {
            let flows = &mut fleet.agents[&agent_id(1)].flows;
            flows.on_heartbeat(fleet.now, heartbeat, &mut Vec::new());
            fleet.send(0, syn(flow(1, 443), 0));
            fleet.now = fleet.now + Duration::from_millis(700);
            fleet.tick();
        }
    }
}
