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

/// Maximum number of body chunks of one answer that are queued for a slow caller.
const CHUNK_QUEUE_LEN: usize = 8;

/// `Job` is an admitted request with its slot.
pub(crate) struct Job {
    pub(crate) target: Target,
    pub(crate) request: Request<TargetBody>,
    pub(crate) slot: Slot,
    /// Maximum length of an answer that is buffered until it is complete, in
    /// octets. A longer answer is streamed in chunks. 0 streams every answer.
    pub(crate) buffer_limit: usize,
}

/// `Failure` is the reason why there is no complete answer.
enum Failure {
    /// The target reported that it did not start the request.
    Refused,
    /// The connection failed, or the end of the answer couldn't be detected.
    Aborted,
}

/// `Connected` tells whether the target accepted a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Connected {
    Yes,
    No,
}

/// Runs a job and sends its reply to `caller`. If the caller disconnects or stops
/// waiting, the target is asked to cancel the request. The slot is released once the
/// target has canceled or answered the request.
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
            // cancel the request, the slot is kept until the target has answered.
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
        Ok((answer, Some(body))) => stream_answer(answer, body, slot, caller).await,
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

/// Sends the request and reads the head of the answer and its body. Stops once more than
/// `buffer_limit` octets of the body are read, and returns the unread rest of the body
/// beside the answer. With a limit of 0, reads nothing of the body.
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
    let mut over_limit = buffer_limit == 0;
    while !over_limit {
        let Some(frame) = body.frame().await else {
            break;
        };
        let frame = frame.map_err(|_| Failure::Aborted)?;
        if let Ok(data) = frame.into_data() {
            buffered.extend_from_slice(&data);
        }
        over_limit = buffered.len() > buffer_limit;
    }
    let answer = Answer {
        status: head.status,
        headers: headers::end_to_end(&head.headers),
        body: buffered.freeze(),
    };
    Ok((answer, over_limit.then_some(body)))
}

/// Returns whether the end of a response's body can be told from a lost connection.
fn has_end(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    response.body().is_end_stream()
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Forwards the rest of an answer in chunks. Releases the slot at the end of the answer,
/// or once the caller disconnects.
async fn stream_answer(
    answer: Answer,
    mut body: Incoming,
    slot: Slot,
    caller: oneshot::Sender<Reply>,
) {
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
