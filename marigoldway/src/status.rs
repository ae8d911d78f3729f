//! `marigoldway status`: asks a process what it sees.

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

/// Longest time that the answer may take.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Prints the `/status` page of the process with the operator address `addr`.
pub fn run(addr: SocketAddrV4) -> Result<()> {
    let runtime = Runtime::new().change_context(Error::Start("runtime"))?;
    let answer = runtime.block_on(async { tokio::time::timeout(TIMEOUT, ask(addr)).await });
    let body = answer.change_context_lazy(|| Error::Request(addr.to_string()))??;
    print!("{}", String::from_utf8_lossy(&body));
    Ok(())
}

/// The `/status` page of the process with the operator address `addr`.
pub async fn fetch(addr: SocketAddrV4) -> Result<Value> {
    let failed = || Error::Request(addr.to_string());
    let answer = tokio::time::timeout(TIMEOUT, ask(addr)).await;
    let body = answer.change_context_lazy(failed)??;
    serde_json::from_slice(&body).change_context_lazy(failed)
}

async fn ask(addr: SocketAddrV4) -> Result<Bytes> {
    let failed = || Error::Request(addr.to_string());
    let response = fetch::get(addr, "/status").await?;
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
