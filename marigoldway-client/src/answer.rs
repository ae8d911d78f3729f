//! Answer to a request: response, outcome and reason for a failure.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http::header::RETRY_AFTER;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::request::Outcome;
use marigoldway_core::request::Refusal;
use marigoldway_core::request::UnknownReason;

/// Reason why a request did not complete, in `Answer::reason`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The service refused the request.
    Refused(Refusal),
    /// The service does not know whether the request ran.
    Unknown(UnknownReason),
    /// No server could be reached, so nothing was sent.
    NoConnection,
    /// The server stopped accepting requests on the connection before it accepted this one.
    Rejected,
    /// The connection or the answer was aborted, or the length of the answer's body
    /// differs from its `content-length`.
    Broken,
    /// The deadline expired before the answer was complete.
    Timeout,
    /// The body of the answer exceeds `ClientOptions::body_limit`.
    TooLong,
}

impl Reason {
    /// Returns the reason as written in logs and in the keys of `ClientStats`.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Refused(refusal) => refusal.as_str(),
            Reason::Unknown(reason) => reason.as_str(),
            Reason::NoConnection => "no-connection",
            Reason::Rejected => "rejected",
            Reason::Broken => "broken",
            Reason::Timeout => "timeout",
            Reason::TooLong => "too-long",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Complete answer to a request, or the outcome of a request without one.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status, or `None` if no complete answer arrived.
    pub status: Option<StatusCode>,
    /// Headers, empty if no complete answer arrived.
    pub headers: HeaderMap,
    /// Complete body, empty if no complete answer arrived.
    pub body: Bytes,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Agent (load balancer process) beside the target that answered, from the
    /// `marigoldway-target` header. `None` if the header is missing or malformed.
    pub target: Option<InstanceId>,
    /// Reason why the request did not complete. `None` if it completed or the reason is
    /// not known.
    pub reason: Option<Reason>,
    /// Delay that the service asks for before the next request, from `Retry-After`.
    /// `None` if the header is missing or not a number of seconds.
    pub retry_after: Option<Duration>,
}

impl Answer {
    /// Builds the answer for a request that received no complete response.
    pub(crate) fn without_response(outcome: Outcome, reason: Reason) -> Answer {
        Answer {
            status: None,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            outcome,
            target: None,
            reason: Some(reason),
            retry_after: None,
        }
    }

    /// Builds an answer from a complete response of a server.
    pub(crate) fn from_response(status: StatusCode, headers: HeaderMap, body: Bytes) -> Answer {
        Answer {
            outcome: outcome(&headers),
            target: target(&headers),
            reason: reason(&headers),
            retry_after: retry_after(&headers),
            status: Some(status),
            headers,
            body,
        }
    }

    /// Returns whether the request ran and its status is 2xx.
    pub fn is_success(&self) -> bool {
        self.outcome == Outcome::Done && self.status.is_some_and(|status| status.is_success())
    }
}

impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "outcome={}", self.outcome)?;
        if let Some(status) = self.status {
            write!(f, " status={}", status.as_u16())?;
        }
        if let Some(reason) = self.reason {
            write!(f, " reason={reason}")?;
        }
        if let Some(target) = self.target {
            write!(f, " target={target}")?;
        }
        write!(f, " octets={}", self.body.len())
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Reads the outcome from the `marigoldway-outcome` header. A complete response
/// without the header comes from a server that ran the request. An unreadable
/// header leaves the outcome unknown.
fn outcome(headers: &HeaderMap) -> Outcome {
    let Some(value) = headers.get("marigoldway-outcome") else {
        return Outcome::Done;
    };
    match value.as_bytes() {
        b"done" => Outcome::Done,
        b"not-run" => Outcome::NotRun,
        _ => Outcome::Unknown,
    }
}

fn reason(headers: &HeaderMap) -> Option<Reason> {
    let raw = header_text(headers, "marigoldway-reason")?;
    let refusal = Refusal::ALL.into_iter().find(|it| it.as_str() == raw);
    let unknown = UnknownReason::ALL.into_iter().find(|it| it.as_str() == raw);
    refusal
        .map(Reason::Refused)
        .or(unknown.map(Reason::Unknown))
}

fn target(headers: &HeaderMap) -> Option<InstanceId> {
    let addr: SocketAddr = header_text(headers, "marigoldway-target")?.parse().ok()?;
    InstanceId::try_from(addr).ok()
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = header_text(headers, RETRY_AFTER.as_str())?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}
