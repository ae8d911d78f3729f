//! Exchanges one request and its answer with the target.

use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use marigoldway_core::admission::Completion;
use marigoldway_core::request::Refusal;
use marigoldway_core::request::UnknownReason;

use crate::agent::requests::headers;
use crate::agent::requests::reply::Answer;
use crate::agent::requests::reply::BodyAborted;
use crate::agent::requests::reply::Reply;
use crate::agent::requests::slots::Slot;
use crate::agent::requests::target::Target;
use crate::agent::requests::target::TargetBody;

/// Maximum number of body chunks queued for a slow caller.
const CHUNK_QUEUE_LEN: usize = 8;

/// `Job` is an admitted request with its slot.
pub(crate) struct Job {
    pub(crate) target: Target,
    pub(crate) request: Request<TargetBody>,
    pub(crate) slot: Slot,
    /// Maximum length of an answer that is buffered until it is complete, in
    /// octets. A longer answer is streamed in chunks.
    pub(crate) buffer_limit: usize,
}

/// `Failure` is the reason why there is no complete answer.
enum Failure {
    Refused,
    Aborted,
}

/// `Connected` tells whether the target accepted a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Connected {
    Yes,
    No,
}

/// Runs a job and sends its reply to the caller. If the caller disconnects, the
/// target is asked to cancel the request; the slot is released once the target
/// has canceled or answered it.
pub(crate) async fn run(job: Job, mut caller: oneshot::Sender<Reply>) -> Connected {
    let Job {
        target,
        request,
        slot,
        buffer_limit,
    } = job;
    let Ok(sender) = target.connect().await else {
        slot.finish(Completion::Failed);
        let _ = caller.send(Reply::Refused(Refusal::TargetDown));
        return Connected::No;
    };

    let exchange = send_request(sender, request, buffer_limit);
    tokio::pin!(exchange);
    let result = tokio::select! {
        result = &mut exchange => result,
        () = caller.closed() => {
            // Returning drops the slot, which releases it. If the target doesn't
            // cancel the request, the slot is kept until the answer.
            if target.cancel(slot.id()).await {
                return Connected::Yes;
            }
            exchange.await
        }
    };
    match result {
        Ok((answer, None)) => {
            slot.finish(Completion::Answered);
            let _ = caller.send(Reply::Buffered(answer));
        }
        Ok((answer, Some(body))) => stream(answer, body, slot, caller).await,
        Err(Failure::Refused) => {
            slot.finish(Completion::Refused);
            let _ = caller.send(Reply::Refused(Refusal::TargetRefused));
        }
        Err(Failure::Aborted) => {
            slot.finish(Completion::Failed);
            let _ = caller.send(Reply::Unknown(UnknownReason::AnswerBroken));
        }
    }
    Connected::Yes
}

/// Sends the request and reads the answer, with up to `buffer_limit` octets of its
/// body. Returns the remaining body if it is longer.
async fn send_request(
    mut sender: SendRequest<TargetBody>,
    request: Request<TargetBody>,
    buffer_limit: usize,
) -> Result<(Answer, Option<Incoming>), Failure> {
    let response = sender.send_request(request).await;
    let response = response.map_err(|_| Failure::Aborted)?;
    if response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key(&headers::NOT_STARTED)
    {
        return Err(Failure::Refused);
    }
    if buffer_limit > 0 && !has_end(&response) {
        return Err(Failure::Aborted);
    }

    let (head, mut body) = response.into_parts();
    let mut buffered = BytesMut::new();
    let mut rest = buffer_limit == 0;
    while !rest {
        let Some(frame) = body.frame().await else {
            break;
        };
        let frame = frame.map_err(|_| Failure::Aborted)?;
        if let Ok(data) = frame.into_data() {
            buffered.extend_from_slice(&data);
        }
        rest = buffered.len() > buffer_limit;
    }
    let answer = Answer {
        status: head.status,
        headers: headers::end_to_end(&head.headers),
        body: buffered.freeze(),
    };
    Ok((answer, rest.then_some(body)))
}

/// Returns whether the end of a body can be told from a lost connection.
fn has_end(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    response.body().is_end_stream()
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Forwards the rest of an answer in chunks and keeps the slot until its end.
async fn stream(answer: Answer, mut body: Incoming, slot: Slot, caller: oneshot::Sender<Reply>) {
    let (chunks, receiver) = mpsc::channel(CHUNK_QUEUE_LEN);
    let _ = caller.send(Reply::Streamed(answer, receiver));
    let completion = loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = chunks.closed() => break Completion::Failed,
        };
        let chunk = match frame {
            None => break Completion::Answered,
            Some(Ok(frame)) => Ok(frame.into_data().unwrap_or_else(|_| Bytes::new())),
            Some(Err(_)) => Err(BodyAborted),
        };
        let aborted = chunk.is_err();
        if chunks.send(chunk).await.is_err() || aborted {
            break Completion::Failed;
        }
    };
    slot.finish(completion);
}
