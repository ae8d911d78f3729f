//! Messages about flows between entries and agents.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::flow::key::FlowKey;
use crate::flow::key::NameKey;
use crate::flow::routes::Work;
use crate::ids::InstanceId;

/// `Intent` tells an agent how to handle a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Intent {
    /// The packet opens a flow, and the sender selected this agent for it.
    Open,
    /// The sender expects this agent to hold the flow.
    Owned,
    /// The sender expects this agent to be a directory agent of the flow.
    Locate,
    /// No directory agent knows the flow; every agent of the service is queried.
    Search,
}

/// `Header` precedes a client's packet when a process of the system forwards it
/// to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// How the receiver is to handle the packet.
    pub intent: Intent,
    /// Number of agents that have forwarded the packet.
    pub hops: u8,
    /// Service that the flow belongs to.
    pub service: NameKey,
    /// Version of the configuration that routed the packet.
    pub version: u64,
    /// Entry that received the packet from the client.
    pub entry: InstanceId,
    /// For a new flow, the alternate agent that may accept it; in a search, the
    /// agent that collects the answers.
    pub other: Option<InstanceId>,
    /// Whether the route has only this service, so that the flow can't belong to
    /// another one.
    pub single_service: bool,
    /// Requests that the flow carries, as the route describes them.
    pub work: Work,
    /// How agents decide which of them accepts a new flow.
    pub placement_hint: PlacementHint,
}

/// `PlacementHint` is forwarded with a new flow from agent to agent until one of
/// them accepts it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementHint {
    /// Maximum load at which an agent accepts the flow at once.
    pub threshold: LoadLevel,
    /// The least loaded agent so far that forwarded the flow instead of accepting
    /// it, with its load.
    pub best: Option<(InstanceId, LoadLevel)>,
}

/// `LoadLevel` is the load of an agent relative to its slots, in hundredths: 100
/// is one request, or an equivalent wait, for each slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadLevel(pub u16);

impl LoadLevel {
    /// Higher than any load: as a threshold it makes the agent accept the flow
    /// unconditionally.
    pub const MAX: LoadLevel = LoadLevel(u16::MAX);
}

impl From<f64> for LoadLevel {
    fn from(load: f64) -> LoadLevel {
        // The cast saturates.
        LoadLevel(((load * 100.0) as u16).min(u16::MAX - 1))
    }
}

/// `TargetState` tells whether a target accepts new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// The target accepts new flows.
    Serving,
    /// The target finishes its open flows and accepts no new ones.
    Draining,
    /// No live target is known.
    Absent,
}

/// `Load` is the state and load of an agent's target at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Whether the target accepts new flows.
    pub state: TargetState,
    /// Maximum number of requests that the target runs at a time.
    pub slots: u16,
    /// Number of requests that the target is running.
    pub running: u16,
    /// Number of requests that wait at the agent.
    pub waiting: u16,
    /// Number of newly accepted flows whose first request hasn't arrived yet.
    pub opening: u16,
    /// Number of open flows.
    pub flows: u32,
    /// Percentage of the latest requests that failed at the target.
    pub failing: u8,
    /// Remaining time of the slow start after the target's start.
    pub slow_start: Duration,
}

/// `RefuseReason` tells why an agent refused a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefuseReason {
    /// The agent's target belongs to another service.
    Service,
    /// The packet was routed by a configuration older than one that is in force
    /// at the agent.
    Version,
    /// The target is draining.
    Draining,
    /// The agent knows no live target.
    Absent,
    /// The target doesn't answer opening packets.
    Silent,
    /// The target returned the packet.
    Bounced,
}

impl RefuseReason {
    /// All reasons, in the order of the counters.
    pub const ALL: [RefuseReason; 6] = [
        RefuseReason::Service,
        RefuseReason::Version,
        RefuseReason::Draining,
        RefuseReason::Absent,
        RefuseReason::Silent,
        RefuseReason::Bounced,
    ];

    /// The name of the reason in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            RefuseReason::Service => "service",
            RefuseReason::Version => "version",
            RefuseReason::Draining => "draining",
            RefuseReason::Absent => "absent",
            RefuseReason::Silent => "silent",
            RefuseReason::Bounced => "bounced",
        }
    }
}

/// `Verdict` is an agent's decision on a packet of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The agent's target holds the flow.
    Holds,
    /// The agent forwarded the opening packet to a less loaded agent.
    PassedOn,
    /// The agent refused the packet. The target hasn't received it or has
    /// returned it.
    Refused(RefuseReason),
}

/// `FlowReport` is an agent's answer to an entry about a flow, with its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowReport {
    /// The flow.
    pub flow: FlowKey,
    /// The agent's decision.
    pub verdict: Verdict,
    /// State and load of the agent's target.
    pub load: Load,
    /// Highest version of the configuration that the agent has seen.
    pub version: u64,
}

/// `DirectoryUpdate` tells a directory agent which agent holds flows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryUpdate {
    /// Service that the flows belong to.
    pub service: NameKey,
    /// Agent whose target holds the flows.
    pub owner: InstanceId,
    /// The flows to register.
    pub flows: Vec<DirectoryEntry>,
}

/// `DirectoryEntry` is one flow of a [`DirectoryUpdate`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// The flow.
    pub flow: FlowKey,
    /// Sequence number of the first octet that the target sent.
    pub origin: u32,
}

/// `Hello` is the message by which an agent announces itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hello {
    /// The agent's record.
    pub record: AgentRecord,
    /// State and load of its target.
    pub load: Load,
    /// Highest version of the configuration that the agent has seen.
    pub version: u64,
}

/// `AgentRecord` identifies an agent and describes its target. The platform's
/// store keeps it, and agents send it in [`Hello`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentRecord {
    /// Address at which the agent receives packets from processes of the system.
    pub id: InstanceId,
    /// Random number that the process draws at its start. It tells processes
    /// apart but doesn't order them, since clocks may step back.
    pub incarnation: u64,
    /// Number of this record within the incarnation; the highest one is valid.
    pub number: u64,
    /// Service of the target.
    pub service: NameKey,
    /// Failure domain of the agent's instance.
    pub domain: NameKey,
    /// Whether the target accepts new flows.
    pub state: TargetState,
    /// Maximum number of requests that the target runs at a time.
    pub slots: u16,
    /// Whether the agent's table contains every flow that its target holds: the
    /// process is as old as the target, or older than the lifetime of a flow.
    pub complete: bool,
}

impl AgentRecord {
    /// Whether this record replaces `known`. The agent itself must have sent this
    /// record just now, because incarnations have no order.
    pub fn supersedes(&self, known: &AgentRecord) -> bool {
        self.incarnation != known.incarnation || self.number > known.number
    }
}

impl Load {
    /// The load of a target of which only the record is known: no requests and no
    /// flows.
    pub fn idle(state: TargetState, slots: u16) -> Load {
        Load {
            state,
            slots,
            running: 0,
            waiting: 0,
            opening: 0,
            flows: 0,
            failing: 0,
            slow_start: Duration::ZERO,
        }
    }
}
