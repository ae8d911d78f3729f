//! What a request is, and what may become of it.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// `Class` sorts requests by how long they hold a slot of their target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// A stream of events that stays open for hours.
    Feed,
    /// A request that is answered within milliseconds.
    Short,
    /// A request that holds a slot many times longer than a short one.
    Bulk,
}

/// `Outcome` tells a caller what became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The target ran the request and the whole answer follows.
    Done,
    /// No target began to run the request.
    NotRun,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// The outcome as it stands in the `marigoldway-outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Done => "done",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// `Refusal` says why a request was refused before a target began to run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The agent is leaving and takes no new work.
    Leaving,
    /// The queue of the class is full.
    QueueFull,
    /// The deadline can't be met.
    Deadline,
    /// The target has no connection left.
    ConnectionLimit,
    /// The customer's plan has no connection left.
    CustomerConnections,
    /// The customer's request rate is used up.
    RequestRate,
    /// The customer runs as much bulk work as the plan allows.
    BulkLimit,
    /// The token belongs to no customer.
    UnknownCustomer,
    /// The customer's plan doesn't include the service or the class.
    NotInPlan,
    /// The idempotency key is malformed or was not issued by an agent.
    KeyInvalid,
    /// The idempotency key has expired.
    KeyExpired,
    /// The idempotency key was used before with another request.
    KeyReused,
    /// The request must carry an idempotency key and has none.
    KeyMissing,
    /// The duplicate table is full.
    DuplicatesFull,
    /// The target refused the request before it began to run it.
    TargetRefused,
    /// The target can't be reached.
    TargetDown,
    /// The body is longer than the limit.
    BodyLimit,
    /// The request breaks the interface.
    Malformed,
}

impl Refusal {
    /// Every reason, in the order of the counters.
    pub const ALL: [Refusal; 18] = [
        Refusal::Leaving,
        Refusal::QueueFull,
        Refusal::Deadline,
        Refusal::ConnectionLimit,
        Refusal::CustomerConnections,
        Refusal::RequestRate,
        Refusal::BulkLimit,
        Refusal::UnknownCustomer,
        Refusal::NotInPlan,
        Refusal::KeyInvalid,
        Refusal::KeyExpired,
        Refusal::KeyReused,
        Refusal::KeyMissing,
        Refusal::DuplicatesFull,
        Refusal::TargetRefused,
        Refusal::TargetDown,
        Refusal::BodyLimit,
        Refusal::Malformed,
    ];

    /// The reason as it stands in the `marigoldway-reason` header and in the
    /// names of counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::Leaving => "leaving",
            Refusal::QueueFull => "queue-full",
            Refusal::Deadline => "deadline",
            Refusal::ConnectionLimit => "connection-limit",
            Refusal::CustomerConnections => "customer-connections",
            Refusal::RequestRate => "request-rate",
            Refusal::BulkLimit => "bulk-limit",
            Refusal::UnknownCustomer => "unknown-customer",
            Refusal::NotInPlan => "not-in-plan",
            Refusal::KeyInvalid => "key-invalid",
            Refusal::KeyExpired => "key-expired",
            Refusal::KeyReused => "key-reused",
            Refusal::KeyMissing => "key-missing",
            Refusal::DuplicatesFull => "duplicates-full",
            Refusal::TargetRefused => "target-refused",
            Refusal::TargetDown => "target-down",
            Refusal::BodyLimit => "body-limit",
            Refusal::Malformed => "malformed",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
