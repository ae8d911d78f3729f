//! This module keeps copies of keys of the platform's store, which processes read from each other
//! instead of from the store.
//!
//! A few agents in each failure domain follow the store, and every other process reads the changes
//! from one of them. So the number of calls to the store grows with the changes and the domains,
//! not with the processes. The store stays the authority: a replica holds only what the store
//! has acknowledged, in the order of the store's revisions, and says as of when the store confirmed
//! it. A reader takes no answer that is older than what it has.
//!
//! A store that is restored from a backup starts a new epoch (see [`epoch`]). A replica holds keys
//! of one epoch, and gives nothing to a reader that knows of a later one.

use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;

use crate::replica::epoch::Epoch;
use crate::replica::epoch::EpochRevision;
use crate::replica::history::History;
use crate::time::Timestamp;

pub mod epoch;
pub mod followers;
mod history;
pub mod position;
pub mod sources;
pub mod timing;

/// `Item` is a key of the store with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value, which copies of the item share.
    pub value: Bytes,
    /// Revision of the store at the last change of the key.
    pub revision: u64,
}

/// `Change` is one change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(Item),
    /// The key was deleted at a revision.
    Deleted(String, u64),
}

impl Change {
    /// Revision of the store at which the change was made.
    pub fn revision(&self) -> u64 {
        match self {
            Change::Put(item) => item.revision,
            Change::Deleted(_, revision) => *revision,
        }
    }

    fn key(&self) -> &str {
        match self {
            Change::Put(item) => &item.key,
            Change::Deleted(key, _) => key,
        }
    }
}

/// `Answer` is what a replica tells a reader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Epoch of all revisions in the answer.
    pub epoch: Epoch,
    /// Revision of the store up to which the reader then has all changes.
    pub revision: u64,
    /// Time since the latest moment at which the store is known to have had no further change.
    pub age: Duration,
    /// What the reader lacks.
    pub content: Content,
}

/// `Content` is the part of an answer that changes what the reader has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// The changes after the reader's revision, in the order of their revisions.
    Changes(Vec<Change>),
    /// All items, which replace those that the reader has.
    Snapshot(Vec<Item>),
}

impl Content {
    /// Whether the reader lacks nothing.
    pub fn is_empty(&self) -> bool {
        match self {
            Content::Changes(changes) => changes.is_empty(),
            Content::Snapshot(_) => false,
        }
    }
}

/// `Replica` is a copy of the keys of one prefix, with the latest changes.
#[derive(Clone, Debug)]
pub struct Replica {
    /// Age of the confirmation from which on the replica gives no answer.
    lifetime: Duration,
    /// Epoch of all revisions in the copy.
    epoch: Epoch,
    items: IndexMap<String, Item>,
    /// Revision up to which the copy contains all changes, or 0 before the first read.
    revision: u64,
    /// The latest changes.
    history: History,
    /// Changes that the store hasn't confirmed to be all of their revision.
    pending: Vec<Change>,
    /// Time as of which the copy is known to lack no change. `None` if it isn't kept up to date.
    confirmed: Option<Timestamp>,
}

impl Replica {
    /// A copy of which nothing is known. It gives no answer whose confirmation is older than
    /// `lifetime`, and keeps the latest changes in at most `max_history` octets.
    pub fn new(lifetime: Duration, max_history: usize) -> Replica {
        Replica {
            lifetime,
            epoch: Epoch::default(),
            items: IndexMap::new(),
            revision: 0,
            history: History::new(max_history),
            pending: Vec::new(),
            confirmed: None,
        }
    }

    /// Epoch of the copy.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Discards the copy if it belongs to an earlier epoch. It then gives no answer until it is
    /// replaced and confirmed.
    pub fn on_epoch(&mut self, epoch: Epoch) {
        if epoch > self.epoch {
            *self = Replica::new(self.lifetime, self.history.max_size());
            self.epoch = epoch;
        }
    }

    /// Replaces the copy by all items that the store had at a revision. Has no effect if the copy is
    /// newer. Readers get the items once they are confirmed.
    pub fn replace(&mut self, items: Vec<Item>, revision: u64) {
        self.pending.clear();
        if revision < self.revision {
            return;
        }
        self.items = items.into_iter().map(|it| (it.key.clone(), it)).collect();
        self.history.reset(revision);
        self.revision = revision;
    }

    /// Adds a change. Readers see it once the store has confirmed that no other change of its
    /// revision is missing.
    pub fn add(&mut self, change: Change) {
        self.pending.push(change);
    }

    /// Applies the changes added since the last call: they are all that the store had at `as_of`.
    pub fn confirm(&mut self, as_of: Timestamp) {
        let mut latest = self.revision;
        for change in std::mem::take(&mut self.pending) {
            if change.revision() > self.revision {
                latest = latest.max(change.revision());
                self.apply(change);
            }
        }
        self.revision = latest;
        self.confirmed = self.confirmed.max(Some(as_of));
    }

    /// Time as of which the copy is known to lack no change. `None` if it isn't kept up to date.
    pub fn confirmed(&self) -> Option<Timestamp> {
        self.confirmed
    }

    /// Octets that the latest changes take.
    pub fn history_size(&self) -> usize {
        self.history.size()
    }

    /// Notes that the copy is no longer kept up to date, until it is confirmed again.
    pub fn suspend(&mut self) {
        self.pending.clear();
        self.confirmed = None;
    }

    /// Answers a reader that has all changes of the keys with a prefix up to the revision `after`,
    /// or nothing if that is 0. A reader of an earlier epoch gets all items. One that is ahead of the
    /// copy within its epoch gets no changes, only the age of the confirmation. Returns `None` if the
    /// copy may be out of date, or if the reader knows of a later epoch.
    pub fn answer(&self, now: Timestamp, prefix: &str, after: EpochRevision) -> Option<Answer> {
        let age = now.since(self.confirmed?);
        if age > self.lifetime || after.epoch > self.epoch {
            return None;
        }
        let after = after.within(self.epoch).unwrap_or(0);
        let changes = self.history.after(after).filter(|_| after > 0);
        let content = if let Some(changes) = changes {
            let changes = changes.filter(|it| it.key().starts_with(prefix));
            Content::Changes(changes.cloned().collect())
        } else {
            let items = self.items.values();
            let items = items.filter(|it| it.key.starts_with(prefix));
            Content::Snapshot(items.cloned().collect())
        };
        Some(Answer {
            epoch: self.epoch,
            revision: self.revision,
            age,
            content,
        })
    }

    fn apply(&mut self, change: Change) {
        match &change {
            Change::Put(item) => {
                self.items.insert(item.key.clone(), item.clone());
            }
            Change::Deleted(key, _) => {
                self.items.swap_remove(key);
            }
        }
        self.history.push(change);
    }
}
