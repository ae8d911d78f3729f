//! Patches carry what changed, and nothing else.

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
    fn apply_makes_the_new_text(old in arb_text(), new in arb_text()) {
        let patch = Patch::new(&old, &new);
        prop_assert_eq!(patch.apply(&old), Some(new.clone()));
        prop_assert_eq!(patch.is_empty(), old == new);
    }

    #[test]
    fn apply_refuses_another_base(old in arb_text(), new in arb_text(), other in arb_text()) {
        let made = Patch::new(&old, &new).apply(&other);
        prop_assert!(made.is_none_or(|made| made == new));
    }
}

/// Plans of many customers at a generation, each of which adds one.
fn plans(generation: u64) -> String {
    let mut text = format!("list plans\ngeneration {generation}\nchange {generation:016x}\n");
    for n in 0..2_000 + generation {
        text += &format!("customer customer-{n} plan=p\n");
    }
    text
}

/// A process that reads the plans up to `generation` from the platform.
fn reader(generation: u64) -> Propagation {
    let mut rng = StdRng::seed_from_u64(1);
    let mut spread = Propagation::default();
    spread.receive_stored(ListKind::Allowances, ALLOWANCES, &[], &mut rng);
    for generation in 1..=generation {
        spread.receive_stored(ListKind::Plans, &plans(generation), &[], &mut rng);
    }
    spread
}

/// What `from` sends to bring `to` up to its revisions.
fn sent(from: &mut Propagation, to: &Propagation) -> Message {
    let mut rng = StdRng::seed_from_u64(1);
    let ask = Message::Ask(to.held_lists().held_revisions());
    let outputs = from.receive(Timestamp::ZERO, PEER, &ask, &[], &mut rng);
    match outputs.as_slice() {
        [Output::Send { message, .. }] => message.clone(),
        other => panic!("expected one message, got {}", other.len()),
    }
}

#[test]
fn ask_gets_the_lines_that_changed() {
    let (mut ahead, mut behind) = (reader(9), reader(6));
    let message = sent(&mut ahead, &behind);
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
fn ask_gets_the_list_after_a_long_absence() {
    let (mut ahead, behind) = (reader(20), reader(2));
    let message = sent(&mut ahead, &behind);
    assert!(matches!(message, Message::List { .. }));
}

#[test]
fn late_patch_changes_nothing() {
    let (mut ahead, behind) = (reader(9), reader(6));
    let message = sent(&mut ahead, &behind);
    let mut rng = StdRng::seed_from_u64(1);
    let mut other = reader(7);
    let outputs = other.receive(Timestamp::ZERO, PEER, &message, &[], &mut rng);
    assert_eq!(outputs, []);
}

#[test]
fn patch_for_another_text_is_answered_by_asking_for_the_list() {
    let (mut ahead, mut behind) = (reader(9), reader(5));
    let mut rng = StdRng::seed_from_u64(1);
    let forked = plans(6).replace("customer customer-1 ", "customer forked ");
    behind.receive_stored(ListKind::Plans, &forked, &[], &mut rng);

    let message = sent(&mut ahead, &behind);
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
