//! Properties that hold for any order, loss and duplication of datagrams, and any
//! sequence of roster changes.

use proptest::prelude::*;

use crate::fleet::Fleet;
use crate::fleet::agent_id;
use crate::fleet::flow;
use crate::fleet::service;
use crate::fleet::syn;

#[derive(Clone, Copy, Debug)]
enum Event {
    Open(u8, u16),
    Copy(u8, u16),
    Talk(u8, u16),
    RestartEntry(u8),
    RestartAgent(u8),
    AddAgent(u8),
    TakeOver(u8),
    ShareRoster,
    Tick,
}

fn arb_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..2_u8, 0..12_u16).prop_map(|(n, it)| Event::Open(n, it)),
        2 => (0..2_u8, 0..12_u16).prop_map(|(n, it)| Event::Copy(n, it)),
        8 => (0..2_u8, 0..12_u16).prop_map(|(n, it)| Event::Talk(n, it)),
        1 => (0..2_u8).prop_map(Event::RestartEntry),
        1 => (1..5_u8).prop_map(Event::RestartAgent),
        1 => (5..9_u8).prop_map(Event::AddAgent),
        1 => (3..5_u8).prop_map(Event::TakeOver),
        2 => Just(Event::ShareRoster),
        2 => Just(Event::Tick),
    ]
}

/// Name of the service of agent `n`; `orders` if the agent isn't running.
fn name(fleet: &Fleet, n: u8) -> &'static str {
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
                Event::Open(n, it) => {
                    if origins[usize::from(it)].is_none() {
                        origins[usize::from(it)] = fleet.open(usize::from(n), flow(it, 443));
                    }
                }
                Event::Copy(n, it) => {
                    fleet.send(usize::from(n), syn(flow(it, 443), 1));
                }
                Event::Talk(n, it) => {
                    if let Some(origin) = origins[usize::from(it)] {
                        fleet.talk(usize::from(n), flow(it, 443), origin);
                    }
                }
                Event::RestartEntry(n) => fleet.restart_entry(usize::from(n)),
                Event::RestartAgent(n) => {
                    let name = name(&fleet, n);
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
            // A flow is gone if its target was replaced.
            for (it, origin) in (0..).zip(&origins) {
                let held = origin.is_some_and(|origin| fleet.is_held(flow(it, 443), origin));
                let reset = fleet.resets(flow(it, 443)) > 0;
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
