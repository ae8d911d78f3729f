//! Changes whose answers are lost, late or overtaken.

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

/// Platform that keeps every accepted revision and may hold writes back.
struct Platform {
    history: Vec<Revision>,
    late: Vec<Revision>,
    rng: StdRng,
}

impl Platform {
    fn new(seed: u64) -> Platform {
        Platform {
            history: vec![Revision::default()],
            late: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    fn current(&self) -> Revision {
        *self.history.last().unwrap()
    }

    /// A compare-and-swap upon the generation before `revision`.
    fn write(&mut self, revision: Revision) -> bool {
        let fits = self.current().generation + 1 == revision.generation;
        if fits {
            self.history.push(revision);
        }
        fits
    }

    /// One try: it may be dropped, held back, or lose its answer.
    fn swap(&mut self, revision: Revision) -> SwapResult {
        match self.rng.random_range(0..5) {
            0 => SwapResult::Lost,
            1 => {
                self.late.push(revision);
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

    /// A write that was held back arrives.
    fn arrive(&mut self) {
        if !self.late.is_empty() && self.rng.random_bool(0.5) {
            let n = self.rng.random_range(0..self.late.len());
            let revision = self.late.swap_remove(n);
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

fn put(platform: &mut Platform, revision: Revision) -> ChangeOutcome {
    let mut put = ListChange::new(revision, 64);
    let mut step = Step::Swap;
    loop {
        platform.arrive();
        step = match step {
            Step::Swap => put.on_swap(platform.swap(revision)),
            Step::Read => {
                let answer = platform.read(revision.generation);
                put.on_read(answer)
            }
            Step::End(verdict) => return verdict,
        };
    }
}

/// What a writer believes that takes a lost answer for a lost write.
fn put_guessing(platform: &mut Platform, revision: Revision) -> bool {
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
    fn put_verdict_is_true_for_ever(seed: u64) {
        let mut platform = Platform::new(seed);
        let mut verdicts = Vec::new();
        for n in (1..=40).step_by(2) {
            // Two operators read the same state and race.
            let (one, two) = (next(&platform, n), next(&platform, n + 1));
            verdicts.push((one, put(&mut platform, one)));
            verdicts.push((two, put(&mut platform, two)));
        }
        while !platform.late.is_empty() {
            platform.arrive();
        }
        for (revision, verdict) in verdicts {
            let times = platform.history.iter().filter(|r| **r == revision).count();
            let accepted = match verdict {
                ChangeOutcome::Applied | ChangeOutcome::Superseded { .. } => 1,
                ChangeOutcome::NotApplied { .. } => 0,
                ChangeOutcome::Unknown => continue,
            };
            prop_assert_eq!(times, accepted, "{:?} {:?}", revision, verdict);
        }
    }
}

#[test]
fn put_is_wrong_when_lost_answers_are_guessed() {
    let wrong = (0..50).any(|seed| {
        let mut platform = Platform::new(seed);
        let revision = next(&platform, 1);
        let believed = put_guessing(&mut platform, revision);
        while !platform.late.is_empty() {
            platform.arrive();
        }
        believed != platform.history.contains(&revision)
    });
    assert!(wrong);
}
