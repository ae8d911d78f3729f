//! This module tracks the agents that an entry or an agent knows, by service.
//!
//! An agent is a process beside one target. It is registered while the platform's
//! store has its record, which the store keeps under a lease. An agent without a
//! record may still be alive: its lease can expire while the store is unreachable,
//! or the store can reject its instance. Such an unregistered agent stays known
//! while it answers probes, and for [`UNREGISTERED_LIFETIME`] after its last
//! message.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::flow::drains::DrainedDomains;
use crate::flow::key::FlowKey;
use crate::flow::key::NameKey;
use crate::flow::message::AgentRecord;
use crate::flow::service_agents::ServiceAgents;
use crate::ids::InstanceId;
use crate::placement::Candidates;
use crate::time::Timestamp;

/// Time without a message after which an unregistered agent is removed. An agent
/// registers again within 2 s after the store is reachable again.
pub const UNREGISTERED_LIFETIME: Duration = Duration::from_millis(2_500);

/// Interval between two probes of an unregistered agent.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// `Agents` holds the records of the known agents, by service in the order of each flow.
/// The first two agents in that order are the flow's directory agents, with which its
/// holder registers it.
#[derive(Debug, Default)]
pub struct Agents {
    known: IndexMap<InstanceId, KnownAgent>,
    services: IndexMap<NameKey, ServiceAgents>,
    drains: DrainedDomains,
    epoch: u64,
    revision: u64,
    /// Whether the complete list of the store has been applied.
    loaded: bool,
}

#[derive(Debug)]
struct KnownAgent {
    record: AgentRecord,
    /// Set while the store has no record of the agent.
    unregistered: Option<UnregisteredState>,
}

/// Times that decide when an unregistered agent expires and when its next probe is
/// due.
#[derive(Clone, Copy, Debug)]
struct UnregisteredState {
    last_message: Timestamp,
    last_probe: Timestamp,
}

impl UnregisteredState {
    /// State of an agent that becomes unregistered at `now`. Its first probe is due
    /// at once, and it expires as if it had sent a message at `now`.
    fn new(now: Timestamp) -> UnregisteredState {
        UnregisteredState {
            last_message: now,
            last_probe: Timestamp::ZERO,
        }
    }
}

impl Agents {
    /// A number that increases when an agent is added or removed, changes its
    /// service or restarts. Callers compare it with an earlier value to tell whether
    /// state that they derived from the agents is out of date.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// A number that increases with each change of the agents that may receive or hold a
    /// flow.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether the complete list of the store has been applied, so that every agent
    /// is known except joining ones, which the list lacked.
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

    /// Whether the store has a record of the agent, as far as is known.
    pub fn is_registered(&self, id: InstanceId) -> bool {
        let known = self.known.get(&id);
        known.is_some_and(|it| it.unregistered.is_none())
    }

    /// The records of all known agents.
    pub fn records(&self) -> impl Iterator<Item = &AgentRecord> {
        self.known.values().map(|known| &known.record)
    }

    /// The known agents of a service in ascending order of their IDs. Empty if there
    /// are none.
    pub fn of_service(&self, service: NameKey) -> &[InstanceId] {
        self.services
            .get(&service)
            .map_or(&[], |agents| &agents.ids)
    }

    /// The two agents of the service that come first in the flow's order, or `None` if the
    /// service has no known agent. If the service has a single known agent, there is no
    /// second directory agent.
    pub fn directory_agents(&self, service: NameKey, flow: &FlowKey) -> Option<Candidates> {
        let mut walk = self.services.get(&service)?.ring.walk(flow.hash());
        Some(Candidates {
            first: walk.next()?,
            second: walk.next(),
        })
    }

    /// The drained failure domains.
    pub fn drains(&self) -> &DrainedDomains {
        &self.drains
    }

    /// The drained failure domains, for updates by the caller that learns of them.
    pub fn drains_mut(&mut self) -> &mut DrainedDomains {
        &mut self.drains
    }

    /// Whether an agent is in a drained failure domain. False for an unknown agent.
    pub fn is_drained(&self, id: InstanceId) -> bool {
        let record = self.record(id);
        record.is_some_and(|it| self.drains.is_drained(it.domain))
    }

    /// Names of drained domains without a known agent. Each drain is checked once, after the
    /// complete list of the store has been applied.
    pub fn take_unserved_drains(&mut self) -> Vec<String> {
        if !self.loaded {
            return Vec::new();
        }
        let services = &self.services;
        let has_agents = |domain| services.values().any(|it| it.domains.contains_key(&domain));
        self.drains.take_unserved(has_agents)
    }

    /// The names of the services with known agents.
    pub(super) fn service_keys(&self) -> impl Iterator<Item = NameKey> {
        self.services.keys().copied()
    }

    /// The services with known agents.
    pub(crate) fn services(&self) -> impl Iterator<Item = &ServiceAgents> {
        self.services.values()
    }

    /// The known agents of a service, or `None` if there are none.
    pub(super) fn service(&self, service: NameKey) -> Option<&ServiceAgents> {
        self.services.get(&service)
    }

    /// Applies the complete list of the store: agents in the list become registered,
    /// and known agents that it lacks become unregistered.
    pub fn replace(&mut self, now: Timestamp, records: &[AgentRecord]) {
        self.loaded = true;
        let listed: IndexSet<InstanceId> = records.iter().map(|record| record.id).collect();
        let known = self.known.keys().filter(|id| !listed.contains(*id));
        let missing: Vec<InstanceId> = known.copied().collect();
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

    /// Adds an agent that may be alive though the store has no record of it. The
    /// agent is probed and expires like one that was registered before. Has no effect
    /// on an agent that is known already.
    pub fn add_unregistered(&mut self, now: Timestamp, record: AgentRecord) {
        if self.known.contains_key(&record.id) {
            return;
        }
        self.set(record, Some(UnregisteredState::new(now)));
    }

    /// Marks an agent as unregistered: the store no longer has its record. Has no
    /// effect on an agent that is unknown or already unregistered.
    pub fn unregister(&mut self, now: Timestamp, id: InstanceId) {
        let Some(known) = self.known.get_mut(&id) else {
            return;
        };
        if known.unregistered.is_none() {
            known.unregistered = Some(UnregisteredState::new(now));
        }
    }

    /// Applies a record that the agent itself sent, possibly through a process that
    /// relayed it. Adds an unknown agent as unregistered. Returns whether the agent
    /// was unknown or the record supersedes the known one.
    pub fn on_record(&mut self, now: Timestamp, record: AgentRecord) -> bool {
        let Some(known) = self.known.get_mut(&record.id) else {
            let unregistered = UnregisteredState {
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

    /// Notes that an agent sent a message without its record. This postpones the
    /// expiry of an unregistered agent.
    pub fn on_message(&mut self, now: Timestamp, id: InstanceId) {
        let known = self.known.get_mut(&id);
        if let Some(unregistered) = known.and_then(|known| known.unregistered.as_mut()) {
            unregistered.last_message = now;
        }
    }

    /// Removes all agents, of which the complete list has to be applied again.
    pub fn clear(&mut self) {
        self.known.clear();
        self.services.clear();
        self.loaded = false;
        self.epoch += 1;
        self.revision += 1;
    }

    /// Removes an agent at once, whether it is registered or not.
    pub fn remove(&mut self, id: InstanceId) {
        if let Some(known) = self.known.swap_remove(&id) {
            self.epoch += 1;
            self.revision += 1;
            self.remove_from_service(&known.record);
        }
    }

    /// Removes unregistered agents that sent no message for
    /// [`UNREGISTERED_LIFETIME`], and returns their IDs.
    pub fn expire(&mut self, now: Timestamp) -> Vec<InstanceId> {
        let is_expired = |known: &KnownAgent| {
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

    /// Stores an agent's record and state, and updates the services concerned.
    fn set(&mut self, record: AgentRecord, unregistered: Option<UnregisteredState>) {
        let known = KnownAgent {
            record,
            unregistered,
        };
        let previous = self.known.insert(record.id, known).map(|it| it.record);
        let Some(previous) = previous else {
            self.epoch += 1;
            self.revision += 1;
            return self.add_to_service(&record);
        };
        let moved = previous.service != record.service || previous.domain != record.domain;
        if moved || previous.incarnation != record.incarnation {
            self.epoch += 1;
        }
        let standing = |it: &AgentRecord| {
            let times = (it.started_at, it.listed_at, it.held_at);
            (it.state, times, it.vacant, it.reach)
        };
        if moved {
            self.remove_from_service(&previous);
            self.add_to_service(&record);
        } else if let Some(agents) = self.services.get_mut(&record.service) {
            agents.update(&previous, &record);
        }
        if moved || standing(&previous) != standing(&record) {
            self.revision += 1;
        }
    }

    fn add_to_service(&mut self, record: &AgentRecord) {
        self.services
            .entry(record.service)
            .or_default()
            .insert(record);
    }

    fn remove_from_service(&mut self, record: &AgentRecord) {
        if let Some(agents) = self.services.get_mut(&record.service) {
            agents.remove(record);
            if agents.ids.is_empty() {
                self.services.swap_remove(&record.service);
            }
        }
    }
}
