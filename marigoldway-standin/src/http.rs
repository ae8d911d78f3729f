//! Minimal HTTP/1.1 server for the stand-ins.

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

/// Body of a response.
pub(crate) type Body = BoxBody<Bytes, Infallible>;

/// Result of a handler. An error closes the connection without a response.
pub(crate) type HandlerResult = io::Result<Response<Body>>;

/// Serves connections of `listener` until the process is terminated.
pub(crate) async fn serve<S, H, F>(listener: TcpListener, state: Arc<S>, handle: H)
where
    S: Send + Sync + 'static,
    H: Fn(Arc<S>, Request<Incoming>) -> F + Copy + Send + 'static,
    F: Future<Output = HandlerResult> + Send + 'static,
{
    loop {
        // The accept fails if the client has reset the connection, which the client handles itself.
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        // Nagle's algorithm would hold a small body back until the head is
        // acknowledged.
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

/// Creates a response with a text as its body.
pub(crate) fn text(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    let mut response = Response::new(Full::new(Bytes::from(text.into())).boxed());
    *response.status_mut() = status;
    response
}

/// The value of `name` in the query of a request, without percent-decoding.
pub(crate) fn query<'a, B>(request: &'a Request<B>, name: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// The value of `name` in the query of a request, `None` if it is missing or no number.
pub(crate) fn query_number<B>(request: &Request<B>, name: &str) -> Option<u64> {
    query(request, name)?.parse().ok()
}
