//! One attempt of a request over one connection.

use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use h3::client::RequestStream;
use h3::error::Code;
use h3::error::StreamError;
use h3::quic;
use h3_quinn::RecvStream;
use h3_quinn::SendStream;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header::AUTHORIZATION;
use http::header::CONTENT_LENGTH;
use marigoldway_core::request::Outcome;
use marigoldway_core::retry::Sent;

use crate::answer::Answer;
use crate::answer::Reason;
use crate::errors::Error;
use crate::errors::Result;
use crate::link::Link;
use crate::link::LinkState;
use crate::options::ClientOptions;
use crate::request::Request;

/// Result of one attempt.
pub(crate) struct Attempt {
    /// Whether any octet of the request may have been sent.
    pub(crate) sent: Sent,
    /// Answer and outcome as known after this attempt.
    pub(crate) answer: Answer,
}

impl Attempt {
    /// Builds an attempt that ended before its first octet was sent. The outcome
    /// is that the request did not run.
    pub(crate) fn unsent(reason: Reason) -> Attempt {
        Attempt {
            sent: Sent::Nothing,
            answer: Answer::without_response(Outcome::NotRun, reason),
        }
    }

    /// Builds an attempt that was aborted after its first octet may have been sent.
    /// The outcome is unknown.
    pub(crate) fn aborted(reason: Reason) -> Attempt {
        Attempt {
            sent: Sent::Octets,
            answer: Answer::without_response(Outcome::Unknown, reason),
        }
    }

    /// Builds the attempt that `error` ended.
    fn from_stream_error(error: &StreamError) -> Attempt {
        match error {
            StreamError::RemoteClosing => Attempt::unsent(Reason::Rejected),
            // A server sends this code only for a request that it did not start
            // to process (RFC 9114, section 4.1.1).
            StreamError::RemoteTerminate { code } if *code == Code::H3_REQUEST_REJECTED => {
                Attempt {
                    sent: Sent::Octets,
                    answer: Answer::without_response(Outcome::NotRun, Reason::Rejected),
                }
            }
            _ => Attempt::aborted(Reason::Broken),
        }
    }
}

/// Builds the HTTP/3 head of `request`.
///
/// `remaining` is the time until the deadline. The header `marigoldway-deadline-ms`
/// carries it in milliseconds. A feed has no deadline and passes `None`.
///
/// Fails if the URI, the token or the idempotency key is malformed.
pub(crate) fn head(
    request: &Request,
    options: &ClientOptions,
    remaining: Option<Duration>,
) -> Result<http::Request<()>> {
    let mut head = http::Request::builder()
        .method(&request.method)
        .uri(format!("https://{}{}", options.name, request.path))
        .body(())
        .map_err(|error| Error::malformed(error.to_string()))?;
    let headers = head.headers_mut();
    headers.extend(request.headers.clone());

    let token = format!("Bearer {}", options.token);
    headers.insert(AUTHORIZATION, sensitive_value(&token)?);
    if let Some(remaining) = remaining {
        let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        headers.insert("marigoldway-deadline-ms", HeaderValue::from(millis));
    }
    if let Some(key) = &request.key {
        headers.insert("idempotency-key", sensitive_value(key.as_str())?);
    }
    if !request.body.is_empty() {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(request.body.len()));
    }
    Ok(head)
}

/// Builds a header value that `Debug` output does not show.
fn sensitive_value(text: &str) -> Result<HeaderValue> {
    let mut value = HeaderValue::from_str(text).map_err(|_| {
        Error::malformed("token or idempotency key with octets that are invalid in a header")
    })?;
    value.set_sensitive(true);
    Ok(value)
}

/// Sends a request and waits for the complete answer. The body of the answer may have
/// up to `body_limit` octets.
pub(crate) async fn exchange(
    link: &mut Link,
    head: http::Request<()>,
    body: Bytes,
    body_limit: usize,
) -> Attempt {
    if link.state() != LinkState::Open {
        return Attempt::unsent(Reason::Rejected);
    }
    let stream = match link.sender.send_request(head).await {
        Ok(stream) => stream,
        Err(error) => return Attempt::from_stream_error(&error),
    };
    let (send, mut recv) = stream.split();

    // Sends the body while receiving, because a server may refuse the request early.
    let sending = send_body(send, body);
    let receiving = receive(&mut recv, body_limit);
    tokio::pin!(sending);
    tokio::pin!(receiving);
    let mut sent = false;
    loop {
        tokio::select! {
            end = &mut receiving => return end,
            () = &mut sending, if !sent => sent = true,
        }
    }
}

/// Sending side of a request. Dropping it before the body is complete resets the
/// stream, so that no server treats a partial body as a complete one.
struct BodySender {
    stream: RequestStream<SendStream<Bytes>, Bytes>,
    complete: bool,
}

impl Drop for BodySender {
    fn drop(&mut self) {
        if !self.complete {
            self.stream.stop_stream(Code::H3_REQUEST_CANCELLED);
        }
    }
}

/// Sends the body. Ignores errors, because the receiving side reports them too.
async fn send_body(stream: RequestStream<SendStream<Bytes>, Bytes>, body: Bytes) {
    let mut sender = BodySender {
        stream,
        complete: false,
    };
    if !body.is_empty() && sender.stream.send_data(body).await.is_err() {
        return;
    }
    sender.complete = sender.stream.finish().await.is_ok();
}

/// Receives an answer. The attempt counts as aborted if the length of the body differs
/// from `content-length`.
async fn receive(stream: &mut RequestStream<RecvStream, Bytes>, body_limit: usize) -> Attempt {
    let (status, headers) = match stream.recv_response().await {
        Ok(response) => {
            let (parts, ()) = response.into_parts();
            (parts.status, parts.headers)
        }
        Err(error) => return Attempt::from_stream_error(&error),
    };
    let body = match receive_body(stream, body_limit).await {
        Ok(body) => body,
        Err(end) => return end,
    };
    if content_length(&headers).is_some_and(|length| length != body.len()) {
        return Attempt::aborted(Reason::Broken);
    }
    attempt_from_response(status, headers, body)
}

fn attempt_from_response(status: StatusCode, headers: HeaderMap, body: Bytes) -> Attempt {
    Attempt {
        sent: Sent::Octets,
        answer: Answer::from_response(status, headers, body),
    }
}

/// Reads the body of an answer to its end.
///
/// Fails if the stream fails, or with [`Reason::TooLong`] above `body_limit` octets.
pub(crate) async fn receive_body<S: quic::RecvStream>(
    stream: &mut RequestStream<S, Bytes>,
    body_limit: usize,
) -> std::result::Result<Bytes, Attempt> {
    let mut body = BytesMut::new();
    loop {
        let mut chunk = match stream.recv_data().await {
            Ok(Some(chunk)) => chunk,
            Ok(None) => return Ok(body.freeze()),
            Err(error) => return Err(Attempt::from_stream_error(&error)),
        };
        if body.len() + chunk.remaining() > body_limit {
            return Err(Attempt::aborted(Reason::TooLong));
        }
        body.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
    }
}

fn content_length(headers: &HeaderMap) -> Option<usize> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
