//! Tests of the placement of new flows under load, and when targets fail.

use std::time::Duration;

use marigoldway_core::flow::agent::AgentAction;
use marigoldway_core::flow::capacity::LogTime;
use marigoldway_core::flow::message::Header;
use marigoldway_core::flow::message::Intent;
use marigoldway_core::flow::message::LoadLevel;
use marigoldway_core::flow::message::PlacementHint;
use marigoldway_core::flow::segment::Answer;
use marigoldway_core::flow::segment::Flags;
use marigoldway_core::flow::segment::Segment;

use crate::fleet::Fleet;
use crate::fleet::Mode;
use crate::fleet::agent_id;
use crate::fleet::data;
use crate::fleet::flow;
use crate::fleet::routes;
use crate::fleet::server;
use crate::fleet::service;
use crate::fleet::syn;

/// Numbers of six agents, and the service of their targets.
const SIX_AGENTS: [(u16, &str); 6] = [
    (1, "orders"),
    (2, "orders"),
    (3, "orders"),
    (4, "orders"),
    (5, "orders"),
    (6, "orders"),
];

/// The largest and the smallest number of flows of a target.
fn flow_range(fleet: &Fleet) -> (usize, usize) {
    let counts: Vec<usize> = (1..=6).map(|n| fleet.flow_count(n)).collect();
    let most = counts.iter().max().copied().unwrap();
    (most, counts.iter().min().copied().unwrap())
}

#[test]
fn open_after_a_restart_of_all_processes_is_balanced() {
    // Each of the 240 entries knows only the one flow that it placed itself.
    let mut fleet = Fleet::new(21, 240, &SIX_AGENTS);
    for n in 0..240 {
        fleet.send(usize::from(n), syn(flow(1_000 + n, 443), 0));
    }
    let (most, least) = flow_range(&fleet);
    assert!(most - least <= 4, "{most} and {least} of 240");
}

#[test]
fn open_avoids_a_failing_target() {
    let mut fleet = Fleet::new(22, 2, &SIX_AGENTS);
    fleet.set_mode(1, Mode::Failing);
    for n in 0..120 {
        let key = flow(1_000 + n, 443);
        if let Some(origin) = fleet.open(usize::from(n) % 2, key) {
            fleet.talk(usize::from(n) % 2, key, origin);
        }
        fleet.now = fleet.now + Duration::from_millis(10);
    }
    // Without failures, the target would get 20 flows.
    let failed = fleet.flow_count(1);
    assert!((1..=8).contains(&failed), "{failed} flows");
}

#[test]
fn open_returns_to_a_target_with_old_failures() {
    let mut fleet = Fleet::new(23, 1, &SIX_AGENTS);
    fleet.set_mode(1, Mode::Failing);
    for n in 0..60 {
        let key = flow(1_000 + n, 443);
        if let Some(origin) = fleet.open(0, key) {
            fleet.talk(0, key, origin);
        }
    }
    fleet.set_mode(1, Mode::Healthy);
    fleet.advance(Duration::from_secs(20));
    let before = fleet.flow_count(1);
    for n in 0..60 {
        fleet.open(0, flow(2_000 + n, 443));
    }
    assert!(fleet.flow_count(1) > before);
}

#[test]
fn open_avoids_a_silent_target_before_its_heartbeat_is_missed() {
    let mut fleet = Fleet::new(24, 61, &SIX_AGENTS);
    fleet.set_mode(1, Mode::Silent);
    for n in 0..60 {
        fleet.open(0, flow(1_000 + n, 443));
    }
    fleet.now = fleet.now + Duration::from_millis(200);
    // Every new flow opens with its first packet, also through an entry that hasn't seen the
    // silence of the target.
    for n in 0..60 {
        let key = flow(2_000 + n, 443);
        assert!(fleet.open(1 + usize::from(n), key).is_some(), "flow {n}");
        assert_ne!(fleet.holder(key), Some(agent_id(1)));
    }
}

#[test]
fn requests_dropped_by_a_target_free_their_slots() {
    let mut fleet = Fleet::new(25, 1, &[(1, "orders")]);
    fleet.set_mode(1, Mode::Mute);
    for n in 0..6 {
        let key = flow(1_000 + n, 443);
        let origin = fleet.open(0, key).unwrap();
        fleet.send(0, data(key, origin, 100));
    }
    let running = |fleet: &Fleet| fleet.agents[&agent_id(1)].flows.load(fleet.now).running;
    assert_eq!(running(&fleet), 6);
    fleet.now = fleet.now + Duration::from_millis(400);
    fleet.tick();
    assert_eq!(running(&fleet), 0);
}

#[test]
fn has_work_until_the_accepted_requests_are_answered() {
    let mut fleet = Fleet::new(31, 1, &[(1, "orders")]);
    let has_work = |fleet: &Fleet| fleet.agents[&agent_id(1)].flows.has_work(fleet.now);
    assert!(!has_work(&fleet));
    // The flow is accepted, and its request hasn't arrived.
    let key = flow(1_000, 443);
    let origin = fleet.open(0, key).unwrap();
    assert!(has_work(&fleet));
    assert!(fleet.talk(0, key, origin));
    assert!(!has_work(&fleet));
    // Requests that the target leaves unanswered, more than it has slots.
    fleet.set_mode(1, Mode::Mute);
    for n in 0..8 {
        let key = flow(2_000 + n, 443);
        let origin = fleet.open(0, key).unwrap();
        fleet.talk(0, key, origin);
    }
    assert!(has_work(&fleet));
}

/// Header of a packet for agent 1, with a placement hint.
fn header(intent: Intent, threshold: LoadLevel, reference: LogTime) -> Header {
    Header {
        intent,
        hops: 0,
        service: service("orders"),
        version: 1,
        entry: agent_id(99),
        other: Some(agent_id(2)),
        search: false,
        work: routes(1, &[(443, "orders")]).by_addr[&server(443)].work,
        placement_hint: PlacementHint {
            threshold,
            best: None,
            reference,
            home: None,
        },
        ramp: None,
        waited: Duration::ZERO,
    }
}

/// Opens flow `n` at agent 1 with one request, which the target answers after `took`.
fn serve(fleet: &mut Fleet, n: u16, took: Duration) {
    let key = flow(n, 443);
    let mut actions = Vec::new();
    let owned = header(Intent::Owned, LoadLevel::MAX, LogTime::UNKNOWN);
    let open = Header {
        intent: Intent::Open,
        ..owned
    };
    let mut reply = Segment {
        source: key.server,
        dest: key.client,
        flags: Flags {
            syn: true,
            ..Flags::default()
        },
        seq: 500,
        ack: 8,
        len: 0,
        answer: None,
    };
    let agent = &mut fleet.agents.get_mut(&agent_id(1)).unwrap().flows;
    agent.on_client(fleet.now, &open, &syn(key, 0), b"syn", &mut actions);
    agent.on_target(fleet.now, &reply, &mut actions);
    let request = data(key, 500, 100);
    agent.on_client(fleet.now, &owned, &request, b"data", &mut actions);
    fleet.now = fleet.now + took;
    (reply.flags.syn, reply.seq, reply.len) = (false, 501, 100);
    reply.answer = Some(Answer::Served);
    agent.on_target(fleet.now, &reply, &mut actions);
}

// Guards against an agent that compares its target with another reference than the entry did, and
// so forwards flows that the entry counted as within the threshold, or accepts all of them.
#[test]
fn open_at_a_slow_target_goes_by_the_reference_in_the_header() {
    let mut fleet = Fleet::new(41, 1, &[(1, "orders"), (2, "orders")]);
    for n in 0..10 {
        serve(&mut fleet, 1_000 + n, Duration::from_millis(80));
    }
    let micros = |ms: f64| LogTime::from((ms * 1_000.0).ln());
    let references = [
        (LogTime::UNKNOWN, true),
        (micros(80.0), true),
        (micros(20.0), false),
    ];
    for (n, (reference, accepts)) in references.into_iter().enumerate() {
        let hint = header(Intent::Open, LoadLevel(50), reference);
        let packet = syn(flow(2_000 + n as u16, 443), 0);
        let mut actions = Vec::new();
        let agent = &mut fleet.agents.get_mut(&agent_id(1)).unwrap().flows;
        agent.on_client(fleet.now, &hint, &packet, b"syn", &mut actions);
        assert_eq!(actions.contains(&AgentAction::ToTarget), accepts, "{n}");
        let passed = |it: &AgentAction| {
            matches!(it, AgentAction::ToAgents(ids, onward)
                if *ids == [agent_id(2)] && onward.placement_hint.reference == reference)
        };
        assert_eq!(actions.iter().any(passed), !accepts, "{n}");
    }
}
