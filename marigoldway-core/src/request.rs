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
    /// The agent holds no lists yet, so it can't tell who may do what.
    NoLists,
    /// The token belongs to no customer.
    UnknownCustomer,
    /// The customer's plan doesn't include the service or the class.
    NotInPlan,
    /// The idempotency key is malformed or was not issued by an agent.
    KeyInvalid,
    /// The idempotency key was used before with another request.
    KeyReused,
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

/// `UnknownReason` says why it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownReason {
    /// The connection to the target broke before the whole answer came.
    AnswerBroken,
    /// The answer did not come before the deadline.
    AnswerLate,
    /// The request ran, but its answer was too long to be kept for a repeat.
    AnswerNotKept,
    /// The request that carried the idempotency key breaks the interface, so
    /// what became of the key was not looked up.
    KeyUnread,
    /// The idempotency key has expired; the request may have run before.
    KeyExpired,
    /// The process that issued the idempotency key is gone.
    IssuerGone,
    /// The process that issued the idempotency key did not answer.
    IssuerSilent,
    /// The peer that the request was relayed to did not answer.
    PeerSilent,
    /// The duplicate table is full, so a delayed attempt may still run.
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

    /// The reason as it stands in the `marigoldway-reason` header and in the
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
