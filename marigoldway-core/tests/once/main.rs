//! At-most-once execution under random orders of attempts, answers, losses,
//! restarts, target failures and expiries: each transfer runs at most once, "not
//! run" means that it never ran, and "done" that it ran once.

mod simulation;

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;

use crate::simulation::AGENTS;
use crate::simulation::Mode;
use crate::simulation::Simulation;
use crate::simulation::Step;
use crate::simulation::TRANSFERS;

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
    let mut simulation = Simulation::new(mode);
    steps.iter().find_map(|step| {
        simulation.run(step);
        simulation.violation()
    })
}

/// Runs 1,000 random orders and counts those that violate a guarantee.
fn violations(mode: Mode) -> usize {
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
    fn transfer_in_random_order_runs_once(steps in steps()) {
        prop_assert_eq!(run(Mode::Complete, &steps), None);
    }
}

#[test]
fn transfer_without_table_runs_twice() {
    let count = violations(Mode::NoTable);
    println!(
        "violations in 1,000 orders: without the table {count}, with it {}",
        violations(Mode::Complete)
    );
    assert!(count > 0);
    assert_eq!(violations(Mode::Complete), 0);
}

#[test]
fn transfer_with_forgotten_refusals_runs_later() {
    let count = violations(Mode::ForgetRefusals);
    println!("violations in 1,000 orders: refusals forgotten {count}");
    assert!(count > 0);
}

#[test]
fn transfer_accepted_by_any_incarnation_runs_twice() {
    let count = violations(Mode::AnyIncarnation);
    println!("violations in 1,000 orders: any incarnation {count}");
    assert!(count > 0);
}
