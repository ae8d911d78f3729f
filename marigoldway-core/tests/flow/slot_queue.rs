//! Requests in front of a target's slots, under the loads of a crest.

use std::time::Duration;

use marigoldway_core::flow::agent::slot_queue::Admission;
use marigoldway_core::flow::agent::slot_queue::Arrival;
use marigoldway_core::flow::agent::slot_queue::SlotQueue;
use marigoldway_core::flow::agent::slot_queue::SlotQueueOptions;
use marigoldway_core::flow::key::FlowKey;
use marigoldway_core::flow::routes::Work;
use marigoldway_core::flow::routes::WorkClass;
use marigoldway_core::time::Timestamp;

use crate::fleet::flow;

const SLOTS: u16 = 2;

/// Requests that are let in at a time.
const PLACES: u16 = 4;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(10_000 + ms)
}

fn key(n: u16) -> FlowKey {
    flow(n, 443)
}

/// A request of a route's rank that began at `ms`.
fn request(n: u16, priority: u8, ms: u64) -> Arrival<'static> {
    Arrival {
        flow: key(n),
        packet: b"data",
        work: Work {
            class: WorkClass::Safe,
            priority,
            objective: Duration::from_millis(250),
            timeout: Duration::from_secs(3),
        },
        asked: at(ms),
        first: true,
        maybe_answered: false,
    }
}

/// A gate whose places are taken by requests that began at 0.
fn full() -> SlotQueue {
    let mut gate = SlotQueue::new(SlotQueueOptions::default());
    for n in 0..PLACES {
        let entrance = gate.offer(at(0), SLOTS, &request(n, 1, 0));
        assert_eq!(entrance, Admission::Open);
    }
    gate
}

/// The order in which waiting requests go, one each `interval` ms from `ms` on.
fn order(gate: &mut SlotQueue, mut ms: u64, interval: u64) -> Vec<u16> {
    let mut flows = Vec::new();
    let mut inside = key(0);
    loop {
        gate.finish(at(ms), &inside);
        let Some(released) = gate.release(at(ms), SLOTS) else {
            return flows;
        };
        inside = released.flow;
        flows.push(inside.client.port());
        ms += interval;
    }
}

#[test]
fn arrive_beyond_the_places_is_held() {
    let mut gate = full();
    let entrance = gate.offer(at(1), SLOTS, &request(9, 1, 1));
    assert_eq!(entrance, Admission::Queued);
    assert_eq!((gate.running(), gate.waiting()), (4, 1));
}

#[test]
fn release_of_those_in_time_goes_by_rank_then_by_time_left() {
    let mut gate = full();
    for (n, priority, ms) in [(10, 2, 5), (11, 1, 9), (12, 2, 1), (13, 1, 7)] {
        gate.offer(at(10), SLOTS, &request(n, priority, ms));
    }
    assert_eq!(order(&mut gate, 20, 5), [13, 11, 12, 10]);
}

#[test]
fn release_of_late_ones_is_last_and_newest_first() {
    let mut gate = full();
    for (n, ms) in [(10, 0), (11, 40), (12, 80)] {
        gate.offer(at(ms), SLOTS, &request(n, 1, ms));
    }
    gate.offer(at(600), SLOTS, &request(13, 1, 600));
    assert_eq!(order(&mut gate, 601, 5), [13, 12, 11, 10]);
}

#[test]
fn place_is_free_after_an_answer_a_reset_or_a_crash() {
    let mut gate = full();
    gate.offer(at(1), SLOTS, &request(9, 1, 1));
    gate.finish(at(20), &key(0));
    assert!(gate.release(at(20), SLOTS).is_some());
    gate.remove(&key(1));
    gate.remove(&key(9));
    assert_eq!(gate.running(), 2);
    gate.clear();
    assert_eq!((gate.running(), gate.waiting()), (0, 0));
}

#[test]
fn place_is_free_after_an_answer_that_never_comes() {
    let mut gate = full();
    gate.offer(at(1), SLOTS, &request(9, 1, 1));
    assert!(gate.expire(at(300)).unanswered.is_empty());
    assert_eq!(gate.expire(at(360)).unanswered.len(), usize::from(PLACES));
    assert!(gate.release(at(360), SLOTS).is_some());
}

#[test]
fn place_of_a_slow_target_is_kept_for_longer() {
    let mut gate = full();
    // Answers take 200 ms, so one of 500 ms isn't lost.
    for n in 0..300_u16 {
        let ms = u64::from(n) * 200;
        gate.finish(at(ms), &key(n % PLACES));
        gate.offer(at(ms), SLOTS, &request(n % PLACES, 1, ms));
    }
    let last = 299 * 200;
    assert!(gate.expire(at(last + 500)).unanswered.is_empty());
}

#[test]
fn held_request_is_given_up_at_its_timeout() {
    let mut gate = full();
    gate.offer(at(1), SLOTS, &request(9, 1, 1));
    assert!(gate.expire(at(2_900)).timed_out.is_empty());
    assert_eq!(gate.expire(at(3_001)).timed_out, [key(9)]);
    assert_eq!(gate.waiting(), 0);
}

#[test]
fn packets_held_are_bounded_in_number_and_octets() {
    let mut gate = full();
    for n in 0..2_000 {
        gate.offer(at(1), SLOTS, &request(100 + n, 1, 1));
    }
    assert!(gate.waiting() <= 512);
}
