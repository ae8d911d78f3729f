//! Only authentic idempotency keys decode, each key has one owner, and the
//! duplicate table gives repeated attempts the first outcome.

use std::time::Duration;

use proptest::prelude::*;

use marigoldway_core::admission::RequestId;
use marigoldway_core::duplicates::Claim;
use marigoldway_core::duplicates::Digest;
use marigoldway_core::duplicates::Duplicates;
use marigoldway_core::duplicates::DuplicatesOptions;
use marigoldway_core::duplicates::Settled;
use marigoldway_core::idempotency::IdempotencyKey;
use marigoldway_core::idempotency::Issuer;
use marigoldway_core::idempotency::KeySigner;
use marigoldway_core::idempotency::Owner;
use marigoldway_core::idempotency::Serial;
use marigoldway_core::ids::Incarnation;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::ids::ServiceId;
use marigoldway_core::request::Refusal;
use marigoldway_core::request::UnknownReason;
use marigoldway_core::time::Timestamp;

const NOW: Timestamp = Timestamp::from_millis(1_000);

fn issuer(port: u16, incarnation: u32, service: u16) -> Issuer {
    let agent = InstanceId::new([127, 0, 0, 1].into(), port);
    let lifetime = Duration::from_secs(60);
    Issuer::new(
        agent,
        Incarnation(incarnation),
        ServiceId(service),
        lifetime,
    )
}

fn arb_key() -> impl Strategy<Value = IdempotencyKey> {
    (
        any::<u32>(),
        any::<u16>(),
        any::<u16>(),
        any::<u32>(),
        any::<u64>(),
        any::<u64>(),
    )
        .prop_map(
            |(ip, port, service, incarnation, expiry, serial)| IdempotencyKey {
                agent: InstanceId::new(ip.into(), port),
                incarnation: Incarnation(incarnation),
                service: ServiceId(service),
                expiry: Timestamp::from_micros(expiry),
                serial: Serial(serial),
            },
        )
}

proptest! {
    #[test]
    fn decode_reverses_encode(key in arb_key()) {
        let signer = KeySigner::new(&[7; 32]);
        prop_assert_eq!(signer.decode(&signer.encode(&key)), Ok(key));
        prop_assert!(KeySigner::new(&[8; 32]).decode(&signer.encode(&key)).is_err());
    }

    #[test]
    fn decode_changed_text_is_rejected(key in arb_key(), at in 0..59usize, to in "[A-Za-z0-9_-]") {
        let signer = KeySigner::new(&[7; 32]);
        let text = signer.encode(&key);
        let mut changed = text.clone();
        changed.replace_range(at..=at, &to);
        prop_assume!(changed != text);
        prop_assert!(signer.decode(&changed).is_err());
    }

    #[test]
    fn decode_any_text_does_not_panic(text in ".{0,80}") {
        prop_assert!(KeySigner::new(&[7; 32]).decode(&text).is_err());
    }
}

#[test]
fn owner_distinguishes_every_case() {
    let mut local = issuer(1, 5, 1);
    let key = local.issue(NOW);
    assert_eq!(local.owner(&key, NOW), Owner::Local);
    assert_eq!(local.owner(&key, key.expiry), Owner::Expired);
    assert_eq!(issuer(1, 6, 1).owner(&key, NOW), Owner::Gone);
    assert_eq!(issuer(2, 5, 1).owner(&key, NOW), Owner::Peer(key.agent));
    assert_eq!(issuer(2, 5, 2).owner(&key, NOW), Owner::OtherService);
    assert_ne!(local.issue(NOW).serial, key.serial);
}

#[test]
fn claim_repeat_gets_first_answer() {
    let mut table = Duplicates::new(DuplicatesOptions::default());
    let key = issuer(1, 1, 1).issue(NOW);
    let digest = Digest([1; 32]);
    assert_eq!(table.claim(&key, digest, RequestId(1), NOW), Claim::Run);
    assert_eq!(table.claim(&key, digest, RequestId(2), NOW), Claim::Wait);
    let done = Settled::Done("first");
    assert_eq!(table.settle(key.serial, &done, 5), vec![RequestId(2)]);
    assert!(
        table
            .settle(key.serial, &Settled::Done("second"), 6)
            .is_empty()
    );
    let claim = table.claim(&key, digest, RequestId(3), NOW);
    assert_eq!(claim, Claim::Settled(done));
}

#[test]
fn claim_other_body_is_refused() {
    let mut table = Duplicates::<()>::new(DuplicatesOptions::default());
    let key = issuer(1, 1, 1).issue(NOW);
    table.claim(&key, Digest([1; 32]), RequestId(1), NOW);
    let claim = table.claim(&key, Digest([2; 32]), RequestId(2), NOW);
    assert_eq!(claim, Claim::Settled(Settled::NotRun(Refusal::KeyReused)));
}

#[test]
fn claim_full_table_is_unknown_until_keys_expire() {
    let options = DuplicatesOptions {
        max_keys: 2,
        ..DuplicatesOptions::default()
    };
    let mut table = Duplicates::<()>::new(options);
    let mut issuer = issuer(1, 1, 1);
    let digest = Digest([1; 32]);
    let first = issuer.issue(NOW);
    table.claim(&first, digest, RequestId(1), NOW);
    table.settle(first.serial, &Settled::NotRun(Refusal::QueueFull), 0);
    let in_progress = issuer.issue(NOW);
    table.claim(&in_progress, digest, RequestId(2), NOW);

    let third = issuer.issue(NOW);
    let full = Claim::Settled(Settled::Unknown(UnknownReason::DuplicatesFull));
    assert_eq!(table.claim(&third, digest, RequestId(3), NOW), full);

    // The settled key is removed after its expiry; the key in progress stays.
    let later = first.expiry;
    let fourth = issuer.issue(later);
    assert_eq!(
        table.claim(&fourth, digest, RequestId(4), later),
        Claim::Run
    );
    assert_eq!(table.len(), 2);
    let fifth = issuer.issue(later);
    assert_eq!(table.claim(&fifth, digest, RequestId(5), later), full);
}

#[test]
fn settle_long_answer_is_not_kept() {
    let options = DuplicatesOptions::default();
    let mut table = Duplicates::new(options);
    let key = issuer(1, 1, 1).issue(NOW);
    let digest = Digest([1; 32]);
    table.claim(&key, digest, RequestId(1), NOW);
    table.settle(key.serial, &Settled::Done(()), options.max_answer + 1);
    let claim = table.claim(&key, digest, RequestId(2), NOW);
    assert_eq!(
        claim,
        Claim::Settled(Settled::Unknown(UnknownReason::AnswerNotKept))
    );
}
