//! A queue that takes turns between customers.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::admission::CustomerKey;
use crate::admission::RequestId;
use crate::time::Timestamp;

/// `Waiting` is a request in a queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    /// Name of the request.
    pub(crate) id: RequestId,
    /// Whose turn it takes.
    pub(crate) customer: CustomerKey,
    /// When its caller stops waiting.
    pub(crate) deadline: Option<Timestamp>,
}

/// `FairQueue` serves its customers in turn, and the requests of one customer
/// in the order of their arrival.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    /// Only customers with a waiting request, each with its own queue.
    queues: IndexMap<CustomerKey, VecDeque<Waiting>>,
    /// The same customers in the order of their turns.
    turns: VecDeque<CustomerKey>,
    len: usize,
}

impl FairQueue {
    /// Number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Tells whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request behind the others of its customer.
    pub(crate) fn push(&mut self, waiting: Waiting) {
        let queue = self.queues.entry(waiting.customer).or_default();
        if queue.is_empty() {
            self.turns.push_back(waiting.customer);
        }
        queue.push_back(waiting);
        self.len += 1;
    }

    /// Takes the next request of the customer whose turn it is.
    pub(crate) fn pop(&mut self) -> Option<Waiting> {
        let customer = self.turns.pop_front()?;
        let queue = self.queues.get_mut(&customer)?;
        let waiting = queue.pop_front()?;
        self.len -= 1;
        if queue.is_empty() {
            self.queues.swap_remove(&customer);
        } else {
            self.turns.push_back(customer);
        }
        Some(waiting)
    }

    /// Number of requests that are served before a new one of `customer`, or
    /// one more for each customer whose turn comes later.
    pub(crate) fn ahead(&self, customer: CustomerKey) -> usize {
        let own = self.queues.get(&customer).map_or(0, VecDeque::len);
        self.queues
            .values()
            .map(|queue| queue.len().min(own + 1))
            .sum()
    }

    /// Takes the newest request of the customer with the longest queue, if that
    /// queue is longer than the one of `customer` would be with one request
    /// more.
    pub(crate) fn displace(&mut self, customer: CustomerKey) -> Option<Waiting> {
        let own = self.queues.get(&customer).map_or(0, VecDeque::len);
        let (&longest, queue) = self.queues.iter().max_by_key(|(_, queue)| queue.len())?;
        if queue.len() <= own + 1 {
            return None;
        }
        let id = queue.back()?.id;
        self.remove(longest, id)
    }

    /// Takes out request `id` of `customer`.
    pub(crate) fn remove(&mut self, customer: CustomerKey, id: RequestId) -> Option<Waiting> {
        let queue = self.queues.get_mut(&customer)?;
        let at = queue.iter().rposition(|waiting| waiting.id == id)?;
        let waiting = queue.remove(at)?;
        self.len -= 1;
        if queue.is_empty() {
            self.queues.swap_remove(&customer);
            self.turns.retain(|turn| *turn != customer);
        }
        Some(waiting)
    }

    /// Takes out every request whose deadline lies before `limit`.
    pub(crate) fn expire(&mut self, limit: Timestamp) -> Vec<Waiting> {
        let late: Vec<Waiting> = self
            .queues
            .values()
            .flatten()
            .filter(|waiting| waiting.deadline.is_some_and(|deadline| deadline < limit))
            .copied()
            .collect();
        for waiting in &late {
            self.remove(waiting.customer, waiting.id);
        }
        late
    }

    /// Takes out everything.
    pub(crate) fn drain(&mut self) -> Vec<Waiting> {
        let mut out = Vec::with_capacity(self.len);
        while let Some(waiting) = self.pop() {
            out.push(waiting);
        }
        out
    }

    /// The earliest deadline among the waiting requests.
    pub(crate) fn earliest(&self) -> Option<Timestamp> {
        let all = self.queues.values().flatten();
        all.filter_map(|waiting| waiting.deadline).min()
    }
}
