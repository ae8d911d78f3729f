//! Sends replies to callers over HTTP/3.

use std::time::Duration;

use bytes::Bytes;
use h3::error::Code;
use h3::error::StreamError;
use h3::server::RequestStream;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use tokio::sync::mpsc;

use marigoldway_core::duplicates::Settled;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::request::Outcome;
use marigoldway_core::request::Refusal;
use marigoldway_core::request::UnknownReason;

use crate::agent::requests::headers;

/// The sending half of a caller's stream.
pub(crate) type SendHalf = RequestStream<h3_quinn::SendStream<Bytes>, Bytes>;

/// `Answer` is a target's response, with its whole body or the beginning of it.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// `BodyAborted` reports that the target's body ended before it was complete.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyAborted;

/// Receiver of the remaining chunks of a body. The last one may be [`BodyAborted`].
pub(crate) type BodyChunks = mpsc::Receiver<Result<Bytes, BodyAborted>>;

/// `Reply` is the result of a request for its caller.
#[derive(Debug)]
pub(crate) enum Reply {
    /// The complete answer of the target.
    Buffered(Answer),
    /// The beginning of an answer that is streamed, and its remaining chunks.
    Streamed(Answer, BodyChunks),
    /// The request did not run.
    Refused(Refusal),
    /// It is unknown whether the request ran.
    Unknown(UnknownReason),
}

impl From<Settled<Answer>> for Reply {
    fn from(settled: Settled<Answer>) -> Reply {
        match settled {
            Settled::Done(answer) => Reply::Buffered(answer),
            Settled::NotRun(reason) => Reply::Refused(reason),
            Settled::Unknown(reason) => Reply::Unknown(reason),
        }
    }
}

/// Sends a reply to its caller in the name of `agent`. `retry_after` is the time after
/// which the caller of a refused request may retry.
pub(crate) async fn send(
    reply: Reply,
    agent: InstanceId,
    retry_after: Option<Duration>,
    stream: &mut SendHalf,
) -> Result<(), StreamError> {
    match reply {
        Reply::Buffered(answer) => {
            send_head(&answer, agent, stream).await?;
            stream.finish().await
        }
        Reply::Streamed(answer, chunks) => {
            send_head(&answer, agent, stream).await?;
            send_chunks(chunks, stream).await
        }
        Reply::Refused(reason) => {
            let mut response =
                error_response(status_of(reason), Outcome::NotRun, reason.as_str(), agent);
            if let Some(retry_after) = retry_after {
                let seconds = HeaderValue::from(retry_after.as_secs());
                response.headers_mut().insert(header::RETRY_AFTER, seconds);
            }
            stream.send_response(response).await?;
            stream.finish().await
        }
        Reply::Unknown(reason) => {
            let status = StatusCode::BAD_GATEWAY;
            let response = error_response(status, Outcome::Unknown, reason.as_str(), agent);
            stream.send_response(response).await?;
            stream.finish().await
        }
    }
}

async fn send_head(
    answer: &Answer,
    agent: InstanceId,
    stream: &mut SendHalf,
) -> Result<(), StreamError> {
    let mut response = Response::new(());
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers.clone();
    set_outcome(response.headers_mut(), Outcome::Done, agent);
    stream.send_response(response).await?;
    if answer.body.is_empty() {
        return Ok(());
    }
    stream.send_data(answer.body.clone()).await
}

/// Sends the remaining chunks of a body. If the body is aborted, the stream is
/// reset, so that the caller doesn't take a partial answer for a complete one.
async fn send_chunks(mut chunks: BodyChunks, stream: &mut SendHalf) -> Result<(), StreamError> {
    while let Some(chunk) = chunks.recv().await {
        match chunk {
            Ok(data) => stream.send_data(data).await?,
            Err(BodyAborted) => {
                stream.stop_stream(Code::H3_INTERNAL_ERROR);
                return Ok(());
            }
        }
    }
    stream.finish().await
}

fn error_response(
    status: StatusCode,
    outcome: Outcome,
    reason: &str,
    agent: InstanceId,
) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    let headers = response.headers_mut();
    set_outcome(headers, outcome, agent);
    if let Ok(reason) = HeaderValue::from_str(reason) {
        headers.insert(headers::REASON, reason);
    }
    response
}

fn set_outcome(headers: &mut HeaderMap, outcome: Outcome, agent: InstanceId) {
    let outcome = HeaderValue::from_static(outcome.as_str());
    headers.insert(headers::OUTCOME, outcome);
    if let Ok(agent) = HeaderValue::from_str(&agent.to_string()) {
        headers.insert(headers::TARGET, agent);
    }
}

fn status_of(reason: Refusal) -> StatusCode {
    match reason {
        Refusal::Leaving
        | Refusal::NoLists
        | Refusal::QueueFull
        | Refusal::Deadline
        | Refusal::ConnectionLimit
        | Refusal::TargetRefused
        | Refusal::TargetDown => StatusCode::SERVICE_UNAVAILABLE,
        Refusal::CustomerConnections | Refusal::RequestRate | Refusal::BulkLimit => {
            StatusCode::TOO_MANY_REQUESTS
        }
        Refusal::UnknownCustomer => StatusCode::UNAUTHORIZED,
        Refusal::NotInPlan => StatusCode::FORBIDDEN,
        Refusal::KeyInvalid | Refusal::KeyReused => StatusCode::CONFLICT,
        Refusal::BodyLimit => StatusCode::PAYLOAD_TOO_LARGE,
        Refusal::Malformed => StatusCode::BAD_REQUEST,
    }
}
