//! HTTP/1.1 client of the target, over loopback TCP.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use h3::error::StreamError;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use marigoldway_core::admission::RequestId;

/// Maximum time to connect to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum time to connect to the target and receive its answer to a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Body of a request to the target, buffered or streamed from the caller.
pub(crate) type TargetBody = UnsyncBoxBody<Bytes, StreamError>;

/// Returns a body that is wholly in memory.
pub(crate) fn full_body(body: Bytes) -> TargetBody {
    let full = Full::new(body).map_err(|never| match never {});
    full.boxed_unsync()
}

/// Returns a body of length 0.
pub(crate) fn empty_body() -> TargetBody {
    full_body(Bytes::new())
}

/// `Target` opens connections to the target at its TCP address.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Target {
    address: SocketAddrV4,
}

impl Target {
    /// Creates a target without connecting to it.
    pub(crate) fn new(address: SocketAddrV4) -> Target {
        Target { address }
    }

    /// Returns the value of the `host` header of requests to the target.
    pub(crate) fn host(&self) -> Option<HeaderValue> {
        HeaderValue::from_str(&self.address.to_string()).ok()
    }

    /// Opens a connection for a single request. A reused connection could be closed
    /// by the target just as the request is sent, and the request would be lost.
    pub(crate) async fn connect(&self) -> io::Result<SendRequest<TargetBody>> {
        let connecting = TcpStream::connect(self.address);
        let tcp = timeout(CONNECT_TIMEOUT, connecting).await??;
        tcp.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(tcp))
            .await
            .map_err(io::Error::other)?;
        tokio::spawn(connection);
        Ok(sender)
    }

    /// Asks the target to cancel a request. Returns whether the target accepted this within
    /// [`CANCEL_TIMEOUT`]; `false` if the exchange failed.
    pub(crate) async fn cancel(&self, id: RequestId) -> bool {
        let response = timeout(CANCEL_TIMEOUT, self.send_cancel(id));
        response
            .await
            .is_ok_and(|accepted| accepted.unwrap_or(false))
    }

    async fn send_cancel(&self, id: RequestId) -> io::Result<bool> {
        let mut sender = self.connect().await?;
        let mut request = Request::new(empty_body());
        *request.method_mut() = Method::POST;
        let path = format!("/.marigoldway/cancel?id={}", id.0);
        *request.uri_mut() = path.parse().map_err(io::Error::other)?;
        if let Some(host) = self.host() {
            request.headers_mut().insert(header::HOST, host);
        }
        let response = sender.send_request(request).await;
        let response = response.map_err(io::Error::other)?;
        Ok(response.status() == StatusCode::ACCEPTED)
    }
}
