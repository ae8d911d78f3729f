//! Bodies of callers' requests.

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

use marigoldway_core::request::Doubt;
use marigoldway_core::request::Refusal;

use crate::agent::requests::head::Head;
use crate::agent::requests::reply::Reply;
use crate::agent::requests::target;
use crate::agent::requests::target::OutBody;

/// The receiving half of a caller's stream.
pub(crate) type ReceiveHalf = RequestStream<h3_quinn::RecvStream, Bytes>;

/// `Fault` says why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// It is longer than the limit.
    TooLong,
    /// The caller broke it off.
    Broken,
}

impl From<Fault> for Reply {
    fn from(fault: Fault) -> Reply {
        match fault {
            Fault::TooLong => Reply::Refused(Refusal::BodyLimit),
            // Nobody is left to read this.
            Fault::Broken => Reply::Unknown(Doubt::AnswerBroken),
        }
    }
}

/// Reads a whole body of up to `limit` octets.
pub(crate) async fn collect(mut receive: ReceiveHalf, limit: usize) -> Result<Bytes, Fault> {
    let mut body = BytesMut::new();
    loop {
        let data = receive.recv_data().await.map_err(|_| Fault::Broken)?;
        let Some(mut data) = data else {
            return Ok(body.freeze());
        };
        if body.len() + data.remaining() > limit {
            return Err(Fault::TooLong);
        }
        body.extend_from_slice(&data.copy_to_bytes(data.remaining()));
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
