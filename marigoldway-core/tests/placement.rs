//! Placement depends on the members and the key alone, follows the weights, and
//! moves only the flows of a removed member.

use std::net::Ipv4Addr;

use indexmap::IndexMap;
use proptest::prelude::*;

use marigoldway_core::ids::InstanceId;
use marigoldway_core::placement::Member;
use marigoldway_core::placement::PlacementTable;
use marigoldway_core::placement::mix;

fn member(n: u16, weight: u16) -> Member {
    Member {
        id: InstanceId::new(Ipv4Addr::LOCALHOST, n),
        weight,
    }
}

fn arb_members() -> impl Strategy<Value = Vec<Member>> {
    prop::collection::btree_map(1..500_u16, 1..200_u16, 1..12).prop_map(|it| {
        it.into_iter()
            .map(|(n, weight)| member(n, weight))
            .collect()
    })
}

proptest! {
    #[test]
    fn choose_ignores_the_order_of_members(members in arb_members(), key: u64) {
        let table = PlacementTable::new(members.clone());
        let reversed = PlacementTable::new(members.into_iter().rev());
        prop_assert_eq!(table.choose(key), reversed.choose(key));
    }

    #[test]
    fn choose_returns_two_different_members(members in arb_members(), key: u64) {
        let choice = PlacementTable::new(members.clone()).choose(key).unwrap();
        prop_assert_ne!(Some(choice.first), choice.second);
        prop_assert_eq!(choice.second.is_some(), members.len() > 1);
    }

    #[test]
    fn choose_moves_only_the_flows_of_a_removed_member(
        members in arb_members(),
        keys in prop::collection::vec(any::<u64>(), 100),
    ) {
        let (removed, rest) = members.split_first().unwrap();
        let before = PlacementTable::new(members.clone());
        let after = PlacementTable::new(rest.iter().copied());
        for key in keys {
            let old = before.choose(key).unwrap();
            if old.first == removed.id {
                // The second candidate becomes the first, so a pass and a removal
                // select the same member.
                prop_assert_eq!(after.choose(key).map(|it| it.first), old.second);
            } else {
                prop_assert_eq!(after.choose(key).map(|it| it.first), Some(old.first));
            }
        }
    }
}

#[test]
fn choose_follows_the_weights() {
    let weights = [100, 100, 50, 10];
    let table = PlacementTable::new((1..).zip(weights).map(|(n, weight)| member(n, weight)));
    let mut counts: IndexMap<u16, u32> = IndexMap::new();
    let draws = 260_000;
    for n in 0..draws {
        let first = table.choose(mix(n)).unwrap().first;
        *counts.entry(first.0.port()).or_default() += 1;
    }
    for (n, weight) in (1..).zip(weights) {
        let expected = f64::from(weight) * draws as f64 / 260.0;
        let ratio = f64::from(counts[&n]) / expected;
        assert!((0.96..1.04).contains(&ratio), "member {n}: {ratio}");
    }
}
