//! Inputs and outputs of admission control.

use std::time::Duration;

use crate::request::Class;
use crate::request::Refusal;
use crate::time::Timestamp;

/// Identifier of a request, unique within one agent process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifier of a customer in the queues: 64 bits of a digest of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerKey(pub u64);

/// A request to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Identifier of the request, not in use by another request.
    pub id: RequestId,
    /// Class of the request. It decides whether the request holds a slot or a
    /// connection, and in which queue it waits.
    pub class: Class,
    /// Customer whose share of the queue the request uses.
    pub customer: CustomerKey,
    /// Time at which its caller stops waiting; `None` if there is no deadline.
    pub deadline: Option<Timestamp>,
}

/// Result of a request that was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The target answered.
    Answered,
    /// The target refused the request before it began to run it.
    Refused,
    /// The connection or the answer was aborted.
    Failed,
}

/// An action for the agent to perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the target.
    Start(RequestId),
    /// Reply to the caller that the request did not run.
    Refuse {
        /// Identifier of the request.
        id: RequestId,
        /// Reason of the refusal.
        reason: Refusal,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// Ask the target to stop the request.
    Cancel(RequestId),
}

/// State of the target as last observed by the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// The target answers.
    Up,
    /// The target can't be reached.
    Down,
}

/// Numbers of open slots, admitted requests and waiting requests at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of open slots.
    pub limit: usize,
    /// Number of running short requests.
    pub short: usize,
    /// Number of running bulk requests.
    pub bulk: usize,
    /// Number of open feeds.
    pub feeds: usize,
    /// Number of waiting requests.
    pub waiting: usize,
}

impl Load {
    /// Returns whether every open slot is in use.
    pub fn is_saturated(&self) -> bool {
        self.short + self.bulk >= self.limit
    }
}
