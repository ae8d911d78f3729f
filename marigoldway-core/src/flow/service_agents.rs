//! This module keeps the agents of one service in the orders that decisions need.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::flow::key::NameKey;
use crate::flow::message::AgentRecord;
use crate::flow::message::Reach;
use crate::flow::message::TargetState;
use crate::flow::ring::Ring;
use crate::ids::InstanceId;

/// `ServiceAgents` holds the known agents of one service. A change costs no more in a larger
/// service, but for the list of IDs, whose tail moves.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceAgents {
    /// IDs in ascending order.
    pub(crate) ids: Vec<InstanceId>,
    /// Orders the agents for each flow.
    pub(crate) ring: Ring,
    /// Orders the agents of each failure domain.
    pub(crate) domains: IndexMap<NameKey, Ring>,
    /// Agents with [`Reach::Wide`].
    pub(crate) wide: IndexSet<InstanceId>,
    /// Agents with [`Reach::Any`].
    pub(crate) any: IndexSet<InstanceId>,
    /// Number of serving targets by failure domain.
    serving: IndexMap<NameKey, usize>,
    /// Number of targets by the time since which they may hold flows, in Unix milliseconds.
    starts: BTreeMap<u64, usize>,
}

impl ServiceAgents {
    /// Adds an agent that isn't there.
    pub(crate) fn insert(&mut self, record: &AgentRecord) {
        if let Err(index) = self.ids.binary_search(&record.id) {
            self.ids.insert(index, record.id);
        }
        self.ring.insert(record.id);
        self.domains
            .entry(record.domain)
            .or_default()
            .insert(record.id);
        self.add_start(record);
    }

    /// Removes the agent that was added with `record`.
    pub(crate) fn remove(&mut self, record: &AgentRecord) {
        if let Ok(index) = self.ids.binary_search(&record.id) {
            self.ids.remove(index);
        }
        self.ring.remove(record.id);
        if let Some(ring) = self.domains.get_mut(&record.domain) {
            ring.remove(record.id);
            if ring.is_empty() {
                self.domains.swap_remove(&record.domain);
            }
        }
        self.remove_start(record);
    }

    /// Replaces the record of an agent that stays in its failure domain.
    pub(crate) fn update(&mut self, previous: &AgentRecord, record: &AgentRecord) {
        self.remove_start(previous);
        self.add_start(record);
    }

    /// The earliest time since which a target may hold flows, in Unix milliseconds, or 0 if none is
    /// known.
    pub(crate) fn oldest_start(&self) -> u64 {
        self.starts.keys().next().copied().unwrap_or(0)
    }

    /// The failure domains with serving targets.
    pub(crate) fn serving_domains(&self) -> impl Iterator<Item = NameKey> {
        self.serving.keys().copied()
    }

    fn add_start(&mut self, record: &AgentRecord) {
        if let Some(since) = record.held_since() {
            *self.starts.entry(since).or_default() += 1;
        }
        match record.reach {
            Reach::Window => {}
            Reach::Wide => _ = self.wide.insert(record.id),
            Reach::Any => _ = self.any.insert(record.id),
        }
        if record.state == TargetState::Serving {
            *self.serving.entry(record.domain).or_default() += 1;
        }
    }

    fn remove_start(&mut self, record: &AgentRecord) {
        self.wide.swap_remove(&record.id);
        self.any.swap_remove(&record.id);
        if record.state == TargetState::Serving
            && let Some(count) = self.serving.get_mut(&record.domain)
        {
            *count -= 1;
            if *count == 0 {
                self.serving.swap_remove(&record.domain);
            }
        }
        let Some(since) = record.held_since() else {
            return;
        };
        if let Some(count) = self.starts.get_mut(&since) {
            *count -= 1;
            if *count == 0 {
                self.starts.remove(&since);
            }
        }
    }
}
