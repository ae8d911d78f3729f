//! States of the lists in any order, lost, doubled and spread by peers.

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
use marigoldway_core::time::Timestamp;

/// Changes of the history that the tests offer.
const CHANGES: u64 = 12;

/// One state of a list. Every third change of the allowances adds a plan, which
/// the next state of the plans uses, so that the lists depend on each other.
fn state(kind: ListKind, generation: u64) -> Arc<str> {
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

/// Takes whatever comes, as a process without revisions would.
fn last_one_wins(arrivals: &[(bool, u64)]) -> Vec<u64> {
    let plans = arrivals.iter().filter(|(plans, _)| *plans);
    plans.map(|(_, generation)| *generation).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    #[test]
    fn offer_ends_at_the_highest_in_any_order(arrivals in arb_arrivals(), place: prop::sample::Index) {
        let mut arrivals = arrivals;
        // The highest states arrive at any point, the others may be lost.
        for plans in [true, false] {
            arrivals.insert(place.index(arrivals.len() + 1), (plans, CHANGES));
        }
        let mut held_lists = HeldLists::default();
        let mut before = Revisions::default();
        for (plans, generation) in arrivals {
            held_lists.offer(kind(plans), &state(kind(plans), generation));
            let now = held_lists.in_force();
            prop_assert_eq!(now.max(before), now, "a revision went back");
            before = now;
        }
        prop_assert_eq!(before, highest(CHANGES));
    }
}

#[test]
fn offer_reverts_without_revisions() {
    let arrivals = [(true, 2), (true, 3), (true, 2)];
    assert_eq!(last_one_wins(&arrivals).last(), Some(&2));

    let mut held_lists = HeldLists::default();
    held_lists.offer(ListKind::Allowances, &state(ListKind::Allowances, 3));
    for (plans, generation) in arrivals {
        held_lists.offer(kind(plans), &state(kind(plans), generation));
    }
    assert_eq!(held_lists.in_force(), highest(3));
}

#[test]
fn offer_refuses_a_bad_list_and_keeps_the_former() {
    let mut held_lists = HeldLists::default();
    held_lists.offer(ListKind::Allowances, &state(ListKind::Allowances, 1));
    held_lists.offer(ListKind::Plans, &state(ListKind::Plans, 1));
    let bad = state(ListKind::Plans, 2).replace("plan=", "plan=UPPER");
    let offered = held_lists.offer(ListKind::Plans, &bad);
    assert!(
        matches!(offered, OfferOutcome::Refused { .. }),
        "{offered:?}"
    );

    // A plan that no state of the allowances names waits, and changes nothing.
    let unknown = state(ListKind::Plans, 3).replace("plan=p1", "plan=nowhere");
    let offered = held_lists.offer(ListKind::Plans, &unknown);
    assert!(
        matches!(offered, OfferOutcome::Waiting { .. }),
        "{offered:?}"
    );
    assert_eq!(held_lists.in_force(), highest(1));
}

/// Processes that pass revisions on over a network that loses messages.
struct Fleet {
    members: Vec<Propagation>,
    loss: f64,
    rng: StdRng,
    /// Members from this one on hear nothing of those before, and they nothing
    /// of them.
    cut: Option<usize>,
}

impl Fleet {
    fn new(size: usize, loss: f64, seed: u64) -> Fleet {
        Fleet {
            members: vec![Propagation::default(); size],
            loss,
            rng: StdRng::seed_from_u64(seed),
            cut: None,
        }
    }

    fn id(n: usize) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::LOCALHOST, u16::try_from(n).unwrap())
    }

    fn index(id: SocketAddrV4) -> usize {
        usize::from(id.port())
    }

    fn is_cut(&self, one: usize, two: usize) -> bool {
        self.cut.is_some_and(|cut| (one < cut) != (two < cut))
    }

    /// Hands out `outputs` of member `from` and all that follows from them.
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
            if self.is_cut(from, to) || self.rng.random_bool(self.loss) {
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

    /// Every member hears the heartbeat of one random other member.
    fn heartbeat(&mut self, now: Timestamp) {
        for n in 0..self.members.len() {
            let peer = self.rng.random_range(0..self.members.len());
            if self.is_cut(n, peer) {
                continue;
            }
            let theirs = self.members[peer].held_lists().in_force();
            let output = self.members[n].receive_revisions(now, Fleet::id(peer), theirs);
            self.deliver(now, n, output.into_iter().collect());
        }
    }

    fn publish(&mut self, now: Timestamp, generation: u64) {
        for kind in ListKind::ALL {
            let peers: Vec<SocketAddrV4> = (1..self.members.len()).map(Fleet::id).collect();
            let text = state(kind, generation);
            let outputs = self.members[0].receive_stored(kind, &text, &peers, &mut self.rng);
            self.deliver(now, 0, outputs);
        }
    }

    fn lagging(&self, generation: u64) -> usize {
        let held = self.members.iter().map(|m| m.held_lists().in_force());
        held.filter(|held| *held != highest(generation)).count()
    }
}

/// Seconds until no member lags, with heartbeats each second or without.
fn spread_time(heartbeats: bool, seed: u64) -> Option<u64> {
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
fn spread_leaves_gaps_without_heartbeats() {
    for seed in 0..8 {
        assert_eq!(spread_time(false, seed), None, "seed {seed}");
        let seconds = spread_time(true, seed);
        assert!(seconds.is_some(), "seed {seed}");
    }
}

#[test]
fn members_that_were_cut_off_catch_up() {
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

        fleet.cut = Some(40);
        for generation in 2..=4 {
            fleet.publish(Timestamp::ZERO, generation);
        }
        run(&mut fleet, 20);
        assert_eq!(fleet.lagging(4), 20, "seed {seed}");
        assert_eq!(fleet.lagging(1), 40, "seed {seed}");

        fleet.cut = None;
        run(&mut fleet, 5);
        assert_eq!(fleet.lagging(4), 0, "seed {seed}");
    }
}

#[test]
fn read_repairs_a_restored_platform() {
    let mut spread = Propagation::default();
    let mut rng = StdRng::seed_from_u64(1);
    for generation in [2, 3] {
        for kind in ListKind::ALL {
            spread.receive_stored(kind, &state(kind, generation), &[], &mut rng);
        }
    }
    let older = state(ListKind::Plans, 2);
    let outputs = spread.receive_stored(ListKind::Plans, &older, &[], &mut rng);
    assert_eq!(outputs, [Output::Repair(ListKind::Plans)]);
    assert_eq!(spread.held_lists().in_force(), highest(3));

    let same = state(ListKind::Plans, 3);
    assert_eq!(
        spread.receive_stored(ListKind::Plans, &same, &[], &mut rng),
        []
    );
}

#[test]
fn number_grows_with_the_revision() {
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
    let text = document::with_revision(&state(ListKind::Plans, 1), high);
    assert_eq!(document::revision(ListKind::Plans, &text), Ok(high));
}
