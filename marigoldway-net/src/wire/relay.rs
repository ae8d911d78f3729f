//! Messages by which an agent passes requests to another of its service.
//!
//! An agent asks for a request to be run and gets one answer. Neither is sent
//! twice, so an answer that does not come leaves the outcome unknown. A
//! customer's token never travels; the agent that took it says what it allows.

use serde::Deserialize;
use serde::Serialize;

use marigoldway_core::request::Class;
use marigoldway_core::request::Doubt;
use marigoldway_core::request::Refusal;

use crate::wire::octets::Octets;

/// `RelayWire` is a message about a relayed request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayWire {
    /// Run a request.
    #[serde(rename = "q")]
    Ask(Box<RequestWire>),
    /// What became of it.
    #[serde(rename = "a")]
    Answer(Box<AnswerWire>),
}

/// `RequestWire` is a whole request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestWire {
    /// Number of the request, given by the process that asks.
    pub number: u64,
    /// Service that the request belongs to.
    pub service: u16,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers that pass through to the target.
    pub headers: Vec<(String, Octets)>,
    /// The whole body.
    pub body: Octets,
    /// Time that the caller still waits, in milliseconds.
    pub left: Option<u64>,
    /// Idempotency key, as text.
    pub key: Option<String>,
    /// Digest of all that makes two requests the same.
    pub digest: [u8; 32],
    /// What the lists say of the request, as the process that asks knows them.
    pub access: std::result::Result<GrantWire, Refusal>,
}

/// `GrantWire` is what a request may do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantWire {
    /// Name of the customer.
    pub name: String,
    /// The customer in the queues.
    pub customer: u64,
    /// How the request is queued.
    pub class: Class,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

/// `AnswerWire` answers an [`RequestWire`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerWire {
    /// Number of the request.
    pub number: u64,
    /// What became of it.
    pub ending: EndingWire,
    /// Free slots of the process that answers.
    pub free: u32,
    /// Requests that wait there.
    pub waiting: u32,
}

/// `EndingWire` is what became of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EndingWire {
    /// The target ran it, and this is the whole answer.
    #[serde(rename = "d")]
    Done {
        /// HTTP status.
        status: u16,
        /// Headers that pass through to the caller.
        headers: Vec<(String, Octets)>,
        /// The whole body.
        body: Octets,
    },
    /// It did not run.
    #[serde(rename = "n")]
    NotRun(Refusal),
    /// It may have run.
    #[serde(rename = "u")]
    Unknown(Doubt),
}
