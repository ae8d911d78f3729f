//! Holds requests whose whole body is buffered, and encodes them for the relay to a
//! peer (another agent of the service).

use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;

use marigoldway_core::admission::CustomerKey;
use marigoldway_core::duplicates::Digest;
use marigoldway_core::ids::ServiceId;
use marigoldway_core::request::Refusal;
use marigoldway_core::request::UnknownReason;
use marigoldway_core::retry::Repeat;
use marigoldway_core::time::Timestamp;
use marigoldway_net::wire::octets::Octets;
use marigoldway_net::wire::relay::EndingWire;
use marigoldway_net::wire::relay::GrantWire;
use marigoldway_net::wire::relay::RequestWire;

use crate::agent::requests::access::Grant;
use crate::agent::requests::body::MemoryPermit;
use crate::agent::requests::head::RequestHead;
use crate::agent::requests::reply::Answer;
use crate::agent::requests::reply::Reply;

/// `BufferedRequest` is a request with its whole body in memory.
#[derive(Clone)]
pub(crate) struct BufferedRequest {
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    /// Reserved memory of the body; `None` if the request came from a peer.
    #[expect(dead_code, reason = "dropping it releases the memory")]
    pub(crate) memory: Option<MemoryPermit>,
    /// Digest by which requests with the same idempotency key are compared.
    pub(crate) digest: Digest,
    /// Result of the check against the lists, by the agent that received the request
    /// from its caller.
    pub(crate) access: Result<Grant, Refusal>,
}

impl BufferedRequest {
    /// Encodes the request for a peer. The deadline is encoded as the time that remains
    /// at `now`, in milliseconds. The customer's token is not encoded.
    pub(crate) fn to_wire(&self, number: u64, service: ServiceId, now: Timestamp) -> RequestWire {
        let remaining = self.head.deadline.map(|deadline| deadline.since(now));
        RequestWire {
            number,
            service: service.0,
            method: self.head.method.to_string(),
            path: self.head.path.clone(),
            headers: to_pairs(&self.head.headers),
            body: Octets(self.body.clone()),
            left: remaining
                .map(|remaining| u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)),
            key: self.head.key.clone(),
            digest: self.digest.0,
            access: self
                .access
                .as_ref()
                .map(grant_to_wire)
                .map_err(|reason| *reason),
        }
    }

    /// Decodes a request received from a peer at `now`. Fails with [`Refusal::Malformed`] if
    /// its method or headers are invalid.
    pub(crate) fn from_wire(wire: RequestWire, now: Timestamp) -> Result<BufferedRequest, Refusal> {
        let method = Method::from_str(&wire.method).map_err(|_| Refusal::Malformed)?;
        let head = RequestHead {
            method,
            path: wire.path,
            headers: to_headers(&wire.headers).ok_or(Refusal::Malformed)?,
            deadline: wire.left.map(|millis| now + Duration::from_millis(millis)),
            key: wire.key,
            token: None,
            length: u64::try_from(wire.body.0.len()).ok(),
        };
        Ok(BufferedRequest {
            head,
            body: wire.body.0,
            memory: None,
            digest: Digest(wire.digest),
            access: wire.access.map(grant_from_wire),
        })
    }
}

/// Encodes a reply for a peer. A streamed answer can't be sent to a peer and
/// becomes [`UnknownReason::AnswerNotKept`].
pub(crate) fn encode_reply(reply: Reply) -> EndingWire {
    match reply {
        Reply::Buffered(answer) => EndingWire::Done {
            status: answer.status.as_u16(),
            headers: to_pairs(&answer.headers),
            body: Octets(answer.body),
        },
        Reply::Streamed(..) => EndingWire::Unknown(UnknownReason::AnswerNotKept),
        Reply::Refused(reason) => EndingWire::NotRun(reason),
        Reply::Unknown(reason) => EndingWire::Unknown(reason),
    }
}

impl From<EndingWire> for Reply {
    /// Decodes the reply of a peer. An answer with an invalid status or header becomes
    /// [`UnknownReason::AnswerBroken`].
    fn from(ending: EndingWire) -> Reply {
        match ending {
            EndingWire::Done {
                status,
                headers,
                body,
            } => match (StatusCode::from_u16(status), to_headers(&headers)) {
                (Ok(status), Some(headers)) => Reply::Buffered(Answer {
                    status,
                    headers,
                    body: body.0,
                }),
                _ => Reply::Unknown(UnknownReason::AnswerBroken),
            },
            EndingWire::NotRun(reason) => Reply::Refused(reason),
            EndingWire::Unknown(reason) => Reply::Unknown(reason),
        }
    }
}

fn grant_to_wire(grant: &Grant) -> GrantWire {
    GrantWire {
        name: grant.name.clone(),
        customer: grant.customer.0,
        class: grant.class,
        repeatable: grant.repeat == Repeat::Idempotent,
    }
}

fn grant_from_wire(wire: GrantWire) -> Grant {
    Grant {
        name: wire.name,
        customer: CustomerKey(wire.customer),
        class: wire.class,
        repeat: match wire.repeatable {
            true => Repeat::Idempotent,
            false => Repeat::AtMostOnce,
        },
    }
}

fn to_pairs(headers: &HeaderMap) -> Vec<(String, Octets)> {
    let octets = |value: &HeaderValue| Octets(Bytes::copy_from_slice(value.as_bytes()));
    headers
        .iter()
        .map(|(name, value)| (name.to_string(), octets(value)))
        .collect()
}

/// Decodes headers. Returns `None` if a name or value is invalid.
fn to_headers(pairs: &[(String, Octets)]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(&value.0).ok()?;
        headers.append(name, value);
    }
    Some(headers)
}
