//! A request at the target, from its first octet to the end of the answer.

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
use crate::agent::requests::reply::Broken;
use crate::agent::requests::reply::Reply;
use crate::agent::requests::slots::Slot;
use crate::agent::requests::target::OutBody;
use crate::agent::requests::target::Target;

/// Pieces of a body that wait for a slow caller.
const PIECES: usize = 8;

/// `Job` is a request that has its slot.
pub(crate) struct Job {
    pub(crate) target: Target,
    pub(crate) request: Request<OutBody>,
    pub(crate) slot: Slot,
    /// Octets of an answer that are held back until it is whole. What is longer
    /// is passed on in pieces.
    pub(crate) hold: usize,
}

/// `Failure` is an answer that did not come.
enum Failure {
    Refused,
    Broken,
}

/// `Reached` says whether the target took a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reached {
    Yes,
    No,
}

/// Runs a job and gives its reply to the caller. If the caller goes away, the
/// target is asked to stop; the slot is free when it did, or has answered.
pub(crate) async fn run(job: Job, mut caller: oneshot::Sender<Reply>) -> Reached {
    let Job {
        target,
        request,
        slot,
        hold,
    } = job;
    let Ok(sender) = target.connect().await else {
        slot.finish(Completion::Failed);
        let _ = caller.send(Reply::Refused(Refusal::TargetDown));
        return Reached::No;
    };

    let exchange = ask(sender, request, hold);
    tokio::pin!(exchange);
    let result = tokio::select! {
        result = &mut exchange => result,
        () = caller.closed() => {
            // A slot that is dropped is free; it is kept until the answer if
            // the target goes on.
            if target.cancel(slot.id()).await {
                return Reached::Yes;
            }
            exchange.await
        }
    };
    match result {
        Ok((answer, None)) => {
            slot.finish(Completion::Answered);
            let _ = caller.send(Reply::Whole(answer));
        }
        Ok((answer, Some(body))) => stream(answer, body, slot, caller).await,
        Err(Failure::Refused) => {
            slot.finish(Completion::Refused);
            let _ = caller.send(Reply::Refused(Refusal::TargetRefused));
        }
        Err(Failure::Broken) => {
            slot.finish(Completion::Failed);
            let _ = caller.send(Reply::Unknown(UnknownReason::AnswerBroken));
        }
    }
    Reached::Yes
}

/// Sends the request and reads the answer, up to `hold` octets of its body.
async fn ask(
    mut sender: SendRequest<OutBody>,
    request: Request<OutBody>,
    hold: usize,
) -> Result<(Answer, Option<Incoming>), Failure> {
    let response = sender.send_request(request).await;
    let response = response.map_err(|_| Failure::Broken)?;
    if response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key(&headers::NOT_STARTED)
    {
        return Err(Failure::Refused);
    }
    if hold > 0 && !has_end(&response) {
        return Err(Failure::Broken);
    }

    let (head, mut body) = response.into_parts();
    let mut held = BytesMut::new();
    let mut rest = hold == 0;
    while !rest {
        let Some(frame) = body.frame().await else {
            break;
        };
        let frame = frame.map_err(|_| Failure::Broken)?;
        if let Ok(data) = frame.into_data() {
            held.extend_from_slice(&data);
        }
        rest = held.len() > hold;
    }
    let answer = Answer {
        status: head.status,
        headers: headers::end_to_end(&head.headers),
        body: held.freeze(),
    };
    Ok((answer, rest.then_some(body)))
}

/// Tells whether the end of a body can be told from a lost connection.
fn has_end(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    response.body().is_end_stream()
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Passes the rest of an answer on in pieces. The slot is held until its end.
async fn stream(answer: Answer, mut body: Incoming, slot: Slot, caller: oneshot::Sender<Reply>) {
    let (pieces, rest) = mpsc::channel(PIECES);
    let _ = caller.send(Reply::Streamed(answer, rest));
    let ended = loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = pieces.closed() => break Completion::Failed,
        };
        let piece = match frame {
            None => break Completion::Answered,
            Some(Ok(frame)) => Ok(frame.into_data().unwrap_or_else(|_| Bytes::new())),
            Some(Err(_)) => Err(Broken),
        };
        let broken = piece.is_err();
        if pieces.send(piece).await.is_err() || broken {
            break Completion::Failed;
        }
    };
    slot.finish(ended);
}
