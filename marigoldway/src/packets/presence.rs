//! PresenceKeys of agents that aren't listed, until they are old enough to be deleted.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time;

/// `PresenceKeys` are the keys of agents that have a mark and no record, as far as this
/// process has seen.
#[derive(Debug)]
pub(crate) struct PresenceKeys {
    /// Time for which an agent may be away before its mark is deleted.
    lifetime: Duration,
    missing_since: IndexMap<String, time::Instant>,
}

impl PresenceKeys {
    /// Knows no mark; one without a record is kept for `lifetime`.
    pub(crate) fn new(lifetime: Duration) -> PresenceKeys {
        PresenceKeys {
            lifetime,
            missing_since: IndexMap::new(),
        }
    }

    /// Takes note that an agent's record is gone.
    pub(crate) fn add(&mut self, agent_key: &str) {
        let now = time::Instant::now();
        self.missing_since
            .entry(agent_key.to_owned())
            .or_insert(now);
    }

    /// Takes note that an agent is listed.
    pub(crate) fn remove(&mut self, agent_key: &str) {
        self.missing_since.swap_remove(agent_key);
    }

    /// The key of an agent that has been away for so long that its mark is to be
    /// deleted, once, if `own` says that it is this process that does it.
    pub(crate) fn take(&mut self, own: bool) -> Option<String> {
        let old = self
            .missing_since
            .iter()
            .find(|(_, at)| at.elapsed() >= self.lifetime);
        let key = old.map(|(key, _)| key.clone())?;
        self.missing_since.swap_remove(&key);
        own.then_some(key)
    }
}
