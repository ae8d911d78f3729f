//! Messages of the membership protocol, as values.
//!
//! The crate `marigoldway-net` gives them a form on the wire.

use crate::ids::DomainId;
use crate::ids::Incarnation;
use crate::ids::InstanceId;
use crate::ids::ServiceId;
use crate::roster::Record;
use crate::roster::State;

/// `Message` is what two processes say to each other about the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// An instance tells a monitor that it lives.
    Heartbeat(Heartbeat),
    /// A monitor answers a heartbeat or an inquiry.
    Ack(Ack),
    /// A monitor asks an instance that it hasn't heard for a heartbeat.
    Probe,
    /// A process that slept asks what is known of it before it acts.
    Inquiry {
        /// The instance that asks.
        id: InstanceId,
        /// Number of the question.
        number: u32,
    },
    /// Records and beats that are new to the sender.
    Delta(Delta),
    /// Sums over the roster, to find where two rosters differ.
    Digest(Digest),
    /// An agent tells another one of its service how loaded it is.
    Load(Load),
}

/// `Heartbeat` says that an instance lives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The instance that lives.
    pub id: InstanceId,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Version of the instance's own record.
    pub version: u32,
    /// Sum over the records that the instance holds, for an agent.
    pub sum: Option<u32>,
    /// Revision of the lists that the instance holds.
    pub revision: u64,
}

/// `Ack` is a monitor's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ack {
    /// What the monitor knows of the instance.
    pub record: Option<RecordSummary>,
    /// Number of the question that this answers, zero for a heartbeat.
    pub number: u32,
    /// Failure domains that the monitor doesn't hear from.
    pub lost: Vec<DomainId>,
    /// Revision of the lists that the monitor holds.
    pub revision: u64,
}

/// `Mark` is the part of a record that its owner has to know of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordSummary {
    /// Life of the process that the record describes.
    pub incarnation: Incarnation,
    /// Version of the record.
    pub version: u32,
    /// State in the record.
    pub state: State,
}

/// `Delta` carries records and beats.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Records to merge.
    pub records: Vec<Record>,
    /// Beats to merge.
    pub counters: Vec<DomainCounter>,
}

/// `Beat` is a counter that rises while anything is heard from a domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DomainCounter {
    /// The failure domain.
    pub domain: DomainId,
    /// The counter.
    pub count: u64,
}

/// `Scope` says which records a digest covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Every record.
    All,
    /// The entries, and the agents of one service.
    Service(ServiceId),
}

/// `Digest` holds sums over buckets of records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Records that are covered.
    pub scope: Scope,
    /// Number of records that the sender holds in the scope.
    pub count: u32,
    /// One sum a bucket. The number of buckets is a power of two.
    pub sums: Vec<u32>,
    /// Whether this answers a digest, and is not to be answered by another.
    pub reply: bool,
}

/// `Load` says how loaded an agent is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// The agent.
    pub id: InstanceId,
    /// Flows that the agent holds.
    pub flows: u32,
}
