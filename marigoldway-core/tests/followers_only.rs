//! A process that reads from followers only never asks the store, and goes on while a follower
//! answers.

use std::net::Ipv4Addr;
use std::time::Duration;

use marigoldway_core::ids::InstanceId;
use marigoldway_core::replica::sources::Freshness;
use marigoldway_core::replica::sources::Role;
use marigoldway_core::replica::sources::Sources;
use marigoldway_core::replica::sources::Step;
use marigoldway_core::replica::timing::Timing;
use marigoldway_core::time::Timestamp;

/// Interval between two reads.
const INTERVAL: Duration = Duration::from_secs(2);

fn follower(n: u8) -> InstanceId {
    InstanceId::new(Ipv4Addr::new(10, 0, 0, n), 7_000)
}

fn sources() -> Sources {
    let timing = Timing::new(Duration::from_secs(5));
    Sources::new(Role::FollowersOnly, timing, INTERVAL)
}

/// Guards against a call to the store for each agent, at its start and while no follower answers.
#[test]
fn next_never_is_the_store() {
    let mut sources = sources();
    let mut now = Timestamp::from_millis(1);
    let mut reads = 0;
    for _ in 0..500 {
        // No follower is known for the first while, and then none answers.
        let followers = [follower(1), follower(2)];
        let known = if reads == 0 && now < Timestamp::from_millis(20_000) {
            &followers[..0]
        } else {
            &followers[..]
        };
        match sources.next(now, known) {
            Step::Store(_) => panic!("the store is asked at {now:?}"),
            Step::Wait(until) => {
                assert!(until > now);
                now = until;
            }
            Step::Follower(id, _) => {
                reads += 1;
                now = now + Duration::from_millis(400);
                sources.on_failure(now, id, Duration::from_millis(100));
            }
        }
    }
    assert!(reads > 100, "{reads}");
}

/// Guards against a drain that an agent reads too late, also if the follower that it asks dies.
#[test]
fn read_is_due_after_each_interval_and_from_another_follower_after_a_failure() {
    let mut sources = sources();
    let followers = [follower(1), follower(2)];
    let now = Timestamp::from_millis(1_000);
    let step = Step::Follower(follower(1), Freshness::Known);
    assert_eq!(sources.next(now, &followers), step);
    let as_of = sources.on_answer(now, follower(1), now, Duration::ZERO);
    assert_eq!(as_of, Some(now));
    assert_eq!(sources.next(now, &followers), Step::Wait(now + INTERVAL));
    let now = now + INTERVAL;
    assert_eq!(sources.next(now, &followers), step);
    sources.on_failure(now, follower(1), Duration::ZERO);
    let step = Step::Follower(follower(2), Freshness::Known);
    assert_eq!(sources.next(now, &followers), step);
}
