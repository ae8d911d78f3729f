//! Relay: a request of a saturated target goes to a peer that has slots.
//!
//! Flows last for hours, so sharing out flows does not share out requests. An
//! agent whose own slots are all taken passes a request to another agent of the
//! same service, once. It learns how busy its peers are from their answers
//! alone, so no load reports are needed.

use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;
use rand::RngExt;

use crate::admission::Load;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// How long a peer's last report counts.
const FRESH: Duration = Duration::from_millis(200);

/// `Hops` says whether a request was relayed before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Hops {
    /// It came from its caller.
    None,
    /// It came from another agent, and stays here.
    One,
}

/// `PeerLoad` is what a peer says of itself with each answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerLoad {
    /// Open slots that nothing runs in.
    pub free: usize,
    /// Requests that wait for a slot.
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
    room: PeerLoad,
    at: Timestamp,
}

/// `Relay` chooses the peer that a request is passed to.
#[derive(Clone, Debug, Default)]
pub struct Relay {
    /// The serving peers of this service, without this agent.
    peers: IndexMap<InstanceId, Option<Report>>,
}

impl Relay {
    /// Replaces the serving peers of this service, and keeps what is known of
    /// those that stay.
    pub fn update(&mut self, peers: impl IntoIterator<Item = InstanceId>) {
        let old = std::mem::take(&mut self.peers);
        self.peers = peers
            .into_iter()
            .map(|peer| (peer, old.get(&peer).copied().flatten()))
            .collect();
    }

    /// Takes in what a peer says of itself.
    pub fn report(&mut self, peer: InstanceId, room: PeerLoad, now: Timestamp) {
        if let Some(report) = self.peers.get_mut(&peer) {
            *report = Some(Report { room, at: now });
        }
    }

    /// Chooses a peer for a request that arrives now, or `None` if it stays.
    ///
    /// Of two peers drawn at random, the one with more room is taken. A peer
    /// that reported no free slot a moment ago is left alone.
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
        let one = self.draw(now, rng);
        let two = self.draw(now, rng);
        let (peer, _) = [one, two]
            .into_iter()
            .flatten()
            .max_by_key(|(_, free)| *free)?;

        // The slot is counted as taken until the peer reports again.
        if let Some(Some(report)) = self.peers.get_mut(&peer) {
            report.room.free = report.room.free.saturating_sub(1);
        }
        Some(peer)
    }

    /// Draws a peer that may have a free slot, with the slots it may have. One
    /// without a fresh report counts as having one.
    fn draw(&self, now: Timestamp, rng: &mut impl Rng) -> Option<(InstanceId, usize)> {
        let at = rng.random_range(0..self.peers.len());
        let (&peer, report) = self.peers.get_index(at)?;
        let fresh = report.filter(|report| now.since(report.at) < FRESH);
        let free = fresh.map_or(1, |report| report.room.free);
        (free > 0).then_some((peer, free))
    }
}
