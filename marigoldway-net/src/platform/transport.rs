//! HTTP/1.1 requests, each on a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time;

use crate::platform::errors::Error;
use crate::platform::errors::Result;

/// Maximum length of a response body in octets: six values of a megabyte in base64. A response with
/// more changes than that isn't worth its memory, since only the last values count.
const MAX_RESPONSE_LEN: usize = 8 << 20;

/// Idle time before the first TCP keepalive probe, and the interval between
/// probes. Three unanswered probes reveal a link that failed silently.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered probes after which the connection is closed.
const MAX_PROBES: u32 = 3;

/// Maximum time for which sent octets may stay unacknowledged (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_secs(4);

/// `PendingResponse` is a response whose header has arrived.
pub(crate) struct PendingResponse {
    /// Response with a body that is still to be read.
    pub(crate) response: Response<Incoming>,
    /// Task that drives the connection.
    pub(crate) driver: JoinHandle<()>,
}

/// Sends a request and waits for the header of the response, without a time limit.
pub(crate) async fn open(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<PendingResponse> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(Error::unreachable)?;
    limit_silence(&stream)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(Error::unreachable)?;
    let driver = tokio::spawn(async move {
        // The reader of the response body sees the error of the connection.
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

/// Sends a request and waits for the whole response, without a time limit. Returns its status and
/// its body.
///
/// Fails as [`exchange_full`] does.
pub async fn exchange(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<(StatusCode, Bytes)> {
    let response = exchange_full(address, method, path, body).await?;
    Ok((response.status(), response.into_body()))
}

/// Sends a request and waits for the whole response with its header, without a time limit.
///
/// Fails if the server can't be reached, if the connection closes early, or if the
/// body is longer than 8 MiB.
pub async fn exchange_full(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Response<Bytes>> {
    let pending = open(address, method, path, body).await?;
    collect(pending, None, |_| {}).await
}

/// `Patience` limits the time of a request by its progress: a large response over a narrow link may
/// take long, but octets keep arriving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// Maximum time until the header of the response.
    pub head: Duration,
    /// Maximum time between two parts of the body.
    pub pause: Duration,
    /// Maximum time of the body as a whole.
    pub body: Duration,
}

/// Sends a request and waits for the whole response with its header, for as long as it makes progress.
/// Tells `on_progress` the number of octets of each part.
///
/// Fails as [`exchange_full`] does, and with [`Error::Timeout`] if the limits of `patience` are
/// exceeded.
pub async fn exchange_patiently(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    patience: Patience,
    on_progress: impl Fn(usize),
) -> Result<Response<Bytes>> {
    let pending = within(patience.head, open(address, method, path, body)).await?;
    on_progress(0);
    let response = collect(pending, Some(patience.pause), on_progress);
    within(patience.body, response).await
}

/// Reads the body of a response, with at most `pause` between two parts.
async fn collect(
    mut pending: PendingResponse,
    pause: Option<Duration>,
    on_progress: impl Fn(usize),
) -> Result<Response<Bytes>> {
    let _driver = AbortOnDrop(pending.driver);
    let mut octets = BytesMut::new();
    loop {
        let frame = pending.response.body_mut().frame();
        let frame = match pause {
            Some(pause) => within(pause, async { Ok(frame.await) }).await?,
            None => frame.await,
        };
        let Some(frame) = frame else {
            let (head, _) = pending.response.into_parts();
            return Ok(Response::from_parts(head, octets.freeze()));
        };
        let Ok(part) = frame.map_err(Error::unreachable)?.into_data() else {
            continue;
        };
        if octets.len() + part.len() > MAX_RESPONSE_LEN {
            return Err(Error::TooLong {
                limit: MAX_RESPONSE_LEN,
            });
        }
        octets.extend_from_slice(&part);
        on_progress(part.len());
    }
}

/// `AbortOnDrop` ends the task that drives a connection.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The result of `step`, or [`Error::Timeout`] after `limit`.
async fn within<T>(limit: Duration, step: impl Future<Output = Result<T>>) -> Result<T> {
    let result = time::timeout(limit, step).await;
    result.unwrap_or(Err(Error::Timeout { limit }))
}

/// Has the system close a connection whose peer doesn't answer, or doesn't read what was sent, for some
/// seconds. Fails if the system refuses that.
pub fn limit_silence(stream: &TcpStream) -> Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    socket
        .set_tcp_keepalive(&probes)
        .map_err(Error::unreachable)?;
    socket
        .set_tcp_user_timeout(Some(USER_TIMEOUT))
        .map_err(Error::unreachable)
}
