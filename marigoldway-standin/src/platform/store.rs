//! In-memory store of keys, revisions and leases.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

/// `Entry` is the value of a key, in base64, with the revision that wrote it and
/// its lease, 0 for none.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) value: String,
    pub(super) revision: u64,
    pub(super) lease: u64,
}

/// `Change` is a write of a key or, without an entry, its deletion.
#[derive(Clone, Debug)]
pub(super) struct Change {
    pub(super) key: Vec<u8>,
    pub(super) entry: Option<Entry>,
    pub(super) revision: u64,
}

/// `Store` keeps every change, so that an older state can be restored.
#[derive(Debug, Default)]
pub(super) struct Store {
    revision: u64,
    entries: IndexMap<Vec<u8>, Entry>,
    changes: Vec<Change>,
    /// TTL and expiry time of each lease.
    leases: IndexMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl Store {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn entry(&self, key: &[u8]) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Entries with a key from `key` to before `end`, sorted by key. `key` itself is
    /// always in the range.
    pub(super) fn range(&self, key: &[u8], end: &[u8]) -> Vec<(&[u8], &Entry)> {
        let in_range = |k: &[u8]| k == key || (k > key && k < end);
        let mut found: Vec<_> = self
            .entries
            .iter()
            .map(|(k, entry)| (k.as_slice(), entry))
            .filter(|(k, _)| in_range(k))
            .collect();
        found.sort_by_key(|(k, _)| *k);
        found
    }

    /// Changes at `revision` and later ones.
    pub(super) fn since(&self, revision: u64) -> &[Change] {
        let first = self
            .changes
            .partition_point(|change| change.revision < revision);
        &self.changes[first..]
    }

    /// Writes keys, values and leases, all at the next revision.
    pub(super) fn put(&mut self, puts: Vec<(Vec<u8>, String, u64)>) {
        self.revision += 1;
        for (key, value, lease) in puts {
            let entry = Entry {
                value,
                revision: self.revision,
                lease,
            };
            self.apply(key, Some(entry));
        }
    }

    fn apply(&mut self, key: Vec<u8>, entry: Option<Entry>) {
        match &entry {
            Some(entry) => self.entries.insert(key.clone(), entry.clone()),
            None => self.entries.swap_remove(&key),
        };
        self.changes.push(Change {
            key,
            entry,
            revision: self.revision,
        });
    }

    /// Restores the state at `revision` and discards later changes.
    pub(super) fn restore(&mut self, revision: u64) {
        let mut changes = std::mem::take(&mut self.changes);
        changes.retain(|change| change.revision <= revision);
        self.entries.clear();
        self.revision = self.revision.min(revision);
        for change in changes {
            self.apply(change.key, change.entry);
            if let Some(last) = self.changes.last_mut() {
                last.revision = change.revision;
            }
        }
    }

    pub(super) fn grant(&mut self, ttl: Duration) -> u64 {
        self.last_lease += 1;
        let lease = (ttl, Instant::now() + ttl);
        self.leases.insert(self.last_lease, lease);
        self.last_lease
    }

    /// Renews a lease and returns its TTL, or zero if it has expired.
    pub(super) fn keep_alive(&mut self, lease: u64) -> Duration {
        let Some((ttl, end)) = self.leases.get_mut(&lease) else {
            return Duration::ZERO;
        };
        *end = Instant::now() + *ttl;
        *ttl
    }

    /// Removes expired leases with their keys, and returns whether any lease had expired.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let before = self.leases.len();
        self.leases.retain(|_, (_, end)| *end > now);
        let expired_keys: Vec<Vec<u8>> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.lease != 0 && !self.leases.contains_key(&entry.lease))
            .map(|(key, _)| key.clone())
            .collect();
        if !expired_keys.is_empty() {
            self.revision += 1;
        }
        for key in expired_keys {
            self.apply(key, None);
        }
        self.leases.len() != before
    }
}
