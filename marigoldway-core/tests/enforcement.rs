//! What one agent admits, and how amounts are divided.

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
    fn divide_gives_all_and_starves_nobody(total in 0..10_000_u64, wants in prop::collection::vec(0..5_000_u64, 1..12)) {
        let parts = amounts::divide(total, &wants);
        let sum: u64 = parts.iter().sum();
        let claims: u64 = wants.iter().sum();
        prop_assert!(sum <= total);
        // What nobody wants is halved, and divided without a remainder.
        let kept = total.saturating_sub(claims).div_ceil(2);
        prop_assert!(total - sum <= kept + wants.len() as u64);
        let fair = total / wants.len() as u64;
        for (part, want) in parts.iter().zip(&wants) {
            prop_assert!(part >= &fair.min(*want));
        }
    }
}

#[test]
fn admit_says_which_allowance_and_when_to_come_back() {
    let now = Timestamp::from_millis(1_000);
    let catalog = Arc::new(Catalog::parse(PLANS, ALLOWANCES).unwrap());
    let customer = "a";
    let mut agent = Enforcement::new(ShareOptions::default(), ServiceId(1), 0);
    agent.set_catalog(now, catalog.clone());

    // One agent has the whole floor: 35 requests a second, 5 connections, 1
    // piece of bulk work.
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
fn set_catalog_lowers_without_ending_what_is_open() {
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
fn take_moves_no_token_twice() {
    let at = |millis| Timestamp::from_millis(millis);
    let mut one = TokenBucket::new(at(0), 100_000, 10_000);
    let mut two = TokenBucket::new(at(0), 0, 0);
    let taken =
        |bucket: &mut TokenBucket, now| (0..1_000).filter(|_| bucket.take(now).is_ok()).count();
    // The smallest bucket holds one request.
    assert_eq!((taken(&mut one, at(0)), taken(&mut two, at(0))), (10, 1));
    one.set(at(0), 0, 0);
    two.set(at(0), 100_000, 10_000);
    assert_eq!((taken(&mut one, at(0)), taken(&mut two, at(0))), (0, 0));
    assert_eq!((taken(&mut one, at(50)), taken(&mut two, at(50))), (0, 5));
}
