//! When a request is sent again.

use std::time::Duration;

use marigoldway_client::answer::Answer;
use marigoldway_client::answer::Reason;
use marigoldway_client::request::Key;
use marigoldway_client::request::Request;
use marigoldway_client::retry;
use marigoldway_client::retry::Course;
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

fn judge(request: &Request, sent: Sent, answer: &Answer) -> bool {
    Course::new(request).judge(sent, &mut answer.clone())
}

fn keyed() -> Request {
    Request {
        key: Some(Key::try_from("key").expect("key")),
        ..Request::post("/order", "")
    }
}

#[test]
fn judge_never_after_first_octet() {
    let order = Request::post("/order", "");
    for outcome in [Outcome::Done, Outcome::NotRun, Outcome::Unknown] {
        for refusal in Refusal::ALL {
            let refused = answer(outcome, Reason::Refused(refusal));
            assert!(!judge(&order, Sent::Octets, &refused));
        }
    }
    let unsent = answer(Outcome::NotRun, Reason::NoConnection);
    assert!(judge(&order, Sent::Nothing, &unsent));
}

#[test]
fn judge_by_reason() {
    let broken = answer(Outcome::Unknown, Reason::Broken);
    assert!(judge(&Request::get("/"), Sent::Octets, &broken));
    assert!(judge(&keyed(), Sent::Octets, &broken));

    let gone = Answer {
        status: Some(http::StatusCode::SERVICE_UNAVAILABLE),
        ..answer(Outcome::Unknown, Reason::Unknown(UnknownReason::IssuerGone))
    };
    assert!(!judge(&keyed(), Sent::Octets, &gone));

    let stranger = answer(Outcome::NotRun, Reason::Refused(Refusal::UnknownCustomer));
    assert!(!judge(&Request::get("/"), Sent::Octets, &stranger));
}

#[test]
fn judge_by_doubt() {
    let told = |doubt| Answer {
        status: Some(http::StatusCode::BAD_GATEWAY),
        ..answer(Outcome::Unknown, Reason::Unknown(doubt))
    };
    let feed = Request::get("/feed");
    assert!(judge(
        &feed,
        Sent::Octets,
        &told(UnknownReason::AnswerBroken)
    ));
    assert!(!judge(
        &feed,
        Sent::Octets,
        &told(UnknownReason::AnswerLate)
    ));

    // Under its key an order asks again only who may still answer.
    assert!(judge(
        &keyed(),
        Sent::Octets,
        &told(UnknownReason::IssuerSilent)
    ));
    assert!(!judge(
        &keyed(),
        Sent::Octets,
        &told(UnknownReason::AnswerBroken)
    ));
    let order = Request::post("/order", "");
    assert!(!judge(
        &order,
        Sent::Octets,
        &told(UnknownReason::IssuerSilent)
    ));
}

#[test]
fn judge_after_doubt() {
    let refused = answer(Outcome::NotRun, Reason::Refused(Refusal::Leaving));
    let mut course = Course::new(&keyed());
    assert!(!course.judge(Sent::Octets, &mut refused.clone()));
    assert!(course.judge(Sent::Octets, &mut answer(Outcome::Unknown, Reason::Broken)));

    // A refusal that is not the service's does not prove that the first try did
    // not run.
    let mut second = refused.clone();
    assert!(course.judge(Sent::Octets, &mut second));
    assert_eq!(second.outcome, Outcome::Unknown);

    // The service's own refusal of the key settles it for both.
    let mut settled = Answer {
        status: Some(http::StatusCode::SERVICE_UNAVAILABLE),
        ..refused.clone()
    };
    assert!(!course.judge(Sent::Octets, &mut settled));
    assert_eq!(settled.outcome, Outcome::NotRun);

    let mut done = answer(Outcome::Done, Reason::Broken);
    assert!(!course.judge(Sent::Octets, &mut done));
    assert_eq!(done.outcome, Outcome::Done);
}

proptest! {
    #[test]
    fn pause_any_retry(retry in any::<u32>(), asked in proptest::option::of(0_u64..100), seed in any::<u64>()) {
        let mut rng = StdRng::seed_from_u64(seed);
        let asked = asked.map(Duration::from_secs);
        let pause = retry::pause(retry, asked, &mut rng);
        match asked {
            Some(asked) => prop_assert!(pause >= asked && pause <= asked.mul_f64(1.5)),
            None => prop_assert!(pause >= Duration::from_millis(25) && pause <= Duration::from_secs(2)),
        }
    }
}
