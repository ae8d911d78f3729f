//! Two properties hold for any order, loss and duplication of datagrams, and for any
//! sequence of restarts and changes of the roster, the list of agents: a flow that a
//! target holds is never reset, and no packet reaches another service.

use proptest::prelude::*;

use crate::fleet::Fleet;
use crate::fleet::agent_id;
use crate::fleet::flow;
use crate::fleet::service;
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
    RestartAgent(u8),
    /// An agent and a target of the service `orders` start, or replace running ones.
    AddAgent(u8),
    /// An agent and its target are replaced by ones of the service `papers`.
    TakeOver(u8),
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
        1 => (1..5_u8).prop_map(Event::RestartAgent),
        1 => (5..9_u8).prop_map(Event::AddAgent),
        1 => (3..5_u8).prop_map(Event::TakeOver),
        2 => Just(Event::ShareRoster),
        2 => Just(Event::Tick),
    ]
}

/// Name of the service of agent `n`; `orders` if the agent isn't running.
fn service_name(fleet: &Fleet, n: u8) -> &'static str {
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
}
