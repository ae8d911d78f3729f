//! The relay sends a request for a saturated target to a peer with free slots.
//!
//! An agent is the process beside a target, and its peers are the other agents of
//! the same service. A slot is the right to run one request at the target. A target
//! is saturated while all its slots are in use.
//!
//! A flow is the QUIC connection of a caller and carries many requests. Flows last
//! for hours, so balancing flows does not balance requests. An agent whose own slots
//! are all in use relays a request to a peer. A request is relayed at most once. An
//! agent learns the load of its peers from their answers alone, so no separate load
//! reports are needed.

use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;
use rand::RngExt;

use crate::admission::Load;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Time for which the last report of a peer is valid.
const REPORT_LIFETIME: Duration = Duration::from_millis(200);

/// Number of times that a request was relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Hops {
    /// The request came from its caller.
    None,
    /// The request came from another agent and is not relayed again.
    One,
}

/// Load that a peer reports with each answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerLoad {
    /// Number of slots in which no request runs.
    pub free: usize,
    /// Number of requests that are queued for a slot.
    pub waiting: usize,
}

impl From<Load> for PeerLoad {
    fn from(load: Load) -> PeerLoad {
        PeerLoad {
            free: load.limit.saturating_sub(load.short + load.bulk),
            waiting: load.waiting,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Report {
    load: PeerLoad,
    at: Timestamp,
}

/// Chooses the peer to which a request is relayed.
#[derive(Clone, Debug, Default)]
pub struct Relay {
    /// Serving peers of this service, without this agent, and their last reports.
    peers: IndexMap<InstanceId, Option<Report>>,
}

impl Relay {
    /// Replaces the serving peers of this service. Peers that stay keep their last
    /// report.
    pub fn update(&mut self, peers: impl IntoIterator<Item = InstanceId>) {
        let old = std::mem::take(&mut self.peers);
        self.peers = peers
            .into_iter()
            .map(|peer| (peer, old.get(&peer).copied().flatten()))
            .collect();
    }

    /// Records the load that a peer reports. An unknown peer is ignored.
    pub fn report(&mut self, peer: InstanceId, load: PeerLoad, now: Timestamp) {
        if let Some(report) = self.peers.get_mut(&peer) {
            *report = Some(Report { load, at: now });
        }
    }

    /// Chooses a peer for a request that arrives at `now`. `own` is the load of the
    /// own target. Returns `None` if the request is not relayed: it was relayed
    /// before, the own target is not saturated, or no peer was found.
    ///
    /// Of two peers drawn at random, the one with more free slots is chosen. Both
    /// draws may give the same peer. A peer whose valid report has no free slot is
    /// never chosen.
    pub fn choose(
        &mut self,
        own: &Load,
        hops: Hops,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<InstanceId> {
        if hops == Hops::One || !own.is_saturated() || self.peers.is_empty() {
            return None;
        }
        let first = self.draw(now, rng);
        let second = self.draw(now, rng);
        let (peer, _) = [first, second]
            .into_iter()
            .flatten()
            .max_by_key(|(_, free)| *free)?;

        // The slot counts as used until the peer reports again.
        if let Some(Some(report)) = self.peers.get_mut(&peer) {
            report.load.free = report.load.free.saturating_sub(1);
        }
        Some(peer)
    }

    /// Draws a random peer and returns it with its number of free slots, or
    /// returns `None` if it has no free slot. A peer without a valid report counts as
    /// having one free slot.
    fn draw(&self, now: Timestamp, rng: &mut impl Rng) -> Option<(InstanceId, usize)> {
        let index = rng.random_range(0..self.peers.len());
        let (&peer, report) = self.peers.get_index(index)?;
        let valid = report.filter(|report| now.since(report.at) < REPORT_LIFETIME);
        let free = valid.map_or(1, |report| report.load.free);
        (free > 0).then_some((peer, free))
    }
}
