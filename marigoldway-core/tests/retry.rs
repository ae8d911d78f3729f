//! Retries stay within a fraction of the first attempts. They never cause a second run
//! of a request that must run at most once.

use proptest::prelude::*;

use marigoldway_core::request::Outcome;
use marigoldway_core::retry::Advice;
use marigoldway_core::retry::BudgetOptions;
use marigoldway_core::retry::Repeat;
use marigoldway_core::retry::RetryBudget;
use marigoldway_core::retry::Sent;
use marigoldway_core::retry::advise;
use marigoldway_core::retry::may_resend;

proptest! {
    #[test]
    fn withdraw_any_order_stays_within_share(firsts in prop::collection::vec(any::<bool>(), 0..2_000)) {
        let options = BudgetOptions::default();
        let mut budget = RetryBudget::new(options);
        let (mut sent, mut retried) = (0, 0);
        for first in firsts {
            if first {
                budget.deposit();
                sent += 1;
            } else if budget.withdraw() {
                retried += 1;
            }
            prop_assert!(retried * 1_000 <= options.burst * 1_000 + sent * options.permille);
        }
    }
}

#[test]
fn advise_at_most_once_never_allows_a_second_run() {
    for outcome in [None, Some(Outcome::Done), Some(Outcome::Unknown)] {
        let advice = advise(Repeat::AtMostOnce, Sent::Octets, outcome);
        assert_ne!(advice, Advice::Retry, "{outcome:?}");
    }
    assert!(!may_resend(Repeat::AtMostOnce, Sent::Octets));
}

#[test]
fn advise_not_run_allows_a_retry() {
    for repeat in [Repeat::Idempotent, Repeat::AtMostOnce] {
        let advice = advise(repeat, Sent::Octets, Some(Outcome::NotRun));
        assert_eq!(advice, Advice::Retry);
    }
}
