//! Bodies of callers' requests.

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

use crate::agent::requests::head::Head;
use crate::agent::requests::reply::Reply;
use crate::agent::requests::target;
use crate::agent::requests::target::OutBody;

/// Room for all held bodies, in KiB.
const ROOM_KIB: usize = 32 << 10;

/// The receiving half of a caller's stream.
pub(crate) type ReceiveHalf = RequestStream<h3_quinn::RecvStream, Bytes>;

/// `Fault` says why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// It is longer than the limit.
    TooLong,
    /// The caller broke it off, or it is longer than the caller said.
    Broken,
}

impl From<Fault> for Reply {
    fn from(fault: Fault) -> Reply {
        match fault {
            Fault::TooLong => Reply::Refused(Refusal::BodyLimit),
            Fault::Broken => Reply::Unknown(UnknownReason::AnswerBroken),
        }
    }
}

/// `Room` is the room that a held body takes, given back when it is dropped.
pub(crate) type Room = Arc<OwnedSemaphorePermit>;

/// `Bodies` bounds the octets of the bodies that are held at a time. Callers
/// wait while there is no room.
pub(crate) struct Bodies {
    room: Arc<Semaphore>,
}

impl Bodies {
    /// Makes room for all held bodies.
    pub(crate) fn new() -> Bodies {
        Bodies {
            room: Arc::new(Semaphore::new(ROOM_KIB)),
        }
    }

    /// Reads a whole body of up to `limit` octets.
    pub(crate) async fn collect(
        &self,
        head: &Head,
        mut receive: ReceiveHalf,
        limit: usize,
    ) -> Result<(Bytes, Room), Fault> {
        let length = head
            .length
            .map(|it| usize::try_from(it).unwrap_or(usize::MAX));
        if length.is_some_and(|length| length > limit) {
            return Err(Fault::TooLong);
        }
        let most = length.unwrap_or(limit);
        let units = u32::try_from(most.div_ceil(1_024)).unwrap_or(u32::MAX);
        // The semaphore is never closed.
        let room = self.room.clone().acquire_many_owned(units).await;
        let room = room.map_err(|_| Fault::Broken)?;

        let mut body = BytesMut::new();
        loop {
            let data = receive.recv_data().await.map_err(|_| Fault::Broken)?;
            let Some(mut data) = data else {
                return Ok((body.freeze(), Arc::new(room)));
            };
            if body.len() + data.remaining() > most {
                return Err(length.map_or(Fault::TooLong, |_| Fault::Broken));
            }
            body.extend_from_slice(&data.copy_to_bytes(data.remaining()));
        }
    }
}

/// Tells whether a request is known to have no body.
pub(crate) fn is_empty(head: &Head) -> bool {
    matches!(head.method, Method::GET | Method::HEAD) || head.length == Some(0)
}

/// The body of a request as it comes in.
pub(crate) fn incoming(head: &Head, receive: ReceiveHalf) -> OutBody {
    if is_empty(head) {
        return target::empty();
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
