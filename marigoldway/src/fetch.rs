//! HTTP/1.1 client that opens one connection per request.

use std::net::SocketAddrV4;

use bytes::Bytes;
use error_stack::ResultExt;
use http::Request;
use http::Response;
use http::header::HOST;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::errors::Error;
use crate::errors::Result;

/// Sends a GET request for `path` and waits for the head of the response, without a timeout.
///
/// Fails if the server is unreachable or closes the connection before the head is complete.
pub(crate) async fn get(addr: SocketAddrV4, path: &str) -> Result<Response<Incoming>> {
    let request_error = || Error::Request(addr.to_string());
    let stream = TcpStream::connect(addr)
        .await
        .change_context_lazy(request_error)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .change_context_lazy(request_error)?;
    tokio::spawn(connection);

    let request = Request::get(path)
        .header(HOST, addr.to_string())
        .body(Empty::<Bytes>::new())
        .change_context_lazy(request_error)?;
    sender
        .send_request(request)
        .await
        .change_context_lazy(request_error)
}
