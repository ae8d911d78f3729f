//! Tests of the slot queue of a target under overload. The queue holds requests at the agent until
//! the target has a free slot.

use std::net::Ipv4Addr;
use std::time::Duration;

use marigoldway_core::flow::agent::slot_queue::Arrival;
use marigoldway_core::flow::agent::slot_queue::QueueDecision;
use marigoldway_core::flow::agent::slot_queue::SlotQueue;
use marigoldway_core::flow::agent::slot_queue::SlotQueueOptions;
use marigoldway_core::flow::key::FlowKey;
use marigoldway_core::flow::overload::shedding::NewFlow;
use marigoldway_core::flow::routes::Work;
use marigoldway_core::flow::routes::WorkClass;
use marigoldway_core::time::Timestamp;

use crate::fleet::flow;

/// Number of requests that the target runs at a time.
const SLOTS: u16 = 2;

/// Number of requests that the queue admits at a time: the slots and the default overcommit.
const CAPACITY: u16 = 4;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(10_000 + ms)
}

fn key(n: u16) -> FlowKey {
    flow(n, 443)
}

/// A request of the given priority whose client began to wait at `ms`.
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
        waiting_since: at(ms),
        first: true,
        guest: false,
        maybe_answered: false,
    }
}

/// A queue whose capacity is taken by requests that were admitted at 0 ms.
fn full_queue() -> SlotQueue {
    let mut queue = SlotQueue::new(SlotQueueOptions::default());
    for n in 0..CAPACITY {
        let decision = queue.offer(at(0), SLOTS, &request(n, 1, 0));
        assert_eq!(decision, QueueDecision::Admitted);
    }
    queue
}

/// The order in which queued requests are released: one running request ends every `interval` ms,
/// from `ms` on.
fn release_order(queue: &mut SlotQueue, mut ms: u64, interval: u64) -> Vec<u16> {
    let mut flows = Vec::new();
    let mut running = key(0);
    loop {
        queue.finish(at(ms), &running);
        let Some(released) = queue.release(at(ms), SLOTS) else {
            return flows;
        };
        running = released.flow;
        flows.push(running.client.port());
        ms += interval;
    }
}

#[test]
fn offer_without_room_is_queued() {
    let mut queue = full_queue();
    let decision = queue.offer(at(1), SLOTS, &request(9, 1, 1));
    assert_eq!(decision, QueueDecision::Queued);
    assert_eq!((queue.running(), queue.waiting()), (4, 1));
}

#[test]
fn release_of_requests_in_time_is_by_priority_then_by_time_left() {
    let mut queue = full_queue();
    for (n, priority, ms) in [(10, 2, 5), (11, 1, 9), (12, 2, 1), (13, 1, 7)] {
        queue.offer(at(10), SLOTS, &request(n, priority, ms));
    }
    assert_eq!(release_order(&mut queue, 20, 5), [13, 11, 12, 10]);
}

/// Guards against late requests of a higher priority that make others late too.
#[test]
fn release_of_requests_in_time_precedes_late_ones_of_a_higher_priority() {
    let mut queue = full_queue();
    let late = Arrival {
        waiting_since: at(0).before(Duration::from_millis(250)),
        ..request(10, 1, 0)
    };
    queue.offer(at(1), SLOTS, &late);
    queue.offer(at(1), SLOTS, &request(11, 2, 1));
    assert_eq!(release_order(&mut queue, 20, 5), [11, 10]);
}

#[test]
fn release_of_late_requests_is_last_and_newest_first() {
    let mut queue = full_queue();
    for (n, ms) in [(10, 0), (11, 40), (12, 80)] {
        queue.offer(at(ms), SLOTS, &request(n, 1, ms));
    }
    queue.offer(at(600), SLOTS, &request(13, 1, 600));
    assert_eq!(release_order(&mut queue, 601, 5), [13, 12, 11, 10]);
}

#[test]
fn slot_is_free_after_an_answer_a_reset_or_a_restart() {
    let mut queue = full_queue();
    queue.offer(at(1), SLOTS, &request(9, 1, 1));
    queue.finish(at(20), &key(0));
    assert!(queue.release(at(20), SLOTS).is_some());
    queue.remove(&key(1));
    queue.remove(&key(9));
    assert_eq!(queue.running(), 2);
    queue.clear();
    assert_eq!((queue.running(), queue.waiting()), (0, 0));
}

#[test]
fn slot_is_free_after_an_overdue_answer() {
    let mut queue = full_queue();
    queue.offer(at(1), SLOTS, &request(9, 1, 1));
    assert!(queue.expire(at(300)).unanswered.is_empty());
    assert_eq!(
        queue.expire(at(360)).unanswered.len(),
        usize::from(CAPACITY)
    );
    assert!(queue.release(at(360), SLOTS).is_some());
}

#[test]
fn slot_of_a_slow_target_is_kept_for_longer() {
    let mut queue = full_queue();
    // A request is answered every 200 ms, after 800 ms each once the first four are answered. A
    // request that has run for 1,100 ms therefore isn't overdue.
    for n in 0..300_u16 {
        let ms = u64::from(n) * 200;
        queue.finish(at(ms), &key(n % CAPACITY));
        queue.offer(at(ms), SLOTS, &request(n % CAPACITY, 1, ms));
    }
    let last = 299 * 200;
    assert!(queue.expire(at(last + 500)).unanswered.is_empty());
}

#[test]
fn queued_request_expires_at_its_timeout() {
    let mut queue = full_queue();
    queue.offer(at(1), SLOTS, &request(9, 1, 1));
    assert!(queue.expire(at(2_900)).timed_out.is_empty());
    assert_eq!(queue.expire(at(3_001)).timed_out, [key(9)]);
    assert_eq!(queue.waiting(), 0);
}

#[test]
fn queued_packets_are_bounded_in_number_and_octets() {
    let mut queue = full_queue();
    for n in 0..2_000 {
        queue.offer(at(1), SLOTS, &request(100 + n, 1, 1));
    }
    assert!(queue.waiting() <= 512);
}

/// A request of a client address of its own.
fn request_of(client: u8, n: u16, ms: u64) -> Arrival<'static> {
    let mut arrival = request(n, 1, ms);
    arrival
        .flow
        .client
        .set_ip(Ipv4Addr::new(100, 64, 1, client));
    arrival
}

/// Guards against a client address whose many requests, with less time left, keep those of others
/// waiting.
#[test]
fn release_prefers_clients_with_fewer_requests() {
    let mut queue = full_queue();
    for n in 0..8 {
        queue.offer(at(5), SLOTS, &request_of(1, 20 + n, 1));
    }
    queue.offer(at(6), SLOTS, &request_of(2, 40, 6));
    assert_eq!(release_order(&mut queue, 20, 5)[0], 40);
}

/// Guards against a request that runs after its client's timeout, before the next `expire`.
#[test]
fn release_skips_a_request_past_its_timeout() {
    let mut queue = full_queue();
    queue.offer(at(1), SLOTS, &request(9, 1, 1));
    queue.finish(at(3_100), &key(0));
    assert_eq!(queue.release(at(3_100), SLOTS), None);
    assert_eq!(queue.expire(at(3_100)).timed_out, [key(9)]);
}

/// Guards against requests of another service that take slots before those of the own one.
#[test]
fn release_of_a_guest_needs_a_free_slot() {
    let mut queue = full_queue();
    let guest = Arrival {
        guest: true,
        ..request(9, 0, 1)
    };
    queue.offer(at(1), SLOTS, &guest);
    queue.offer(at(2), SLOTS, &request(10, 2, 2));
    queue.finish(at(20), &key(0));
    let released = queue.release(at(20), SLOTS).map(|it| it.flow);
    assert_eq!(released, Some(key(10)));
    queue.finish(at(21), &key(1));
    queue.finish(at(22), &key(2));
    assert_eq!(queue.release(at(22), SLOTS), None);
    queue.finish(at(23), &key(3));
    let released = queue.release(at(23), SLOTS).map(|it| it.flow);
    assert_eq!(released, Some(key(9)));
}

/// Guards against a lower priority that never runs while higher ones wait.
#[test]
fn release_gives_a_lower_priority_a_tenth() {
    let mut queue = full_queue();
    for n in 0..200 {
        let priority = if n < 150 { 1 } else { 2 };
        queue.offer(at(1), SLOTS, &request(100 + n, priority, 1));
    }
    let order = release_order(&mut queue, 5, 5);
    let lower = order[..100].iter().filter(|it| **it >= 250).count();
    assert!((9..=11).contains(&lower), "{lower} of 100");
}

fn new_flow(waited: u64, opening: usize, slow_start: u64) -> NewFlow {
    NewFlow {
        flow: key(9_000),
        work: request(0, 1, 0).work,
        waited: Duration::from_millis(waited),
        opening,
        slow_start: Duration::from_millis(slow_start),
    }
}

/// Guards against a new agent, which knows no request and no rate, that rejects flows.
#[test]
fn is_hopeless_is_false_at_a_new_agent() {
    let queue = SlotQueue::new(SlotQueueOptions::default());
    assert!(!queue.is_hopeless(at(0), SLOTS, &new_flow(0, 0, 0)));
    assert!(!queue.is_hopeless(at(0), SLOTS, &new_flow(600, 60, 0)));
}

/// Guards against flows that are accepted although the ones accepted before take longer than the
/// client waits: 300 requests of 30 ms in two slots take 4.5 s, and the client waits 3 s.
#[test]
fn is_hopeless_counts_accepted_flows() {
    let queue = SlotQueue::new(SlotQueueOptions::default());
    assert!(queue.is_hopeless(at(0), SLOTS, &new_flow(0, 300, 0)));
}

/// Guards against flows that are rejected by the times of a slow start, which ends before their
/// clients time out.
#[test]
fn is_hopeless_is_false_in_slow_start() {
    let queue = SlotQueue::new(SlotQueueOptions::default());
    assert!(queue.is_hopeless(at(0), SLOTS, &new_flow(0, 220, 0)));
    assert!(!queue.is_hopeless(at(0), SLOTS, &new_flow(0, 220, 300)));
    assert!(!queue.is_hopeless(at(0), SLOTS, &new_flow(0, 300, 300)));
}
