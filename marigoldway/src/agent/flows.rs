//! Accepts flows (the HTTP/3 connections of callers) and serves their requests.

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
use crate::shares::ConnectionPermits;
use crate::shutdown::Shutdown;

/// Maximum time for which a leaving agent keeps a flow without requests open.
const REJECT_PERIOD: Duration = Duration::from_millis(500);

/// Interval at which a leaving agent rejects the late requests of a flow, within
/// [`REJECT_PERIOD`].
const REJECT_INTERVAL: Duration = Duration::from_millis(20);

/// `Flows` accepts the flows of an endpoint, serves their requests and counts them.
pub(super) struct Flows {
    requests: Arc<Requests>,
    shutdown: Shutdown,
    open: AtomicUsize,
    ended: Notify,
}

impl Flows {
    /// Creates the state without a flow; [`Flows::accept`] fills it.
    pub(super) fn new(requests: Arc<Requests>, shutdown: Shutdown) -> Flows {
        Flows {
            requests,
            shutdown,
            open: AtomicUsize::new(0),
            ended: Notify::new(),
        }
    }

    /// Returns the number of open flows, including those in their handshake.
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

    /// Serves the requests of one flow until the caller closes it. When the agent
    /// leaves, it sends GOAWAY to the caller, and closes the flow [`REJECT_PERIOD`] after
    /// the flow's last open request.
    async fn serve_connection(&self, mut connection: Connection<h3_quinn::Connection, Bytes>) {
        // Dropping `flow_open` notifies the flow's requests that the flow is closed.
        let (flow_open, flow_closed) = watch::channel(());
        let permits = Arc::new(ConnectionPermits::default());
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
                Ok(None) if goaway_sent => break reject_late_requests(&mut connection).await,
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

/// Keeps a flow without requests open until its caller closes it, or for
/// [`REJECT_PERIOD`]. Within that time, a request that the caller sent before it
/// received the GOAWAY is rejected, so that the caller knows that the request did
/// not run. If the flow were closed at once, the request's outcome would be unknown.
async fn reject_late_requests(connection: &mut Connection<h3_quinn::Connection, Bytes>) {
    let end = Instant::now() + REJECT_PERIOD;
    while Instant::now() < end {
        // Rejects the requests received since the last call.
        if connection.accept().await.is_err() {
            return;
        }
        sleep(REJECT_INTERVAL).await;
    }
}
