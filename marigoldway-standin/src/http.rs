//! A small HTTP/1.1 server for the stand-ins.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::BoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;

/// Body of an answer.
pub(crate) type Body = BoxBody<Bytes, Infallible>;

/// Answer of a handler. An error closes the connection without an answer.
pub(crate) type Answer = io::Result<Response<Body>>;

/// Serves connections until the process is ended.
pub(crate) async fn serve<S, H, F>(listener: TcpListener, state: Arc<S>, handle: H)
where
    S: Send + Sync + 'static,
    H: Fn(Arc<S>, Request<Incoming>) -> F + Copy + Send + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    loop {
        // A connection that was reset before it could be accepted is the
        // caller's matter.
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        // A small answer must not wait for the acknowledgement of its head.
        let _ = stream.set_nodelay(true);

        let state = state.clone();
        let service = service_fn(move |request| handle(state.clone(), request));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            let _ = connection.await;
        });
    }
}

/// Makes an answer of plain text.
pub(crate) fn text(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    let mut response = Response::new(Full::new(Bytes::from(text.into())).boxed());
    *response.status_mut() = status;
    response
}

/// The value of `name` in the query of a request, taken word for word.
pub(crate) fn query<'a, B>(request: &'a Request<B>, name: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// The value of `name` in the query of a request as a number.
pub(crate) fn query_number<B>(request: &Request<B>, name: &str) -> Option<u64> {
    query(request, name)?.parse().ok()
}
