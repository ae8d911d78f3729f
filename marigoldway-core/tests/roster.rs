//! Merging rosters is commutative, associative and idempotent. Views place new flows
//! only on serving targets while there are any.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use indexmap::IndexSet;
use proptest::prelude::*;

use marigoldway_core::ids::DomainId;
use marigoldway_core::ids::Incarnation;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::ids::RegionId;
use marigoldway_core::ids::ServiceId;
use marigoldway_core::roster::Record;
use marigoldway_core::roster::Role;
use marigoldway_core::roster::Roster;
use marigoldway_core::roster::State;

const STATES: [State; 5] = [
    State::Starting,
    State::Serving,
    State::Leaving,
    State::Suspect,
    State::Down,
];

prop_compose! {
    fn arb_record()(
        n in 1..6_u16,
        incarnation in 0..3_u32,
        version in 0..3_u32,
        state in prop::sample::select(&STATES),
        weight in prop::sample::select(&[10_u16, 100]),
        domain in 1..4_u8,
        port in 7000..7002_u16,
    ) -> Record {
        Record {
            id: InstanceId::new(Ipv4Addr::LOCALHOST, n),
            incarnation: Incarnation(incarnation),
            role: Role::Agent,
            service: Some(ServiceId(1)),
            domain: DomainId(domain),
            region: RegionId(1),
            control: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
            state,
            version,
            weight,
        }
    }
}

fn arb_records() -> impl Strategy<Value = Vec<Record>> {
    prop::collection::vec(arb_record(), 0..24)
}

fn roster(records: &[Record]) -> Roster {
    let mut roster = Roster::new();
    for record in records {
        roster.merge(record.clone());
    }
    roster
}

fn union(a: &Roster, b: &Roster) -> Roster {
    let mut union = a.clone();
    union.merge_all(b);
    union
}

proptest! {
    #[test]
    fn merge_is_commutative(a in arb_records(), b in arb_records()) {
        let (a, b) = (roster(&a), roster(&b));
        prop_assert_eq!(union(&a, &b), union(&b, &a));
    }

    #[test]
    fn merge_is_associative(a in arb_records(), b in arb_records(), c in arb_records()) {
        let (a, b, c) = (roster(&a), roster(&b), roster(&c));
        prop_assert_eq!(union(&union(&a, &b), &c), union(&a, &union(&b, &c)));
    }

    #[test]
    fn merge_is_idempotent(a in arb_records()) {
        let a = roster(&a);
        prop_assert_eq!(union(&a, &a), a);
    }

    #[test]
    fn merge_converges_in_any_order_with_duplicates(
        (records, shuffled) in arb_records()
            .prop_flat_map(|it| (Just(it.clone()), Just([it.clone(), it].concat()).prop_shuffle())),
    ) {
        prop_assert_eq!(roster(&records), roster(&shuffled));
    }

    #[test]
    fn candidates_serve_while_any_target_serves(records in arb_records(), key: u64) {
        let roster = roster(&records);
        let view = roster.view(&IndexSet::new());
        let serving = view.serving(ServiceId(1)).count();
        let candidates = view.candidates(ServiceId(1), key);
        if serving == 0 {
            let down = roster.records().filter(|it| it.state == State::Down);
            prop_assert!(down.into_iter().all(|it| candidates.is_none_or(|c| c.first != it.id)));
            return Ok(());
        }
        let candidates = candidates.unwrap();
        for id in [Some(candidates.first), candidates.second].into_iter().flatten() {
            prop_assert_eq!(view.record(id).map(|it| it.state), Some(State::Serving));
        }
        prop_assert_eq!(candidates.second.is_some(), serving > 1);
    }

    #[test]
    fn candidates_are_independent_of_merge_order(
        (records, shuffled) in arb_records()
            .prop_flat_map(|it| (Just(it.clone()), Just(it).prop_shuffle())),
        key: u64,
    ) {
        let choose = |records: &[Record]| {
            let view = roster(records).view(&IndexSet::new());
            view.candidates(ServiceId(1), key)
        };
        prop_assert_eq!(choose(&records), choose(&shuffled));
    }

    #[test]
    fn candidates_avoid_lost_domains(records in arb_records(), key: u64) {
        let roster = roster(&records);
        let lost = IndexSet::from([DomainId(1)]);
        let reachable = roster
            .records()
            .any(|it| it.state == State::Serving && it.domain != DomainId(1));
        prop_assume!(reachable);
        let view = roster.view(&lost);
        let first = view.candidates(ServiceId(1), key).unwrap().first;
        prop_assert_ne!(view.record(first).map(|it| it.domain), Some(DomainId(1)));
    }
}
