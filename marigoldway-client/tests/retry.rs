//! Retry rules and backoff.

use std::time::Duration;

use marigoldway_client::answer::Answer;
use marigoldway_client::answer::Reason;
use marigoldway_client::request::Key;
use marigoldway_client::request::Request;
use marigoldway_client::retry;
use marigoldway_client::retry::RetryState;
use marigoldway_core::request::Outcome;
use marigoldway_core::request::Refusal;
use marigoldway_core::request::UnknownReason;
use marigoldway_core::retry::Sent;
use proptest::prelude::any;
use proptest::prelude::prop_assert;
use proptest::proptest;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn answer(outcome: Outcome, reason: Reason) -> Answer {
    Answer {
        status: None,
        headers: http::HeaderMap::new(),
        body: bytes::Bytes::new(),
        outcome,
        target: None,
        reason: Some(reason),
        retry_after: None,
    }
}

fn retries(request: &Request, sent: Sent, answer: &Answer) -> bool {
    RetryState::new(request).on_attempt_end(sent, &mut answer.clone())
}

fn keyed() -> Request {
    Request {
        key: Some(Key::try_from("key").expect("key")),
        ..Request::post("/order", "")
    }
}

#[test]
fn retry_never_after_first_octet() {
    let order = Request::post("/order", "");
    for outcome in [Outcome::Done, Outcome::NotRun, Outcome::Unknown] {
        for refusal in Refusal::ALL {
            let refused = answer(outcome, Reason::Refused(refusal));
            assert!(!retries(&order, Sent::Octets, &refused));
        }
    }
    let unsent = answer(Outcome::NotRun, Reason::NoConnection);
    assert!(retries(&order, Sent::Nothing, &unsent));
}

#[test]
fn retry_by_reason() {
    let broken = answer(Outcome::Unknown, Reason::Broken);
    assert!(retries(&Request::get("/"), Sent::Octets, &broken));
    assert!(retries(&keyed(), Sent::Octets, &broken));

    let gone = Answer {
        status: Some(http::StatusCode::SERVICE_UNAVAILABLE),
        ..answer(Outcome::Unknown, Reason::Unknown(UnknownReason::IssuerGone))
    };
    assert!(!retries(&keyed(), Sent::Octets, &gone));

    let refused = answer(Outcome::NotRun, Reason::Refused(Refusal::UnknownCustomer));
    assert!(!retries(&Request::get("/"), Sent::Octets, &refused));
}

#[test]
fn retry_by_unknown_reason() {
    let unknown = |reason| Answer {
        status: Some(http::StatusCode::BAD_GATEWAY),
        ..answer(Outcome::Unknown, Reason::Unknown(reason))
    };
    let feed = Request::get("/feed");
    assert!(retries(
        &feed,
        Sent::Octets,
        &unknown(UnknownReason::AnswerBroken)
    ));
    assert!(!retries(
        &feed,
        Sent::Octets,
        &unknown(UnknownReason::AnswerLate)
    ));

    // With a key, an order is retried only if the process that knows its outcome may
    // still answer.
    assert!(retries(
        &keyed(),
        Sent::Octets,
        &unknown(UnknownReason::IssuerSilent)
    ));
    assert!(!retries(
        &keyed(),
        Sent::Octets,
        &unknown(UnknownReason::AnswerBroken)
    ));
    let order = Request::post("/order", "");
    assert!(!retries(
        &order,
        Sent::Octets,
        &unknown(UnknownReason::IssuerSilent)
    ));
}

#[test]
fn retry_after_unknown_outcome() {
    let refused = answer(Outcome::NotRun, Reason::Refused(Refusal::Leaving));
    let mut state = RetryState::new(&keyed());
    assert!(!state.on_attempt_end(Sent::Octets, &mut refused.clone()));
    assert!(state.on_attempt_end(Sent::Octets, &mut answer(Outcome::Unknown, Reason::Broken)));

    // A refusal that does not come from the service does not prove that the first
    // attempt did not run.
    let mut second = refused.clone();
    assert!(state.on_attempt_end(Sent::Octets, &mut second));
    assert_eq!(second.outcome, Outcome::Unknown);

    // A refusal of the key by the service is final for both attempts.
    let mut settled = Answer {
        status: Some(http::StatusCode::SERVICE_UNAVAILABLE),
        ..refused.clone()
    };
    assert!(!state.on_attempt_end(Sent::Octets, &mut settled));
    assert_eq!(settled.outcome, Outcome::NotRun);

    let mut done = answer(Outcome::Done, Reason::Broken);
    assert!(!state.on_attempt_end(Sent::Octets, &mut done));
    assert_eq!(done.outcome, Outcome::Done);
}

proptest! {
    #[test]
    fn backoff_any_retry(
        retry in any::<u32>(),
        retry_after in proptest::option::of(0_u64..100),
        seed in any::<u64>(),
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let retry_after = retry_after.map(Duration::from_secs);
        let backoff = retry::backoff(retry, retry_after, &mut rng);
        match retry_after {
            Some(retry_after) => {
                prop_assert!(backoff >= retry_after && backoff <= retry_after.mul_f64(1.5));
            }
            None => prop_assert!(
                backoff >= Duration::from_millis(25) && backoff <= Duration::from_secs(2)
            ),
        }
    }
}
