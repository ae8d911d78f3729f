//! Gossip: propagation of roster changes among entries.
//!
//! An entry is a load balancer process that forwards packets; the roster holds one
//! record per instance. An entry sends a changed record once to each of a few other
//! entries, its neighbours. One neighbour is the next entry in ID order, so every
//! entry is a neighbour of another one. The rest are drawn at random. Records that
//! keep new flows off an instance are sent first, and twice. A budget limits the
//! octets sent. What an exhausted budget or a broken connection leaves unsent is
//! repaired by digests, checksums with which entries compare their rosters.

use std::cmp::Reverse;
use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;
use rand::RngExt;

use crate::ids::InstanceId;
use crate::roster::Record;
use crate::roster::Roster;
use crate::roster::State;
use crate::time::Timestamp;

/// Approximate size of a record on the wire, in octets.
pub const RECORD_OCTETS: u64 = 40;

/// Number of times that an entry sends a record that keeps new flows off an
/// instance. If one message is lost with its connection, the record doesn't have to
/// wait for a digest.
const URGENT_SENDS: u8 = 2;

/// `GossipOptions` limits the traffic among entries.
#[derive(Clone, Copy, Debug)]
pub struct GossipOptions {
    /// Maximum number of entries to which an entry sends changes.
    pub neighbours: usize,
    /// Time between two selections of neighbours.
    pub redraw_interval: Duration,
    /// Octets of records per second, summed over all neighbours.
    pub rate: u64,
    /// Maximum budget: octets of records that may be sent at once after an idle period.
    pub burst: u64,
    /// Maximum number of records in one message.
    pub batch: usize,
}

impl Default for GossipOptions {
    fn default() -> GossipOptions {
        GossipOptions {
            neighbours: 4,
            redraw_interval: Duration::from_secs(15),
            rate: 3_000,
            burst: 64_000,
            batch: 200,
        }
    }
}

/// `Gossip` queues changed records and selects the neighbours that receive them.
#[derive(Clone, Debug)]
pub struct Gossip {
    /// Queued records, each with the number of times that it is still to be sent.
    pending: IndexMap<InstanceId, u8>,
    neighbours: Vec<InstanceId>,
    /// Time of the last selection of neighbours, `None` if the next call of
    /// [`Gossip::draw`] must select new ones.
    drawn_at: Option<Timestamp>,
    /// Octets that may be sent now.
    budget: u64,
    refilled_at: Timestamp,
    options: GossipOptions,
}

impl Gossip {
    /// Creates an empty queue with a full budget.
    pub fn new(now: Timestamp, options: GossipOptions) -> Gossip {
        Gossip {
            pending: IndexMap::new(),
            neighbours: Vec::new(),
            drawn_at: None,
            budget: options.burst,
            refilled_at: now,
            options,
        }
    }

    /// Queues the record of an instance. Its state `state` determines whether it is
    /// sent once or several times.
    pub fn push(&mut self, id: InstanceId, state: State) {
        let sends = match state {
            State::Starting | State::Serving => 1,
            State::Leaving | State::Suspect | State::Down => URGENT_SENDS,
        };
        self.pending.insert(id, sends);
    }

    /// Discards all queued records.
    pub fn clear(&mut self) {
        self.pending.clear();
    }

    /// Entries that receive the changes.
    pub fn neighbours(&self) -> &[InstanceId] {
        &self.neighbours
    }

    /// Makes the next call of [`Gossip::draw`] select new neighbours.
    pub fn invalidate(&mut self) {
        self.drawn_at = None;
    }

    /// Selects new neighbours if the redraw interval has passed since the last
    /// selection, or if [`Gossip::invalidate`] was called. `entries` are the ids of
    /// the other entries, without `own`.
    pub fn draw(
        &mut self,
        now: Timestamp,
        own: InstanceId,
        entries: &[InstanceId],
        rng: &mut impl Rng,
    ) {
        let is_recent = |drawn| now.since(drawn) < self.options.redraw_interval;
        if self.drawn_at.is_some_and(is_recent) {
            return;
        }
        self.drawn_at = Some(now);
        self.neighbours.clear();
        let next = entries.iter().filter(|id| **id > own).min();
        self.neighbours.extend(next.or(entries.iter().min()));

        let mut rest: Vec<InstanceId> = entries.to_vec();
        rest.retain(|id| !self.neighbours.contains(id));
        while self.neighbours.len() < self.options.neighbours && !rest.is_empty() {
            let index = rng.random_range(0..rest.len());
            self.neighbours.push(rest.swap_remove(index));
        }
    }

    /// Dequeues the records to send now, those with the highest state first, and
    /// deducts `copies` copies of each from the budget. The batch size and the budget
    /// limit their number. A record that is to be sent again stays queued.
    pub fn take(&mut self, now: Timestamp, roster: &Roster, copies: usize) -> Vec<Record> {
        self.refill(now);
        self.pending.retain(|id, _| roster.record(*id).is_some());
        if self.pending.is_empty() || copies == 0 {
            return Vec::new();
        }
        self.pending
            .sort_by_cached_key(|id, _| Reverse(roster.record(*id).map(|record| record.state)));
        let cost = RECORD_OCTETS * copies as u64;
        let limit = usize::try_from(self.budget / cost).unwrap_or(usize::MAX);
        let count = self.pending.len().min(limit).min(self.options.batch);
        self.spend(cost * count as u64);
        let taken: Vec<(InstanceId, u8)> = self.pending.drain(..count).collect();
        let repeated = taken.iter().filter(|(_, sends)| *sends > 1);
        self.pending
            .extend(repeated.map(|(id, sends)| (*id, sends - 1)));
        taken
            .iter()
            .filter_map(|(id, _)| roster.record(*id).cloned())
            .collect()
    }

    /// Maximum number of records that an answer to a digest may send now.
    pub fn repair_limit(&mut self, now: Timestamp) -> usize {
        self.refill(now);
        let limit = usize::try_from(self.budget / RECORD_OCTETS).unwrap_or(usize::MAX);
        limit.min(self.options.batch)
    }

    /// Deducts octets from the budget.
    pub fn spend(&mut self, octets: u64) {
        self.budget = self.budget.saturating_sub(octets);
    }

    fn refill(&mut self, now: Timestamp) {
        let micros = now.since(self.refilled_at).as_micros();
        let earned = u64::try_from(micros).unwrap_or(u64::MAX) / 1_000 * self.options.rate / 1_000;
        if earned > 0 {
            self.budget = self.budget.saturating_add(earned).min(self.options.burst);
            self.refilled_at = now;
        }
    }
}
