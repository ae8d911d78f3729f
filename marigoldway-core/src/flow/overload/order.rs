//! Decides which queued request is admitted next.
//!
//! Requests of the own service that can be answered in time go first, by their rank, which is the
//! priority of the route. If there are none, late ones go by rank. Flows of other services come
//! after all own ones. Within a rank, requests that can be answered in time go first. Among these,
//! and among the late ones, the clients with fewer requests at this agent go first. Then follows the
//! request with the least time left; of the late ones the newest, since the clients of the oldest
//! time out soonest.
//!
//! Another rank than the one that is served gets at least a tenth of the slots' time while it has
//! requests waiting, so that none starves.

use std::cmp::Reverse;
use std::net::Ipv4Addr;
use std::time::Duration;

use indexmap::IndexMap;

use crate::flow::key::FlowKey;
use crate::time::Timestamp;

/// Inverse of the least part of the slots' time that a rank gets while it has requests waiting.
pub(crate) const LEAST_SHARE_INVERSE: f64 = 10.0;

/// Time that a waiting rank is owed for the time that another one was served.
const OWED_PART: f64 = 1.0 / (LEAST_SHARE_INVERSE - 1.0);

/// Maximum time that a rank is owed, in requests of it. It bounds the burst after a wait.
const MAX_OWED_REQUESTS: f64 = 2.0;

/// Weight of a new measurement in the moving mean of a rank's request times.
const MEAN_WEIGHT: f64 = 0.05;

/// `Rank` is the class by which a queued request is ordered first; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    /// Whether the flow belongs to another service, and is here since that one is saturated.
    pub guest: bool,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
}

/// `Waiting` is a queued request as the order sees it.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// Flow of the request.
    pub flow: FlowKey,
    /// Rank of the request.
    pub rank: Rank,
    /// Whether it can be answered within its objective.
    pub in_time: bool,
    /// When it is no longer answered within its objective.
    pub objective_end: Timestamp,
    /// When it was queued.
    pub since: Timestamp,
}

/// `QueueOrder` holds what the order depends on beside the queued requests: the time that each rank
/// is owed, and the number of requests of each client.
#[derive(Debug, Default)]
pub struct QueueOrder {
    shares: IndexMap<Rank, RankShare>,
    /// Number of queued or running requests of each client address that has one.
    clients: IndexMap<Ipv4Addr, u32>,
}

#[derive(Clone, Copy, Debug, Default)]
struct RankShare {
    /// Time in the slots that the rank is owed.
    owed: Duration,
    /// Moving mean of the rank's request times, or `None` before the first measurement.
    mean: Option<Duration>,
}

impl QueueOrder {
    /// Counts a request of a client that is queued or admitted.
    pub fn add(&mut self, flow: &FlowKey) {
        *self.clients.entry(*flow.client.ip()).or_default() += 1;
    }

    /// Removes a request of a client from the count.
    pub fn remove(&mut self, flow: &FlowKey) {
        let client = flow.client.ip();
        if let Some(count) = self.clients.get_mut(client) {
            *count -= 1;
            if *count == 0 {
                self.clients.swap_remove(client);
            }
        }
    }

    /// Number of client addresses with a request.
    pub fn client_count(&self) -> usize {
        self.clients.len()
    }

    /// Forgets all requests, but not the measured times.
    pub fn clear(&mut self) {
        self.clients.clear();
        for share in self.shares.values_mut() {
            share.owed = Duration::ZERO;
        }
    }

    /// Records the time that a request of a rank took.
    pub fn record_time(&mut self, rank: Rank, took: Duration) {
        let share = self.shares.entry(rank).or_default();
        let mean = share.mean.unwrap_or(took);
        share.mean = Some(mean.mul_f64(1.0 - MEAN_WEIGHT) + took.mul_f64(MEAN_WEIGHT));
    }

    /// Selects the request to admit, and charges its expected time to its rank. `request_time` is
    /// assumed for ranks without a measurement. Returns `None` if `waiting` is empty.
    pub fn take_next(&mut self, waiting: &[Waiting], request_time: Duration) -> Option<FlowKey> {
        let mut ranks: Vec<Rank> = waiting.iter().map(|it| it.rank).collect();
        ranks.sort_unstable();
        ranks.dedup();
        let in_time = waiting.iter().filter(|it| it.in_time && !it.rank.guest);
        let first = in_time.map(|it| it.rank).min();
        let first = first.or(ranks.first().copied())?;
        let rank = self.take_rank(&ranks, first, request_time);
        let of_rank = waiting.iter().filter(|it| it.rank == rank);
        of_rank.min_by_key(|it| self.key(it)).map(|it| it.flow)
    }

    /// Selects the rank to serve: `first`, or another one that is owed the time of a request.
    fn take_rank(&mut self, ranks: &[Rank], first: Rank, request_time: Duration) -> Rank {
        self.shares.retain(|rank, share| {
            if !ranks.contains(rank) {
                share.owed = Duration::ZERO;
            }
            share.mean.is_some() || ranks.contains(rank)
        });
        let is_due = |rank: &&Rank| {
            let owed = self.shares.get(*rank).map_or(Duration::ZERO, |it| it.owed);
            owed >= self.mean(**rank, request_time)
        };
        let others = ranks.iter().filter(|rank| **rank != first);
        let due = others.filter(is_due);
        let chosen = due.max_by_key(|it| self.shares[*it].owed);
        let chosen = chosen.copied().unwrap_or(first);
        let spent = self.mean(chosen, request_time);
        for rank in ranks {
            let mean = self.mean(*rank, request_time);
            let share = self.shares.entry(*rank).or_default();
            if *rank == chosen {
                share.owed = share.owed.saturating_sub(spent);
            } else if *rank != first {
                let owed = share.owed + spent.mul_f64(OWED_PART);
                share.owed = owed.min(mean.mul_f64(MAX_OWED_REQUESTS));
            }
        }
        chosen
    }

    fn mean(&self, rank: Rank, request_time: Duration) -> Duration {
        let share = self.shares.get(&rank);
        share.and_then(|it| it.mean).unwrap_or(request_time)
    }

    /// Level of a client by its number of requests, with `more` further ones; lower ones go first.
    /// Numbers of the same binary length are equal, so that a small difference doesn't outweigh the
    /// time left.
    pub fn client_level(&self, flow: &FlowKey, more: u32) -> u32 {
        let count = self.clients.get(flow.client.ip()).copied();
        u32::BITS - (count.unwrap_or(0) + more).leading_zeros()
    }

    /// Key of a request within its rank.
    fn key(&self, it: &Waiting) -> (bool, u32, Timestamp, Reverse<Timestamp>) {
        let level = self.client_level(&it.flow, 0);
        let end = if it.in_time {
            it.objective_end
        } else {
            Timestamp::ZERO
        };
        (!it.in_time, level, end, Reverse(it.since))
    }
}
