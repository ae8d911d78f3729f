//! Queue of waiting requests that serves customers in fair turns.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::admission::CustomerKey;
use crate::admission::RequestId;
use crate::time::Timestamp;

/// Maximum number of rounds before the current one at which a new request is
/// queued if its customer used less than its share. [`FairQueue`] defines rounds.
const CREDIT_ROUNDS: u64 = 4;

/// A queued request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    /// Identifier of the request.
    pub(crate) id: RequestId,
    /// Customer whose share the request uses.
    pub(crate) customer: CustomerKey,
    /// Time at which its caller stops waiting; `None` if there is no deadline.
    pub(crate) deadline: Option<Timestamp>,
}

/// Queued requests of one customer. They belong to consecutive rounds.
#[derive(Clone, Debug, Default)]
struct CustomerQueue {
    waiting: VecDeque<Waiting>,
    /// Round of the next request that arrives.
    next_round: u64,
}

impl CustomerQueue {
    /// Round of the first waiting request, or of the next arrival if none waits.
    fn first_round(&self) -> u64 {
        self.next_round.saturating_sub(self.waiting.len() as u64)
    }
}

/// Start-time fair queue (Goyal, Vin and Cheng, 1996) in which every request has
/// the same cost.
///
/// Each request belongs to a round, in which its customer has no other request.
/// Lower rounds are served first; the current round is the highest one served so
/// far. New requests of a customer that requests no more than its share are always
/// near the current round, regardless of the length of other customers' queues.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    queues: IndexMap<CustomerKey, CustomerQueue>,
    /// Current round.
    round: u64,
    len: usize,
}

impl FairQueue {
    /// Number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends a request to the queue of its customer.
    pub(crate) fn push(&mut self, waiting: Waiting) {
        let round = self.entry_round(waiting.customer);
        let queue = self.queues.entry(waiting.customer).or_default();
        queue.waiting.push_back(waiting);
        queue.next_round = round + 1;
        self.len += 1;
    }

    /// Removes the request of the lowest round. Returns `None` if no request waits.
    pub(crate) fn pop(&mut self) -> Option<Waiting> {
        let nonempty = self
            .queues
            .values_mut()
            .filter(|queue| !queue.waiting.is_empty());
        let queue = nonempty.min_by_key(|queue| queue.first_round())?;
        self.round = self.round.max(queue.first_round());
        let waiting = queue.waiting.pop_front()?;
        self.len -= 1;
        self.remove_idle();
        Some(waiting)
    }

    /// Number of queued requests served before a new request of `customer`.
    pub(crate) fn count_ahead(&self, customer: CustomerKey) -> usize {
        let round = self.entry_round(customer);
        let count_before = |queue: &CustomerQueue| {
            let rounds = (round + 1).saturating_sub(queue.first_round());
            queue
                .waiting
                .len()
                .min(usize::try_from(rounds).unwrap_or(usize::MAX))
        };
        self.queues.values().map(count_before).sum()
    }

    /// Removes the request that would be served last. Returns `None` if it belongs
    /// to no later round than a new request of `customer` would.
    pub(crate) fn displace(&mut self, customer: CustomerKey) -> Option<Waiting> {
        let round = self.entry_round(customer);
        let nonempty = self
            .queues
            .values_mut()
            .filter(|queue| !queue.waiting.is_empty());
        let queue = nonempty.max_by_key(|queue| queue.next_round)?;
        if queue.next_round <= round + 1 {
            return None;
        }
        let waiting = queue.waiting.pop_back()?;
        queue.next_round -= 1;
        self.len -= 1;
        Some(waiting)
    }

    /// Removes request `id` of `customer`. The customer's later requests move to
    /// the round before. Returns `None` if the request doesn't wait.
    pub(crate) fn remove(&mut self, customer: CustomerKey, id: RequestId) -> Option<Waiting> {
        let queue = self.queues.get_mut(&customer)?;
        let at = queue.waiting.iter().rposition(|waiting| waiting.id == id)?;
        let waiting = queue.waiting.remove(at)?;
        queue.next_round -= 1;
        self.len -= 1;
        Some(waiting)
    }

    /// Removes every request whose deadline lies before `cutoff`.
    pub(crate) fn expire(&mut self, cutoff: Timestamp) -> Vec<Waiting> {
        let expired: Vec<Waiting> = self
            .waiting()
            .filter(|waiting| waiting.deadline.is_some_and(|deadline| deadline < cutoff))
            .copied()
            .collect();
        for waiting in &expired {
            self.remove(waiting.customer, waiting.id);
        }
        expired
    }

    /// Removes all requests and resets the rounds.
    pub(crate) fn drain(&mut self) -> Vec<Waiting> {
        let all = self.waiting().copied().collect();
        *self = FairQueue::default();
        all
    }

    /// Earliest deadline of the waiting requests; `None` if none has a deadline.
    pub(crate) fn earliest_deadline(&self) -> Option<Timestamp> {
        self.waiting().filter_map(|waiting| waiting.deadline).min()
    }

    fn waiting(&self) -> impl Iterator<Item = &Waiting> {
        self.queues.values().flat_map(|queue| &queue.waiting)
    }

    /// Round of a new request of `customer`: the one after its last request, but no
    /// earlier than [`CREDIT_ROUNDS`] before the current round.
    fn entry_round(&self, customer: CustomerKey) -> u64 {
        let earliest = self.round.saturating_sub(CREDIT_ROUNDS);
        let next = self
            .queues
            .get(&customer)
            .map_or(0, |queue| queue.next_round);
        next.max(earliest)
    }

    /// Removes empty queues that no longer affect the entry round of their
    /// customer.
    fn remove_idle(&mut self) {
        let earliest = self.round.saturating_sub(CREDIT_ROUNDS);
        self.queues
            .retain(|_, queue| !queue.waiting.is_empty() || queue.next_round > earliest);
    }
}
