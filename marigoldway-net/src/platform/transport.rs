//! One HTTP/1.1 exchange with the platform, on a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::platform::errors::Error;
use crate::platform::errors::Result;

/// Longest answer in octets: two values of a megabyte in base64.
const MAX_ANSWER_LEN: usize = 4 << 20;

/// Silence after which a waiting connection is probed, and the time between
/// two probes: a link that died without a word shows within three of them.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer that end a connection.
const PROBES_MAX: u32 = 3;

/// Time for which sent octets may stay unacknowledged.
const UNACKED_LIMIT: Duration = Duration::from_secs(4);

/// `PendingResponse` is an answer whose head has arrived.
pub(crate) struct PendingResponse {
    /// The answer.
    pub(crate) response: Response<Incoming>,
    /// Drives the connection.
    pub(crate) driver: JoinHandle<()>,
}

/// Sends a request and waits for the head of the answer.
pub(crate) async fn open(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<PendingResponse> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(Error::unreachable)?;
    notice_silence(&stream)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(Error::unreachable)?;
    let driver = tokio::spawn(async move {
        // What breaks the connection is seen by the reader of the answer.
        let _ = connection.await;
    });

    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(Error::invalid_response)?;
    let response = sender
        .send_request(request)
        .await
        .map_err(Error::unreachable)?;
    Ok(PendingResponse { response, driver })
}

/// Sends a request and waits for the whole answer. It sets no time limit.
///
/// Fails where the platform can't be reached, or breaks off.
pub async fn exchange(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<(StatusCode, Bytes)> {
    let opened = open(address, method, path, body).await?;
    let status = opened.response.status();
    let answer = Limited::new(opened.response.into_body(), MAX_ANSWER_LEN)
        .collect()
        .await
        .map_err(Error::unreachable);
    opened.driver.abort();
    Ok((status, answer?.to_bytes()))
}

fn notice_silence(stream: &TcpStream) -> Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES_MAX);
    socket
        .set_tcp_keepalive(&probes)
        .map_err(Error::unreachable)?;
    socket
        .set_tcp_user_timeout(Some(UNACKED_LIMIT))
        .map_err(Error::unreachable)
}
