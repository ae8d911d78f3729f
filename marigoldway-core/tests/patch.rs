//! Patches: computing and applying them, and sending them to lagging processes.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

use marigoldway_core::lists::ListKind;
use marigoldway_core::lists::patch::Patch;
use marigoldway_core::lists::propagation::Message;
use marigoldway_core::lists::propagation::Output;
use marigoldway_core::lists::propagation::Propagation;
use marigoldway_core::time::Timestamp;

const PEER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7_000);

const ALLOWANCES: &str = "list allowances\ngeneration 1\nchange 0000000000000001\n\
    service s id=1\nplan p services=s connections=1 rate=1 burst=1 bulk=1\n";

fn arb_text() -> impl Strategy<Value = String> {
    prop::collection::vec("[ab]{0,2}", 0..30)
        .prop_map(|lines| lines.iter().map(|line| format!("{line}\n")).collect())
}

proptest! {
    #[test]
    fn apply_returns_new_text(old in arb_text(), new in arb_text()) {
        let patch = Patch::new(&old, &new);
        prop_assert_eq!(patch.apply(&old), Some(new.clone()));
        prop_assert_eq!(patch.is_empty(), old == new);
    }

    #[test]
    fn apply_rejects_wrong_base(old in arb_text(), new in arb_text(), other in arb_text()) {
        let applied = Patch::new(&old, &new).apply(&other);
        prop_assert!(applied.is_none_or(|text| text == new));
    }
}

/// Plans with 2,000 customers and one more per generation.
fn plans(generation: u64) -> String {
    let mut text = format!("list plans\ngeneration {generation}\nchange {generation:016x}\n");
    for n in 0..2_000 + generation {
        text += &format!("customer customer-{n} plan=p\n");
    }
    text
}

/// A process that has read each generation of the plans up to `generation` from
/// the platform.
fn process(generation: u64) -> Propagation {
    let mut rng = StdRng::seed_from_u64(1);
    let mut propagation = Propagation::default();
    propagation.receive_stored(ListKind::Allowances, ALLOWANCES, &[], &mut rng);
    for generation in 1..=generation {
        propagation.receive_stored(ListKind::Plans, &plans(generation), &[], &mut rng);
    }
    propagation
}

/// Returns the message that `from` sends when `to` requests newer lists.
fn update_message(from: &mut Propagation, to: &Propagation) -> Message {
    let mut rng = StdRng::seed_from_u64(1);
    let ask = Message::Ask(to.held_lists().held_revisions());
    let outputs = from.receive(Timestamp::ZERO, PEER, &ask, &[], &mut rng);
    match outputs.as_slice() {
        [Output::Send { message, .. }] => message.clone(),
        other => panic!("expected one message, got {}", other.len()),
    }
}

#[test]
fn request_returns_changed_lines() {
    let (mut ahead, mut behind) = (process(9), process(6));
    let message = update_message(&mut ahead, &behind);
    let Message::Patch { patch, .. } = &message else {
        panic!("expected a patch");
    };
    assert!(patch.len() < 200, "{} octets", patch.len());

    let mut rng = StdRng::seed_from_u64(1);
    behind.receive(Timestamp::ZERO, PEER, &message, &[], &mut rng);
    assert_eq!(
        behind.held_lists().in_force(),
        ahead.held_lists().in_force()
    );
    assert_eq!(
        behind.held_lists().text(ListKind::Plans),
        ahead.held_lists().text(ListKind::Plans)
    );
}

#[test]
fn request_returns_list_after_many_revisions() {
    let (mut ahead, behind) = (process(20), process(2));
    let message = update_message(&mut ahead, &behind);
    assert!(matches!(message, Message::List { .. }));
}

#[test]
fn late_patch_is_ignored() {
    let (mut ahead, behind) = (process(9), process(6));
    let message = update_message(&mut ahead, &behind);
    let mut rng = StdRng::seed_from_u64(1);
    let mut other = process(7);
    let outputs = other.receive(Timestamp::ZERO, PEER, &message, &[], &mut rng);
    assert_eq!(outputs, []);
}

#[test]
fn patch_for_different_text_requests_list() {
    let (mut ahead, mut behind) = (process(9), process(5));
    let mut rng = StdRng::seed_from_u64(1);
    let forked = plans(6).replace("customer customer-1 ", "customer forked ");
    behind.receive_stored(ListKind::Plans, &forked, &[], &mut rng);

    let message = update_message(&mut ahead, &behind);
    assert!(matches!(message, Message::Patch { .. }));
    let outputs = behind.receive(Timestamp::ZERO, PEER, &message, &[], &mut rng);
    let [Output::Send { message, .. }] = outputs.as_slice() else {
        panic!("expected one message");
    };
    let list = ahead.receive(Timestamp::ZERO, PEER, message, &[], &mut rng);
    let [Output::Send { message, .. }] = list.as_slice() else {
        panic!("expected one message");
    };
    behind.receive(Timestamp::ZERO, PEER, message, &[], &mut rng);
    assert_eq!(
        behind.held_lists().text(ListKind::Plans),
        ahead.held_lists().text(ListKind::Plans)
    );
}
