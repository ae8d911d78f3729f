//! Revisions of the lists that arrive in any order, are lost or duplicated, and
//! propagate between peers.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use marigoldway_core::lists::ListKind;
use marigoldway_core::lists::document;
use marigoldway_core::lists::document::ChangeId;
use marigoldway_core::lists::document::Revision;
use marigoldway_core::lists::propagation::Message;
use marigoldway_core::lists::propagation::Output;
use marigoldway_core::lists::propagation::Propagation;
use marigoldway_core::lists::revisions::HeldLists;
use marigoldway_core::lists::revisions::OfferOutcome;
use marigoldway_core::lists::revisions::Revisions;
use marigoldway_core::lists::rollback::RollbackDetector;
use marigoldway_core::time::Timestamp;

/// Number of generations that the tests offer.
const CHANGES: u64 = 12;

/// One revision of a list. Every third generation uses another plan. The
/// allowances contain that plan and the next one, so the lists depend on each
/// other.
fn list_text(kind: ListKind, generation: u64) -> Arc<str> {
    let header = format!("list {kind}\ngeneration {generation}\nchange {generation:016x}\n");
    let plan = generation / 3;
    Arc::from(match kind {
        ListKind::Plans => format!("{header}customer a plan=p{plan}\n"),
        ListKind::Allowances => format!(
            "{header}service s id=1\n\
             plan p{plan} services=s connections=1 rate=1 burst=1 bulk=1\n\
             plan p{} services=s connections=1 rate=1 burst=1 bulk=1\n",
            plan + 1
        ),
    })
}

fn number(generation: u64) -> u32 {
    let change = ChangeId(generation);
    Revision { generation, change }.number()
}

fn highest(generation: u64) -> Revisions {
    Revisions {
        plans: number(generation),
        allowances: number(generation),
    }
}

fn arb_arrivals() -> impl Strategy<Value = Vec<(bool, u64)>> {
    prop::collection::vec((any::<bool>(), 1..=CHANGES), 0..60)
}

fn kind(plans: bool) -> ListKind {
    if plans {
        ListKind::Plans
    } else {
        ListKind::Allowances
    }
}

/// Returns the generations of the plans in order of arrival. A process that ignored
/// revisions would have the last one in force.
fn arrived_plans(arrivals: &[(bool, u64)]) -> Vec<u64> {
    let plans = arrivals.iter().filter(|(plans, _)| *plans);
    plans.map(|(_, generation)| *generation).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn offer_ends_at_highest_in_any_order(arrivals in arb_arrivals(), place: prop::sample::Index) {
        let mut arrivals = arrivals;
        // The highest revisions arrive at any point; others may be lost.
        for plans in [true, false] {
            arrivals.insert(place.index(arrivals.len() + 1), (plans, CHANGES));
        }
        let mut held_lists = HeldLists::default();
        let mut before = Revisions::default();
        for (plans, generation) in arrivals {
            held_lists.offer(kind(plans), &list_text(kind(plans), generation));
            let now = held_lists.in_force();
            prop_assert_eq!(now.max(before), now, "a revision in force decreased");
            before = now;
        }
        prop_assert_eq!(before, highest(CHANGES));
    }
}

#[test]
fn offer_ignores_older_revision() {
    let arrivals = [(true, 2), (true, 3), (true, 2)];
    assert_eq!(arrived_plans(&arrivals).last(), Some(&2));

    let mut held_lists = HeldLists::default();
    held_lists.offer(ListKind::Allowances, &list_text(ListKind::Allowances, 3));
    for (plans, generation) in arrivals {
        held_lists.offer(kind(plans), &list_text(kind(plans), generation));
    }
    assert_eq!(held_lists.in_force(), highest(3));
}

#[test]
fn offer_refuses_malformed_list_and_keeps_previous() {
    let mut held_lists = HeldLists::default();
    held_lists.offer(ListKind::Allowances, &list_text(ListKind::Allowances, 1));
    held_lists.offer(ListKind::Plans, &list_text(ListKind::Plans, 1));
    let malformed = list_text(ListKind::Plans, 2).replace("plan=", "plan=UPPER");
    let outcome = held_lists.offer(ListKind::Plans, &malformed);
    assert!(
        matches!(outcome, OfferOutcome::Refused { .. }),
        "{outcome:?}"
    );

    // A list with a plan that isn't in the allowances waits and isn't in force.
    let unknown = list_text(ListKind::Plans, 3).replace("plan=p1", "plan=nowhere");
    let outcome = held_lists.offer(ListKind::Plans, &unknown);
    assert!(
        matches!(outcome, OfferOutcome::Waiting { .. }),
        "{outcome:?}"
    );
    assert_eq!(held_lists.in_force(), highest(1));
}

/// Processes that exchange revisions over a network that loses messages.
struct Fleet {
    members: Vec<Propagation>,
    loss: f64,
    rng: StdRng,
    /// Index of the first member of the second group while the network is
    /// partitioned: it and later members exchange no messages with earlier ones.
    partition: Option<usize>,
}

impl Fleet {
    fn new(size: usize, loss: f64, seed: u64) -> Fleet {
        Fleet {
            members: vec![Propagation::default(); size],
            loss,
            rng: StdRng::seed_from_u64(seed),
            partition: None,
        }
    }

    fn id(n: usize) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::LOCALHOST, u16::try_from(n).unwrap())
    }

    fn index(id: SocketAddrV4) -> usize {
        usize::from(id.port())
    }

    fn is_partitioned(&self, one: usize, two: usize) -> bool {
        self.partition
            .is_some_and(|first| (one < first) != (two < first))
    }

    /// Delivers the messages in `outputs` of member `from` and all messages that
    /// result from them.
    fn deliver(&mut self, now: Timestamp, from: usize, outputs: Vec<Output>) {
        let mut queue: Vec<(usize, usize, Message)> = Vec::new();
        let sends = |from: usize, outputs: Vec<Output>| {
            outputs.into_iter().filter_map(move |output| match output {
                Output::Send { to, message } => Some((from, Fleet::index(to), message)),
                _ => None,
            })
        };
        queue.extend(sends(from, outputs));
        while let Some((from, to, message)) = queue.pop() {
            if self.is_partitioned(from, to) || self.rng.random_bool(self.loss) {
                continue;
            }
            let peers: Vec<SocketAddrV4> = (0..self.members.len())
                .filter(|n| *n != to)
                .map(Fleet::id)
                .collect();
            let member = &mut self.members[to];
            let outputs = member.receive(now, Fleet::id(from), &message, &peers, &mut self.rng);
            queue.extend(sends(to, outputs));
        }
    }

    /// Every member receives the heartbeat of one random member.
    fn heartbeat(&mut self, now: Timestamp) {
        for n in 0..self.members.len() {
            let peer = self.rng.random_range(0..self.members.len());
            if self.is_partitioned(n, peer) {
                continue;
            }
            let theirs = self.members[peer].held_lists().in_force();
            let output = self.members[n].receive_revisions(now, Fleet::id(peer), theirs);
            self.deliver(now, n, output.into_iter().collect());
        }
    }

    /// Member 0 reads `generation` of both lists from the platform.
    fn publish(&mut self, now: Timestamp, generation: u64) {
        for kind in ListKind::ALL {
            let peers: Vec<SocketAddrV4> = (1..self.members.len()).map(Fleet::id).collect();
            let text = list_text(kind, generation);
            let outputs = self.members[0].receive_stored(kind, &text, &peers, &mut self.rng);
            self.deliver(now, 0, outputs);
        }
    }

    /// Number of members that don't have `generation` of both lists in force.
    fn lagging(&self, generation: u64) -> usize {
        let in_force = self.members.iter().map(|m| m.held_lists().in_force());
        in_force
            .filter(|revisions| *revisions != highest(generation))
            .count()
    }
}

/// Returns the number of seconds until no member lags, or `None` if some still lag
/// after 30 seconds. With `heartbeats`, members exchange one each second.
fn propagation_time(heartbeats: bool, seed: u64) -> Option<u64> {
    let mut fleet = Fleet::new(60, 0.3, seed);
    for generation in 1..=3 {
        fleet.publish(Timestamp::ZERO, generation);
    }
    (0..30).find(|second| {
        let now = Timestamp::ZERO + Duration::from_secs(*second);
        if heartbeats {
            fleet.heartbeat(now);
        }
        fleet.lagging(3) == 0
    })
}

#[test]
fn propagation_needs_heartbeats() {
    for seed in 0..8 {
        assert_eq!(propagation_time(false, seed), None, "seed {seed}");
        let seconds = propagation_time(true, seed);
        assert!(seconds.is_some(), "seed {seed}");
    }
}

#[test]
fn propagation_recovers_after_partition() {
    for seed in 0..8 {
        let mut fleet = Fleet::new(60, 0.1, seed);
        fleet.publish(Timestamp::ZERO, 1);
        let mut second = 0;
        let mut run = |fleet: &mut Fleet, seconds: u64| {
            for _ in 0..seconds {
                second += 1;
                fleet.heartbeat(Timestamp::ZERO + Duration::from_secs(second));
            }
        };
        run(&mut fleet, 20);
        assert_eq!(fleet.lagging(1), 0, "seed {seed}");

        fleet.partition = Some(40);
        for generation in 2..=4 {
            fleet.publish(Timestamp::ZERO, generation);
        }
        run(&mut fleet, 20);
        assert_eq!(fleet.lagging(4), 20, "seed {seed}");
        assert_eq!(fleet.lagging(1), 40, "seed {seed}");

        fleet.partition = None;
        run(&mut fleet, 5);
        assert_eq!(fleet.lagging(4), 0, "seed {seed}");
    }
}

#[test]
fn receive_stored_repairs_restored_platform() {
    let mut propagation = Propagation::default();
    let mut rng = StdRng::seed_from_u64(1);
    for generation in [2, 3] {
        for kind in ListKind::ALL {
            propagation.receive_stored(kind, &list_text(kind, generation), &[], &mut rng);
        }
    }
    let older = list_text(ListKind::Plans, 2);
    let outputs = propagation.receive_stored(ListKind::Plans, &older, &[], &mut rng);
    assert_eq!(outputs, [Output::Repair(ListKind::Plans)]);
    assert_eq!(propagation.held_lists().in_force(), highest(3));

    let same = list_text(ListKind::Plans, 3);
    assert_eq!(
        propagation.receive_stored(ListKind::Plans, &same, &[], &mut rng),
        []
    );
}

/// The plans of a generation, by another edit than [`list_text`].
fn other_edit(generation: u64, change: u64) -> String {
    let text = list_text(ListKind::Plans, generation).replace("customer a", "customer other");
    let change = ChangeId(change);
    document::with_revision(&text, Revision { generation, change })
}

/// Guards against an accepted edit that is undone without a word: after a restore of the platform,
/// two edits have the same generation, and each process keeps the one with the higher change ID.
#[test]
fn edit_lost_to_another_of_its_generation_is_reported() {
    for (change, kept_change) in [(1, 3), (9, 9)] {
        let mut propagation = Propagation::default();
        let mut rng = StdRng::seed_from_u64(1);
        for kind in ListKind::ALL {
            propagation.receive_stored(kind, &list_text(kind, 3), &[], &mut rng);
        }
        let other = other_edit(3, change);
        let outputs = propagation.receive_stored(ListKind::Plans, &other, &[], &mut rng);
        let revision = |change| Revision {
            generation: 3,
            change: ChangeId(change),
        };
        let conflict = Output::Conflict {
            kind: ListKind::Plans,
            kept: revision(kept_change),
            lost: revision(change.min(3)),
        };
        let action = if change < 3 {
            Output::Repair(ListKind::Plans)
        } else {
            Output::Publish
        };
        assert_eq!(outputs, [action, conflict]);
    }
}

/// Guards against reports of edits that aren't lost: the same edit again, and older generations.
#[test]
fn edit_that_is_held_is_not_reported_as_lost() {
    let mut propagation = Propagation::default();
    let mut rng = StdRng::seed_from_u64(1);
    for generation in [2, 3, 3, 2, 1] {
        for kind in ListKind::ALL {
            let text = list_text(kind, generation);
            let outputs = propagation.receive_stored(kind, &text, &[], &mut rng);
            let is_conflict = |it: &Output| matches!(it, Output::Conflict { .. });
            assert!(!outputs.iter().any(is_conflict), "{outputs:?}");
        }
    }
}

/// Guards against a restore of the platform that nobody is told of, and against a report at each
/// read after it.
#[test]
fn rollback_is_detected_once() {
    let mut detector = RollbackDetector::default();
    let observed = [5, 5, 9, 4, 4, 6, 9, 12, 11].map(|it| detector.observe(it));
    let expected = [None, None, None, Some(9), None, None, None, None, Some(12)];
    assert_eq!(observed, expected);
}

/// Guards against a report of a restore if a watch delivers a change from before the last read.
#[test]
fn rollback_is_not_seen_in_an_earlier_change() {
    let mut detector = RollbackDetector::default();
    assert_eq!(detector.observe(105), None);
    detector.on_change(103);
    assert_eq!(detector.observe(105), None);
    detector.on_change(107);
    assert_eq!(detector.observe(106), Some(107));
}

#[test]
fn number_increases_with_revision() {
    let revision = |generation, change| Revision {
        generation,
        change: ChangeId(change),
    };
    let low = revision(1, u64::MAX);
    let high = revision(2, 0);
    assert!(low < high && low.number() < high.number());
    let both = Revisions {
        plans: low.number(),
        allowances: high.number(),
    };
    assert_eq!(Revisions::from_u64(both.to_u64()), both);
    let text = document::with_revision(&list_text(ListKind::Plans, 1), high);
    assert_eq!(document::revision(ListKind::Plans, &text), Ok(high));
}
