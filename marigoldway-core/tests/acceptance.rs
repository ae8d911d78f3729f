//! Acceptance keeps, passes, returns or refuses a new flow, and repeats a kept
//! decision for retransmissions.

use std::net::Ipv4Addr;
use std::time::Duration;

use proptest::prelude::*;

use marigoldway_core::acceptance::Acceptance;
use marigoldway_core::acceptance::AcceptanceOptions;
use marigoldway_core::acceptance::Hop;
use marigoldway_core::acceptance::Verdict;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::message::Load;
use marigoldway_core::time::Timestamp;

const NOW: Timestamp = Timestamp::from_millis(1_000);

fn peer(n: u16) -> InstanceId {
    InstanceId::new(Ipv4Addr::LOCALHOST, n)
}

fn load(n: u16, flows: u32) -> Load {
    Load { id: peer(n), flows }
}

fn offered(second: Option<InstanceId>) -> Hop {
    Hop::Offered { second }
}

fn passed() -> Hop {
    Hop::Passed { first: peer(1) }
}

fn agent(flows: u32, max_flows: u32) -> Acceptance {
    let mut acceptance = Acceptance::new(AcceptanceOptions {
        max_flows,
        ..AcceptanceOptions::default()
    });
    acceptance.set_flows(flows);
    acceptance
}

#[test]
fn decide_passes_to_a_less_loaded_second() {
    let mut acceptance = agent(10, 2_000);
    acceptance.observe(NOW, load(2, 5));
    assert_eq!(
        acceptance.decide(NOW, 1, offered(Some(peer(2)))),
        Verdict::Pass(peer(2))
    );
    acceptance.observe(NOW, load(2, 50));
    assert_eq!(
        acceptance.decide(NOW, 2, offered(Some(peer(2)))),
        Verdict::Keep
    );
}

#[test]
fn decide_keeps_while_no_load_is_known() {
    let mut acceptance = agent(10, 2_000);
    assert_eq!(
        acceptance.decide(NOW, 1, offered(Some(peer(2)))),
        Verdict::Keep
    );
}

#[test]
fn decide_ignores_a_stale_load() {
    let mut acceptance = agent(10, 2_000);
    acceptance.observe(NOW, load(2, 0));
    let later = NOW + Duration::from_secs(6);
    assert_eq!(
        acceptance.decide(later, 1, offered(Some(peer(2)))),
        Verdict::Keep
    );
}

#[test]
fn decide_keeps_a_passed_flow_at_any_load() {
    let mut acceptance = agent(10, 2_000);
    acceptance.observe(NOW, load(2, 0));
    assert_eq!(acceptance.decide(NOW, 1, passed()), Verdict::Keep);
}

#[test]
fn decide_counts_kept_flows() {
    let mut acceptance = agent(0, 2);
    assert_eq!(acceptance.decide(NOW, 1, offered(None)), Verdict::Keep);
    assert_eq!(acceptance.decide(NOW, 2, offered(None)), Verdict::Keep);
    assert_eq!(acceptance.decide(NOW, 3, offered(None)), Verdict::Refuse);
    assert_eq!(
        acceptance.decide(NOW, 4, offered(Some(peer(2)))),
        Verdict::Pass(peer(2))
    );
}

#[test]
fn decide_keeps_no_new_flow_while_leaving() {
    let mut acceptance = agent(0, 2_000);
    assert_eq!(acceptance.decide(NOW, 1, offered(None)), Verdict::Keep);
    acceptance.leave();
    assert_eq!(
        acceptance.decide(NOW, 2, offered(Some(peer(2)))),
        Verdict::Pass(peer(2))
    );
    assert_eq!(
        acceptance.decide(NOW, 3, passed()),
        Verdict::Return(peer(1))
    );
    assert_eq!(acceptance.decide(NOW, 4, Hop::Returned), Verdict::Refuse);
    // A flow that began before the agent left stays.
    assert_eq!(acceptance.decide(NOW, 1, offered(None)), Verdict::Keep);
}

#[test]
fn decide_keeps_a_returned_flow() {
    let mut acceptance = agent(10, 2_000);
    acceptance.observe(NOW, load(2, 0));
    let offer = offered(Some(peer(2)));
    assert_eq!(acceptance.decide(NOW, 1, offer), Verdict::Pass(peer(2)));
    assert_eq!(acceptance.decide(NOW, 1, Hop::Returned), Verdict::Keep);
    // A retransmission is not passed again, and the flow is not counted twice.
    assert_eq!(acceptance.decide(NOW, 1, offer), Verdict::Keep);
    assert_eq!(acceptance.flows(), 11);
}

#[test]
fn decide_does_not_remember_a_refusal() {
    let mut acceptance = agent(2, 2);
    assert_eq!(acceptance.decide(NOW, 1, offered(None)), Verdict::Refuse);
    acceptance.set_flows(1);
    assert_eq!(acceptance.decide(NOW, 1, offered(None)), Verdict::Keep);
}

#[test]
fn decide_forgets_the_oldest_beyond_max_decisions() {
    let mut acceptance = Acceptance::new(AcceptanceOptions {
        max_decisions: 4,
        ..AcceptanceOptions::default()
    });
    for key in 0..5 {
        acceptance.decide(NOW, key, passed());
    }
    acceptance.leave();
    assert_eq!(
        acceptance.decide(NOW, 0, passed()),
        Verdict::Return(peer(1))
    );
    assert_eq!(acceptance.decide(NOW, 4, passed()), Verdict::Keep);
}

proptest! {
    #[test]
    fn decide_gives_retransmissions_the_same_verdict(
        loads in prop::collection::vec((0..3_u16, 0..20_u32, any::<bool>()), 1..50),
    ) {
        let mut acceptance = agent(0, 15);
        let first = acceptance.decide(NOW, u64::MAX, offered(Some(peer(1))));
        for (index, (n, flows, hop)) in (0..).zip(loads) {
            let now = NOW + Duration::from_millis(index * 200);
            acceptance.observe(now, load(n, flows));
            let hop = if hop { passed() } else { offered(Some(peer(n))) };
            acceptance.decide(now, index, hop);
            prop_assert_eq!(acceptance.decide(now, u64::MAX, offered(Some(peer(1)))), first);
        }
    }
}
