//! A queue that shares service out between customers.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::admission::CustomerKey;
use crate::admission::RequestId;
use crate::time::Timestamp;

/// Requests that a customer which asked for less than its share may have served
/// ahead of the others.
const CREDIT: u64 = 4;

/// `Waiting` is a request in a queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    /// Name of the request.
    pub(crate) id: RequestId,
    /// Whose share it uses.
    pub(crate) customer: CustomerKey,
    /// When its caller stops waiting.
    pub(crate) deadline: Option<Timestamp>,
}

/// The requests of one customer. They have consecutive rounds.
#[derive(Clone, Debug, Default)]
struct Lane {
    waiting: VecDeque<Waiting>,
    /// Round of the next request that arrives.
    next: u64,
}

impl Lane {
    /// Round of the first waiting request.
    fn head(&self) -> u64 {
        self.next.saturating_sub(self.waiting.len() as u64)
    }
}

/// `FairQueue` is a start-time fair queue (Goyal, Vin and Cheng, 1996) in which
/// every request costs the same.
///
/// Each request of a customer belongs to a round; lower rounds are served
/// first. A customer that asks for no more than its share is always near the
/// current round, however long the queues of others are.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    lanes: IndexMap<CustomerKey, Lane>,
    /// Highest round that was served.
    round: u64,
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
        let round = self.entry_round(waiting.customer);
        let lane = self.lanes.entry(waiting.customer).or_default();
        lane.waiting.push_back(waiting);
        lane.next = round + 1;
        self.len += 1;
    }

    /// Takes the next request of the customer with the lowest round.
    pub(crate) fn pop(&mut self) -> Option<Waiting> {
        let busy = self
            .lanes
            .values_mut()
            .filter(|lane| !lane.waiting.is_empty());
        let lane = busy.min_by_key(|lane| lane.head())?;
        self.round = self.round.max(lane.head());
        let waiting = lane.waiting.pop_front()?;
        self.len -= 1;
        self.forget_idle();
        Some(waiting)
    }

    /// Number of requests that are served before a new one of `customer`.
    pub(crate) fn ahead(&self, customer: CustomerKey) -> usize {
        let round = self.entry_round(customer);
        let before = |lane: &Lane| {
            let rounds = (round + 1).saturating_sub(lane.head());
            lane.waiting
                .len()
                .min(usize::try_from(rounds).unwrap_or(usize::MAX))
        };
        self.lanes.values().map(before).sum()
    }

    /// Takes the request that would be served last, unless a new request of
    /// `customer` would be served after it.
    pub(crate) fn displace(&mut self, customer: CustomerKey) -> Option<Waiting> {
        let round = self.entry_round(customer);
        let busy = self
            .lanes
            .values_mut()
            .filter(|lane| !lane.waiting.is_empty());
        let lane = busy.max_by_key(|lane| lane.next)?;
        if lane.next <= round + 1 {
            return None;
        }
        let waiting = lane.waiting.pop_back()?;
        lane.next -= 1;
        self.len -= 1;
        Some(waiting)
    }

    /// Takes out request `id` of `customer`. Those behind it move up.
    pub(crate) fn remove(&mut self, customer: CustomerKey, id: RequestId) -> Option<Waiting> {
        let lane = self.lanes.get_mut(&customer)?;
        let at = lane.waiting.iter().rposition(|waiting| waiting.id == id)?;
        let waiting = lane.waiting.remove(at)?;
        lane.next -= 1;
        self.len -= 1;
        Some(waiting)
    }

    /// Takes out every request whose deadline lies before `limit`.
    pub(crate) fn expire(&mut self, limit: Timestamp) -> Vec<Waiting> {
        let late: Vec<Waiting> = self
            .waiting()
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
        let out = self.waiting().copied().collect();
        *self = FairQueue::default();
        out
    }

    /// The earliest deadline among the waiting requests.
    pub(crate) fn earliest(&self) -> Option<Timestamp> {
        self.waiting().filter_map(|waiting| waiting.deadline).min()
    }

    fn waiting(&self) -> impl Iterator<Item = &Waiting> {
        self.lanes.values().flat_map(|lane| &lane.waiting)
    }

    /// Round of a new request of `customer`. A customer that asked for less
    /// than its share enters a few rounds early.
    fn entry_round(&self, customer: CustomerKey) -> u64 {
        let early = self.round.saturating_sub(CREDIT);
        let next = self.lanes.get(&customer).map_or(0, |lane| lane.next);
        next.max(early)
    }

    /// Drops the lanes that say nothing any more.
    fn forget_idle(&mut self) {
        let early = self.round.saturating_sub(CREDIT);
        self.lanes
            .retain(|_, lane| !lane.waiting.is_empty() || lane.next > early);
    }
}
