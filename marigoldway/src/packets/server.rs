//! A small HTTP/1.1 server for requests of routers, targets and peers.

use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use error_stack::ResultExt;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task;

use crate::errors::Error;
use crate::errors::Result;

/// Maximum length of a request body in octets. A heartbeat has a few hundred.
const MAX_BODY_LEN: usize = 16 * 1024;

/// Timeout for reading the header of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// `Answer` is the response to an HTTP request.
pub(crate) enum Answer {
    /// A status and a body.
    Full(StatusCode, Bytes),
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

    /// The status and the body, once they are known.
    pub(crate) async fn wait(mut self) -> (StatusCode, Bytes) {
        loop {
            match self {
                Answer::Full(status, body) => return (status, body),
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

/// Binds `addr` and answers its requests in a separate task. Passes the method, the path and the
/// body to `handler`. Answers 400 if the body can't be read or is longer than
/// [`MAX_BODY_LEN`]. Returns [`Error::Bind`] if the address can't be bound.
pub(crate) fn serve(
    addr: SocketAddrV4,
    handler: impl Fn(&Method, &str, &[u8]) -> Answer + 'static,
) -> Result<()> {
    let bind_error = || Error::Bind(addr.into());
    let listener = std::net::TcpListener::bind(addr).change_context_lazy(bind_error)?;
    listener
        .set_nonblocking(true)
        .change_context_lazy(bind_error)?;
    let listener = TcpListener::from_std(listener).change_context_lazy(bind_error)?;
    task::spawn_local(accept(listener, Rc::new(handler)));
    Ok(())
}

async fn accept<H>(listener: TcpListener, handler: Rc<H>)
where
    H: Fn(&Method, &str, &[u8]) -> Answer + 'static,
{
    /// Pause after a connection could not be accepted, for example because no file
    /// descriptor is left.
    const PAUSE: Duration = Duration::from_millis(50);

    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn_local(answer(stream, handler.clone()));
            }
            Err(error) => {
                log::warn!("event=accept-failed error=\"{error}\"");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

async fn answer<H>(stream: TcpStream, handler: Rc<H>)
where
    H: Fn(&Method, &str, &[u8]) -> Answer + 'static,
{
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        async move {
            let (parts, body) = request.into_parts();
            let answer = match Limited::new(body, MAX_BODY_LEN).collect().await {
                Ok(body) => handler(&parts.method, parts.uri.path(), &body.to_bytes()),
                Err(_) => Answer::empty(StatusCode::BAD_REQUEST),
            };
            let (status, body) = answer.wait().await;
            let mut response = Response::new(Full::new(body));
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
