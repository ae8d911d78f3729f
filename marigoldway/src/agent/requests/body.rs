//! Receives the bodies of callers' requests.

use std::sync::Arc;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::stream;
use futures_util::stream::Stream;
use h3::error::StreamError;
use h3::server::RequestStream;
use http::Method;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use marigoldway_core::request::Refusal;
use marigoldway_core::request::UnknownReason;

use crate::agent::requests::head::RequestHead;
use crate::agent::requests::reply::Reply;
use crate::agent::requests::target;
use crate::agent::requests::target::TargetBody;

/// Maximum memory of all buffered bodies, in KiB.
const BUFFER_LIMIT_KIB: usize = 32 << 10;

/// The receiving half of a caller's stream.
pub(crate) type ReceiveHalf = RequestStream<h3_quinn::RecvStream, Bytes>;

/// `BodyError` is the reason why a body could not be received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The body is longer than the limit.
    TooLong,
    /// The caller aborted the body, or it is longer than the declared length.
    Aborted,
}

impl From<BodyError> for Reply {
    fn from(err: BodyError) -> Reply {
        match err {
            BodyError::TooLong => Reply::Refused(Refusal::BodyLimit),
            BodyError::Aborted => Reply::Unknown(UnknownReason::AnswerBroken),
        }
    }
}

/// `MemoryPermit` reserves the memory of a buffered body and releases it on drop.
pub(crate) type MemoryPermit = Arc<OwnedSemaphorePermit>;

/// `BodyBuffers` limits the memory of all buffered bodies to [`BUFFER_LIMIT_KIB`]. A
/// request waits while too little memory is free for its body.
pub(crate) struct BodyBuffers {
    memory: Arc<Semaphore>,
}

impl BodyBuffers {
    /// Creates the limit with all memory free.
    pub(crate) fn new() -> BodyBuffers {
        BodyBuffers {
            memory: Arc::new(Semaphore::new(BUFFER_LIMIT_KIB)),
        }
    }

    /// Waits for memory and receives a whole body of up to `limit` octets. Reserves the
    /// declared length, or `limit` if no length is declared. A declared length above
    /// `limit` fails at once.
    pub(crate) async fn collect(
        &self,
        head: &RequestHead,
        mut receive: ReceiveHalf,
        limit: usize,
    ) -> Result<(Bytes, MemoryPermit), BodyError> {
        let length = head
            .length
            .map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        if length.is_some_and(|length| length > limit) {
            return Err(BodyError::TooLong);
        }
        let max_len = length.unwrap_or(limit);
        let kib = u32::try_from(max_len.div_ceil(1_024)).unwrap_or(u32::MAX);
        // Doesn't fail, because the semaphore is never closed.
        let memory = self.memory.clone().acquire_many_owned(kib).await;
        let memory = memory.map_err(|_| BodyError::Aborted)?;

        let mut body = BytesMut::new();
        loop {
            let data = receive.recv_data().await.map_err(|_| BodyError::Aborted)?;
            let Some(mut data) = data else {
                return Ok((body.freeze(), Arc::new(memory)));
            };
            if body.len() + data.remaining() > max_len {
                return Err(length.map_or(BodyError::TooLong, |_| BodyError::Aborted));
            }
            body.extend_from_slice(&data.copy_to_bytes(data.remaining()));
        }
    }
}

/// Returns whether a request is treated as one without a body: its method is GET or
/// HEAD, or its declared length is 0.
pub(crate) fn has_no_body(head: &RequestHead) -> bool {
    matches!(head.method, Method::GET | Method::HEAD) || head.length == Some(0)
}

/// Returns a request's body as a stream that forwards data as it is received.
pub(crate) fn streamed(head: &RequestHead, receive: ReceiveHalf) -> TargetBody {
    if has_no_body(head) {
        return target::empty_body();
    }
    StreamBody::new(frames(receive)).boxed_unsync()
}

fn frames(receive: ReceiveHalf) -> impl Stream<Item = Result<Frame<Bytes>, StreamError>> {
    stream::unfold(Some(receive), |receive| async {
        let mut receive = receive?;
        match receive.recv_data().await {
            Ok(Some(mut data)) => {
                let data = data.copy_to_bytes(data.remaining());
                Some((Ok(Frame::data(data)), Some(receive)))
            }
            Ok(None) => None,
            Err(err) => Some((Err(err), None)),
        }
    })
}
