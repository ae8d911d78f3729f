//! When a request is sent again.

use std::time::Duration;

use marigoldway_client::answer::Answer;
use marigoldway_client::answer::Reason;
use marigoldway_client::retry;
use marigoldway_client::retry::Budget;
use marigoldway_client::retry::Repeat;
use marigoldway_core::request::Outcome;
use marigoldway_core::request::Refusal;
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

#[test]
fn may_retry_never_after_first_octet() {
    for outcome in [Outcome::Done, Outcome::NotRun, Outcome::Unknown] {
        for refusal in Refusal::ALL {
            let answer = answer(outcome, Reason::Refused(refusal));
            assert!(!retry::may_retry(Repeat::Never, true, &answer));
        }
    }
    let unsent = answer(Outcome::NotRun, Reason::NoConnection);
    assert!(retry::may_retry(Repeat::Never, false, &unsent));
}

#[test]
fn may_retry_by_reason() {
    let broken = answer(Outcome::Unknown, Reason::Broken);
    assert!(retry::may_retry(Repeat::Free, true, &broken));
    assert!(retry::may_retry(Repeat::Keyed, true, &broken));

    let gone = Answer {
        status: Some(http::StatusCode::SERVICE_UNAVAILABLE),
        ..broken
    };
    assert!(!retry::may_retry(Repeat::Keyed, true, &gone));

    let stranger = answer(Outcome::NotRun, Reason::Refused(Refusal::UnknownCustomer));
    assert!(!retry::may_retry(Repeat::Free, true, &stranger));
}

#[test]
fn settle_doubt() {
    let mut doubt = false;
    let mut refused = answer(Outcome::NotRun, Reason::Refused(Refusal::Leaving));
    retry::settle(&mut doubt, &mut refused);
    assert_eq!(refused.outcome, Outcome::NotRun);

    retry::settle(&mut doubt, &mut answer(Outcome::Unknown, Reason::Broken));
    retry::settle(&mut doubt, &mut refused);
    assert_eq!(refused.outcome, Outcome::Unknown);

    let mut done = answer(Outcome::Done, Reason::Broken);
    retry::settle(&mut doubt, &mut done);
    assert_eq!(done.outcome, Outcome::Done);
}

proptest! {
    #[test]
    fn budget_any_order(wants in proptest::collection::vec(any::<bool>(), 0..500)) {
        let mut budget = Budget::default();
        let (mut firsts, mut retries) = (0_u32, 0_u32);
        for retry in wants {
            if retry {
                retries += u32::from(budget.spend());
            } else {
                budget.earn();
                firsts += 1;
            }
            prop_assert!(f64::from(retries) <= 10.0 + 0.1 * f64::from(firsts) + 1e-6);
        }
    }

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
