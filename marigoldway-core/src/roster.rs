//! The roster: one record per instance, merged as a join-semilattice.
//!
//! An instance is an entry (a load balancer) or an agent (which stands beside a
//! target). The owner of a record, the process that it describes, alone raises its
//! version. A monitor, an entry that detects the failure of the instance, may mark the
//! record suspect or down at the version that it holds. A live owner refutes the mark
//! with a higher version. Of two records of one instance the greater one wins,
//! by incarnation, then version, then state, then the other fields, so merging
//! is commutative, associative and idempotent.

use std::net::SocketAddrV4;

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::DomainId;
use crate::ids::Incarnation;
use crate::ids::InstanceId;
use crate::ids::RegionId;
use crate::ids::ServiceId;
use crate::placement::Candidates;
use crate::placement::Member;
use crate::placement::PlacementTable;

/// Weight, in percent, of a target that receives its full share of new flows.
pub const FULL_WEIGHT: u16 = 100;

/// `Role` is the daemon that a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// A load balancer that forwards packets.
    Entry,
    /// The process that runs beside a target and admits requests to it.
    Agent,
}

/// `State` is the recorded state of an instance. At the same version, a later
/// variant overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// The process runs and doesn't accept new flows yet.
    Starting,
    /// The process accepts new flows.
    Serving,
    /// The process drains: it finishes its flows and accepts no new ones.
    Leaving,
    /// A monitor has missed heartbeats of the instance and suspects that it failed.
    Suspect,
    /// A monitor has missed heartbeats for so long that it considers the
    /// instance failed.
    Down,
}

/// `Record` describes one instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Record {
    /// Id of the instance.
    pub id: InstanceId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Daemon that the process runs.
    pub role: Role,
    /// Service of the target for an agent, `None` for an entry.
    pub service: Option<ServiceId>,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Region of the instance.
    pub region: RegionId,
    /// TCP address of the control channel.
    pub control: SocketAddrV4,
    /// State of the instance.
    pub state: State,
    /// Version of the record, which only its owner raises.
    pub version: u32,
    /// Share of new flows in percent: [`FULL_WEIGHT`] for a target that has finished its
    /// slow start, zero for one that receives none.
    pub weight: u16,
}

impl Record {
    /// Returns whether this record replaces `other`, a record of the same instance.
    pub fn supersedes(&self, other: &Record) -> bool {
        self.precedence() > other.precedence()
    }

    /// All fields except the id, most significant first. Two different records
    /// of an instance never have equal precedence, which makes the merge commutative.
    fn precedence(&self) -> impl Ord {
        (
            self.incarnation,
            self.version,
            self.state,
            self.weight,
            (self.role, self.service),
            (self.domain, self.region),
            self.control,
        )
    }
}

/// `MergeOutcome` is the result of merging a record into a roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The instance was unknown, and the record was added.
    New,
    /// The record replaced an older one.
    Newer,
    /// The roster already holds the same record.
    Same,
    /// The roster already holds a newer record.
    Stale,
}

impl MergeOutcome {
    /// Returns whether the merge changed the roster.
    pub fn changed(self) -> bool {
        matches!(self, MergeOutcome::New | MergeOutcome::Newer)
    }
}

/// `Roster` holds the newest known record of each instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roster {
    records: IndexMap<InstanceId, Record>,
}

impl Roster {
    /// Creates an empty roster.
    pub fn new() -> Roster {
        Roster::default()
    }

    /// Merges one record, which replaces an older one of the same instance.
    pub fn merge(&mut self, record: Record) -> MergeOutcome {
        let Some(held) = self.records.get_mut(&record.id) else {
            self.records.insert(record.id, record);
            return MergeOutcome::New;
        };
        if record == *held {
            return MergeOutcome::Same;
        }
        if !record.supersedes(held) {
            return MergeOutcome::Stale;
        }
        *held = record;
        MergeOutcome::Newer
    }

    /// Merges every record of `other`.
    pub fn merge_all(&mut self, other: &Roster) {
        for record in other.records() {
            self.merge(record.clone());
        }
    }

    /// Removes and returns the record of `id`, `None` if there is none.
    pub fn remove(&mut self, id: InstanceId) -> Option<Record> {
        self.records.swap_remove(&id)
    }

    /// The record of `id`, `None` if there is none.
    pub fn record(&self, id: InstanceId) -> Option<&Record> {
        self.records.get(&id)
    }

    /// All records, in no particular order.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Builds the view that the packet path reads. `lost` holds the failure
    /// domains that are considered lost.
    pub fn view(&self, lost: &IndexSet<DomainId>) -> RosterView {
        RosterView::new(self, lost)
    }
}

/// `RosterView` is a snapshot of a roster, prepared for the packet path.
#[derive(Clone, Debug, Default)]
pub struct RosterView {
    records: IndexMap<InstanceId, Record>,
    entries: Vec<InstanceId>,
    tables: IndexMap<ServiceId, PlacementTable>,
}

impl RosterView {
    fn new(roster: &Roster, lost: &IndexSet<DomainId>) -> RosterView {
        let mut records: Vec<Record> = roster.records().cloned().collect();
        records.sort_by_key(|record| record.id);

        let entries = records
            .iter()
            .filter(|record| record.role == Role::Entry)
            .filter(|record| record.state <= State::Serving && !lost.contains(&record.domain))
            .map(|record| record.id)
            .collect();
        let mut services: IndexMap<ServiceId, Vec<&Record>> = IndexMap::new();
        for record in &records {
            if let (Role::Agent, Some(service)) = (record.role, record.service) {
                services.entry(service).or_default().push(record);
            }
        }
        let tables = services
            .into_iter()
            .map(|(service, agents)| (service, PlacementTable::new(select_eligible(&agents, lost))))
            .collect();
        RosterView {
            entries,
            tables,
            records: records.into_iter().map(|it| (it.id, it)).collect(),
        }
    }

    /// The candidates for a new flow of `service`: two agents, or one if no other is
    /// eligible. `None` if no agent of the service is eligible. `key` is a hash of the
    /// flow's connection ID.
    pub fn candidates(&self, service: ServiceId, key: u64) -> Option<Candidates> {
        self.tables.get(&service)?.choose(key)
    }

    /// Ids of the entries that forward packets, in ascending order.
    pub fn entries(&self) -> &[InstanceId] {
        &self.entries
    }

    /// The record of `id`, `None` if there is none.
    pub fn record(&self, id: InstanceId) -> Option<&Record> {
        self.records.get(&id)
    }

    /// All records, in ascending order of ids.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Records of the agents of `service` in state [`State::Serving`].
    pub fn serving(&self, service: ServiceId) -> impl Iterator<Item = &Record> {
        self.records()
            .filter(move |record| record.service == Some(service) && record.state == State::Serving)
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// Selects the agents that may receive new flows: all that match the first
/// preference below that any agent matches. Agents that serve in a reachable domain come
/// first. Others are used only while there are no such agents, so that a wrong mark
/// can't leave a service without targets. Agents of weight zero are never selected.
fn select_eligible(agents: &[&Record], lost: &IndexSet<DomainId>) -> Vec<Member> {
    let preferences = [
        (State::Serving, false),
        (State::Suspect, false),
        (State::Serving, true),
        (State::Suspect, true),
        (State::Leaving, false),
    ];
    for (state, in_lost_domain) in preferences {
        let members: Vec<Member> = agents
            .iter()
            .filter(|agent| agent.state == state && agent.weight > 0)
            .filter(|agent| lost.contains(&agent.domain) == in_lost_domain)
            .map(|agent| Member {
                id: agent.id,
                weight: agent.weight,
            })
            .collect();
        if !members.is_empty() {
            return members;
        }
    }
    Vec::new()
}
