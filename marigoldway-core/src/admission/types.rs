//! What goes into admission and what comes out.

use std::time::Duration;

use crate::request::Class;
use crate::request::Refusal;
use crate::time::Timestamp;

/// `RequestId` names a request within one agent process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// `CustomerKey` names a customer in the queues. The agent chooses the number,
/// one for each customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerKey(pub u64);

/// `Arrival` is a request that asks to be run.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Name of the request, not in use by another.
    pub id: RequestId,
    /// How long it holds a slot.
    pub class: Class,
    /// Whose turn it takes in the queue.
    pub customer: CustomerKey,
    /// When its caller stops waiting.
    pub deadline: Option<Timestamp>,
}

/// `Completion` says how a request that was started came to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The target answered.
    Answered,
    /// The target refused the request before it began to run it.
    Refused,
    /// The connection broke, or the answer did.
    Failed,
}

/// `Action` is what the agent has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the target.
    Start(RequestId),
    /// Answer that the request did not run.
    Refuse {
        /// Name of the request.
        id: RequestId,
        /// Why it was refused.
        reason: Refusal,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// Ask the target to stop the work.
    Cancel(RequestId),
}

/// `TargetState` says what the agent saw of its target last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// The target answers.
    Up,
    /// The target can't be reached.
    Down,
}

/// `Load` is what admission holds at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Slots open now.
    pub limit: usize,
    /// Short requests that run.
    pub short: usize,
    /// Bulk requests that run.
    pub bulk: usize,
    /// Feeds that are open.
    pub feeds: usize,
    /// Requests that wait.
    pub waiting: usize,
}

impl Load {
    /// Tells whether every open slot is taken.
    pub fn is_saturated(&self) -> bool {
        self.short + self.bulk >= self.limit
    }
}
