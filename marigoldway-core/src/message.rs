//! Messages of the membership protocol, by which processes share their rosters.
//!
//! A roster holds one record per instance. An instance is an entry, a load balancer
//! that forwards packets, or an agent, which stands beside a target. Each instance
//! has a few entries as monitors, which detect its failure.
//!
//! The crate `marigoldway-net` encodes and decodes the messages.

use crate::ids::DomainId;
use crate::ids::Incarnation;
use crate::ids::InstanceId;
use crate::ids::ServiceId;
use crate::roster::Record;
use crate::roster::State;

/// `Message` is a message of the membership protocol between two processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Sent by an instance to its monitors to report that it is alive.
    Heartbeat(Heartbeat),
    /// A monitor's answer to a heartbeat or an inquiry.
    Ack(Ack),
    /// A monitor's request for a heartbeat from an instance that has been silent.
    Probe,
    /// Sent by a process after it was suspended, to learn its recorded state
    /// before it acts.
    Inquiry {
        /// Sender of the inquiry.
        id: InstanceId,
        /// Sequence number of the inquiry at its sender, starting at 1.
        number: u32,
    },
    /// Records and domain counters to merge.
    Delta(Delta),
    /// Checksums over the roster, to locate differences between two rosters.
    Digest(Digest),
    /// An agent's load, sent to another agent of its service.
    Load(Load),
}

/// `Heartbeat` reports that an instance is alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Sender of the heartbeat.
    pub id: InstanceId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Version of the sender's own record.
    pub version: u32,
    /// Checksum over the records that the sender holds, `None` from an entry.
    pub sum: Option<u32>,
    /// Revision of the lists of plans and allowances that the sender holds.
    pub revision: u64,
}

/// `Ack` is a monitor's answer to a heartbeat or an inquiry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ack {
    /// Summary of the instance's record, `None` if the monitor holds no record.
    pub record: Option<RecordSummary>,
    /// Sequence number of the answered inquiry, zero for a heartbeat.
    pub number: u32,
    /// Failure domains that the monitor considers lost.
    pub lost: Vec<DomainId>,
    /// Revision of the lists of plans and allowances that the monitor holds.
    pub revision: u64,
}

/// `RecordSummary` is the part of an instance's record that the instance compares
/// with its own record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordSummary {
    /// Incarnation of the process that the record describes.
    pub incarnation: Incarnation,
    /// Version of the record.
    pub version: u32,
    /// State in the record.
    pub state: State,
}

/// `Delta` carries records and domain counters.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Records to merge.
    pub records: Vec<Record>,
    /// Domain counters to merge.
    pub counters: Vec<DomainCounter>,
}

/// `DomainCounter` is the counter of a failure domain. It rises while an entry of the
/// domain runs, or while instances of the domain send messages to entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DomainCounter {
    /// The failure domain.
    pub domain: DomainId,
    /// Value of the counter.
    pub count: u64,
}

/// `Scope` selects the records that a digest covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Every record.
    All,
    /// The entries, and the agents of one service.
    Service(ServiceId),
}

/// `Digest` holds checksums over buckets of records. A hash of the instance ID
/// assigns each record to a bucket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Digest {
    /// Records covered by the digest.
    pub scope: Scope,
    /// Number of records in the scope that the sender holds.
    pub count: u32,
    /// One checksum per bucket. The number of buckets is a power of two.
    pub sums: Vec<u32>,
    /// Whether this answers a digest. The receiver doesn't answer it with a digest.
    pub reply: bool,
}

/// `Load` reports the load of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Sender of the report.
    pub id: InstanceId,
    /// Number of flows that the agent holds.
    pub flows: u32,
}
