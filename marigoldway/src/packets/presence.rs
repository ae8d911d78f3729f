//! Tracks agents that have a presence key in the store but no record, until the key expires.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time;

/// `PresenceKeys` tracks the agents that have a presence key and no record, as far as
/// this process has seen. A record has a lease and a presence key has none, so the agent
/// may be alive though its record is gone.
#[derive(Debug)]
pub(crate) struct PresenceKeys {
    /// Time without a record after which an agent's presence key is deleted.
    lifetime: Duration,
    /// Keys of the agents' records, with the time at which each was first missing.
    missing_since: IndexMap<String, time::Instant>,
}

impl PresenceKeys {
    /// Creates an empty set whose keys expire after `lifetime` without a record.
    pub(crate) fn new(lifetime: Duration) -> PresenceKeys {
        PresenceKeys {
            lifetime,
            missing_since: IndexMap::new(),
        }
    }

    /// Adds an agent whose record, at `agent_key`, is missing. An agent that was added before keeps
    /// its time.
    pub(crate) fn add(&mut self, agent_key: &str) {
        let now = time::Instant::now();
        self.missing_since
            .entry(agent_key.to_owned())
            .or_insert(now);
    }

    /// Removes an agent that is registered again.
    pub(crate) fn remove(&mut self, agent_key: &str) {
        self.missing_since.swap_remove(agent_key);
    }

    /// Removes all agents.
    pub(crate) fn clear(&mut self) {
        self.missing_since.clear();
    }

    /// Removes one agent whose presence key has expired. Returns the key of its record if
    /// `is_deleter`: the caller is then the process that deletes the presence key. Returns `None`
    /// if no presence key has expired, or if another process deletes it.
    pub(crate) fn take_expired(&mut self, is_deleter: bool) -> Option<String> {
        let expired = self
            .missing_since
            .iter()
            .find(|(_, at)| at.elapsed() >= self.lifetime);
        let key = expired.map(|(key, _)| key.clone())?;
        self.missing_since.swap_remove(&key);
        is_deleter.then_some(key)
    }
}
