//! Admission control under random orders of arrivals, completions, cancellations
//! and time.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use rand::SeedableRng;
use rand::rngs::StdRng;

use marigoldway_core::admission::Action;
use marigoldway_core::admission::Admission;
use marigoldway_core::admission::AdmissionOptions;
use marigoldway_core::admission::Arrival;
use marigoldway_core::admission::Completion;
use marigoldway_core::admission::CustomerKey;
use marigoldway_core::admission::RequestId;
use marigoldway_core::admission::TargetState;
use marigoldway_core::request::Class;
use marigoldway_core::request::Refusal;
use marigoldway_core::time::Timestamp;

/// One step of a simulated agent. A `usize` selects a request.
#[derive(Clone, Debug)]
enum Step {
    /// A request of a customer arrives, with a deadline in milliseconds from now.
    Arrive(Class, u64, u64),
    /// A running request ends.
    Finish(usize, Completion),
    /// The caller of a waiting or running request disconnects.
    Cancel(usize),
    /// The target accepts the cancellation of a request.
    Accept(usize),
    /// A number of milliseconds passes.
    Wait(u64),
    /// The agent observes the state of the target.
    Observe(TargetState),
}

fn step() -> impl Strategy<Value = Step> {
    let class = prop_oneof![
        1 => Just(Class::Feed),
        6 => Just(Class::Short),
        3 => Just(Class::Bulk),
    ];
    let completion = prop_oneof![
        8 => Just(Completion::Answered),
        1 => Just(Completion::Refused),
        1 => Just(Completion::Failed),
    ];
    let target = prop_oneof![Just(TargetState::Up), Just(TargetState::Down)];
    prop_oneof![
        10 => (class, 0..4u64, 0..3_000u64).prop_map(|(class, customer, deadline)| Step::Arrive(class, customer, deadline)),
        8 => (any::<usize>(), completion).prop_map(|(at, completion)| Step::Finish(at, completion)),
        2 => any::<usize>().prop_map(Step::Cancel),
        2 => any::<usize>().prop_map(Step::Accept),
        4 => (0..400u64).prop_map(Step::Wait),
        1 => target.prop_map(Step::Observe),
    ]
}

/// Admission control of one target and the state of each request at the agent.
struct Harness {
    admission: Admission,
    options: AdmissionOptions,
    now: Timestamp,
    rng: StdRng,
    waiting: IndexMap<RequestId, Class>,
    running: IndexMap<RequestId, Class>,
    canceled: IndexSet<RequestId>,
    next: u64,
}

impl Harness {
    fn new(options: AdmissionOptions) -> Harness {
        Harness {
            admission: Admission::new(options, Timestamp::ZERO),
            options,
            now: Timestamp::ZERO,
            rng: StdRng::seed_from_u64(1),
            waiting: IndexMap::new(),
            running: IndexMap::new(),
            canceled: IndexSet::new(),
            next: 0,
        }
    }

    fn run(&mut self, step: &Step) {
        let actions = match *step {
            Step::Arrive(class, customer, deadline) => self.arrive(class, customer, deadline),
            Step::Finish(at, completion) => match select(&self.running, at) {
                Some(id) => self.finish(id, completion),
                None => Vec::new(),
            },
            Step::Cancel(at) => self.cancel(at),
            Step::Accept(at) => self.accept(at),
            Step::Wait(millis) => {
                self.now = self.now + Duration::from_millis(millis);
                self.admission.tick(self.now, &mut self.rng)
            }
            Step::Observe(target) => self.admission.observe(target, self.now, &mut self.rng),
        };
        self.apply(&actions);
    }

    fn arrive(&mut self, class: Class, customer: u64, deadline: u64) -> Vec<Action> {
        let id = RequestId(self.next);
        self.next += 1;
        self.waiting.insert(id, class);
        let arrival = Arrival {
            id,
            class,
            customer: CustomerKey(customer),
            deadline: Some(self.now + Duration::from_millis(deadline)),
        };
        self.admission.arrive(arrival, self.now, &mut self.rng)
    }

    fn finish(&mut self, id: RequestId, completion: Completion) -> Vec<Action> {
        self.running.swap_remove(&id);
        self.admission
            .finish(id, completion, self.now, &mut self.rng)
    }

    fn cancel(&mut self, at: usize) -> Vec<Action> {
        let all: IndexMap<_, _> = self.waiting.iter().chain(&self.running).collect();
        let Some((&&id, _)) = all.get_index(at % all.len().max(1)) else {
            return Vec::new();
        };
        self.waiting.swap_remove(&id);
        self.admission.cancel(id)
    }

    fn accept(&mut self, at: usize) -> Vec<Action> {
        let Some(&id) = self.canceled.get_index(at % self.canceled.len().max(1)) else {
            return Vec::new();
        };
        self.canceled.swap_remove(&id);
        self.running.swap_remove(&id);
        self.admission.cancel_accepted(id, self.now, &mut self.rng)
    }

    /// Applies the actions. Checks that each request is started or refused only
    /// once, and only while it waits.
    fn apply(&mut self, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Start(id) => {
                    let class = self.waiting.swap_remove(&id).expect("started once");
                    self.running.insert(id, class);
                }
                Action::Refuse {
                    id, retry_after, ..
                } => {
                    self.waiting.swap_remove(&id).expect("refused once");
                    assert!(retry_after >= Duration::from_secs(1));
                }
                Action::Cancel(id) => {
                    assert!(self.running.contains_key(&id));
                    self.canceled.insert(id);
                }
            }
        }
        self.check_limits();
    }

    fn count(&self, class: Class) -> usize {
        self.running.values().filter(|held| **held == class).count()
    }

    fn check_limits(&self) {
        let (short, bulk) = (self.count(Class::Short), self.count(Class::Bulk));
        assert!(short + bulk <= self.options.slots);
        assert!(short + bulk + self.count(Class::Feed) <= self.options.connections);

        let load = self.admission.load(self.now);
        assert_eq!(
            (load.short, load.bulk, load.feeds),
            (short, bulk, self.count(Class::Feed))
        );
        assert_eq!(load.waiting, self.waiting.len());
        assert!(load.waiting <= self.options.short_queue + self.options.bulk_queue);
    }
}

fn select(held: &IndexMap<RequestId, Class>, at: usize) -> Option<RequestId> {
    let (id, _) = held.get_index(at % held.len().max(1))?;
    Some(*id)
}

fn options() -> AdmissionOptions {
    AdmissionOptions {
        connections: 8,
        short_queue: 6,
        bulk_queue: 3,
        ..AdmissionOptions::default()
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn admission_random_order_keeps_limits(steps in prop::collection::vec(step(), 1..150)) {
        let mut harness = Harness::new(options());
        for step in &steps {
            harness.run(step);
            prop_assert!(harness.count(Class::Bulk) <= 2, "bulk holds the last slots");
        }

        // No slot leaks: none is in use after all requests have ended.
        harness.run(&Step::Observe(TargetState::Up));
        for _ in 0..1_000 {
            harness.run(&Step::Finish(0, Completion::Answered));
            harness.run(&Step::Wait(100));
        }
        let load = harness.admission.load(harness.now);
        prop_assert_eq!(load.short + load.bulk + load.feeds + load.waiting, 0);
        prop_assert_eq!(load.limit, 4);
    }
}

#[test]
fn admission_without_reserved_slots_gives_all_slots_to_bulk() {
    let unreserved = AdmissionOptions {
        short_reserved: 0,
        ..options()
    };
    let mut runner = TestRunner::deterministic();
    let steps = prop::collection::vec(step(), 100..150);
    let max_bulk = (0..300)
        .filter_map(|_| steps.new_tree(&mut runner).ok())
        .map(|tree| {
            let mut harness = Harness::new(unreserved);
            let bulk = tree.current().into_iter().map(|step| {
                harness.run(&step);
                harness.count(Class::Bulk)
            });
            bulk.max().unwrap_or(0)
        })
        .max();
    assert_eq!(max_bulk, Some(4));
}

/// Floods the short queue with requests of customer 1 and sends one request of
/// customer `light` in every tenth of 1,000 rounds. Returns how many of these 100
/// requests were answered.
fn flood(light: u64) -> usize {
    let mut harness = Harness::new(AdmissionOptions::default());
    let mut light_requests = IndexSet::new();
    let mut answered = 0;
    harness.run(&Step::Wait(10_000));
    for round in 0..1_000 {
        for _ in 0..4 {
            harness.run(&Step::Arrive(Class::Short, 1, 1_000));
        }
        if round % 10 == 0 {
            light_requests.insert(RequestId(harness.next));
            harness.run(&Step::Arrive(Class::Short, light, 1_000));
        }
        harness.run(&Step::Wait(20));
        for id in harness.running.keys().copied().collect::<Vec<_>>() {
            answered += usize::from(light_requests.contains(&id));
            let actions = harness.finish(id, Completion::Answered);
            harness.apply(&actions);
        }
        for _ in 0..40 {
            harness.run(&Step::Arrive(Class::Short, 1, 1_000));
        }
    }
    answered
}

#[test]
fn admission_flood_does_not_affect_light_customer() {
    // Sent as the flooding customer, the requests have no share of their own.
    assert!(flood(1) < 50, "{}", flood(1));
    assert_eq!(flood(2), 100);
}

#[test]
fn arrive_with_unreachable_deadline_is_refused() {
    let mut harness = Harness::new(AdmissionOptions::default());
    for _ in 0..5 {
        harness.run(&Step::Arrive(Class::Short, 1, 1_000));
    }
    let actions = harness.arrive(Class::Short, 1, 30);
    assert!(matches!(
        actions[..],
        [Action::Refuse {
            reason: Refusal::Deadline,
            ..
        }]
    ));
}

#[test]
fn arrive_at_slow_target_is_queued() {
    let slow = AdmissionOptions {
        short_estimate: Duration::from_secs(5),
        ..AdmissionOptions::default()
    };
    let mut harness = Harness::new(slow);
    harness.run(&Step::Wait(10_000));
    for _ in 0..40 {
        harness.run(&Step::Arrive(Class::Short, 1, 60_000));
    }
    assert_eq!((harness.running.len(), harness.waiting.len()), (4, 8));
}

#[test]
fn leave_runs_waiting_requests() {
    let mut harness = Harness::new(AdmissionOptions::default());
    harness.run(&Step::Arrive(Class::Short, 1, 1_000));
    harness.run(&Step::Arrive(Class::Short, 1, 1_000));
    harness.admission.leave();
    assert_eq!(harness.waiting.len(), 1);

    let actions = harness.arrive(Class::Short, 2, 1_000);
    assert!(matches!(
        actions[..],
        [Action::Refuse {
            reason: Refusal::Leaving,
            ..
        }]
    ));
    harness.apply(&actions);
    harness.run(&Step::Finish(0, Completion::Answered));
    assert_eq!(harness.running.len(), 1);
}

#[test]
fn cancel_running_keeps_slot_until_accepted() {
    let mut harness = Harness::new(AdmissionOptions::default());
    harness.run(&Step::Arrive(Class::Short, 1, 1_000));
    harness.run(&Step::Cancel(0));
    assert_eq!(harness.admission.load(harness.now).short, 1);
    harness.run(&Step::Accept(0));
    assert_eq!(harness.admission.load(harness.now).short, 0);
}

#[test]
fn retry_after_is_randomized() {
    let mut harness = Harness::new(AdmissionOptions::default());
    let mut seconds = IndexSet::new();
    for _ in 0..500 {
        let retry = harness.admission.retry_after(harness.now, &mut harness.rng);
        seconds.insert(retry.as_secs());
    }
    assert!(seconds.len() >= 5, "{seconds:?}");
}
