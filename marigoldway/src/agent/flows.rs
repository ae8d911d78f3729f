//! The flows of an agent: HTTP/3 connections and their requests.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use h3::server::Connection;
use quinn::Endpoint;
use quinn::Incoming;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::agent::requests::Requests;
use crate::shares::Seats;
use crate::shutdown::Shutdown;

/// Longest time for which a leaving agent keeps a flow without requests, and the
/// time between two looks at it.
const REJECT_PERIOD: Duration = Duration::from_millis(500);
const REJECT_INTERVAL: Duration = Duration::from_millis(20);

/// `Flows` accepts connections and serves their requests.
pub(super) struct Flows {
    requests: Arc<Requests>,
    shutdown: Shutdown,
    open: AtomicUsize,
    ended: Notify,
}

impl Flows {
    /// Makes an empty set of flows.
    pub(super) fn new(requests: Arc<Requests>, shutdown: Shutdown) -> Flows {
        Flows {
            requests,
            shutdown,
            open: AtomicUsize::new(0),
            ended: Notify::new(),
        }
    }

    /// Flows that are open.
    pub(super) fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Waits until no flow is open.
    pub(super) async fn wait_ended(&self) {
        loop {
            let ended = self.ended.notified();
            if self.open() == 0 {
                return;
            }
            ended.await;
        }
    }

    /// Accepts flows until the endpoint is closed.
    pub(super) async fn accept(self: Arc<Self>, endpoint: Endpoint) {
        while let Some(incoming) = endpoint.accept().await {
            let flows = self.clone();
            flows.open.fetch_add(1, Ordering::AcqRel);
            tokio::spawn(async move {
                flows.serve(incoming).await;
                flows.open.fetch_sub(1, Ordering::AcqRel);
                flows.ended.notify_waiters();
            });
        }
    }

    async fn serve(&self, incoming: Incoming) {
        let caller = incoming.remote_address();
        let connection = match incoming.await {
            Ok(connection) => connection,
            Err(err) => return log::debug!("event=handshake-failed caller={caller} error={err:?}"),
        };
        let connection = h3_quinn::Connection::new(connection);
        match h3::server::Connection::new(connection).await {
            Ok(connection) => self.serve_connection(connection).await,
            Err(err) => log::debug!("event=flow-failed caller={caller} error={err:?}"),
        }
    }

    /// Serves the requests of one flow. When the agent leaves, the caller is
    /// goaway_sent so, and the flow ends with the last request that it has open.
    async fn serve_connection(&self, mut connection: Connection<h3_quinn::Connection, Bytes>) {
        // Its requests learn that a flow is gone when this is dropped.
        let (flow_open, flow_closed) = watch::channel(());
        let permits = Arc::new(Seats::default());
        let mut goaway_sent = false;
        loop {
            let accepted = tokio::select! {
                accepted = connection.accept() => accepted,
                () = self.shutdown.leaving(), if !goaway_sent => {
                    goaway_sent = true;
                    if connection.shutdown(0).await.is_err() {
                        return;
                    }
                    continue;
                }
            };
            let resolver = match accepted {
                Ok(Some(resolver)) => resolver,
                Ok(None) if goaway_sent => break reject_late(&mut connection).await,
                Ok(None) | Err(_) => break,
            };
            let requests = self.requests.clone();
            let flow_closed = flow_closed.clone();
            let permits = permits.clone();
            tokio::spawn(async move {
                if let Ok((request, stream)) = resolver.resolve_request().await {
                    requests.serve(request, stream, flow_closed, permits).await;
                }
            });
        }
        drop(flow_open);
    }
}

/// Keeps a flow without requests open until its caller closes it, or for a
/// while. A request that crossed the news of the leave on its way is rejected
/// within that time, which tells its caller that it did not run; a closed flow
/// would leave it in doubt.
async fn reject_late(connection: &mut Connection<h3_quinn::Connection, Bytes>) {
    let end = Instant::now() + REJECT_PERIOD;
    while Instant::now() < end {
        // Rejects what came in the meantime.
        if connection.accept().await.is_err() {
            return;
        }
        sleep(REJECT_INTERVAL).await;
    }
}
