//! This module orders the agents of a service for each flow.

use std::collections::BTreeSet;
use std::iter;
use std::net::Ipv4Addr;

use indexmap::IndexSet;

use crate::ids::InstanceId;
use crate::placement::mix;

/// Number of points of each agent on the ring. More points make the shares of the agents more
/// even.
const POINTS: usize = 16;

/// Number of agents up to which a walk keeps those that it has passed in a list.
const LIST_LEN: usize = 24;

/// `Ring` places each agent at several points of a circle of hashes (consistent hashing, Karger
/// and others 1997). From the hash of a flow on, the agents follow each other in an order that is
/// the same in every process. An agent that joins or leaves doesn't change the order of the
/// others, and a walk costs no more in a larger service.
#[derive(Clone, Debug, Default)]
pub struct Ring {
    points: BTreeSet<(u64, InstanceId)>,
}

impl Ring {
    /// Adds an agent. Has no effect on an agent that is there already.
    pub fn insert(&mut self, id: InstanceId) {
        self.points.extend(hashes(id).map(|hash| (hash, id)));
    }

    /// Removes an agent, if it is there.
    pub fn remove(&mut self, id: InstanceId) {
        for hash in hashes(id) {
            self.points.remove(&(hash, id));
        }
    }

    /// Whether the ring has no agents.
    pub fn is_empty(&self) -> bool {
        self.points.is_empty()
    }

    /// Iterates over all agents in their order for a flow with the hash `hash`.
    pub fn walk(&self, hash: u64) -> impl Iterator<Item = InstanceId> {
        let start = (hash, InstanceId::new(Ipv4Addr::UNSPECIFIED, 0));
        let points = self.points.range(start..).chain(self.points.range(..start));
        let mut seen = Seen::default();
        points.filter_map(move |(_, id)| seen.insert(*id).then_some(*id))
    }

    /// Iterates over all agents in the reverse order, from a hash back.
    pub fn walk_back(&self, hash: u64) -> impl Iterator<Item = InstanceId> {
        let start = (hash, InstanceId::new(Ipv4Addr::UNSPECIFIED, 0));
        let before = self.points.range(..start).rev();
        let points = before.chain(self.points.range(start..).rev());
        let mut seen = Seen::default();
        points.filter_map(move |(_, id)| seen.insert(*id).then_some(*id))
    }
}

/// `Seen` holds the agents that a walk has passed. Most walks end after a few, for which a list is
/// faster than a set.
#[derive(Debug, Default)]
struct Seen {
    first: Vec<InstanceId>,
    others: IndexSet<InstanceId>,
}

impl Seen {
    /// Adds an agent, and returns whether it is new.
    fn insert(&mut self, id: InstanceId) -> bool {
        if self.first.contains(&id) {
            return false;
        }
        if self.first.len() < LIST_LEN {
            self.first.push(id);
            return true;
        }
        self.others.insert(id)
    }
}

/// The hashes at which an agent is placed.
pub fn hashes(id: InstanceId) -> impl Iterator<Item = u64> {
    let seed = mix(id.to_u64());
    iter::successors(Some(seed), |hash| Some(mix(*hash))).take(POINTS)
}
