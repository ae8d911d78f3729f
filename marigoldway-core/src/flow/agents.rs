//! The known agents, by service.
//!
//! Agents are registered in the platform's store by records under leases. An
//! agent whose record is gone may still be alive: its lease can expire while the
//! store is unreachable, or the store rejects its instance. Such an agent stays
//! known while it answers probes, and for [`UNREGISTERED_LIFETIME`] after its
//! last message.

use std::time::Duration;

use indexmap::IndexMap;

use crate::flow::key::FlowKey;
use crate::flow::key::NameKey;
use crate::flow::message::AgentRecord;
use crate::ids::InstanceId;
use crate::placement::Candidates;
use crate::placement::Member;
use crate::placement::PlacementTable;
use crate::time::Timestamp;

/// Time without a message after which an unregistered agent is removed. An agent
/// registers again within 2 s after the store is reachable again.
pub const UNREGISTERED_LIFETIME: Duration = Duration::from_millis(2_500);

/// Interval between two probes of an unregistered agent.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// `Agents` holds the records of the known agents and, for each service, the
/// table that yields the directory agents of a flow.
#[derive(Debug, Default)]
pub struct Agents {
    known: IndexMap<InstanceId, Known>,
    services: IndexMap<NameKey, Members>,
    epoch: u64,
    /// Whether the complete list of agents was read from the store.
    loaded: bool,
}

#[derive(Debug)]
struct Known {
    record: AgentRecord,
    /// Set while the store has no record of the agent.
    unregistered: Option<Unregistered>,
}

#[derive(Clone, Copy, Debug)]
struct Unregistered {
    last_message: Timestamp,
    last_probe: Timestamp,
}

impl Unregistered {
    /// State of an agent that is unregistered from `now` on. Its first probe is
    /// due at once.
    fn since(now: Timestamp) -> Unregistered {
        Unregistered {
            last_message: now,
            last_probe: Timestamp::ZERO,
        }
    }
}

#[derive(Debug, Default)]
struct Members {
    ids: Vec<InstanceId>,
    directory: PlacementTable,
}

impl Agents {
    /// Number of changes of the known agents: an agent was added or removed,
    /// changed its service or restarted. Callers compare it to tell whether
    /// state that they derived from the agents is out of date.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether the complete list of agents was read from the store, so that
    /// every agent is known except joining ones.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Number of known agents.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no agent is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The record of an agent, or `None` if it isn't known.
    pub fn record(&self, id: InstanceId) -> Option<&AgentRecord> {
        self.known.get(&id).map(|known| &known.record)
    }

    /// The records of all known agents.
    pub fn records(&self) -> impl Iterator<Item = &AgentRecord> {
        self.known.values().map(|known| &known.record)
    }

    /// The agents of a service, in the order of their IDs.
    pub fn of_service(&self, service: NameKey) -> &[InstanceId] {
        self.services
            .get(&service)
            .map_or(&[], |members| &members.ids)
    }

    /// The directory agents of a flow, or `None` if the service has no known
    /// agent. There is no second one if the service has a single agent.
    pub fn directory_agents(&self, service: NameKey, flow: &FlowKey) -> Option<Candidates> {
        self.services.get(&service)?.directory.choose(flow.hash())
    }

    /// Applies the complete list of the store: agents that it lacks become
    /// unregistered.
    pub fn replace(&mut self, now: Timestamp, records: &[AgentRecord]) {
        self.loaded = true;
        let missing: Vec<InstanceId> = self
            .known
            .keys()
            .filter(|id| !records.iter().any(|record| record.id == **id))
            .copied()
            .collect();
        for id in missing {
            self.unregister(now, id);
        }
        for record in records {
            self.register(*record);
        }
    }

    /// Applies a record from the store and marks its agent as registered.
    pub fn register(&mut self, record: AgentRecord) {
        // The agent itself may have sent a newer record than the store's.
        let newer = self.record(record.id).filter(|known| {
            known.incarnation == record.incarnation && known.number > record.number
        });
        let record = newer.copied().unwrap_or(record);
        self.set(record, None);
    }

    /// Adds an agent that may be alive though the store has no record of it. It
    /// is probed and expires like an agent that was registered before. Has no
    /// effect on an agent that is known already.
    pub fn add_unregistered(&mut self, now: Timestamp, record: AgentRecord) {
        if self.known.contains_key(&record.id) {
            return;
        }
        self.set(record, Some(Unregistered::since(now)));
    }

    /// Marks an agent as unregistered: the store no longer has its record.
    pub fn unregister(&mut self, now: Timestamp, id: InstanceId) {
        let Some(known) = self.known.get_mut(&id) else {
            return;
        };
        if known.unregistered.is_none() {
            known.unregistered = Some(Unregistered::since(now));
        }
    }

    /// Applies a record that the agent itself sent. Returns whether the agent
    /// was unknown or the record supersedes the known one.
    pub fn on_record(&mut self, now: Timestamp, record: AgentRecord) -> bool {
        let Some(known) = self.known.get_mut(&record.id) else {
            let unregistered = Unregistered {
                last_message: now,
                last_probe: now,
            };
            self.set(record, Some(unregistered));
            return true;
        };
        if let Some(unregistered) = &mut known.unregistered {
            unregistered.last_message = now;
        }
        if !record.supersedes(&known.record) {
            return false;
        }
        let unregistered = known.unregistered;
        self.set(record, unregistered);
        true
    }

    /// Records that an agent sent a message that carries no record.
    pub fn on_message(&mut self, now: Timestamp, id: InstanceId) {
        let known = self.known.get_mut(&id);
        if let Some(unregistered) = known.and_then(|known| known.unregistered.as_mut()) {
            unregistered.last_message = now;
        }
    }

    /// Removes an agent at once.
    pub fn remove(&mut self, id: InstanceId) {
        if let Some(known) = self.known.swap_remove(&id) {
            self.rebuild(known.record.service);
        }
    }

    /// Removes unregistered agents that sent no message for
    /// [`UNREGISTERED_LIFETIME`], and returns their IDs.
    pub fn expire(&mut self, now: Timestamp) -> Vec<InstanceId> {
        let is_expired = |known: &Known| {
            known.unregistered.is_some_and(|unregistered| {
                now.since(unregistered.last_message) > UNREGISTERED_LIFETIME
            })
        };
        let expired = self.known.iter().filter(|(_, known)| is_expired(known));
        let expired: Vec<InstanceId> = expired.map(|(id, _)| *id).collect();
        for id in &expired {
            self.remove(*id);
        }
        expired
    }

    /// Returns the unregistered agents whose next probe is due, and restarts
    /// their [`PROBE_INTERVAL`].
    pub fn due_probes(&mut self, now: Timestamp) -> Vec<InstanceId> {
        let mut due = Vec::new();
        for (id, known) in &mut self.known {
            let Some(unregistered) = &mut known.unregistered else {
                continue;
            };
            if now.since(unregistered.last_probe) >= PROBE_INTERVAL {
                unregistered.last_probe = now;
                due.push(*id);
            }
        }
        due
    }

    fn set(&mut self, record: AgentRecord, unregistered: Option<Unregistered>) {
        let known = Known {
            record,
            unregistered,
        };
        let previous = self.known.insert(record.id, known);
        let Some(Known {
            record: previous, ..
        }) = previous
        else {
            self.rebuild(record.service);
            return;
        };
        let same_process = previous.incarnation == record.incarnation;
        if previous.service == record.service && same_process {
            return;
        }
        if previous.service != record.service {
            self.rebuild(previous.service);
        }
        self.rebuild(record.service);
    }

    fn rebuild(&mut self, service: NameKey) {
        self.epoch += 1;
        let records = self.known.values().map(|known| &known.record);
        let mut ids: Vec<InstanceId> = records
            .filter(|record| record.service == service)
            .map(|record| record.id)
            .collect();
        ids.sort();
        if ids.is_empty() {
            self.services.swap_remove(&service);
            return;
        }
        let directory = PlacementTable::new(ids.iter().map(|id| Member { id: *id, weight: 1 }));
        self.services.insert(service, Members { ids, directory });
    }
}
