//! Merging two sources into one sequence, for any interleaving.

use marigoldway_client::sequence::EventOrder;
use marigoldway_client::sequence::Sequence;
use proptest::prelude::any;
use proptest::prelude::prop_assert;
use proptest::prelude::prop_assert_eq;
use proptest::proptest;

/// Returns the event numbers in the order in which a moving feed receives them. The
/// old source sends the events up to `resume`. Then both sources run in parallel, the
/// old up to `old_end` and the new up to `new_end`. Each element of `picks` selects the
/// source of the next event: the old for `true`, the new for `false`.
fn arrivals(resume: u64, old_end: u64, new_end: u64, picks: &[bool]) -> Vec<u64> {
    let mut ids: Vec<u64> = (1..=resume).collect();
    let (mut old, mut new) = (resume + 1, resume + 1);
    for &pick_old in picks {
        let next = if pick_old { &mut old } else { &mut new };
        let end = if pick_old { old_end } else { new_end };
        if *next <= end {
            ids.push(*next);
            *next += 1;
        }
    }
    ids.extend(new..=new_end);
    ids
}

proptest! {
    #[test]
    fn admit_any_interleaving(
        resume in 1_u64..20,
        overlap in 0_u64..20,
        rest in 0_u64..20,
        picks in proptest::collection::vec(any::<bool>(), 0..60),
    ) {
        let end = resume + overlap + rest;
        let mut sequence = Sequence::default();
        let arrived = arrivals(resume, resume + overlap, end, &picks);
        let admitted = arrived.into_iter().map(|id| (id, sequence.admit(id)));
        let delivered: Vec<_> = admitted.filter(|(_, order)| order.is_new()).collect();
        prop_assert!(delivered.iter().all(|(_, order)| *order == EventOrder::Next));
        let ids: Vec<u64> = delivered.into_iter().map(|(id, _)| id).collect();
        prop_assert_eq!(ids, (1..=end).collect::<Vec<u64>>());
    }
}

#[test]
fn admit_off_and_on() {
    let arrived = arrivals(3, 5, 6, &[true, false, true]);
    // Without the sequence, the application would receive events 4 and 5 twice.
    assert_eq!(arrived, [1, 2, 3, 4, 4, 5, 5, 6]);

    let mut sequence = Sequence::default();
    let mut ids = arrived;
    ids.retain(|id| sequence.admit(*id).is_new());
    assert_eq!(ids, [1, 2, 3, 4, 5, 6]);
}

#[test]
fn admit_gap() {
    let mut sequence = Sequence::after(Some(4));
    assert_eq!(sequence.admit(7), EventOrder::Gap { missing: 2 });
    assert_eq!(sequence.admit(5), EventOrder::Duplicate { behind: 2 });
    assert!(!sequence.admit(5).caught_up());
    assert!(sequence.admit(7).caught_up());
    assert_eq!(sequence.last(), Some(7));
}
