//! Classes of requests, their outcomes, and the reasons of the outcomes.
//!
//! An agent, the process beside a target, admits requests to the target and reports
//! their outcomes to the callers. A slot is the right to run one request at the
//! target.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Class of a request, by how long it runs and whether it holds a slot of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// A stream of events that stays open for hours. It holds a connection to the target
    /// and no slot.
    Feed,
    /// A request that is answered within milliseconds.
    Short,
    /// A request that holds a slot many times longer than a short one.
    Bulk,
}

/// Outcome of a request, as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The target ran the request, and the caller receives the whole answer.
    Done,
    /// No target began to run the request.
    NotRun,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// Returns the outcome as written in the `marigoldway-outcome` header.
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

/// Reason why a request was refused before a target began to run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The agent is leaving and accepts no new requests.
    Leaving,
    /// The queue of the class is full.
    QueueFull,
    /// The request can't be answered before its deadline.
    Deadline,
    /// The target has reached its maximum number of connections.
    ConnectionLimit,
    /// The customer has reached the maximum number of connections of the plan.
    CustomerConnections,
    /// The customer has reached the request rate of the plan.
    RequestRate,
    /// The customer has reached the plan's limit on concurrent bulk requests.
    BulkLimit,
    /// The agent has not yet received the lists of the customers' plans and allowances,
    /// so it can't check permissions.
    NoLists,
    /// The token belongs to no customer.
    UnknownCustomer,
    /// The customer's plan doesn't include the service or the class.
    NotInPlan,
    /// The idempotency key is malformed, was not issued by an agent, or belongs to
    /// another service.
    KeyInvalid,
    /// The idempotency key was used before with another request.
    KeyReused,
    /// The target refused the request before it began to run it.
    TargetRefused,
    /// The target can't be reached.
    TargetDown,
    /// The body is longer than the limit.
    BodyLimit,
    /// The request does not conform to the interface.
    Malformed,
}

impl Refusal {
    /// Every reason, in the order of the counters.
    pub const ALL: [Refusal; 16] = [
        Refusal::Leaving,
        Refusal::QueueFull,
        Refusal::Deadline,
        Refusal::ConnectionLimit,
        Refusal::CustomerConnections,
        Refusal::RequestRate,
        Refusal::BulkLimit,
        Refusal::NoLists,
        Refusal::UnknownCustomer,
        Refusal::NotInPlan,
        Refusal::KeyInvalid,
        Refusal::KeyReused,
        Refusal::TargetRefused,
        Refusal::TargetDown,
        Refusal::BodyLimit,
        Refusal::Malformed,
    ];

    /// Returns the reason as written in the `marigoldway-reason` header and in the
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
            Refusal::NoLists => "no-lists",
            Refusal::UnknownCustomer => "unknown-customer",
            Refusal::NotInPlan => "not-in-plan",
            Refusal::KeyInvalid => "key-invalid",
            Refusal::KeyReused => "key-reused",
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

/// Reason why it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownReason {
    /// The connection to the target failed, the caller aborted the body, or the task
    /// that ran the request ended, before the whole answer was received.
    AnswerBroken,
    /// The answer was not received before the deadline.
    AnswerLate,
    /// The request ran, but its answer was too long to keep for later attempts.
    AnswerNotKept,
    /// The request that carried the idempotency key does not conform to the
    /// interface, so the outcome of the key was not looked up.
    KeyUnread,
    /// The idempotency key has expired; the request may have run before.
    KeyExpired,
    /// The process that issued the idempotency key has ended, or its address belongs
    /// to no known agent.
    IssuerGone,
    /// The process that issued the idempotency key did not answer in time.
    IssuerSilent,
    /// The peer, an agent of the same service, to which the request was relayed did not
    /// answer in time.
    PeerSilent,
    /// The table of idempotency keys is full, so a delayed attempt may still run.
    DuplicatesFull,
}

impl UnknownReason {
    /// Every reason, in the order of the counters.
    pub const ALL: [UnknownReason; 9] = [
        UnknownReason::AnswerBroken,
        UnknownReason::AnswerLate,
        UnknownReason::AnswerNotKept,
        UnknownReason::KeyUnread,
        UnknownReason::KeyExpired,
        UnknownReason::IssuerGone,
        UnknownReason::IssuerSilent,
        UnknownReason::PeerSilent,
        UnknownReason::DuplicatesFull,
    ];

    /// Returns the reason as written in the `marigoldway-reason` header and in the
    /// names of counters.
    pub fn as_str(self) -> &'static str {
        match self {
            UnknownReason::AnswerBroken => "answer-broken",
            UnknownReason::AnswerLate => "answer-late",
            UnknownReason::AnswerNotKept => "answer-not-kept",
            UnknownReason::KeyUnread => "key-unread",
            UnknownReason::KeyExpired => "key-expired",
            UnknownReason::IssuerGone => "issuer-gone",
            UnknownReason::IssuerSilent => "issuer-silent",
            UnknownReason::PeerSilent => "peer-silent",
            UnknownReason::DuplicatesFull => "duplicates-full",
        }
    }
}

impl fmt::Display for UnknownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
