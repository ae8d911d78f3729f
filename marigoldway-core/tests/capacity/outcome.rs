//! Measures a run of the simulation.

use std::time::Duration;

use marigoldway_core::flow::capacity;
use marigoldway_core::flow::capacity::CapacityPolicy;
use marigoldway_core::flow::routes::WorkClass;
use marigoldway_core::flow::selection::Candidate;
use marigoldway_core::time::Timestamp;

use crate::sim::OBJECTIVE;
use crate::sim::Spec;
use crate::target::SimTarget;
use crate::target::agent_id;

/// Part of a run that isn't measured, in which the first estimates are made.
const WARM_UP: Duration = Duration::from_secs(5);

/// Travel time from the client to the target and back.
const NETWORK_TIME: Duration = Duration::from_millis(12);

/// What a run measured.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub p99: Duration,
    /// Fraction of the requests that were answered within the objective.
    pub in_time: f64,
    /// Standard deviation over time of a target's requests per slot, mean over the targets.
    pub swing: f64,
    /// Time from the start of a slowdown until half of it is known, in logarithms.
    pub tracked: Option<Duration>,
    /// Time from the end of a slowdown until no more than half of it is assumed.
    pub recovered: Option<Duration>,
    /// Fraction of the samples in which a target counted as neither slower nor faster.
    pub neutral: f64,
    /// Mean concurrency limit relative to the slots: of the targets that slow down, while they are
    /// slow, or of all targets if none does.
    pub limit: f64,
}

impl Outcome {
    /// The mean of several runs. Of the times to track a change, the longest one; `None` if one run
    /// didn't track it.
    pub fn mean(runs: &[Outcome]) -> Outcome {
        let count = runs.len() as f64;
        let mean = |part: fn(&Outcome) -> f64| runs.iter().map(part).sum::<f64>() / count;
        let longest = |part: fn(&Outcome) -> Option<Duration>| {
            let times: Option<Vec<Duration>> = runs.iter().map(part).collect();
            times?.into_iter().max()
        };
        Outcome {
            p99: Duration::from_secs_f64(mean(|it| it.p99.as_secs_f64())),
            in_time: mean(|it| it.in_time),
            swing: mean(|it| it.swing),
            tracked: longest(|it| it.tracked),
            recovered: longest(|it| it.recovered),
            neutral: mean(|it| it.neutral),
            limit: mean(|it| it.limit),
        }
    }
}

/// Collects response times and samples.
pub struct Recorder {
    spec: Spec,
    start: Timestamp,
    times: Vec<Duration>,
    /// Number, sum and sum of squares of the occupancy of each target.
    occupancy: Vec<(f64, f64, f64)>,
    tracked: Option<Duration>,
    recovered: Option<Duration>,
    neutral: (u64, u64),
    limit: (f64, f64),
}

impl Recorder {
    pub fn new(spec: Spec, start: Timestamp) -> Recorder {
        Recorder {
            spec,
            start,
            times: Vec::new(),
            occupancy: vec![(0.0, 0.0, 0.0); spec.targets],
            tracked: None,
            recovered: None,
            neutral: (0, 0),
            limit: (0.0, 0.0),
        }
    }

    /// Adds the response time of a request.
    pub fn answered(&mut self, now: Timestamp, took: Duration) {
        if now.since(self.start) >= WARM_UP {
            self.times.push(took + NETWORK_TIME);
        }
    }

    /// Samples the targets.
    pub fn sample(&mut self, now: Timestamp, targets: &[SimTarget], policy: CapacityPolicy) {
        let at = now.since(self.start);
        if at < WARM_UP {
            return;
        }
        let mut all: Vec<Candidate> = (0..targets.len())
            .map(|n| Candidate {
                id: agent_id(n),
                load: targets[n].load(now),
                sent: 0,
                same_domain: true,
                suspect: false,
                slowness: 1.0,
            })
            .collect();
        capacity::compare(&mut all, WorkClass::Safe, policy);
        let neutral = all.iter().filter(|it| it.slowness == 1.0).count();
        self.neutral.0 += neutral as u64;
        self.neutral.1 += all.len() as u64;
        for (n, target) in targets.iter().enumerate() {
            let occupancy = target.occupancy();
            let sums = &mut self.occupancy[n];
            *sums = (
                sums.0 + 1.0,
                sums.1 + occupancy,
                sums.2 + occupancy * occupancy,
            );
        }
        if self.spec.slowdown.is_none() {
            self.add_limits(all.iter());
        }
        self.follow(at, targets, &all);
    }

    fn add_limits<'a>(&mut self, targets: impl Iterator<Item = &'a Candidate>) {
        for it in targets {
            let limit = f64::from(capacity::usable_slots(&it.load));
            self.limit.0 += limit / f64::from(it.load.slots);
            self.limit.1 += 1.0;
        }
    }

    /// Follows the estimates of the targets that slow down.
    fn follow(&mut self, at: Duration, targets: &[SimTarget], all: &[Candidate]) {
        let Some(change) = self.spec.slowdown else {
            return;
        };
        let slow = targets.iter().zip(all).filter(|(it, _)| it.slows_down());
        let slow: Vec<&Candidate> = slow.map(|(_, it)| it).collect();
        let slowness = slow.iter().map(|it| it.slowness.ln()).sum::<f64>() / slow.len() as f64;
        let half = change
            .factor
            .ln()
            .min(CapacityPolicy::default().max_slowness().ln())
            / 2.0;
        if at >= change.from && at < change.to {
            self.add_limits(slow.iter().copied());
            if slowness >= half {
                self.tracked.get_or_insert(at - change.from);
            }
        } else if at >= change.to && slowness <= half {
            self.recovered.get_or_insert(at - change.to);
        }
    }

    /// Ends the run.
    pub fn finish(mut self, _now: Timestamp) -> Outcome {
        self.times.sort();
        let index = self.times.len() * 99 / 100;
        let in_time = self.times.iter().filter(|it| **it <= OBJECTIVE).count();
        let swings = self.occupancy.iter().map(|(count, sum, squares)| {
            let mean = sum / count;
            (squares / count - mean * mean).max(0.0).sqrt()
        });
        Outcome {
            p99: self.times[index],
            in_time: in_time as f64 / self.times.len() as f64,
            swing: swings.sum::<f64>() / self.occupancy.len() as f64,
            tracked: self.tracked,
            recovered: self.recovered,
            neutral: self.neutral.0 as f64 / self.neutral.1.max(1) as f64,
            limit: self.limit.0 / self.limit.1.max(1.0),
        }
    }
}
