//! Bounded tables of soft state by flow.

use std::time::Duration;

use indexmap::IndexMap;

use crate::flow::key::FlowKey;
use crate::time::Timestamp;

/// Entries that one [`FlowTable::sweep`] looks at.
const SWEEP_LEN: usize = 256;

/// `FlowTable` keeps a value a flow, up to a number of flows. An entry that
/// wasn't used for the table's lifetime is dropped by and by; where the table is
/// full, the next entry of the sweep makes room.
#[derive(Debug)]
pub struct FlowTable<V> {
    entries: IndexMap<FlowKey, Entry<V>>,
    limit: usize,
    life: Duration,
    cursor: usize,
}

#[derive(Debug)]
struct Entry<V> {
    value: V,
    used: Timestamp,
}

impl<V> FlowTable<V> {
    /// Makes a table for `limit` flows that keeps an unused one for `life`.
    pub fn new(limit: usize, life: Duration) -> FlowTable<V> {
        FlowTable {
            entries: IndexMap::new(),
            limit: limit.max(1),
            life,
            cursor: 0,
        }
    }

    /// Flows in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Changes the time that an unused flow is kept.
    pub fn set_idle_timeout(&mut self, life: Duration) {
        self.life = life;
    }

    /// The value of a flow, which counts as a use.
    pub fn touch(&mut self, now: Timestamp, key: &FlowKey) -> Option<&mut V> {
        let entry = self.entries.get_mut(key)?;
        entry.used = now;
        Some(&mut entry.value)
    }

    /// The value of a flow.
    pub fn peek(&self, key: &FlowKey) -> Option<&V> {
        self.entries.get(key).map(|entry| &entry.value)
    }

    /// Sets the value of a flow.
    pub fn insert(&mut self, now: Timestamp, key: FlowKey, value: V) {
        if self.entries.len() >= self.limit && !self.entries.contains_key(&key) {
            let index = self.cursor % self.entries.len();
            self.entries.swap_remove_index(index);
        }
        self.entries.insert(key, Entry { value, used: now });
    }

    /// Removes a flow.
    pub fn remove(&mut self, key: &FlowKey) -> Option<V> {
        self.entries.swap_remove(key).map(|entry| entry.value)
    }

    /// Every flow with its value.
    pub fn iter(&self) -> impl Iterator<Item = (&FlowKey, &V)> {
        self.entries.iter().map(|(key, entry)| (key, &entry.value))
    }

    /// Every flow with its value, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&FlowKey, &mut V)> {
        self.entries
            .iter_mut()
            .map(|(key, entry)| (key, &mut entry.value))
    }

    /// Keeps the flows that `keep` approves.
    pub fn retain(&mut self, mut keep: impl FnMut(&FlowKey, &mut V) -> bool) {
        self.entries
            .retain(|key, entry| keep(key, &mut entry.value));
    }

    /// Drops unused flows among the next few entries, and gives their number.
    pub fn sweep(&mut self, now: Timestamp) -> usize {
        let mut dropped = 0;
        for _ in 0..SWEEP_LEN.min(self.entries.len()) {
            if self.cursor >= self.entries.len() {
                self.cursor = 0;
            }
            let Some((_, entry)) = self.entries.get_index(self.cursor) else {
                break;
            };
            if now.since(entry.used) > self.life {
                self.entries.swap_remove_index(self.cursor);
                dropped += 1;
            } else {
                self.cursor += 1;
            }
        }
        dropped
    }
}
