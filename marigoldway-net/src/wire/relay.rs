//! Wire format of the messages by which an agent relays requests to another agent of its
//! service.
//!
//! An agent is a process beside one target. It relays a request if its target has no free
//! slot, which is capacity for one running request. The other agent sends one answer.
//!
//! Neither the request nor the answer is sent twice, so the outcome is unknown if no answer
//! arrives. The customer's token is never relayed. Instead, the agent that received the token
//! relays what the token permits.

use serde::Deserialize;
use serde::Serialize;

use marigoldway_core::request::Class;
use marigoldway_core::request::Refusal;
use marigoldway_core::request::UnknownReason;

use crate::wire::octets::Octets;

/// `RelayWire` is a message between agents about a relayed request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayWire {
    /// A request that the receiver is asked to run.
    #[serde(rename = "q")]
    Ask(Box<RequestWire>),
    /// The answer with the outcome of the request.
    #[serde(rename = "a")]
    Answer(Box<AnswerWire>),
}

/// `RequestWire` is a relayed request with its whole body.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestWire {
    /// Number of the request, assigned by the agent that relays it.
    pub number: u64,
    /// Service that the request is for.
    pub service: u16,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers that are forwarded to the target.
    pub headers: Vec<(String, Octets)>,
    /// The whole body.
    pub body: Octets,
    /// Time until the caller's deadline, in milliseconds; `None` without a deadline.
    pub left: Option<u64>,
    /// Idempotency key, if the caller sent one.
    pub key: Option<String>,
    /// Digest of those parts of the request by which it is compared with another one for
    /// equality.
    pub digest: [u8; 32],
    /// What the request may use according to the lists of the agent that relays it, or why
    /// that agent's lists refuse it.
    pub access: std::result::Result<GrantWire, Refusal>,
}

/// `GrantWire` is what the lists of plans and allowances grant to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantWire {
    /// Name of the customer.
    pub name: String,
    /// Key of the customer in the queues.
    pub customer: u64,
    /// Class by which the request is queued.
    pub class: Class,
    /// Whether the lists permit the request to run more than once.
    pub repeatable: bool,
}

/// `AnswerWire` is the answer to a [`RequestWire`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerWire {
    /// Number of the answered request.
    pub number: u64,
    /// Outcome of the request.
    pub ending: EndingWire,
    /// Number of free slots of the agent that answers.
    pub free: u32,
    /// Number of requests waiting at the agent that answers.
    pub waiting: u32,
}

/// `EndingWire` is the outcome of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EndingWire {
    /// The target ran the request and returned this response.
    #[serde(rename = "d")]
    Done {
        /// HTTP status.
        status: u16,
        /// Headers that are forwarded to the caller.
        headers: Vec<(String, Octets)>,
        /// The whole body.
        body: Octets,
    },
    /// The request did not run, for this reason.
    #[serde(rename = "n")]
    NotRun(Refusal),
    /// The request may have run. The reason tells why its outcome is unknown.
    #[serde(rename = "u")]
    Unknown(UnknownReason),
}
