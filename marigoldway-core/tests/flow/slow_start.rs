//! The rate of opening packets to targets in slow start.

use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::Duration;

use marigoldway_core::flow::agent::AgentAction;
use marigoldway_core::flow::key::FlowKey;
use marigoldway_core::flow::message::TargetState;
use marigoldway_core::flow::routes::Routes;
use marigoldway_core::flow::segment::Flags;
use marigoldway_core::flow::segment::Segment;
use marigoldway_core::flow::target::Heartbeat;
use marigoldway_core::time::Timestamp;

use crate::fleet::Fleet;
use crate::fleet::Received;
use crate::fleet::agent_id;
use crate::fleet::data;
use crate::fleet::flow;
use crate::fleet::routes;
use crate::fleet::server;
use crate::fleet::service;
use crate::fleet::syn;

/// Longest slow start in these tests.
const SLOW_START: Duration = Duration::from_secs(8);

/// Time from its first opening packet after which a client gives up.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_400);

const ONE_AGENT: [(u16, &str); 1] = [(1, "orders")];

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Routes of `version` with a ramp of the service `orders`. Port 444 has a higher priority.
fn ramp_routes(version: u64, ramp: u32) -> Arc<Routes> {
    let mut routes = (*routes(version, &[(443, "orders"), (444, "orders")])).clone();
    routes.by_addr[&server(444)].work.priority = 0;
    if let Some(ramp) = NonZeroU32::new(ramp) {
        routes.ramps.insert(service("orders"), ramp);
    }
    Arc::new(routes)
}

/// A fleet whose processes are older than a second and whose targets have just started, with a
/// ramp of `ramp`, 0 for none.
pub fn slow_fleet(seed: u64, entries: usize, targets: &[(u16, &str)], ramp: u32) -> Fleet {
    let mut fleet = Fleet::new(seed, entries, targets);
    fleet.apply_routes(ramp_routes(2, ramp));
    fleet.advance(Duration::from_secs(2));
    for (n, name) in targets {
        fleet.start_slow_target(*n, name, SLOW_START);
    }
    fleet.share_roster();
    fleet
}

/// Fails if a window of one second has more opening packets than the ramp.
fn assert_within(ramp: usize, openings: &[Timestamp]) {
    for window in openings.windows(ramp + 1) {
        let span = window[ramp].since(window[0]);
        assert!(span > Duration::from_secs(1), "{span:?}: {window:?}");
    }
}

/// Whether the client has received the target's answer to its opening packet.
fn is_open(fleet: &Fleet, key: FlowKey) -> bool {
    let received = fleet.received.iter().filter(|(flow, _)| *flow == key);
    received
        .into_iter()
        .any(|(_, it)| matches!(it, Received::Segment(segment) if segment.flags.syn))
}

/// State of a crowd of clients that open flows at the same time.
struct Crowd {
    /// The flow and the time of the first copy of its opening packet, for each client.
    clients: Vec<(FlowKey, Timestamp)>,
    /// Number of copies that each client has sent.
    copies: Vec<u32>,
}

impl Crowd {
    /// `count` clients, which begin within 100 ms.
    fn new(start: Timestamp, count: u16) -> Crowd {
        let begin =
            |n: u16| start + Duration::from_micros(u64::from(n) * 100_000 / u64::from(count));
        let clients = (0..count).map(|n| (flow(1_000 + n, 443), begin(n)));
        Crowd {
            clients: clients.collect(),
            copies: vec![0; usize::from(count)],
        }
    }

    /// Sends the copies that are due: at once, after 200 ms and after 600 ms, until the client has an
    /// answer.
    fn send(&mut self, fleet: &mut Fleet) {
        let answered: std::collections::HashSet<FlowKey> =
            fleet.received.iter().map(|(key, _)| *key).collect();
        for (n, (key, begin)) in self.clients.iter().enumerate() {
            let due = match self.copies[n] {
                0 => *begin,
                1 => *begin + ms(200),
                2 => *begin + ms(600),
                _ => continue,
            };
            if fleet.now >= due && !answered.contains(key) {
                let entry = n % fleet.entries.len();
                fleet.send(entry, syn(*key, self.copies[n]));
                self.copies[n] += 1;
            }
        }
    }
}

/// Plays `span` in steps of 10 ms: clients send, agents release, and each 100 ms all processes
/// tick, each second targets send heartbeats.
fn play(fleet: &mut Fleet, crowd: &mut Crowd, span: Duration) {
    let end = fleet.now + span;
    while fleet.now < end {
        crowd.send(fleet);
        fleet.release_openings();
        let elapsed = fleet.now.as_micros() / 1_000;
        if elapsed % 100 < 10 {
            fleet.tick();
        }
        if elapsed % 1_000 < 10 {
            for n in 1..=fleet.agents.len() as u16 {
                fleet.heartbeat(n);
            }
        }
        fleet.now = fleet.now + ms(10);
    }
}

/// Guards against a target that gets more than its ramp when a crowd returns, against a crowd that
/// leaves the ramps unused, and against a client that is neither served nor told.
#[test]
fn crowd_is_kept_to_the_ramp_of_each_target() {
    let targets = [(1, "orders"), (2, "orders"), (3, "orders"), (4, "orders")];
    let mut fleet = slow_fleet(41, 8, &targets, 40);
    let mut crowd = Crowd::new(fleet.now, 3_000);
    play(&mut fleet, &mut crowd, ms(1_600));
    let mut sent = 0;
    for n in 1..=4 {
        let openings = &fleet.target(n).openings;
        assert_within(40, openings);
        sent += openings.len();
    }
    let open = crowd
        .clients
        .iter()
        .filter(|(key, _)| is_open(&fleet, *key));
    let open = open.count();
    // In 1.6 s, each target can get its ramp at 0 s and again at 1 s.
    assert!(sent <= 320, "{sent}");
    assert!(open >= 300, "{open} of 320");
    let untold = crowd.clients.iter();
    let untold = untold.filter(|(key, _)| !is_open(&fleet, *key) && fleet.resets(*key) == 0);
    assert_eq!(untold.count(), 0);
    let both = crowd.clients.iter();
    let both = both.filter(|(key, _)| is_open(&fleet, *key) && fleet.resets(*key) > 0);
    assert_eq!(both.count(), 0, "clients both answered and reset");
}

/// Guards against an agent that spends the budget again after its restart, while the crowd sends
/// copies of its opening packets.
#[test]
fn crowd_is_kept_to_the_ramp_while_agents_restart() {
    for restart_ms in [50, 350, 950, 1_050] {
        let mut fleet = slow_fleet(42, 4, &[(1, "orders"), (2, "orders")], 30);
        let mut crowd = Crowd::new(fleet.now, 1_000);
        play(&mut fleet, &mut crowd, ms(restart_ms));
        for n in [1, 2] {
            fleet.start_agent(n, "orders");
            fleet.heartbeat(n);
        }
        fleet.share_roster();
        let mut second = Crowd::new(fleet.now, 2_000);
        for (key, _) in &mut second.clients {
            key.client.set_port(key.client.port() + 10_000);
        }
        play(&mut fleet, &mut crowd, ms(100));
        play(&mut fleet, &mut second, ms(2_500));
        for n in [1, 2] {
            let openings = &fleet.target(n).openings;
            assert_within(30, openings);
            assert!(openings.len() >= 60, "{restart_ms}: {}", openings.len());
        }
    }
}

/// Guards against a new incarnation under the same ID that gets the packets queued for the earlier
/// one, or new ones, at more than its ramp.
#[test]
fn crowd_is_kept_to_the_ramp_while_a_target_restarts() {
    let mut fleet = slow_fleet(43, 4, &[(1, "orders"), (2, "orders")], 30);
    let mut crowd = Crowd::new(fleet.now, 1_000);
    play(&mut fleet, &mut crowd, ms(500));
    let before = fleet.target(1).openings.clone();
    fleet.start_slow_target(1, "orders", SLOW_START);
    play(&mut fleet, &mut crowd, ms(1_000));
    let after = &fleet.target(1).openings;
    assert!(!after.is_empty());
    let all: Vec<Timestamp> = before.iter().chain(after).copied().collect();
    assert_within(30, &all);
}

/// Guards against a limit where none is specified, or after the slow start.
#[test]
fn open_without_a_ramp_or_a_slow_start_is_not_limited() {
    let mut fleet = slow_fleet(44, 1, &ONE_AGENT, 0);
    for n in 0..100 {
        assert!(fleet.open(0, flow(1_000 + n, 443)).is_some(), "{n}");
    }
    let mut fleet = slow_fleet(45, 1, &ONE_AGENT, 5);
    fleet.advance(SLOW_START);
    for n in 0..100 {
        assert!(fleet.open(0, flow(1_000 + n, 443)).is_some(), "{n}");
    }
}

/// Guards against a packet that waits longer than its client, and against one that is rejected
/// although it could be sent in time.
#[test]
fn open_over_the_ramp_waits_or_is_reset() {
    let mut fleet = slow_fleet(46, 1, &ONE_AGENT, 2);
    let keys: Vec<FlowKey> = (0..6).map(|n| flow(1_000 + n, 443)).collect();
    for key in &keys {
        fleet.send(0, syn(*key, 0));
    }
    let open = |fleet: &Fleet| keys.iter().filter(|key| is_open(fleet, **key)).count();
    assert_eq!(open(&fleet), 2);
    // Two wait for 1 s. The next ones would wait for 2 s.
    let resets: Vec<usize> = keys.iter().map(|key| fleet.resets(*key)).collect();
    assert_eq!(resets, [0, 0, 0, 0, 1, 1]);
    assert_eq!(fleet.received.last(), Some(&(keys[5], Received::Reset(0))));
    let load = fleet.agents[&agent_id(1)].flows.load(fleet.now);
    assert_eq!(load.opening, 4);
    // A copy of a queued packet is dropped: it neither takes a second place nor is reset.
    fleet.now = fleet.now + ms(200);
    fleet.send(0, syn(keys[2], 1));
    assert_eq!(fleet.resets(keys[2]), 0);
    fleet.now = fleet.now + ms(801);
    fleet.release_openings();
    assert_eq!(open(&fleet), 4);
    assert_eq!(fleet.target(1).openings.len(), 4);
}

/// Guards against a packet that waits or is rejected although another target has room.
#[test]
fn open_over_the_ramp_goes_to_another_candidate() {
    let mut fleet = slow_fleet(56, 1, &[(1, "orders"), (2, "orders"), (3, "orders")], 2);
    fleet.start_target(3, "orders");
    for n in 0..60 {
        let key = flow(1_000 + n, 443);
        assert!(fleet.open(0, key).is_some(), "{n}");
    }
    for n in [1, 2] {
        assert_eq!(fleet.target(n).openings.len(), 2, "target {n}");
    }
    assert_eq!(fleet.flow_count(3), 56);
}

/// Guards against a packet that has waited at one agent and, after it was moved, waits at the next
/// one as if its client had just begun to wait.
#[test]
fn open_that_was_moved_keeps_the_time_that_it_has_waited() {
    for (waited_ms, resets) in [(900, 1), (100, 0)] {
        let mut fleet = slow_fleet(57, 1, &ONE_AGENT, 1);
        assert!(fleet.open(0, flow(1_000, 443)).is_some());
        let key = flow(1_001, 443);
        fleet.send(0, syn(key, 0));
        fleet.now = fleet.now + ms(waited_ms);
        // The new agent sends nothing for a second.
        fleet.start_agent(2, "orders");
        fleet.start_slow_target(2, "orders", SLOW_START);
        fleet.share_roster();
        end_or_drain(&mut fleet, true);
        fleet.tick();
        assert_eq!(fleet.resets(key), resets, "{waited_ms}");
        fleet.now = fleet.now + ms(1_001);
        fleet.heartbeat(2);
        fleet.release_openings();
        assert_eq!(is_open(&fleet, key), resets == 0, "{waited_ms}");
    }
}

/// Guards against a client that began to wait earlier, through a copy, and is queued for longer than
/// the rest of its wait.
#[test]
fn open_of_a_late_copy_over_the_ramp_is_reset_at_once() {
    let mut fleet = slow_fleet(47, 1, &ONE_AGENT, 1);
    assert!(fleet.open(0, flow(1_000, 443)).is_some());
    fleet.send(0, syn(flow(1_001, 443), 2));
    assert_eq!(fleet.resets(flow(1_001, 443)), 1);
    fleet.send(0, syn(flow(1_002, 443), 1));
    assert_eq!(fleet.resets(flow(1_002, 443)), 0);
}

/// Guards against a route of low priority that is served before one of high priority, and against a
/// displaced packet that waits in vain.
#[test]
fn open_over_the_ramp_is_ordered_by_priority_and_time_left() {
    let mut fleet = slow_fleet(48, 1, &ONE_AGENT, 2);
    for n in 0..2 {
        assert!(fleet.open(0, flow(1_000 + n, 443)).is_some());
    }
    let (low, late, high) = (flow(1_010, 443), flow(1_011, 443), flow(1_012, 444));
    fleet.send(0, syn(low, 0));
    // This client began to wait 200 ms earlier.
    fleet.send(0, syn(late, 1));
    fleet.send(0, syn(high, 0));
    fleet.tick();
    assert_eq!(fleet.resets(low), 1, "displaced by the two others");
    fleet.now = fleet.now + ms(1_001);
    fleet.release_openings();
    assert!(is_open(&fleet, high) && is_open(&fleet, late));
    assert!(!is_open(&fleet, low));
}

/// Guards against a packet that is sent to a target after its client has given up, since the agent
/// was paused.
#[test]
fn open_over_the_ramp_expires() {
    let mut fleet = slow_fleet(49, 1, &ONE_AGENT, 1);
    assert!(fleet.open(0, flow(1_000, 443)).is_some());
    let waiting = flow(1_001, 443);
    fleet.send(0, syn(waiting, 0));
    fleet.now = fleet.now + OPEN_TIMEOUT;
    fleet.heartbeat(1);
    fleet.release_openings();
    assert!(!is_open(&fleet, waiting));
    assert_eq!(fleet.resets(waiting), 1);
    assert_eq!(fleet.target(1).openings.len(), 1);
}

/// Guards against an open flow that is reset since a copy of its opening packet exceeds the ramp.
#[test]
fn copy_of_an_open_flow_over_the_ramp_is_never_reset() {
    let mut fleet = slow_fleet(50, 1, &ONE_AGENT, 1);
    let key = flow(1_000, 443);
    let origin = fleet.open(0, key).unwrap();
    for copies in [1, 2] {
        fleet.send(0, syn(key, copies));
    }
    fleet.tick();
    assert_eq!(fleet.resets(key), 0);
    assert!(fleet.talk(0, key, origin));
    fleet.now = fleet.now + OPEN_TIMEOUT;
    fleet.tick();
    assert_eq!(fleet.resets(key), 0);
    assert_eq!(fleet.holder(key), Some(agent_id(1)));
}

/// Guards against packets that are sent to a target which drains or has ended while they waited, and
/// against ones that are lost although another target serves.
#[test]
fn open_over_the_ramp_moves_when_the_target_drains_or_ends() {
    for ends in [false, true] {
        let mut fleet = slow_fleet(51, 1, &ONE_AGENT, 3);
        let keys: Vec<FlowKey> = (0..6).map(|n| flow(1_000 + n, 443)).collect();
        for key in &keys {
            fleet.send(0, syn(*key, 0));
        }
        fleet.start_agent(2, "orders");
        fleet.start_target(2, "orders");
        fleet.share_roster();
        end_or_drain(&mut fleet, ends);
        fleet.tick();
        for key in &keys {
            assert!(is_open(&fleet, *key), "{ends}");
        }
        assert_eq!(fleet.flow_count(2), 3, "{ends}");
    }
}

/// Guards against a client that waits in vain for a target which drains or has ended, without
/// another one.
#[test]
fn open_over_the_ramp_is_reset_when_the_only_target_drains_or_ends() {
    for ends in [false, true] {
        let mut fleet = slow_fleet(52, 1, &ONE_AGENT, 3);
        let keys: Vec<FlowKey> = (0..6).map(|n| flow(1_000 + n, 443)).collect();
        for key in &keys {
            fleet.send(0, syn(*key, 0));
        }
        end_or_drain(&mut fleet, ends);
        fleet.tick();
        let resets: usize = keys.iter().map(|key| fleet.resets(*key)).sum();
        assert_eq!(resets, 3, "{ends}");
        fleet.now = fleet.now + ms(1_100);
        fleet.release_openings();
        let opened = keys.iter().filter(|key| is_open(&fleet, **key));
        assert_eq!(opened.count(), 3, "{ends}");
    }
}

/// The target beside agent 1 announces that it ends, or that it drains.
fn end_or_drain(fleet: &mut Fleet, ends: bool) {
    let now = fleet.now;
    let node = fleet.agents.get_mut(&agent_id(1)).unwrap();
    if ends {
        assert!(node.flows.on_leave(now, "t1"));
        return;
    }
    let target = node.target.as_mut().unwrap();
    target.heartbeats += 1;
    let heartbeat = Heartbeat {
        id: "t1".to_owned(),
        started_at: target.started_at,
        number: target.heartbeats,
        service: service("orders"),
        draining: true,
        slots: 4,
        slow_start: SLOW_START,
    };
    node.flows.on_heartbeat(now, heartbeat, &mut Vec::new());
    assert_eq!(node.flows.load(now).state, TargetState::Draining);
}

/// Guards against a packet that is sent for a client that has reset its flow while it waited.
#[test]
fn open_over_the_ramp_ends_with_a_reset_by_the_client() {
    let mut fleet = slow_fleet(53, 1, &ONE_AGENT, 1);
    assert!(fleet.open(0, flow(1_000, 443)).is_some());
    let key = flow(1_001, 443);
    fleet.send(0, syn(key, 0));
    let reset = Segment {
        flags: Flags {
            rst: true,
            ..Flags::default()
        },
        ..data(key, 0, 0)
    };
    fleet.send(0, reset);
    fleet.now = fleet.now + ms(1_100);
    fleet.release_openings();
    assert!(!fleet.target(1).seen.contains(&key));
}

/// Guards against a queue that stays after an operator has dropped or lowered the ramp.
#[test]
fn queue_follows_a_changed_ramp() {
    let mut fleet = slow_fleet(54, 1, &ONE_AGENT, 4);
    let keys: Vec<FlowKey> = (0..8).map(|n| flow(1_000 + n, 443)).collect();
    for key in &keys {
        fleet.send(0, syn(*key, 0));
    }
    let open = |fleet: &Fleet| keys.iter().filter(|key| is_open(fleet, **key)).count();
    assert_eq!(open(&fleet), 4);
    fleet.apply_routes(ramp_routes(3, 0));
    // The next opening packet tells the agent of the new configuration.
    assert!(fleet.open(0, flow(2_000, 443)).is_some());
    fleet.tick();
    assert_eq!(open(&fleet), 8);
}

/// Guards against an agent that doesn't tell the wiring when the next packet is due, so that it
/// waits for the next tick.
#[test]
fn next_opening_is_the_time_of_the_next_release() {
    let mut fleet = slow_fleet(55, 1, &ONE_AGENT, 1);
    let now = fleet.now;
    assert!(fleet.open(0, flow(1_000, 443)).is_some());
    fleet.send(0, syn(flow(1_001, 443), 0));
    let node = fleet.agents.get_mut(&agent_id(1)).unwrap();
    let next = node.flows.next_opening(now).unwrap();
    assert_eq!(next.since(now), ms(1_001));
    let mut actions = Vec::new();
    node.flows.release_openings(next, &mut actions);
    let sent = actions.iter();
    let sent = sent.filter(|it| matches!(it, AgentAction::ReleaseOpening(_)));
    assert_eq!(sent.count(), 1);
    assert_eq!(node.flows.next_opening(next), None);
}
