//! Tests of the estimate of one target, and of its comparison with others.

use std::time::Duration;

use marigoldway_core::flow::capacity;
use marigoldway_core::flow::capacity::Capacity;
use marigoldway_core::flow::capacity::CapacityPolicy;
use marigoldway_core::flow::capacity::FULL_TRUST;
use marigoldway_core::flow::capacity::LogTime;
use marigoldway_core::flow::capacity::ServiceTime;
use marigoldway_core::flow::capacity::observer::RequestEnd;
use marigoldway_core::flow::capacity::observer::ServiceObserver;
use marigoldway_core::flow::message::Load;
use marigoldway_core::flow::message::TargetState;
use marigoldway_core::flow::routes::WorkClass;
use marigoldway_core::flow::selection::Candidate;
use marigoldway_core::time::Timestamp;

use crate::target::agent_id;
use crate::target::flow_key;

const SLOTS: u16 = 4;

/// An observed target, and the time.
struct Bench {
    observer: ServiceObserver,
    now: Timestamp,
    flows: u64,
}

impl Bench {
    fn new() -> Bench {
        Bench {
            observer: ServiceObserver::default(),
            now: Timestamp::from_millis(10_000),
            flows: 0,
        }
    }

    /// Lets time pass, with the agent's periodic work.
    fn pass(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.now = end.min(self.now + Duration::from_millis(100));
            self.observer.tick(self.now, SLOTS, false);
        }
    }

    /// Runs `concurrency` requests of `ms` each at the same time.
    fn run(&mut self, concurrency: u64, ms: u64, end: RequestEnd) {
        let first = self.flows;
        self.flows += concurrency;
        for n in first..self.flows {
            let class = Some(WorkClass::Safe);
            self.observer.admit(self.now, SLOTS, flow_key(n), class);
        }
        self.pass(ms);
        for n in first..self.flows {
            self.observer.end(self.now, &flow_key(n), end);
        }
    }

    fn time(&self) -> ServiceTime {
        let capacity = self.observer.capacity(self.now, SLOTS);
        capacity.time(WorkClass::Safe)
    }

    fn millis(&self) -> f64 {
        let time = self.time().time.duration().unwrap();
        time.as_secs_f64() * 1_000.0
    }
}

/// A candidate whose service time is known.
fn candidate(n: usize, ms: f64, trust: u8) -> Candidate {
    let mut load = Load::idle(TargetState::Serving, SLOTS);
    load.capacity.times[0] = ServiceTime {
        time: LogTime::from((ms * 1_000.0).ln()),
        trust,
    };
    Candidate {
        id: agent_id(n),
        load,
        sent: 0,
        same_domain: true,
        suspect: false,
        slowness: 1.0,
    }
}

/// Slowness of each of the targets with these service times.
fn slowness(times: &[f64], trust: u8) -> Vec<f64> {
    let candidates = times.iter().enumerate();
    let candidates = candidates.map(|(n, ms)| candidate(n, *ms, trust));
    let mut candidates: Vec<Candidate> = candidates.collect();
    capacity::compare(&mut candidates, WorkClass::Safe, CapacityPolicy::default());
    candidates.iter().map(|it| it.slowness).collect()
}

// Guards against queueing at the target that counts as service time, so that a loaded target looks
// slow.
#[test]
fn estimate_excludes_queueing_at_the_target() {
    let mut bench = Bench::new();
    for n in 0..6 {
        let class = Some(WorkClass::Safe);
        bench.observer.admit(bench.now, SLOTS, flow_key(n), class);
    }
    // Four requests run for 20 ms, then the other two.
    bench.pass(20);
    for n in 0..4 {
        bench
            .observer
            .end(bench.now, &flow_key(n), RequestEnd::Answered);
    }
    bench.pass(20);
    for n in 4..6 {
        bench
            .observer
            .end(bench.now, &flow_key(n), RequestEnd::Answered);
    }
    assert!((19.0..21.0).contains(&bench.millis()), "{}", bench.millis());
}

// Guards against a target that fails at once and therefore looks fast.
#[test]
fn estimate_excludes_failed_requests() {
    let mut bench = Bench::new();
    for _ in 0..20 {
        bench.run(1, 1, RequestEnd::Discarded);
    }
    assert_eq!(bench.time(), ServiceTime::default());
}

// Guards against a few slow requests that make a target look slow.
#[test]
fn estimate_bounds_the_influence_of_one_request() {
    let mut bench = Bench::new();
    for _ in 0..20 {
        bench.run(1, 20, RequestEnd::Answered);
    }
    // The evidence has halved during the request, so it has a weight of 1 in 7.
    bench.run(1, 2_000, RequestEnd::Answered);
    assert!(bench.millis() < 24.0, "{}", bench.millis());
}

// Guards against an estimate that never forgets: a target that gets no requests since it was slow
// would never be tried again.
#[test]
fn estimate_fades_without_requests() {
    let mut bench = Bench::new();
    for _ in 0..20 {
        bench.run(1, 20, RequestEnd::Answered);
    }
    assert_eq!(bench.time().trust, FULL_TRUST);
    bench.pass(5_000);
    assert!(bench.time().trust < 30, "{}", bench.time().trust);
    bench.pass(15_000);
    assert_eq!(bench.time(), ServiceTime::default());
}

// Guards against a pause of the agent that counts as service time of the requests in progress.
#[test]
fn estimate_ignores_requests_during_a_pause() {
    let mut bench = Bench::new();
    for _ in 0..20 {
        bench.run(1, 20, RequestEnd::Answered);
    }
    let before = bench.millis();
    for n in 100..104 {
        let class = Some(WorkClass::Safe);
        bench.observer.admit(bench.now, SLOTS, flow_key(n), class);
    }
    bench.now = bench.now + Duration::from_secs(2);
    for n in 100..104 {
        bench
            .observer
            .end(bench.now, &flow_key(n), RequestEnd::Answered);
    }
    assert_eq!(bench.millis(), before);
}

// Guards against service times of a slow start, or of an earlier incarnation, that are held against
// the target later.
#[test]
fn estimate_is_neutral_after_a_restart_and_in_slow_start() {
    let mut bench = Bench::new();
    for _ in 0..20 {
        bench.run(1, 20, RequestEnd::Answered);
    }
    bench.observer.tick(bench.now, SLOTS, true);
    let capacity = bench.observer.capacity(bench.now, SLOTS);
    assert_eq!(capacity, Capacity::default());
    bench.observer.tick(bench.now, SLOTS, false);
    assert_eq!(bench.time(), ServiceTime::default());
    for _ in 0..20 {
        bench.run(1, 20, RequestEnd::Answered);
    }
    bench.observer.clear();
    assert_eq!(bench.time(), ServiceTime::default());
}

// Guards against a concurrency limit below half of the slots, and against one that stays after the
// target has recovered.
#[test]
fn limit_falls_to_half_of_the_slots_and_recovers() {
    let mut bench = Bench::new();
    for _ in 0..60 {
        bench.run(2, 20, RequestEnd::Answered);
        bench.run(4, 60, RequestEnd::Answered);
        assert!(bench.observer.limit(SLOTS) >= 2);
    }
    assert_eq!(bench.observer.limit(SLOTS), 2);
    bench.pass(6_000);
    assert_eq!(bench.observer.limit(SLOTS), SLOTS);
}

// Guards against a limit for a target whose service time doesn't depend on concurrency.
#[test]
fn limit_stays_at_the_slots_if_throughput_rises() {
    let mut bench = Bench::new();
    for _ in 0..60 {
        bench.run(2, 20, RequestEnd::Answered);
        bench.run(4, 24, RequestEnd::Answered);
        assert_eq!(bench.observer.limit(SLOTS), SLOTS);
    }
}

// Guards against differences within the noise that change decisions.
#[test]
fn compare_treats_noise_as_equal() {
    assert_eq!(slowness(&[20.0, 24.0, 17.0, 21.0], FULL_TRUST), [1.0; 4]);
}

// Guards against a penalty for all targets if all are slow together, and against one for targets of
// which too little is known.
#[test]
fn compare_is_neutral_without_a_trusted_difference() {
    assert_eq!(slowness(&[160.0, 170.0, 150.0], FULL_TRUST), [1.0; 3]);
    assert_eq!(slowness(&[20.0, 160.0], 0), [1.0; 2]);
    assert_eq!(slowness(&[160.0], FULL_TRUST), [1.0]);
    let few = slowness(&[20.0, 160.0], 20)[1];
    assert!(few < 1.3, "{few}");
}

// Guards against an estimate that takes all requests from a target or gives it all of them.
#[test]
fn compare_is_bounded_by_the_floor() {
    let times = slowness(&[1.0, 20.0, 20.0, 20.0, 20.0, 20.0, 400.0], FULL_TRUST);
    assert!((times[0] - 0.25).abs() < 1e-9, "{}", times[0]);
    assert!((times[6] - 4.0).abs() < 1e-9, "{}", times[6]);
}

// Guards against `capacity = fixed` that still goes by estimates or limits.
#[test]
fn compare_ignores_estimates_under_the_fixed_policy() {
    let mut candidates = vec![
        candidate(0, 20.0, FULL_TRUST),
        candidate(1, 90.0, FULL_TRUST),
    ];
    candidates[1].load.capacity.limit = 2;
    let policy = CapacityPolicy::FIXED;
    let reference = capacity::compare(&mut candidates, WorkClass::Safe, policy);
    assert!(!reference.is_known());
    for it in &candidates {
        assert_eq!(
            (it.slowness, capacity::usable_slots(&it.load)),
            (1.0, SLOTS)
        );
    }
}

// Guards against a report, possibly a corrupted one, that yields a limit outside of half of the
// slots and all of them.
#[test]
fn usable_slots_are_bounded() {
    let mut load = Load::idle(TargetState::Serving, 5);
    for (limit, usable) in [(0, 5), (1, 3), (4, 4), (u16::MAX, 5)] {
        load.capacity.limit = limit;
        assert_eq!(capacity::usable_slots(&load), usable);
    }
    load.slots = 0;
    assert_eq!(capacity::usable_slots(&load), 1);
}

// Guards against overflow and admission that disagree about when a target has no spare capacity.
#[test]
fn expected_wait_counts_the_requests_ahead() {
    let mut load = candidate(0, 20.0, FULL_TRUST).load;
    load.running = 3;
    assert_eq!(capacity::spare_slots(&load, 0), 1);
    let wait = |load: &Load| capacity::expected_wait(load, 0, WorkClass::Safe);
    assert_eq!(wait(&load), Some(Duration::ZERO));
    load.running = 4;
    load.waiting = 3;
    assert_eq!(capacity::spare_slots(&load, 0), -3);
    let millis = wait(&load).unwrap().as_secs_f64() * 1_000.0;
    assert!((19.9..20.1).contains(&millis), "{millis}");
    load.capacity = Capacity::default();
    assert_eq!(wait(&load), None);
}
