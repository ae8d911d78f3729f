//! The duplicate table: the outcome of each idempotency key of this process.
//!
//! The first attempt with a key settles it, whatever its outcome is, and every
//! later attempt with the same request receives the same outcome. This includes
//! "not run": an attempt that was delayed in the network while a later one was
//! refused must not run after its caller was told that nothing ran. A caller
//! that receives "not run" uses a new key for its next attempt.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::admission::RequestId;
use crate::idempotency::IdempotencyKey;
use crate::idempotency::Serial;
use crate::request::Refusal;
use crate::request::UnknownReason;
use crate::time::Timestamp;

/// SHA-256 digest of the parts by which two requests are compared: customer,
/// method, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Digest(pub [u8; 32]);

/// Limits on the memory of a duplicate table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DuplicatesOptions {
    /// Maximum number of keys in the table.
    pub max_keys: usize,
    /// Maximum total length of the kept answers, in octets.
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
    /// The attempt is the first: run it, and settle the key whatever the outcome.
    Run,
    /// The first attempt is in progress. [`Duplicates::settle`] returns this one
    /// among the waiters.
    Wait,
    /// The key was settled before.
    Settled(Settled<A>),
}

#[derive(Clone, Debug)]
enum State<A> {
    Open { waiters: Vec<RequestId> },
    Settled(Settled<A>),
}

#[derive(Clone, Debug)]
struct Entry<A> {
    digest: Digest,
    state: State<A>,
    /// Octets of [`DuplicatesOptions::max_octets`] that this entry uses.
    octets: usize,
}

/// Duplicate table of one incarnation of an agent. `A` is the kept form of an
/// answer.
#[derive(Clone, Debug)]
pub struct Duplicates<A> {
    options: DuplicatesOptions,
    entries: IndexMap<Serial, Entry<A>>,
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

    /// Registers an attempt. The caller has checked that this process issued
    /// `key` and that it has not expired.
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
            // Without an entry in the table a delayed attempt could still run
            // later, so the outcome can't be "not run".
            return Claim::Settled(Settled::Unknown(UnknownReason::DuplicatesFull));
        }

        self.octets += octets;
        self.expiries.push_back((key.expiry, key.serial));
        let entry = Entry {
            digest,
            state: State::Open {
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
    /// keeps its outcome, and no waiters are returned.
    pub fn settle(
        &mut self,
        serial: Serial,
        settled: &Settled<A>,
        octets: usize,
    ) -> Vec<RequestId> {
        let Some(entry) = self.entries.get_mut(&serial) else {
            return Vec::new();
        };
        let State::Open { waiters } = &mut entry.state else {
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

    /// Returns the number of keys in the table.
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
            let open = self
                .entries
                .get(&serial)
                .is_some_and(|entry| matches!(entry.state, State::Open { .. }));
            if open {
                self.expiries.push_back((expiry, serial));
            } else if let Some(entry) = self.entries.swap_remove(&serial) {
                self.octets -= entry.octets;
            }
        }
    }
}

fn join<A: Clone>(entry: &mut Entry<A>, digest: Digest, id: RequestId) -> Claim<A> {
    if entry.digest != digest {
        return Claim::Settled(Settled::NotRun(Refusal::KeyReused));
    }
    match &mut entry.state {
        State::Open { waiters } => {
            waiters.push(id);
            Claim::Wait
        }
        State::Settled(settled) => Claim::Settled(settled.clone()),
    }
}
