//! Changes of a list whose writes are lost, delayed or superseded.

use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use marigoldway_core::lists::change::ChangeOutcome;
use marigoldway_core::lists::change::ListChange;
use marigoldway_core::lists::change::ReadBack;
use marigoldway_core::lists::change::Step;
use marigoldway_core::lists::change::SwapResult;
use marigoldway_core::lists::document::ChangeId;
use marigoldway_core::lists::document::Revision;

/// A platform (the store of the lists) that records every accepted revision and may
/// lose or delay writes.
struct Platform {
    history: Vec<Revision>,
    /// Writes that have not arrived yet.
    delayed: Vec<Revision>,
    rng: StdRng,
}

impl Platform {
    fn new(seed: u64) -> Platform {
        Platform {
            history: vec![Revision::default()],
            delayed: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn current(&self) -> Revision {
        *self.history.last().unwrap()
    }

    /// Applies a compare-and-swap on the generation before `revision`. Returns
    /// whether it was accepted.
    fn write(&mut self, revision: Revision) -> bool {
        let accepted = self.current().generation + 1 == revision.generation;
        if accepted {
            self.history.push(revision);
        }
        accepted
    }

    /// Makes one call: its write may be lost or delayed, or its reply may be lost.
    fn swap(&mut self, revision: Revision) -> SwapResult {
        match self.rng.random_range(0..5) {
            0 => SwapResult::Lost,
            1 => {
                self.delayed.push(revision);
                SwapResult::Lost
            }
            2 => {
                self.write(revision);
                SwapResult::Lost
            }
            _ if self.write(revision) => SwapResult::Applied,
            _ => SwapResult::Refused,
        }
    }

    /// Applies a random delayed write with a probability of one half.
    fn deliver_delayed(&mut self) {
        if !self.delayed.is_empty() && self.rng.random_bool(0.5) {
            let n = self.rng.random_range(0..self.delayed.len());
            let revision = self.delayed.swap_remove(n);
            self.write(revision);
        }
    }

    fn read(&mut self, generation: u64) -> Option<ReadBack> {
        if self.rng.random_bool(0.2) {
            return None;
        }
        let at = |r: &&Revision| r.generation == generation;
        Some(ReadBack {
            current: self.current(),
            history: self.history.iter().find(at).map(|r| r.change),
        })
    }
}

/// Runs a change until it ends and returns its outcome.
fn put(platform: &mut Platform, revision: Revision) -> ChangeOutcome {
    let mut change = ListChange::new(revision, 64);
    let mut step = Step::Swap;
    loop {
        platform.deliver_delayed();
        step = match step {
            Step::Swap => change.on_swap(platform.swap(revision)),
            Step::Read => {
                let answer = platform.read(revision.generation);
                change.on_read(answer)
            }
            Step::End(outcome) => return outcome,
        };
    }
}

/// Makes one call and takes a lost reply for a lost write. Returns whether the
/// writer assumes that the change was applied.
fn put_assuming_lost(platform: &mut Platform, revision: Revision) -> bool {
    platform.swap(revision) == SwapResult::Applied
}

fn next(platform: &Platform, change: u64) -> Revision {
    Revision {
        generation: platform.current().generation + 1,
        change: ChangeId(change),
    }
}

proptest! {
    #[test]
    fn put_outcome_matches_the_history(seed: u64) {
        let mut platform = Platform::new(seed);
        let mut outcomes = Vec::new();
        for n in (1..=40).step_by(2) {
            // Two operators read the same revision and write concurrently.
            let (one, two) = (next(&platform, n), next(&platform, n + 1));
            outcomes.push((one, put(&mut platform, one)));
            outcomes.push((two, put(&mut platform, two)));
        }
        while !platform.delayed.is_empty() {
            platform.deliver_delayed();
        }
        for (revision, outcome) in outcomes {
            let times = platform.history.iter().filter(|r| **r == revision).count();
            let accepted = match outcome {
                ChangeOutcome::Applied | ChangeOutcome::Superseded { .. } => 1,
                ChangeOutcome::NotApplied { .. } => 0,
                ChangeOutcome::Unknown => continue,
                ChangeOutcome::RolledBack => panic!("nothing was restored"),
            };
            prop_assert_eq!(times, accepted, "{:?} {:?}", revision, outcome);
        }
    }
}

/// Guards against a change that is told to be applied, or not applied, though the platform was
/// restored meanwhile: which one holds depends on what other processes write again.
#[test]
fn rollback_ends_a_change_without_a_verdict() {
    let revision = next(&Platform::new(1), 1);
    let mut change = ListChange::new(revision, 6);
    assert_eq!(change.on_swap(SwapResult::Refused), Step::Read);
    assert_eq!(change.on_rollback(), Step::End(ChangeOutcome::RolledBack));
}

#[test]
fn put_assuming_lost_is_sometimes_wrong() {
    let wrong = (0..50).any(|seed| {
        let mut platform = Platform::new(seed);
        let revision = next(&platform, 1);
        let assumed = put_assuming_lost(&mut platform, revision);
        while !platform.delayed.is_empty() {
            platform.deliver_delayed();
        }
        assumed != platform.history.contains(&revision)
    });
    assert!(wrong);
}
