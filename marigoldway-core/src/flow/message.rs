//! This module defines the messages about flows between entries and agents.
//!
//! An entry receives clients' packets and forwards them to agents. An agent is a
//! process beside one target. The directory agents of a flow are the two agents of
//! its service that keep which agent holds the flow.

use std::num::NonZeroU32;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::flow::capacity::Capacity;
use crate::flow::capacity::LogTime;
use crate::flow::key::FlowKey;
use crate::flow::key::NameKey;
use crate::flow::routes::Work;
use crate::ids::InstanceId;

/// `Intent` tells an agent how to handle a client's packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Intent {
    /// The packet opens a flow, and the sender selected this agent for it.
    Open,
    /// The sender expects this agent's target to hold the flow.
    Owned,
    /// The sender expects this agent to be a directory agent of the flow.
    Locate,
    /// No directory agent knows the flow, so every agent of the service must report
    /// whether its target holds it.
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
    /// For a new flow, the alternate agent to which the receiver may forward it. In a
    /// search, the agent that collects the answers.
    pub other: Option<InstanceId>,
    /// Whether a directory agent that doesn't know the flow's holder searches all agents
    /// of the service for it.
    pub search: bool,
    /// Properties of the requests that the flow carries, from its route.
    pub work: Work,
    /// How agents decide which of them accepts a new flow.
    pub placement_hint: PlacementHint,
    /// For an opening packet, the maximum number of them that a target of the service
    /// in slow start receives in any second. `None` if there is no limit. A flow that overflows
    /// keeps the limit of the service it comes from, in case it returns.
    pub ramp: Option<NonZeroU32>,
    /// Time that an opening packet has spent in queues of agents.
    pub waited: Duration,
}

/// `PlacementHint` helps agents decide which of them accepts a new flow. It
/// accompanies the opening packet from agent to agent until one accepts the flow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlacementHint {
    /// Maximum load at which an agent accepts the flow at once.
    pub threshold: LoadLevel,
    /// The least loaded agent, with its load, among those that forwarded the flow
    /// instead of accepting it. `None` if no agent has forwarded it.
    pub best: Option<(InstanceId, LoadLevel)>,
    /// Mean service time with which the entry compared the candidates, and with which the agents
    /// compare their own. All loads and the threshold of one flow rest on the same reference.
    pub reference: LogTime,
    /// The service that the flow belongs to by the weights of its route, if it overflows from there
    /// to another one. [`Header::other`] is then an agent of this service, to which an agent
    /// without room returns the packet.
    pub home: Option<NameKey>,
}

/// `LoadLevel` is the load of an agent's target relative to its slots, in
/// hundredths. A slot is capacity for one running request. The level 100 stands for
/// one request for each slot, or for an equivalent wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadLevel(pub u16);

impl LoadLevel {
    /// A level above that of any agent. As a threshold, it makes an agent accept a
    /// flow unconditionally.
    pub const MAX: LoadLevel = LoadLevel(u16::MAX);
}

impl From<f64> for LoadLevel {
    fn from(load: f64) -> LoadLevel {
        // The cast saturates. The limit keeps the level below `LoadLevel::MAX`.
        LoadLevel(((load * 100.0) as u16).min(u16::MAX - 1))
    }
}

/// `TargetState` tells whether a target accepts new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// The target accepts new flows.
    Serving,
    /// The target finishes its open flows and accepts no new flows.
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
    /// Number of requests that wait at the agent for a slot of the target.
    pub waiting: u16,
    /// Number of newly accepted flows whose first request hasn't arrived yet, and of
    /// opening packets that wait for the target's slow start.
    pub opening: u16,
    /// Number of flows that the target holds open.
    pub flows: u32,
    /// Percentage of the latest requests that failed at the target, 0 to 100.
    pub failing: u8,
    /// Remaining time of the slow start after the target's start; zero once it is
    /// over.
    pub slow_start: Duration,
    /// Estimated capacity of the target.
    pub capacity: Capacity,
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
    /// The target returned the packet because it doesn't hold the flow.
    Bounced,
    /// The failure domain of the target is drained.
    Drained,
    /// The request couldn't be served in time, so the agent reset the opening packet.
    Overloaded,
}

impl RefuseReason {
    /// All reasons, in the order in which counters list them.
    pub const ALL: [RefuseReason; 8] = [
        RefuseReason::Service,
        RefuseReason::Version,
        RefuseReason::Draining,
        RefuseReason::Absent,
        RefuseReason::Silent,
        RefuseReason::Bounced,
        RefuseReason::Drained,
        RefuseReason::Overloaded,
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
            RefuseReason::Drained => "drained",
            RefuseReason::Overloaded => "overloaded",
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
    /// The directory agents of the service don't know the flow.
    Unknown,
    /// No target of the service holds the flow, as all agents of the service reported.
    NotHeld,
    /// The agent refused the packet. The target hasn't received the packet, or has
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

/// `DirectoryUpdate` registers flows of one agent with a directory agent.
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
    /// Sequence number of the first octet that the target sent, or of a later one.
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
    /// Random number that the process draws at its start. It tells the processes at
    /// one address apart but doesn't order them. A start time couldn't order them
    /// either, since clocks may step back.
    pub incarnation: u64,
    /// Number of this record within the incarnation. The record with the highest
    /// number is valid.
    pub number: u64,
    /// Service of the target.
    pub service: NameKey,
    /// Failure domain of the agent's instance.
    pub domain: NameKey,
    /// Whether the target accepts new flows.
    pub state: TargetState,
    /// Maximum number of requests that the target runs at a time.
    pub slots: u16,
    /// Whether the agent's table contains every flow that its target holds. This is
    /// so if the agent process is as old as the target, or older than the lifetime of
    /// a flow.
    pub complete: bool,
    /// Start time of the target by its own clock, in Unix milliseconds. `None` while nothing
    /// is known of a target. A process that hasn't had a heartbeat yet takes the time over from
    /// the record of an earlier process of the agent.
    pub started_at: Option<u64>,
    /// Time since which the store has listed the agent without interruption, by the agent's clock, in
    /// Unix milliseconds. `None` if the agent was listed for as long as its target has run, as far as
    /// it knows.
    pub listed_at: Option<u64>,
    /// Time before which the target received no flow, since the store had no trace of the agent, in
    /// Unix milliseconds. `None` if it may have received flows since its start.
    pub held_at: Option<u64>,
    /// Whether the agent is known to have no target, and so holds no flow.
    pub vacant: bool,
    /// For which flows searches ask the agent.
    pub reach: Reach,
}

/// `Reach` tells for which flows searches ask an agent, by its place in the order of each flow. A
/// higher reach includes the lower ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reach {
    /// Flows in whose window the agent is: every agent is asked for these.
    #[default]
    Window,
    /// Also flows in whose wide window the agent is, since one of them was placed past the targets
    /// of its window.
    Wide,
    /// All flows of the service.
    Any,
}

impl AgentRecord {
    /// Time since which every process counts the agent when it places a flow, in Unix milliseconds.
    /// `None` while nothing is known of its target.
    pub fn counted_since(&self) -> Option<u64> {
        let started_at = self.started_at.filter(|_| !self.vacant)?;
        Some(started_at.max(self.listed_at.unwrap_or(0)))
    }

    /// Time since which the target may have received flows, in Unix milliseconds. `None` while nothing is
    /// known of the target.
    pub fn held_since(&self) -> Option<u64> {
        let started_at = self.started_at?;
        Some(started_at.max(self.held_at.unwrap_or(0)))
    }

    /// Whether this record replaces `known`. The agent itself must have sent this
    /// record just now, because incarnations have no order.
    pub fn supersedes(&self, known: &AgentRecord) -> bool {
        self.incarnation != known.incarnation || self.number > known.number
    }
}

impl Load {
    /// The load assumed for a target of which only the agent's record is known: no
    /// requests, flows or failures, no slow start, and a neutral capacity.
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
            capacity: Capacity::default(),
        }
    }
}
