//! `marigoldway status`: fetches the status of a process from its operator endpoint.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use error_stack::Report;
use error_stack::ResultExt;
use http_body_util::BodyExt;
use serde_json::Value;
use tokio::runtime::Runtime;

use crate::errors::Error;
use crate::errors::Result;
use crate::fetch;

/// Timeout of the whole request.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Prints the `/status` response of the process with the operator address `addr`.
///
/// Fails if there is no complete response within 5 seconds or its status isn't a success.
pub fn run(addr: SocketAddrV4) -> Result<()> {
    let runtime = Runtime::new().change_context(Error::Start("runtime"))?;
    let result =
        runtime.block_on(async { tokio::time::timeout(TIMEOUT, request_status(addr)).await });
    let body = result.change_context_lazy(|| Error::Request(addr.to_string()))??;
    print!("{}", String::from_utf8_lossy(&body));
    Ok(())
}

/// Fetches and parses the `/status` response of the process with the operator address `addr`.
///
/// Fails as [`run`] does, or if the response isn't JSON.
pub async fn fetch(addr: SocketAddrV4) -> Result<Value> {
    let request_error = || Error::Request(addr.to_string());
    let result = tokio::time::timeout(TIMEOUT, request_status(addr)).await;
    let body = result.change_context_lazy(request_error)??;
    serde_json::from_slice(&body).change_context_lazy(request_error)
}

async fn request_status(addr: SocketAddrV4) -> Result<Bytes> {
    let request_error = || Error::Request(addr.to_string());
    let response = fetch::get(addr, "/status").await?;
    if !response.status().is_success() {
        return Err(
            Report::new(request_error()).attach(format!("HTTP status {}", response.status()))
        );
    }
    let body = response
        .into_body()
        .collect()
        .await
        .change_context_lazy(request_error)?;
    Ok(body.to_bytes())
}
