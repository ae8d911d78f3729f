//! The agents that a process knows, by service.
//!
//! The platform's store lists agents under their leases. An agent that is no
//! longer listed may still live: its lease can lapse while the store is away, or
//! the store turns its instance away. So it stays known while it answers, and
//! for [`UNREGISTERED_LIFETIME`] after it was last heard.

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

/// Time for which an agent that the store doesn't list stays known without a
/// word of its own: an agent lists itself again within 2 s of the store's
/// return.
pub const UNREGISTERED_LIFETIME: Duration = Duration::from_millis(2_500);

/// Time between two questions to an agent that isn't listed.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// `Agents` are the known agents.
#[derive(Debug, Default)]
pub struct Agents {
    known: IndexMap<InstanceId, Known>,
    services: IndexMap<NameKey, Members>,
    epoch: u64,
    /// Whether the store's whole list was read.
    loaded: bool,
}

#[derive(Debug)]
struct Known {
    record: AgentRecord,
    /// Set while the store doesn't list the agent.
    unregistered: Option<Unregistered>,
}

#[derive(Clone, Copy, Debug)]
struct Unregistered {
    heard: Timestamp,
    probed: Timestamp,
}

impl Unregistered {
    /// An agent that is asked at once.
    fn since(now: Timestamp) -> Unregistered {
        Unregistered {
            heard: now,
            probed: Timestamp::ZERO,
        }
    }
}

#[derive(Debug, Default)]
struct Members {
    ids: Vec<InstanceId>,
    directory_agents: PlacementTable,
}

impl Agents {
    /// Counts changes of who is known, for those who keep what depends on it.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether the store's whole list was read, so that every agent is known
    /// but for newcomers.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Agents that are known.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no agent is known.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The record of an agent.
    pub fn record(&self, id: InstanceId) -> Option<&AgentRecord> {
        self.known.get(&id).map(|known| &known.record)
    }

    /// Every record.
    pub fn records(&self) -> impl Iterator<Item = &AgentRecord> {
        self.known.values().map(|known| &known.record)
    }

    /// The agents of a service.
    pub fn of_service(&self, service: NameKey) -> &[InstanceId] {
        self.services
            .get(&service)
            .map_or(&[], |members| &members.ids)
    }

    /// The two directory_agents of a flow, or `None` where the service has no agent.
    pub fn directory_agents(&self, service: NameKey, flow: &FlowKey) -> Option<Candidates> {
        self.services
            .get(&service)?
            .directory_agents
            .choose(flow.hash())
    }

    /// Takes the store's list as a whole: who isn't in it is unregistered.
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

    /// Takes a record that the store lists.
    pub fn register(&mut self, record: AgentRecord) {
        // A word of the agent itself may be ahead of the store's.
        let newer = self
            .record(record.id)
            .filter(|held| held.incarnation == record.incarnation && held.number > record.number);
        let record = newer.copied().unwrap_or(record);
        self.set(record, None);
    }

    /// Takes an agent that the store doesn't list and that may live: it is asked,
    /// and forgotten like one that was listed before.
    pub fn add_unregistered(&mut self, now: Timestamp, record: AgentRecord) {
        if self.known.contains_key(&record.id) {
            return;
        }
        self.set(record, Some(Unregistered::since(now)));
    }

    /// Takes note that the store doesn't list an agent.
    pub fn unregister(&mut self, now: Timestamp, id: InstanceId) {
        let Some(known) = self.known.get_mut(&id) else {
            return;
        };
        if known.unregistered.is_none() {
            known.unregistered = Some(Unregistered::since(now));
        }
    }

    /// Takes a record that came from the agent itself, and tells whether it
    /// says anything new.
    pub fn on_record(&mut self, now: Timestamp, record: AgentRecord) -> bool {
        let Some(known) = self.known.get_mut(&record.id) else {
            let unregistered = Unregistered {
                heard: now,
                probed: now,
            };
            self.set(record, Some(unregistered));
            return true;
        };
        if let Some(unregistered) = &mut known.unregistered {
            unregistered.heard = now;
        }
        if !record.supersedes(&known.record) {
            return false;
        }
        let unregistered = known.unregistered;
        self.set(record, unregistered);
        true
    }

    /// Takes note of a word of an agent that carries no record.
    pub fn on_message(&mut self, now: Timestamp, id: InstanceId) {
        let known = self.known.get_mut(&id);
        if let Some(unregistered) = known.and_then(|known| known.unregistered.as_mut()) {
            unregistered.heard = now;
        }
    }

    /// Forgets an agent at once.
    pub fn remove(&mut self, id: InstanceId) {
        if let Some(known) = self.known.swap_remove(&id) {
            self.rebuild(known.record.service);
        }
    }

    /// Forgets the agents that are neither listed nor heard, and gives them.
    pub fn expire(&mut self, now: Timestamp) -> Vec<InstanceId> {
        let silent = |known: &Known| {
            known
                .unregistered
                .is_some_and(|unregistered| now.since(unregistered.heard) > UNREGISTERED_LIFETIME)
        };
        let gone = self.known.iter().filter(|(_, known)| silent(known));
        let gone: Vec<InstanceId> = gone.map(|(id, _)| *id).collect();
        for id in &gone {
            self.remove(*id);
        }
        gone
    }

    /// The unregistered agents that are due to be asked whether they live.
    pub fn due_probes(&mut self, now: Timestamp) -> Vec<InstanceId> {
        let mut due = Vec::new();
        for (id, known) in &mut self.known {
            let Some(unregistered) = &mut known.unregistered else {
                continue;
            };
            if now.since(unregistered.probed) >= PROBE_INTERVAL {
                unregistered.probed = now;
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
        let before = self.known.insert(record.id, known);
        let Some(Known { record: before, .. }) = before else {
            self.rebuild(record.service);
            return;
        };
        let same_process = before.incarnation == record.incarnation;
        if before.service == record.service && same_process {
            return;
        }
        if before.service != record.service {
            self.rebuild(before.service);
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
        let directory_agents =
            PlacementTable::new(ids.iter().map(|id| Member { id: *id, weight: 1 }));
        self.services.insert(
            service,
            Members {
                ids,
                directory_agents,
            },
        );
    }
}
