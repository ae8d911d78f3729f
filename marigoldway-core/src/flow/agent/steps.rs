//! What an agent's decisions come to.

use std::time::Duration;

use crate::flow::agent::gate::Entrance;
use crate::flow::agent::gate::Released;
use crate::flow::agent::local::Phase;
use crate::flow::key::FlowKey;
use crate::flow::message::DirectoryUpdate;
use crate::flow::message::FlowReport;
use crate::flow::message::Header;
use crate::flow::message::RefuseReason;
use crate::flow::segment::Reset;
use crate::ids::InstanceId;

/// `AgentStep` is one thing to do.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentStep {
    /// A request begins with the packet at hand.
    Request(Entrance),
    /// The target answers the request of a flow, this long after it was let in.
    Answered(FlowKey, Duration),
    /// The packet at hand goes to the target.
    ToTarget,
    /// The packet at hand is held until the target has room.
    Hold,
    /// Packets of a held request go to the target.
    Release(Released),
    /// The target hasn't answered a request of a flow for so long that it is
    /// taken to be lost.
    Unanswered(FlowKey),
    /// The target breaks off a flow of which so much was known.
    TargetReset(FlowKey, Option<Phase>),
    /// Nobody waits for a held request any more.
    GiveUp(FlowKey),
    /// The packet at hand goes to its client.
    ToClient,
    /// The packet at hand goes to other agents.
    ToAgents(Vec<InstanceId>, Header),
    /// An entry is told what became of a flow.
    ToEntry(InstanceId, FlowReport),
    /// A home is told who holds flows.
    ToHome(InstanceId, DirectoryUpdate),
    /// Agents are asked which of these flows their targets hold.
    Inquire(Vec<InstanceId>, Vec<FlowKey>),
    /// An agent that searches flows is told that the target lacks these.
    ToSearcher(InstanceId, Vec<FlowKey>),
    /// Other agents are told of this one.
    Greet(Vec<InstanceId>),
    /// A client is told that its flow is broken off.
    Reset(Reset, ResetReason),
    /// The packet at hand is let fall.
    Drop(DropReason),
}

/// `ResetReason` says how an agent knows that a flow is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResetReason {
    /// A target of a later incarnation speaks.
    TargetRestarted,
    /// The target gave back a packet of a flow that it had answered.
    TargetForgot,
    /// Every agent of the service says that its target lacks the flow.
    NobodyHolds,
}

impl ResetReason {
    /// The reason as it stands in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            ResetReason::TargetRestarted => "target-restarted",
            ResetReason::TargetForgot => "target-forgot",
            ResetReason::NobodyHolds => "nobody-holds",
        }
    }
}

/// `DropReason` says why an agent lets a packet fall.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// The entry was told why the packet isn't taken.
    Refused(RefuseReason),
    /// The packet has passed too many agents.
    Hops,
    /// Nobody is known to hold the flow.
    Unknown,
    /// The flow is closed.
    Closed,
    /// A copy of the packet is held already.
    Held,
    /// The flow is being searched.
    Searched,
}

impl DropReason {
    /// The reason as it stands in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            DropReason::Refused(reason) => reason.as_str(),
            DropReason::Hops => "hops",
            DropReason::Unknown => "unknown",
            DropReason::Closed => "closed",
            DropReason::Held => "held",
            DropReason::Searched => "searched",
        }
    }
}
