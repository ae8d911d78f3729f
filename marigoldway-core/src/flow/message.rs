//! What entries and agents tell each other about flows.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::flow::key::FlowKey;
use crate::flow::key::NameKey;
use crate::flow::routes::Work;
use crate::ids::InstanceId;

/// `Intent` says what an agent is to do with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Intent {
    /// The packet opens a flow that was placed here.
    Open,
    /// The sender takes this agent for the one that holds the flow.
    Owned,
    /// The sender takes this agent for a home of the flow.
    Locate,
    /// No home knows the flow; every agent of the service is asked.
    Search,
}

/// `Header` goes before a client's packet between processes of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// What the receiver is to do.
    pub intent: Intent,
    /// Agents that the packet has passed.
    pub hops: u8,
    /// The service that the flow belongs to.
    pub service: NameKey,
    /// Version of the configuration that routed the packet.
    pub version: u64,
    /// The entry that took the packet from the client.
    pub entry: InstanceId,
    /// Another agent that may take a new flow; in a search the agent that
    /// collects the answers.
    pub other: Option<InstanceId>,
    /// Whether the flow can belong to no other service.
    pub single_service: bool,
    /// The requests inside, as the route describes them.
    pub work: Work,
    /// How a new flow finds its agent.
    pub placement_hint: PlacementHint,
}

/// `PlacementHint` goes with a new flow from agent to agent, until one takes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementHint {
    /// Highest load at which an agent takes the flow at once.
    pub threshold: LoadLevel,
    /// The least loaded agent that passed the flow on.
    pub best: Option<(InstanceId, LoadLevel)>,
}

/// `LoadLevel` is the load of an agent in hundredths of a busy slot for each
/// slot, or what takes as long to wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadLevel(pub u16);

impl LoadLevel {
    /// Above any load: the flow is taken in any case.
    pub const MAX: LoadLevel = LoadLevel(u16::MAX);
}

impl From<f64> for LoadLevel {
    fn from(load: f64) -> LoadLevel {
        // The cast saturates.
        LoadLevel(((load * 100.0) as u16).min(u16::MAX - 1))
    }
}

/// `TargetState` says whether a target takes new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// It does.
    Serving,
    /// It finishes what is open.
    Draining,
    /// Nothing is known of a living target.
    Absent,
}

/// `Load` is what an agent knows of its target at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Whether the target takes new flows.
    pub state: TargetState,
    /// Requests that the target runs at a time.
    pub slots: u16,
    /// Requests inside the target.
    pub running: u16,
    /// Requests that wait at the agent.
    pub waiting: u16,
    /// Flows just taken, whose first request is on its way.
    pub opening: u16,
    /// Open flows.
    pub flows: u32,
    /// Part of the latest requests that the target failed, in hundredths.
    pub failing: u8,
    /// Time for which the target is still slow after its start.
    pub slow_start: Duration,
}

/// `RefuseReason` says why an agent didn't take a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefuseReason {
    /// The agent's target belongs to another service.
    Service,
    /// The packet was routed by an older configuration than one in force here.
    Version,
    /// The target is draining.
    Draining,
    /// No living target is known.
    Absent,
    /// The target leaves opening packets unanswered.
    Silent,
    /// The target gave the packet back.
    Bounced,
}

impl RefuseReason {
    /// Every reason, in the order of the counters.
    pub const ALL: [RefuseReason; 6] = [
        RefuseReason::Service,
        RefuseReason::Version,
        RefuseReason::Draining,
        RefuseReason::Absent,
        RefuseReason::Silent,
        RefuseReason::Bounced,
    ];

    /// The reason as it stands in logs and counters.
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

/// `Verdict` is what became of a flow at an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The agent's target holds the flow.
    Holds,
    /// The agent passed the opening packet on to a less loaded one.
    PassedOn,
    /// The agent didn't take the packet, and the target hasn't seen it or gave
    /// it back.
    Refused(RefuseReason),
}

/// `FlowReport` tells an entry what became of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowReport {
    /// The flow.
    pub flow: FlowKey,
    /// What became of it.
    pub verdict: Verdict,
    /// What the agent knows of its target.
    pub load: Load,
    /// Highest version of the configuration that the agent has seen.
    pub version: u64,
}

/// `DirectoryUpdate` tells a home who holds flows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryUpdate {
    /// The service that the flows belong to.
    pub service: NameKey,
    /// The agent whose target holds the flows.
    pub owner: InstanceId,
    /// The flows.
    pub flows: Vec<DirectoryEntry>,
}

/// `DirectoryEntry` is one flow of a [`DirectoryUpdate`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DirectoryEntry {
    /// The flow.
    pub flow: FlowKey,
    /// Number of the first octet that the target sent.
    pub origin: u32,
}

/// `Hello` is an agent's word on itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hello {
    /// The agent's record.
    pub record: AgentRecord,
    /// What it knows of its target.
    pub load: Load,
    /// Highest version of the configuration that the agent has seen.
    pub version: u64,
}

/// `AgentRecord` says who an agent is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentRecord {
    /// The address at which it takes packets from processes of the system.
    pub id: InstanceId,
    /// A random number that the process drew at its start. It says that the
    /// process is another one, not which came first: clocks may step back.
    pub incarnation: u64,
    /// Number of this record within the incarnation; the higher one holds.
    pub number: u64,
    /// The service of its target.
    pub service: NameKey,
    /// Failure domain of its instance.
    pub domain: NameKey,
    /// Whether its target takes new flows.
    pub state: TargetState,
    /// Requests that its target runs at a time.
    pub slots: u16,
    /// Whether its table names every flow that its target holds: the process
    /// is as old as the target, or older than flows may be.
    pub complete: bool,
}

impl AgentRecord {
    /// Whether this record, just heard from the agent itself, replaces `held`.
    pub fn supersedes(&self, held: &AgentRecord) -> bool {
        self.incarnation != held.incarnation || self.number > held.number
    }
}

impl Load {
    /// The load of a target of which nothing but its record is known.
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
