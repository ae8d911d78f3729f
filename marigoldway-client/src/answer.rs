//! What became of a request.

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

/// `Reason` says why a request is not done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The service refused the request.
    Refused(Refusal),
    /// The service can't tell whether the request ran.
    Unknown(UnknownReason),
    /// No server could be reached, so nothing was sent.
    NoConnection,
    /// The server closed the flow to new requests before it took this one.
    Rejected,
    /// The connection or the answer broke off.
    Broken,
    /// The time limit passed before the answer was whole.
    Timeout,
    /// The answer is longer than the limit of the options.
    TooLong,
}

impl Reason {
    /// The reason as it stands in logs and in the names of counters.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Refused(refusal) => refusal.as_str(),
            Reason::Unknown(doubt) => doubt.as_str(),
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

/// `Answer` is the whole answer to a request, or the truth about it.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status, or `None` where no whole answer came.
    pub status: Option<StatusCode>,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// The whole body, empty where no whole answer came.
    pub body: Bytes,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Agent of the target that answered.
    pub target: Option<InstanceId>,
    /// Why the request is not done.
    pub reason: Option<Reason>,
    /// Time after which the service asks to be called again.
    pub retry_after: Option<Duration>,
}

impl Answer {
    /// Makes an answer for a request that no server answered.
    pub(crate) fn unanswered(outcome: Outcome, reason: Reason) -> Answer {
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

    /// Makes an answer from a whole answer of a server.
    pub(crate) fn whole(status: StatusCode, headers: HeaderMap, body: Bytes) -> Answer {
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

    /// Whether the request ran and was answered with a status of success.
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

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The outcome that a server states. A whole answer without the header comes
/// from a server that ran the request; an unreadable header proves nothing.
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
    let raw = text(headers, "marigoldway-reason")?;
    let refusal = Refusal::ALL.into_iter().find(|it| it.as_str() == raw);
    let doubt = UnknownReason::ALL.into_iter().find(|it| it.as_str() == raw);
    refusal.map(Reason::Refused).or(doubt.map(Reason::Unknown))
}

fn target(headers: &HeaderMap) -> Option<InstanceId> {
    let addr: SocketAddr = text(headers, "marigoldway-target")?.parse().ok()?;
    InstanceId::try_from(addr).ok()
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = text(headers, RETRY_AFTER.as_str())?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}
