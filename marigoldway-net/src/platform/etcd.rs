//! Client of the platform over etcd's v3 JSON gateway.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use http::Method;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::platform::Change;
use crate::platform::LeaseId;
use crate::platform::Platform;
use crate::platform::Range;
use crate::platform::ReadResult;
use crate::platform::Swap;
use crate::platform::SwapOutcome;
use crate::platform::Watch;
use crate::platform::calls::CallCounts;
use crate::platform::calls::CallKind;
use crate::platform::errors::Error;
use crate::platform::errors::Result;
use crate::platform::transport;
use crate::platform::wire::GrantRequest;
use crate::platform::wire::KeepAliveRequest;
use crate::platform::wire::LeaseResponse;
use crate::platform::wire::RangeRequest;
use crate::platform::wire::RangeResponse;
use crate::platform::wire::StreamMessage;
use crate::platform::wire::TxnRequest;
use crate::platform::wire::TxnResponse;
use crate::platform::wire::WatchRequest;
use crate::platform::wire::WatchResponse;

/// Maximum length of one watch response in octets: two values of a megabyte in
/// base64.
const MAX_RESPONSE_LEN: usize = 4 << 20;

/// Maximum number of changes of one watch that wait for their consumer.
const WATCH_QUEUE_LEN: usize = 16;

/// `EtcdOptions` holds the address of the gateway and the time limit of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EtcdOptions {
    /// TCP address of the gateway.
    pub address: SocketAddr,
    /// Time limit of a call; for a watch, of its opening.
    pub timeout: Duration,
}

/// `EtcdPlatform` is a client of the gateway. It opens one connection for each call,
/// since calls are rare.
#[derive(Debug)]
pub struct EtcdPlatform {
    options: EtcdOptions,
    calls: CallCounts,
}

impl EtcdPlatform {
    /// Creates a client without opening a connection.
    pub fn new(options: EtcdOptions) -> EtcdPlatform {
        EtcdPlatform {
            options,
            calls: CallCounts::default(),
        }
    }

    /// Counters of the calls made so far.
    pub fn calls(&self) -> &CallCounts {
        &self.calls
    }

    /// Makes one call and decodes its response.
    async fn call<A: DeserializeOwned>(
        &self,
        kind: CallKind,
        path: &'static str,
        body: &impl Serialize,
    ) -> Result<A> {
        let body = encode(body)?;
        let method = Method::POST;
        let exchange = transport::exchange(self.options.address, method, path, body);
        let (status, response) = self.with_timeout(kind, exchange).await?;
        if status != StatusCode::OK {
            return Err(Error::invalid_response(status));
        }
        serde_json::from_slice(&response).map_err(Error::invalid_response)
    }

    /// Sends one request and waits for the header of the response. The returned
    /// task drives the connection.
    async fn send(
        &self,
        path: &'static str,
        body: Bytes,
    ) -> Result<(Response<Incoming>, JoinHandle<()>)> {
        let pending = transport::open(self.options.address, Method::POST, path, body).await?;
        let status = pending.response.status();
        if status != StatusCode::OK {
            pending.driver.abort();
            return Err(Error::invalid_response(status));
        }
        Ok((pending.response, pending.driver))
    }

    /// Counts a call and waits for it, up to the time limit of calls.
    async fn with_timeout<T>(
        &self,
        kind: CallKind,
        call: impl Future<Output = Result<T>>,
    ) -> Result<T> {
        self.calls.record(kind);
        let limit = self.options.timeout;
        tokio::time::timeout(limit, call)
            .await
            .unwrap_or(Err(Error::Timeout { limit }))
    }
}

impl Platform for EtcdPlatform {
    async fn get(&self, range: Range<'_>) -> Result<ReadResult> {
        let request = RangeRequest::from(range);
        let response: RangeResponse = self.call(CallKind::Get, "/v3/kv/range", &request).await?;
        ReadResult::try_from(response)
    }

    async fn compare_and_swap(&self, swap: &Swap) -> Result<SwapOutcome> {
        let request = TxnRequest::from(swap);
        let response: TxnResponse = self.call(CallKind::Swap, "/v3/kv/txn", &request).await?;
        if response.succeeded {
            return Ok(SwapOutcome::Applied(response.revision()));
        }
        Ok(SwapOutcome::Refused)
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId> {
        let request = GrantRequest {
            ttl: ttl.as_secs().max(1).to_string(),
        };
        let path = "/v3/lease/grant";
        let response: LeaseResponse = self.call(CallKind::Lease, path, &request).await?;
        Ok(LeaseId(response.id.0))
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<()> {
        let request = KeepAliveRequest {
            id: lease.0.to_string(),
        };
        let path = "/v3/lease/keepalive";
        let response: StreamMessage<LeaseResponse> =
            self.call(CallKind::KeepAlive, path, &request).await?;
        if response.result.ttl.0 == 0 {
            return Err(Error::LeaseLost);
        }
        Ok(())
    }

    async fn watch(&self, prefix: &str, revision: u64) -> Result<Watch> {
        let body = encode(&WatchRequest::new(prefix, revision))?;
        let request = self.send("/v3/watch", body);
        let (response, driver) = self.with_timeout(CallKind::Watch, request).await?;
        let (changes, queue) = mpsc::channel(WATCH_QUEUE_LEN);
        let reader = tokio::spawn(async move {
            read_watch(response.into_body(), &changes).await;
            driver.abort();
        });
        Ok(Watch::new(queue, reader))
    }
}

fn encode(body: &impl Serialize) -> Result<Bytes> {
    let body = serde_json::to_vec(body).map_err(Error::invalid_response)?;
    Ok(Bytes::from(body))
}

/// Reads responses, one JSON value per line, until the stream ends, a response is
/// invalid or too long, or the consumer is gone.
async fn read_watch(mut body: Incoming, changes: &mpsc::Sender<Change>) {
    let mut buffer = BytesMut::new();
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        if buffer.len() > MAX_RESPONSE_LEN {
            return;
        }
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line = buffer.split_to(end);
            buffer.advance(1);
            if !forward_changes(&line, changes).await {
                return;
            }
        }
    }
}

/// Forwards the changes of one response, and skips events that can't be decoded.
/// Returns whether the watch continues.
async fn forward_changes(line: &[u8], changes: &mpsc::Sender<Change>) -> bool {
    let Ok(response) = serde_json::from_slice::<StreamMessage<WatchResponse>>(line) else {
        return false;
    };
    for event in response.result.events {
        let Ok(change) = event.into_change() else {
            continue;
        };
        if changes.send(change).await.is_err() {
            return false;
        }
    }
    !response.result.canceled
}
