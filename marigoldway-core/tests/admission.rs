//! Admission under random orders of arrivals, ends, cancellations and time.

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

#[derive(Clone, Debug)]
enum Step {
    Arrive(Class, u64, u64),
    Finish(usize, Completion),
    Cancel(usize),
    Accept(usize),
    Wait(u64),
    Observe(TargetState),
}

fn step() -> impl Strategy<Value = Step> {
    let class = prop_oneof![
        1 => Just(Class::Feed),
        6 => Just(Class::Short),
        3 => Just(Class::Bulk),
    ];
    let ended = prop_oneof![
        8 => Just(Completion::Answered),
        1 => Just(Completion::Refused),
        1 => Just(Completion::Failed),
    ];
    let target = prop_oneof![Just(TargetState::Up), Just(TargetState::Down)];
    prop_oneof![
        10 => (class, 0..4u64, 0..3_000u64).prop_map(|(c, w, d)| Step::Arrive(c, w, d)),
        8 => (any::<usize>(), ended).prop_map(|(at, ended)| Step::Finish(at, ended)),
        2 => any::<usize>().prop_map(Step::Cancel),
        2 => any::<usize>().prop_map(Step::Accept),
        4 => (0..400u64).prop_map(Step::Wait),
        1 => target.prop_map(Step::Observe),
    ]
}

/// What the agent would know of each request.
struct Bench {
    admission: Admission,
    options: AdmissionOptions,
    now: Timestamp,
    rng: StdRng,
    waiting: IndexMap<RequestId, Class>,
    running: IndexMap<RequestId, Class>,
    canceled: IndexSet<RequestId>,
    next: u64,
}

impl Bench {
    fn new(options: AdmissionOptions) -> Bench {
        Bench {
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
            Step::Finish(at, ended) => match pick(&self.running, at) {
                Some(id) => self.finish(id, ended),
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

    fn finish(&mut self, id: RequestId, ended: Completion) -> Vec<Action> {
        self.running.swap_remove(&id);
        self.admission.finish(id, ended, self.now, &mut self.rng)
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

    /// Takes in the actions; a request is started or refused once, and only
    /// while it waits.
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

fn pick(held: &IndexMap<RequestId, Class>, at: usize) -> Option<RequestId> {
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
    fn admission_random_orders_keeps_limits(steps in prop::collection::vec(step(), 1..150)) {
        let mut bench = Bench::new(options());
        for step in &steps {
            bench.run(step);
            prop_assert!(bench.count(Class::Bulk) <= 2, "bulk holds the last slots");
        }

        // Once everything ended, nothing is held: no slot leaks.
        bench.run(&Step::Observe(TargetState::Up));
        for _ in 0..1_000 {
            bench.run(&Step::Finish(0, Completion::Answered));
            bench.run(&Step::Wait(100));
        }
        let load = bench.admission.load(bench.now);
        prop_assert_eq!(load.short + load.bulk + load.feeds + load.waiting, 0);
        prop_assert_eq!(load.limit, 4);
    }
}

#[test]
fn admission_without_class_rule_gives_last_slots_to_bulk() {
    let off = AdmissionOptions {
        short_reserved: 0,
        ..options()
    };
    let mut runner = TestRunner::deterministic();
    let steps = prop::collection::vec(step(), 100..150);
    let most = (0..300)
        .filter_map(|_| steps.new_tree(&mut runner).ok())
        .map(|tree| {
            let mut bench = Bench::new(off);
            let bulk = tree.current().into_iter().map(|step| {
                bench.run(&step);
                bench.count(Class::Bulk)
            });
            bulk.max().unwrap_or(0)
        })
        .max();
    assert_eq!(most, Some(4));
}

/// Floods the short queue as customer 1 and sends one request in ten as
/// `light`. Returns how many requests of `light` were answered, of 100.
fn flood(light: u64) -> usize {
    let mut bench = Bench::new(AdmissionOptions::default());
    let mut mine = IndexSet::new();
    let mut answered = 0;
    bench.run(&Step::Wait(10_000));
    for round in 0..1_000 {
        for _ in 0..4 {
            bench.run(&Step::Arrive(Class::Short, 1, 1_000));
        }
        if round % 10 == 0 {
            mine.insert(RequestId(bench.next));
            bench.run(&Step::Arrive(Class::Short, light, 1_000));
        }
        bench.run(&Step::Wait(20));
        for id in bench.running.keys().copied().collect::<Vec<_>>() {
            answered += usize::from(mine.contains(&id));
            let actions = bench.finish(id, Completion::Answered);
            bench.apply(&actions);
        }
        for _ in 0..40 {
            bench.run(&Step::Arrive(Class::Short, 1, 1_000));
        }
    }
    answered
}

#[test]
fn admission_flood_spares_light_customer() {
    // Without turns, as the same customer, it drowns in the flood.
    assert!(flood(1) < 50, "{}", flood(1));
    assert_eq!(flood(2), 100);
}

#[test]
fn arrive_deadline_too_near_is_refused() {
    let mut bench = Bench::new(AdmissionOptions::default());
    for _ in 0..5 {
        bench.run(&Step::Arrive(Class::Short, 1, 1_000));
    }
    let actions = bench.arrive(Class::Short, 1, 30);
    assert!(matches!(
        actions[..],
        [Action::Refuse {
            reason: Refusal::Deadline,
            ..
        }]
    ));
}

#[test]
fn arrive_slow_target_still_queues() {
    let slow = AdmissionOptions {
        short_estimate: Duration::from_secs(5),
        ..AdmissionOptions::default()
    };
    let mut bench = Bench::new(slow);
    bench.run(&Step::Wait(10_000));
    for _ in 0..40 {
        bench.run(&Step::Arrive(Class::Short, 1, 60_000));
    }
    assert_eq!((bench.running.len(), bench.waiting.len()), (4, 8));
}

#[test]
fn leave_lets_waiting_requests_run() {
    let mut bench = Bench::new(AdmissionOptions::default());
    bench.run(&Step::Arrive(Class::Short, 1, 1_000));
    bench.run(&Step::Arrive(Class::Short, 1, 1_000));
    bench.admission.leave();
    assert_eq!(bench.waiting.len(), 1);

    let actions = bench.arrive(Class::Short, 2, 1_000);
    assert!(matches!(
        actions[..],
        [Action::Refuse {
            reason: Refusal::Leaving,
            ..
        }]
    ));
    bench.apply(&actions);
    bench.run(&Step::Finish(0, Completion::Answered));
    assert_eq!(bench.running.len(), 1);
}

#[test]
fn cancel_running_keeps_slot_until_accepted() {
    let mut bench = Bench::new(AdmissionOptions::default());
    bench.run(&Step::Arrive(Class::Short, 1, 1_000));
    bench.run(&Step::Cancel(0));
    assert_eq!(bench.admission.load(bench.now).short, 1);
    bench.run(&Step::Accept(0));
    assert_eq!(bench.admission.load(bench.now).short, 0);
}

#[test]
fn retry_after_is_spread() {
    let mut bench = Bench::new(AdmissionOptions::default());
    let mut seconds = IndexSet::new();
    for _ in 0..500 {
        let retry = bench.admission.retry_after(bench.now, &mut bench.rng);
        seconds.insert(retry.as_secs());
    }
    assert!(seconds.len() >= 5, "{seconds:?}");
}
