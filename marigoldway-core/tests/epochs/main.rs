//! A store that is restored from backups, its followers and the processes that read from them. What
//! a process knows is always a state that the store had at one revision of one epoch, no process goes
//! back to an earlier epoch or revision, and all know the latest state once nothing fails.

mod model;
mod process;
mod store;

use std::time::Duration;

use proptest::prelude::*;

use marigoldway_core::replica::epoch::Epoch;

use crate::model::Event;
use crate::model::FOLLOWERS;
use crate::model::Model;
use crate::model::READERS;
use crate::model::RECOVERY_TIME;

fn arb_event() -> impl Strategy<Value = Event> {
    let process = 0..FOLLOWERS + READERS;
    prop_oneof![
        6 => (0..6_u8, prop::bool::weighted(0.25)).prop_map(|(key, it)| Event::Write(key, it)),
        2 => Just(Event::BackUp),
        2 => Just(Event::Restore),
        1 => any::<bool>().prop_map(Event::Store),
        1 => (process.clone(), any::<bool>()).prop_map(|(n, it)| Event::Cut(n, it)),
        1 => process.clone().prop_map(Event::Restart),
        2 => process.prop_map(Event::Learn),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    /// Guards against a process that mixes keys of two epochs, or goes back to an earlier one.
    #[test]
    fn processes_know_a_state_of_one_epoch(
        seed: u64,
        events in prop::collection::vec((arb_event(), 0..1_500_u64), 1..60),
    ) {
        let mut model = Model::new(seed);
        model.advance(Duration::from_secs(1));
        for (event, span) in events {
            model.apply(event);
            model.advance(Duration::from_millis(span));
        }
        model.check_recovery();
    }
}

/// Guards against processes that take revisions for known which the store has assigned again: after
/// the restore, as many writes as were lost bring the store to the same revision.
#[test]
fn restore_with_reissued_revisions_reaches_every_process() {
    for seed in 0..20 {
        let mut model = Model::new(seed);
        model.advance(Duration::from_secs(4));
        model.apply(Event::BackUp);
        for key in 0..4 {
            model.apply(Event::Write(key, false));
            model.advance(Duration::from_millis(500));
        }
        model.advance(Duration::from_secs(2));
        model.apply(Event::Restore);
        for key in 4..8 {
            model.apply(Event::Write(key, false));
        }
        model.advance(RECOVERY_TIME);
        for process in &model.processes {
            assert_eq!(process.view, model.store.contents.keys);
        }
    }
}

/// Guards against a later epoch that only readers know: their followers would give them nothing, and
/// each would read from the store.
#[test]
fn reader_of_a_later_epoch_makes_its_follower_ask_the_store() {
    let mut model = Model::new(7);
    model.advance(Duration::from_secs(4));
    model.apply(Event::Restore);
    model.apply(Event::Learn(FOLLOWERS));
    model.advance(Duration::from_secs(4));
    for (n, process) in model.processes.iter().enumerate() {
        assert_eq!(process.view_at.epoch, Epoch(2), "process {n}");
    }
}

/// Guards against an answer of the earlier epoch that is under way while its reader learns of the
/// later one: the reader would take its keys for those of the later epoch.
#[test]
fn answer_under_way_over_a_restore_is_discarded() {
    let mut model = Model::new(8);
    model.advance(Duration::from_secs(4));
    model.apply(Event::BackUp);
    model.apply(Event::Write(1, false));
    model.advance(Duration::from_secs(2));
    model.apply(Event::Store(false));
    model.apply(Event::Restore);
    let mut learned = 0;
    for _ in 0..50 {
        for n in FOLLOWERS..FOLLOWERS + READERS {
            if model.is_answered_by_follower(n) {
                model.processes[n].latest = model.store.epoch;
                learned += 1;
            }
        }
        model.advance(Duration::from_millis(20));
    }
    assert!(learned >= READERS, "{learned} answers were under way");
    model.check_recovery();
}
