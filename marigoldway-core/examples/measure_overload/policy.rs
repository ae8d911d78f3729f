//! Admission policies that the example compares.
//!
//! A policy decides which requests start in the slots of the target, and when.

use std::collections::VecDeque;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;

use marigoldway_core::admission::Action;
use marigoldway_core::admission::Admission;
use marigoldway_core::admission::AdmissionOptions;
use marigoldway_core::admission::Arrival;
use marigoldway_core::admission::Completion;
use marigoldway_core::admission::RequestId;
use marigoldway_core::request::Class;
use marigoldway_core::time::Timestamp;

use crate::demand::Request;
use crate::demand::SLOTS;

/// Maximum number of requests in a `SimpleQueue`. A full queue drops arriving requests.
const SIMPLE_QUEUE_LEN: usize = 1_000;

/// Time for which a queue must have been non-empty before the newest request
/// goes first.
const LIFO_DELAY: Duration = Duration::from_millis(100);

/// `PolicyKind` identifies a policy in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PolicyKind {
    /// Admission with its default options.
    Shipped,
    /// Admission with three of the four slots reserved for short requests.
    OneBulkSlot,
    /// Admission with bulk requests treated as short ones.
    NoClasses,
    /// One queue, oldest first; ignores deadlines.
    Fifo,
    /// One queue, newest first while it stays non-empty; drops expired requests.
    AdaptiveLifo,
    /// One queue, earliest deadline first; drops expired requests.
    EarliestDeadline,
}

impl PolicyKind {
    /// All policies in table order.
    pub(crate) const ALL: [PolicyKind; 6] = [
        PolicyKind::Shipped,
        PolicyKind::Fifo,
        PolicyKind::AdaptiveLifo,
        PolicyKind::EarliestDeadline,
        PolicyKind::NoClasses,
        PolicyKind::OneBulkSlot,
    ];

    pub(crate) fn as_str(self) -> &'static str {
        match self {
            PolicyKind::Shipped => "ours",
            PolicyKind::OneBulkSlot => "ours, bulk in one slot",
            PolicyKind::NoClasses => "ours, no class rule",
            PolicyKind::Fifo => "FIFO",
            PolicyKind::AdaptiveLifo => "adaptive LIFO",
            PolicyKind::EarliestDeadline => "earliest deadline",
        }
    }
}

/// `Policy` decides when requests start.
pub(crate) enum Policy {
    /// Admission of the core; without `classes` every request counts as short.
    Core {
        admission: Box<Admission>,
        rng: Box<StdRng>,
        classes: bool,
    },
    /// A single queue without admission control.
    SimpleQueue(SimpleQueue),
}

impl Policy {
    pub(crate) fn new(kind: PolicyKind, seed: u64) -> Policy {
        let shipped = AdmissionOptions::default();
        let (classes, short_reserved) = match kind {
            PolicyKind::Shipped => (true, shipped.short_reserved),
            PolicyKind::OneBulkSlot => (true, SLOTS - 1),
            PolicyKind::NoClasses => (false, shipped.short_reserved),
            PolicyKind::Fifo | PolicyKind::AdaptiveLifo | PolicyKind::EarliestDeadline => {
                return Policy::SimpleQueue(SimpleQueue::new(kind));
            }
        };
        let options = AdmissionOptions {
            slots: SLOTS,
            short_reserved,
            ..shipped
        };
        Policy::Core {
            admission: Box::new(Admission::new(options, Timestamp::ZERO).skip_slow_start()),
            rng: Box::new(StdRng::seed_from_u64(seed)),
            classes,
        }
    }

    /// Handles an arriving request and returns the IDs of the requests to start now.
    pub(crate) fn arrive(&mut self, id: usize, request: &Request, now: Timestamp) -> Vec<usize> {
        match self {
            Policy::Core {
                admission,
                rng,
                classes,
            } => {
                let arrival = Arrival {
                    id: RequestId(id as u64),
                    class: if *classes {
                        request.class
                    } else {
                        Class::Short
                    },
                    customer: request.customer,
                    deadline: Some(request.deadline),
                };
                started_ids(&admission.arrive(arrival, now, rng))
            }
            Policy::SimpleQueue(queue) => queue.arrive(id, request.deadline, now),
        }
    }

    /// Handles a completed request and returns the IDs of the requests to start now.
    pub(crate) fn finish(&mut self, id: usize, now: Timestamp) -> Vec<usize> {
        match self {
            Policy::Core { admission, rng, .. } => {
                let id = RequestId(id as u64);
                started_ids(&admission.finish(id, Completion::Answered, now, rng))
            }
            Policy::SimpleQueue(queue) => queue.finish(now),
        }
    }
}

/// Returns the IDs of the requests that `actions` start.
fn started_ids(actions: &[Action]) -> Vec<usize> {
    let id = |action: &Action| match action {
        Action::Start(id) => Some(id.0 as usize),
        Action::Refuse { .. } | Action::Cancel(_) => None,
    };
    actions.iter().filter_map(id).collect()
}

/// `SimpleQueue` is one bounded queue for all requests.
pub(crate) struct SimpleQueue {
    kind: PolicyKind,
    /// IDs and deadlines of the waiting requests, oldest first.
    queue: VecDeque<(usize, Timestamp)>,
    /// Number of slots in use.
    busy: usize,
    /// Last time at which the queue was empty.
    last_empty: Timestamp,
}

impl SimpleQueue {
    fn new(kind: PolicyKind) -> SimpleQueue {
        SimpleQueue {
            kind,
            queue: VecDeque::new(),
            busy: 0,
            last_empty: Timestamp::ZERO,
        }
    }

    fn arrive(&mut self, id: usize, deadline: Timestamp, now: Timestamp) -> Vec<usize> {
        if self.queue.is_empty() {
            self.last_empty = now;
        }
        if self.queue.len() < SIMPLE_QUEUE_LEN {
            self.queue.push_back((id, deadline));
        }
        self.dispatch(now)
    }

    fn finish(&mut self, now: Timestamp) -> Vec<usize> {
        self.busy -= 1;
        self.dispatch(now)
    }

    /// Takes requests from the queue while slots are free, and returns those to start now.
    /// `Fifo` also starts requests whose deadline has passed; the other kinds drop them.
    fn dispatch(&mut self, now: Timestamp) -> Vec<usize> {
        let mut out = Vec::new();
        while self.busy < SLOTS {
            let Some((id, deadline)) = self.take(now) else {
                self.last_empty = now;
                return out;
            };
            if self.kind == PolicyKind::Fifo || deadline > now {
                self.busy += 1;
                out.push(id);
            }
        }
        out
    }

    /// Removes and returns the next request by the rule of this kind; `None` if the queue is
    /// empty.
    fn take(&mut self, now: Timestamp) -> Option<(usize, Timestamp)> {
        let newest = now.since(self.last_empty) > LIFO_DELAY;
        match self.kind {
            PolicyKind::AdaptiveLifo if newest => self.queue.pop_back(),
            PolicyKind::EarliestDeadline => {
                let deadlines = self.queue.iter().enumerate();
                let (at, _) = deadlines.min_by_key(|(_, (_, deadline))| *deadline)?;
                self.queue.remove(at)
            }
            _ => self.queue.pop_front(),
        }
    }
}
