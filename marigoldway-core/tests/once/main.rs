//! Transfers under random orders of attempts, answers, losses, restarts, target
//! failures and expiries: each runs at most once, "not run" means that it never
//! ran, "done" that it ran once.

mod bench;

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;

use crate::bench::AGENTS;
use crate::bench::Bench;
use crate::bench::Mode;
use crate::bench::Step;
use crate::bench::TRANSFERS;

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        8 => (0..TRANSFERS, 0..AGENTS).prop_map(|(t, a)| Step::Send(t, a)),
        20 => any::<usize>().prop_map(Step::Deliver),
        3 => any::<usize>().prop_map(Step::Lose),
        2 => any::<usize>().prop_map(Step::RefuseAtTarget),
        1 => (0..AGENTS).prop_map(Step::Restart),
        3 => (0..40u64).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..150)
}

fn run(mode: Mode, steps: &[Step]) -> Option<String> {
    let mut bench = Bench::new(mode);
    steps.iter().find_map(|step| {
        bench.run(step);
        bench.fault()
    })
}

/// Runs 1,000 random orders and counts those that show a fault.
fn faults(mode: Mode) -> usize {
    let mut runner = TestRunner::deterministic();
    let steps = steps();
    (0..1_000)
        .filter_map(|_| steps.new_tree(&mut runner).ok())
        .filter(|tree| run(mode, &tree.current()).is_some())
        .count()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn transfer_random_orders_runs_once(steps in steps()) {
        prop_assert_eq!(run(Mode::Whole, &steps), None);
    }
}

#[test]
fn transfer_without_table_runs_twice() {
    let off = faults(Mode::NoTable);
    println!(
        "faults of 1,000: without the table {off}, with it {}",
        faults(Mode::Whole)
    );
    assert!(off > 0);
    assert_eq!(faults(Mode::Whole), 0);
}

#[test]
fn transfer_forgotten_refusals_run_later() {
    let off = faults(Mode::ForgetRefusals);
    println!("faults of 1,000: refusals forgotten {off}");
    assert!(off > 0);
}

#[test]
fn transfer_any_incarnation_runs_twice() {
    let off = faults(Mode::AnyIncarnation);
    println!("faults of 1,000: any incarnation {off}");
    assert!(off > 0);
}
