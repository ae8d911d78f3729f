//! Admission by the allowances at one agent, token buckets, and the division of
//! amounts.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use marigoldway_core::ids::ServiceId;
use marigoldway_core::lists::catalog::Catalog;
use marigoldway_core::request::Class;
use marigoldway_core::request::Refusal;
use marigoldway_core::share::ShareOptions;
use marigoldway_core::share::amounts;
use marigoldway_core::share::enforcement::Enforcement;
use marigoldway_core::share::enforcement::Permit;
use marigoldway_core::share::token_bucket::TokenBucket;
use marigoldway_core::time::Timestamp;

const PLANS: &str = "list plans\ngeneration 1\nchange 0000000000000001\n\
    customer a plan=p\n";
const ALLOWANCES: &str = "list allowances\ngeneration 1\nchange 0000000000000001\n\
    service s id=1\nplan p services=s connections=100 rate=700 burst=100 bulk=20\n";

proptest! {
    #[test]
    fn divide_uses_total_and_gives_fair_parts(total in 0..10_000_u64, demands in prop::collection::vec(0..5_000_u64, 1..12)) {
        let parts = amounts::divide(total, &demands);
        let sum: u64 = parts.iter().sum();
        let demanded: u64 = demands.iter().sum();
        prop_assert!(sum <= total);
        // Half of the surplus is kept, and the divisions drop their remainders.
        let kept = total.saturating_sub(demanded).div_ceil(2);
        prop_assert!(total - sum <= kept + demands.len() as u64);
        let fair = total / demands.len() as u64;
        for (part, demand) in parts.iter().zip(&demands) {
            prop_assert!(part >= &fair.min(*demand));
        }
    }
}

#[test]
fn admit_beyond_allowance_returns_reason_and_delay() {
    let now = Timestamp::from_millis(1_000);
    let catalog = Arc::new(Catalog::parse(PLANS, ALLOWANCES).unwrap());
    let customer = "a";
    let mut agent = Enforcement::new(ShareOptions::default(), ServiceId(1), 0);
    agent.set_catalog(now, catalog.clone());

    // One agent has the whole floor: 35 requests per second, 5 connections and 1
    // bulk request.
    let permit = agent.admit(now, customer, Class::Bulk).unwrap();
    let denial = agent.admit(now, customer, Class::Bulk).unwrap_err();
    assert_eq!(denial.refusal, Refusal::BulkLimit);
    agent.release(permit);
    let _ = agent.admit(now, customer, Class::Bulk).unwrap();

    let denial = loop {
        if let Err(denial) = agent.admit(now, customer, Class::Short) {
            break denial;
        }
    };
    assert_eq!(denial.refusal, Refusal::RequestRate);
    assert_eq!(denial.retry_after, Some(Duration::from_micros(14_286)));

    let mut other = Enforcement::new(ShareOptions::default(), ServiceId(2), 0);
    other.set_catalog(now, catalog.clone());
    let denial = other.admit(now, customer, Class::Short).unwrap_err();
    assert_eq!(denial.refusal, Refusal::NotInPlan);
}

#[test]
fn set_catalog_with_lower_limit_keeps_connections_open() {
    let now = Timestamp::from_millis(1_000);
    let catalog = Arc::new(Catalog::parse(PLANS, ALLOWANCES).unwrap());
    let customer = "a";
    let mut agent = Enforcement::new(ShareOptions::default(), ServiceId(1), 0);
    agent.set_catalog(now, catalog.clone());
    let permits: Vec<Permit> = (0..5)
        .map(|_| agent.connect(now, customer).unwrap())
        .collect();

    let lower = ALLOWANCES.replace("connections=100", "connections=40");
    let lower = Arc::new(Catalog::parse(PLANS, &lower).unwrap());
    agent.set_catalog(now, lower);
    assert_eq!(agent.usable(now, "a").unwrap().connections, 2);
    for (open, permit) in (0..5).rev().zip(permits) {
        assert!(
            agent.connect(now, customer).is_err(),
            "{open} more are open"
        );
        agent.release(permit);
        if open < 2 {
            break;
        }
    }
    assert!(agent.connect(now, customer).is_ok());
}

#[test]
fn take_after_rate_move_admits_no_request_twice() {
    let at = |millis| Timestamp::from_millis(millis);
    let mut one = TokenBucket::new(at(0), 100_000, 10_000);
    let mut two = TokenBucket::new(at(0), 0, 0);
    let taken =
        |bucket: &mut TokenBucket, now| (0..1_000).filter(|_| bucket.take(now).is_ok()).count();
    // The minimum capacity of a bucket is one request.
    assert_eq!((taken(&mut one, at(0)), taken(&mut two, at(0))), (10, 1));
    one.set(at(0), 0, 0);
    two.set(at(0), 100_000, 10_000);
    assert_eq!((taken(&mut one, at(0)), taken(&mut two, at(0))), (0, 0));
    assert_eq!((taken(&mut one, at(50)), taken(&mut two, at(50))), (0, 5));
}
