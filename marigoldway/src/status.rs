//! `marigoldway status`: asks a process what it sees.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt;
use http::Request;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::runtime::Runtime;

use crate::errors::Error;
use crate::errors::Result;

/// Longest time that the answer may take.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Prints the `/status` page of the process with the operator address `addr`.
pub fn run(addr: SocketAddrV4) -> Result<()> {
    let runtime = Runtime::new().change_context(Error::Start("runtime"))?;
    let answer = runtime.block_on(async { tokio::time::timeout(TIMEOUT, ask(addr)).await });
    let body = answer.change_context_lazy(|| Error::Ask(addr.to_string()))??;
    print!("{}", String::from_utf8_lossy(&body));
    Ok(())
}

/// The `/status` page of the process with the operator address `addr`.
pub async fn fetch(addr: SocketAddrV4) -> Result<Value> {
    let failed = || Error::Ask(addr.to_string());
    let answer = tokio::time::timeout(TIMEOUT, ask(addr)).await;
    let body = answer.change_context_lazy(failed)??;
    serde_json::from_slice(&body).change_context_lazy(failed)
}

async fn ask(addr: SocketAddrV4) -> Result<Bytes> {
    let failed = || Error::Ask(addr.to_string());
    let stream = TcpStream::connect(addr).await.change_context_lazy(failed)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .change_context_lazy(failed)?;
    tokio::spawn(connection);

    let request = Request::get("/status")
        .header(HOST, addr.to_string())
        .body(Empty::<Bytes>::new())
        .change_context_lazy(failed)?;
    let response = sender
        .send_request(request)
        .await
        .change_context_lazy(failed)?;
    if !response.status().is_success() {
        return Err(Report::new(failed()).attach(format!("status {}", response.status())));
    }
    let body = response
        .into_body()
        .collect()
        .await
        .change_context_lazy(failed)?;
    Ok(body.to_bytes())
}
