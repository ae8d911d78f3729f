//! A small HTTP/1.1 server for requests of routers, targets and peers.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use error_stack::ResultExt;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task;

use marigoldway_net::platform::transport;

use crate::errors::Error;
use crate::errors::Result;
use crate::packets::in_flight::InFlight;
use crate::packets::in_flight::Sent;

/// Maximum length of a request body in octets. A heartbeat has a few hundred.
const MAX_BODY_LEN: usize = 16 * 1024;

/// Timeout for reading the header of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// `Answer` is the response to an HTTP request.
pub(crate) enum Answer {
    /// A status and a body.
    Full(StatusCode, Bytes),
    /// 200 and a body in two parts, of which other answers may share the second one.
    Joined([Bytes; 2]),
    /// An answer that isn't known yet.
    Held(Pin<Box<dyn Future<Output = Answer>>>),
}

impl Answer {
    /// An answer with an empty body.
    pub(crate) fn empty(status: StatusCode) -> Answer {
        Answer::Full(status, Bytes::new())
    }

    /// The answer that `answer` returns.
    pub(crate) fn held(answer: impl Future<Output = Answer> + 'static) -> Answer {
        Answer::Held(Box::pin(answer))
    }

    /// The status and the parts of the body, once they are known.
    pub(crate) async fn wait(mut self) -> (StatusCode, Vec<Bytes>) {
        loop {
            match self {
                Answer::Full(status, body) => return (status, vec![body]),
                Answer::Joined(parts) => return (StatusCode::OK, parts.into()),
                Answer::Held(answer) => self = answer.await,
            }
        }
    }

    /// 200 with `body`, or 404 without one.
    pub(crate) fn found(body: Option<Bytes>) -> Answer {
        match body {
            Some(body) => Answer::Full(StatusCode::OK, body),
            None => Answer::empty(StatusCode::NOT_FOUND),
        }
    }

    /// 200 if `ready`, else 503.
    pub(crate) fn ready(ready: bool) -> Answer {
        Answer::empty(if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        })
    }
}

/// `PartsBody` is a response body in parts.
#[derive(Debug)]
struct PartsBody {
    parts: VecDeque<Bytes>,
    /// Counts the parts as in flight.
    _sent: Option<Sent>,
}

impl PartsBody {
    fn new(parts: Vec<Bytes>, sent: Option<Sent>) -> PartsBody {
        PartsBody {
            parts: parts.into(),
            _sent: sent,
        }
    }
}

impl Body for PartsBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Infallible>>> {
        let part = self.parts.pop_front();
        Poll::Ready(part.map(|it| Ok(Frame::data(it))))
    }

    fn is_end_stream(&self) -> bool {
        self.parts.iter().all(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        let len: usize = self.parts.iter().map(Bytes::len).sum();
        SizeHint::with_exact(len as u64)
    }
}

/// Binds `addr` and answers its requests in a separate task. Passes the method, the path and the
/// body to `handler`. Answers 400 if the body can't be read or is longer than [`MAX_BODY_LEN`], and 503
/// if too much is in flight by `in_flight`. Returns [`Error::Bind`] if the address can't be bound.
pub(crate) fn serve(
    addr: SocketAddrV4,
    in_flight: &Rc<InFlight>,
    handler: impl Fn(&Method, &str, &[u8]) -> Answer + 'static,
) -> Result<()> {
    let bind_error = || Error::Bind(addr.into());
    let listener = std::net::TcpListener::bind(addr).change_context_lazy(bind_error)?;
    listener
        .set_nonblocking(true)
        .change_context_lazy(bind_error)?;
    let listener = TcpListener::from_std(listener).change_context_lazy(bind_error)?;
    task::spawn_local(accept(listener, in_flight.clone(), Rc::new(handler)));
    Ok(())
}

async fn accept<H>(listener: TcpListener, in_flight: Rc<InFlight>, handler: Rc<H>)
where
    H: Fn(&Method, &str, &[u8]) -> Answer + 'static,
{
    /// Pause after a connection could not be accepted, for example because no file
    /// descriptor is left.
    const PAUSE: Duration = Duration::from_millis(50);

    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn_local(answer(stream, in_flight.clone(), handler.clone()));
            }
            Err(error) => {
                log::warn!("event=accept-failed error=\"{error}\"");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

async fn answer<H>(stream: TcpStream, in_flight: Rc<InFlight>, handler: Rc<H>)
where
    H: Fn(&Method, &str, &[u8]) -> Answer + 'static,
{
    // A peer that stops reading must not keep a body in memory for long.
    if let Err(error) = transport::limit_silence(&stream) {
        return log::debug!("event=connection-ended error=\"{error}\"");
    }
    let service = service_fn(move |request: Request<Incoming>| {
        let (handler, in_flight) = (handler.clone(), in_flight.clone());
        async move {
            let (parts, body) = request.into_parts();
            let answer = match Limited::new(body, MAX_BODY_LEN).collect().await {
                Ok(body) => handler(&parts.method, parts.uri.path(), &body.to_bytes()),
                Err(_) => Answer::empty(StatusCode::BAD_REQUEST),
            };
            let (status, parts) = answer.wait().await;
            let sent = in_flight.admit(&parts);
            let (status, parts) = match sent {
                Some(_) => (status, parts),
                None => (StatusCode::SERVICE_UNAVAILABLE, Vec::new()),
            };
            let mut response = Response::new(PartsBody::new(parts, sent));
            *response.status_mut() = status;
            Ok::<_, Infallible>(response)
        }
    });
    let result = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = result {
        log::debug!("event=connection-ended error=\"{error}\"");
    }
}
