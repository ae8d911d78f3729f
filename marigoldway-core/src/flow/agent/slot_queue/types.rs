//! Options of the slot queue, and what it receives and returns.

use std::time::Duration;

use crate::flow::key::FlowKey;
use crate::flow::overload::order::Rank;
use crate::flow::routes::Work;
use crate::time::Timestamp;

/// `SlotQueueOptions` sets how many requests are admitted, and which of them count as in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotQueueOptions {
    /// Number of requests admitted beyond the target's slots. When a slot becomes free, the next
    /// request is then already at the target. The agent could send it only some milliseconds
    /// later, when it gets its turn on the core.
    pub overcommit: usize,
    /// Time that must be left of a request's objective, beside the travel time, for it to count as
    /// in time, as a multiple of the mean request time. Few requests take longer than that.
    pub reserve_factor: f64,
}

impl Default for SlotQueueOptions {
    fn default() -> SlotQueueOptions {
        SlotQueueOptions {
            overcommit: 2,
            reserve_factor: 1.5,
        }
    }
}

/// `QueueDecision` is the decision on a packet that carries data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueDecision {
    /// The packet is admitted: it goes to the target.
    Admitted,
    /// The packet is queued.
    Queued,
}

/// `Arrival` describes a client's packet with new data.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// Flow of the packet.
    pub flow: FlowKey,
    /// The whole packet, which is copied if it is queued.
    pub packet: &'a [u8],
    /// Class, priority, objective and timeout that the route sets for the request.
    pub work: Work,
    /// When the client began to wait for the answer.
    pub waiting_since: Timestamp,
    /// Whether the packet carries the first data of the flow that the agent sees.
    pub first: bool,
    /// Whether the flow belongs to another service, and runs only in slots that the requests of the
    /// own service leave free.
    pub guest: bool,
    /// Whether the data may belong to a request that was already answered.
    pub maybe_answered: bool,
}

/// `ReleasedRequest` is a queued request that has been admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleasedRequest {
    /// Flow of the request.
    pub flow: FlowKey,
    /// Time that the request spent in the queue.
    pub waited: Duration,
    /// Packets of the request, in order of arrival.
    pub packets: Vec<Vec<u8>>,
}

/// `ExpiredRequests` lists the requests that [`SlotQueue::expire`](super::SlotQueue::expire) removed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExpiredRequests {
    /// Flows with an admitted request that the target didn't answer in time. Requests that may have
    /// been answered before this process saw their flow are left out.
    pub unanswered: Vec<FlowKey>,
    /// Flows whose queued request has timed out at the client.
    pub timed_out: Vec<FlowKey>,
}

impl Arrival<'_> {
    /// Rank of the request in queue order.
    pub(super) fn rank(&self) -> Rank {
        Rank {
            guest: self.guest,
            priority: self.work.priority,
        }
    }
}
