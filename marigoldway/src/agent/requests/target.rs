//! The target's HTTP/1.1, over loopback TCP.

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

/// Longest time in which a target accepts a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time in which a target answers a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// The body of a request to the target.
pub(crate) type TargetBody = UnsyncBoxBody<Bytes, StreamError>;

/// A body that is held whole.
pub(crate) fn full_body(body: Bytes) -> TargetBody {
    let full = Full::new(body).map_err(|never| match never {});
    full.boxed_unsync()
}

/// A body without octets.
pub(crate) fn empty_body() -> TargetBody {
    full_body(Bytes::new())
}

/// `Target` opens connections to the target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Target {
    address: SocketAddrV4,
}

impl Target {
    /// Makes the target at a TCP address.
    pub(crate) fn new(address: SocketAddrV4) -> Target {
        Target { address }
    }

    /// Value of the `host` header.
    pub(crate) fn host(&self) -> Option<HeaderValue> {
        HeaderValue::from_str(&self.address.to_string()).ok()
    }

    /// Opens a connection for one request. One of its own keeps a request from
    /// being lost with a connection that the target was about to close.
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

    /// Asks the target to stop a request, and tells whether it did.
    pub(crate) async fn cancel(&self, id: RequestId) -> bool {
        let cancel = timeout(CANCEL_TIMEOUT, self.send_cancel(id));
        cancel.await.is_ok_and(|accepted| accepted.unwrap_or(false))
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
