//! Defines the actions that an agent decides on.

use std::time::Duration;

use crate::flow::agent::local::Phase;
use crate::flow::agent::slot_queue::QueueDecision;
use crate::flow::agent::slot_queue::ReleasedRequest;
use crate::flow::key::FlowKey;
use crate::flow::message::DirectoryUpdate;
use crate::flow::message::FlowReport;
use crate::flow::message::Header;
use crate::flow::message::RefuseReason;
use crate::flow::segment::Reset;
use crate::ids::InstanceId;

/// `AgentAction` is one action for the caller to carry out, log or count.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// The current packet starts a request. The decision states whether it was admitted or queued.
    Request(QueueDecision),
    /// The target answered the request of a flow, this long after its admission.
    Answered(FlowKey, Duration),
    /// Send the current packet to the target.
    ToTarget,
    /// The current packet stays in the queue until the target has room.
    Queue,
    /// Send the packets of a queued request to the target.
    Release(ReleasedRequest),
    /// The current opening packet exceeds the limit of the target's slow start, and is sent to
    /// another agent.
    OpeningPassedOn,
    /// The opening packet of the flow exceeds the limit of the target's slow start, and is queued
    /// for about this long.
    OpeningQueued(FlowKey, Duration),
    /// Send a queued opening packet to the target.
    ReleaseOpening(ReleasedOpening),
    /// Send a queued opening packet to another agent, with this header.
    MoveOpening(InstanceId, Header, FlowKey, Vec<u8>),
    /// A copy of an opening packet was dropped: the target has received another copy, and this one
    /// would exceed the limit of its slow start for too long.
    OpeningDropped(FlowKey),
    /// The target hasn't answered a request of the flow for so long that the request is assumed
    /// lost.
    Unanswered(FlowKey),
    /// The target reset a flow. The phase is the flow's last one, or `None` if the agent didn't
    /// know the flow.
    TargetReset(FlowKey, Option<Phase>),
    /// A queued request was removed because its client no longer waits.
    TimedOut(FlowKey),
    /// A queued request was removed because its client closed the flow, or replaced it by a new one.
    ClientGone(FlowKey),
    /// Send the current packet to its client.
    ToClient,
    /// Send the current packet to other agents, with this header.
    ToAgents(Vec<InstanceId>, Header),
    /// Report the state of a flow to an entry.
    ToEntry(InstanceId, FlowReport),
    /// Tell another agent which flows this one holds. The other agent is a directory agent, which
    /// stores the holders of flows, or one that queried these flows.
    ToDirectory(InstanceId, DirectoryUpdate),
    /// Ask another agent which of these flows its target holds, on behalf of an entry.
    Query(InstanceId, InstanceId, Vec<FlowKey>),
    /// Log that these agents haven't replied to a search for a flow, and are asked again.
    SearchWaits(FlowKey, Vec<InstanceId>),
    /// Tell a searching agent that the target doesn't hold these flows.
    ToSearcher(InstanceId, Vec<FlowKey>),
    /// Announce this agent to other agents.
    SendHello(Vec<InstanceId>),
    /// Send a reset of a flow to its client.
    Reset(Reset, ResetReason),
    /// Drop the current packet.
    Drop(DropReason),
}

/// `ReleasedOpening` is a queued opening packet that is sent to the target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleasedOpening {
    /// Flow that the packet opens.
    pub flow: FlowKey,
    /// Time that the packet spent in the queue.
    pub waited: Duration,
    /// The whole packet.
    pub packet: Vec<u8>,
}

/// `ResetReason` states why an agent resets a flow: how it knows that the flow no longer exists,
/// or why it rejects a flow that isn't open yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResetReason {
    /// A heartbeat of a later incarnation of the target arrived.
    TargetRestarted,
    /// The target returned a packet of a flow that it had answered.
    TargetForgot,
    /// The opening packet would have to wait for the target's slow start for longer than its client
    /// waits.
    SlowStart,
    /// The queued opening packet may no longer be sent to the target, and there is no other agent.
    Refused(RefuseReason),
    /// The flow isn't open yet, and its request couldn't be served before the client times out.
    Overloaded,
}

impl ResetReason {
    /// Value of the reason in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            ResetReason::TargetRestarted => "target-restarted",
            ResetReason::TargetForgot => "target-forgot",
            ResetReason::SlowStart => "slow-start",
            ResetReason::Refused(reason) => reason.as_str(),
            ResetReason::Overloaded => "overloaded",
        }
    }
}

/// `DropReason` states why an agent drops a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// The agent refused the packet and reported the reason to the entry.
    Refused(RefuseReason),
    /// The packet has passed the maximum number of agents.
    Hops,
    /// No agent is known to hold the flow, or this agent's target doesn't hold it.
    Unknown,
    /// The flow is closed.
    Closed,
    /// A copy of the packet is already queued.
    Held,
    /// A search for the flow is in progress.
    Searched,
    /// The packet repeats a request that was removed since its client has gone.
    Abandoned,
}

impl DropReason {
    /// Value of the reason in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            DropReason::Refused(reason) => reason.as_str(),
            DropReason::Hops => "hops",
            DropReason::Unknown => "unknown",
            DropReason::Closed => "closed",
            DropReason::Held => "held",
            DropReason::Searched => "searched",
            DropReason::Abandoned => "abandoned",
        }
    }
}
