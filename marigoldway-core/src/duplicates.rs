//! The duplicate table: the outcome of each idempotency key that was used.
//!
//! A caller that doesn't know the outcome of a request repeats it with the same
//! idempotency key. The table belongs to the agent process that issued the key.
//!
//! The outcome of the first attempt settles the key, whatever the outcome is. Every
//! later attempt with the same request receives that outcome, except that an
//! answer may be too long to keep. "Not run" is kept too. Otherwise an attempt that
//! was delayed in the network while a later one was refused could run after the
//! caller was told that nothing ran. A caller that receives "not run" uses a new
//! key for its next attempt.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::admission::RequestId;
use crate::idempotency::IdempotencyKey;
use crate::idempotency::Serial;
use crate::request::Refusal;
use crate::request::UnknownReason;
use crate::time::Timestamp;

/// SHA-256 digest of the parts by which two requests are compared: the customer's
/// token, method, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Digest(pub [u8; 32]);

/// Limits on the memory of a duplicate table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DuplicatesOptions {
    /// Maximum number of keys in the table.
    pub max_keys: usize,
    /// Maximum total length of the kept answers, in octets. Each key in progress
    /// counts with [`DuplicatesOptions::max_answer`].
    pub max_octets: usize,
    /// Maximum length of an answer that is kept, in octets.
    pub max_answer: usize,
}

impl Default for DuplicatesOptions {
    fn default() -> DuplicatesOptions {
        DuplicatesOptions {
            max_keys: 65_536,
            max_octets: 16 << 20,
            max_answer: 16 << 10,
        }
    }
}

/// Final outcome of a key. `A` is the kept form of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled<A> {
    /// The target ran the request, and this is the whole answer.
    Done(A),
    /// The request did not run and will not run.
    NotRun(Refusal),
    /// The request may have run.
    Unknown(UnknownReason),
}

/// How to handle an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim<A> {
    /// The attempt is the first. Run the request, and settle the key whatever the
    /// outcome.
    Run,
    /// The first attempt is in progress. [`Duplicates::settle`] later returns the ID
    /// of the present attempt among those that wait.
    Wait,
    /// The attempt receives this outcome: the key was settled before or was used with
    /// another request, or the table is full.
    Settled(Settled<A>),
}

#[derive(Clone, Debug)]
enum State<A> {
    InProgress { waiters: Vec<RequestId> },
    Settled(Settled<A>),
}

#[derive(Clone, Debug)]
struct KeyEntry<A> {
    digest: Digest,
    state: State<A>,
    /// Octets of [`DuplicatesOptions::max_octets`] that this key uses.
    octets: usize,
}

/// Duplicate table of one incarnation of an agent. `A` is the kept form of an
/// answer.
#[derive(Clone, Debug)]
pub struct Duplicates<A> {
    options: DuplicatesOptions,
    entries: IndexMap<Serial, KeyEntry<A>>,
    /// Expiry of each key, in the order of the first attempts.
    expiries: VecDeque<(Timestamp, Serial)>,
    octets: usize,
}

impl<A: Clone> Duplicates<A> {
    /// Creates an empty table.
    pub fn new(options: DuplicatesOptions) -> Duplicates<A> {
        Duplicates {
            options,
            entries: IndexMap::new(),
            expiries: VecDeque::new(),
            octets: 0,
        }
    }

    /// Registers attempt `id` with `key`. Must be called only for a key that this
    /// process issued and that has not expired.
    ///
    /// Returns [`Refusal::KeyReused`] for a key that was used with another request,
    /// and [`UnknownReason::DuplicatesFull`] for a new key if the table is full.
    pub fn claim(
        &mut self,
        key: &IdempotencyKey,
        digest: Digest,
        id: RequestId,
        now: Timestamp,
    ) -> Claim<A> {
        if let Some(entry) = self.entries.get_mut(&key.serial) {
            return join(entry, digest, id);
        }
        self.expire(now);
        let octets = self.options.max_answer;
        if self.entries.len() >= self.options.max_keys
            || self.octets + octets > self.options.max_octets
        {
            // The table can't store this key, so a delayed attempt could still run
            // later. The outcome is therefore not "not run".
            return Claim::Settled(Settled::Unknown(UnknownReason::DuplicatesFull));
        }

        self.octets += octets;
        self.expiries.push_back((key.expiry, key.serial));
        let entry = KeyEntry {
            digest,
            state: State::InProgress {
                waiters: Vec::new(),
            },
            octets,
        };
        self.entries.insert(key.serial, entry);
        Claim::Run
    }

    /// Settles a key and returns the attempts that wait for it.
    ///
    /// `octets` is the length of the answer. An answer longer than
    /// [`DuplicatesOptions::max_answer`] reaches the waiters only; later attempts
    /// receive [`UnknownReason::AnswerNotKept`]. A key that is already settled
    /// keeps its outcome, and an unknown serial number has no effect; both return no
    /// waiters.
    pub fn settle(
        &mut self,
        serial: Serial,
        settled: &Settled<A>,
        octets: usize,
    ) -> Vec<RequestId> {
        let Some(entry) = self.entries.get_mut(&serial) else {
            return Vec::new();
        };
        let State::InProgress { waiters } = &mut entry.state else {
            return Vec::new();
        };
        let waiters = std::mem::take(waiters);

        let (kept, octets) = match settled {
            Settled::Done(_) if octets > self.options.max_answer => {
                (Settled::Unknown(UnknownReason::AnswerNotKept), 0)
            }
            Settled::Done(_) => (settled.clone(), octets),
            Settled::NotRun(_) | Settled::Unknown(_) => (settled.clone(), 0),
        };
        entry.state = State::Settled(kept);
        self.octets = self.octets - entry.octets + octets;
        entry.octets = octets;
        waiters
    }

    /// Returns the number of keys in the table. Expired keys count until the next
    /// new key is claimed.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Reports whether the table holds no key.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes expired keys. A key whose first attempt is in progress stays until
    /// it is settled.
    fn expire(&mut self, now: Timestamp) {
        for _ in 0..self.expiries.len() {
            let Some(&(expiry, serial)) = self.expiries.front() else {
                return;
            };
            if expiry > now {
                return;
            }
            self.expiries.pop_front();
            let in_progress = self
                .entries
                .get(&serial)
                .is_some_and(|entry| matches!(entry.state, State::InProgress { .. }));
            if in_progress {
                self.expiries.push_back((expiry, serial));
            } else if let Some(entry) = self.entries.swap_remove(&serial) {
                self.octets -= entry.octets;
            }
        }
    }
}

fn join<A: Clone>(entry: &mut KeyEntry<A>, digest: Digest, id: RequestId) -> Claim<A> {
    if entry.digest != digest {
        return Claim::Settled(Settled::NotRun(Refusal::KeyReused));
    }
    match &mut entry.state {
        State::InProgress { waiters } => {
            waiters.push(id);
            Claim::Wait
        }
        State::Settled(settled) => Claim::Settled(settled.clone()),
    }
}
