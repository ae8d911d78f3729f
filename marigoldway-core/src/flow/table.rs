//! This module implements bounded tables of soft state, keyed by flow.

use std::time::Duration;

use indexmap::IndexMap;

use crate::flow::key::FlowKey;
use crate::time::Timestamp;

/// Maximum number of entries that one [`FlowTable::sweep`] checks.
const MAX_SWEEP_ENTRIES: usize = 256;

/// `FlowTable` holds one value per flow for a limited number of flows. Sweeps
/// remove entries that were not used for longer than the idle timeout. An insert
/// into a full table evicts the entry that the sweep would check next.
#[derive(Debug)]
pub struct FlowTable<V> {
    entries: IndexMap<FlowKey, Entry<V>>,
    max_flows: usize,
    idle_timeout: Duration,
    /// Index of the entry that the next sweep checks first. May be past the end.
    cursor: usize,
}

#[derive(Debug)]
struct Entry<V> {
    value: V,
    last_used: Timestamp,
}

impl<V> FlowTable<V> {
    /// Creates a table for up to `max_flows` flows, at least 1. Sweeps remove
    /// entries that were not used for longer than `idle_timeout`.
    pub fn new(max_flows: usize, idle_timeout: Duration) -> FlowTable<V> {
        FlowTable {
            entries: IndexMap::new(),
            max_flows: max_flows.max(1),
            idle_timeout,
            cursor: 0,
        }
    }

    /// Number of flows in the table.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no flows.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Sets the idle timeout. It applies to present entries too.
    pub fn set_idle_timeout(&mut self, idle_timeout: Duration) {
        self.idle_timeout = idle_timeout;
    }

    /// The value of a flow, or `None` if the table doesn't contain it. The call counts
    /// as a use of the entry.
    pub fn touch(&mut self, now: Timestamp, key: &FlowKey) -> Option<&mut V> {
        let entry = self.entries.get_mut(key)?;
        entry.last_used = now;
        Some(&mut entry.value)
    }

    /// The value of a flow, or `None` if the table doesn't contain it. The call
    /// doesn't count as a use of the entry.
    pub fn peek(&self, key: &FlowKey) -> Option<&V> {
        self.entries.get(key).map(|entry| &entry.value)
    }

    /// Sets the value of a flow, which counts as a use of the entry. Evicts another
    /// entry if the table is full and doesn't contain the flow.
    pub fn insert(&mut self, now: Timestamp, key: FlowKey, value: V) {
        if self.entries.len() >= self.max_flows && !self.entries.contains_key(&key) {
            let index = self.cursor % self.entries.len();
            self.entries.swap_remove_index(index);
        }
        self.entries.insert(
            key,
            Entry {
                value,
                last_used: now,
            },
        );
    }

    /// Removes a flow and returns its value, or `None` if the table doesn't contain
    /// it.
    pub fn remove(&mut self, key: &FlowKey) -> Option<V> {
        self.entries.swap_remove(key).map(|entry| entry.value)
    }

    /// Iterates over all flows and their values.
    pub fn iter(&self) -> impl Iterator<Item = (&FlowKey, &V)> {
        self.entries.iter().map(|(key, entry)| (key, &entry.value))
    }

    /// Iterates over all flows and mutable references to their values.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&FlowKey, &mut V)> {
        self.entries
            .iter_mut()
            .map(|(key, entry)| (key, &mut entry.value))
    }

    /// Removes the flows for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&FlowKey, &mut V) -> bool) {
        self.entries
            .retain(|key, entry| keep(key, &mut entry.value));
    }

    /// Checks up to `MAX_SWEEP_ENTRIES` entries, starting after those that the last call checked.
    /// Removes the ones that were not used for longer than the idle timeout, and
    /// returns their number.
    pub fn sweep(&mut self, now: Timestamp) -> usize {
        let mut removed = 0;
        for _ in 0..MAX_SWEEP_ENTRIES.min(self.entries.len()) {
            if self.cursor >= self.entries.len() {
                self.cursor = 0;
            }
            let Some((_, entry)) = self.entries.get_index(self.cursor) else {
                break;
            };
            if now.since(entry.last_used) > self.idle_timeout {
                self.entries.swap_remove_index(self.cursor);
                removed += 1;
            } else {
                self.cursor += 1;
            }
        }
        removed
    }
}
