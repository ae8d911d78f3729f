//! Receives the requests of callers over HTTP/3, forwards them to the target over
//! HTTP/1.1, and returns the target's answers.
//!
//! A request without an idempotency key is canceled if its caller disconnects. A
//! request with a key runs in its own task, independent of its caller, so that a later
//! attempt finds its outcome. Either kind is sent again only if the first attempt sent
//! nothing or reported that it did not run, or if the lists mark the request as
//! repeatable.

mod access;
mod body;
mod buffered;
mod dispatch;
mod exchange;
mod head;
mod headers;
mod idempotent;
mod inbound;
mod keys;
mod local;
mod peers;
mod reply;
mod slots;
mod target;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use h3::server::RequestStream;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::header;
use sha2::Digest as _;
use sha2::Sha256;
use tokio::sync::watch;

use marigoldway_core::admission::AdmissionOptions;
use marigoldway_core::admission::Load;
use marigoldway_core::duplicates::Digest;
use marigoldway_core::request::Class;
use marigoldway_core::request::Refusal;
use marigoldway_core::request::UnknownReason;
use marigoldway_core::retry::RetryBudget;
use marigoldway_core::route::Route;
use marigoldway_net::clock::Clock;

use crate::agent::requests::body::BodyBuffers;
use crate::agent::requests::buffered::BufferedRequest;
use crate::agent::requests::head::RequestHead;
use crate::agent::requests::keys::Keys;
use crate::agent::requests::keys::MAX_ISSUED_KEYS;
use crate::agent::requests::local::LocalTarget;
use crate::agent::requests::local::WaitLimit;
use crate::agent::requests::reply::Answer;
use crate::agent::requests::reply::Reply;
use crate::agent::requests::slots::Slots;
use crate::agent::requests::target::Target;
use crate::metrics::Counter;
use crate::metrics::Metrics;
use crate::settings::AgentSettings;
use crate::shares::ConnectionPermits;
use crate::shares::PermitGuard;

pub(super) use crate::agent::requests::access::AccessControl;
pub(super) use crate::agent::requests::peers::Peers;

/// Path of the endpoint that issues idempotency keys.
const KEYS_PATH: &str = "/.marigoldway/keys";

/// Maximum length of an answer that is buffered until it is complete, in octets, if
/// the request's body was streamed. A longer answer is streamed too.
const MAX_STREAMED_REQUEST_ANSWER: usize = 64 << 10;

/// Maximum length of a buffered request body, in octets. The bodies of all requests
/// with an idempotency key are buffered.
const MAX_BUFFERED_BODY: usize = 1 << 20;

/// Maximum declared body length of a request without a key that is buffered, in
/// octets. Only a buffered request can be relayed to a peer (another agent of the
/// service).
const MAX_RELAYED_BODY: u64 = 256 << 10;

/// Bidirectional HTTP/3 stream of one request of a caller.
pub(super) type ServerStream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// `Requests` serves the requests of callers and peers to an agent.
pub(super) struct Requests {
    own_route: Route,
    clock: Clock,
    access: AccessControl,
    buffers: BodyBuffers,
    keys: Arc<Keys>,
    local: LocalTarget,
    peers: Arc<Peers>,
    retry_budget: Mutex<RetryBudget>,
    metrics: Arc<Metrics>,
}

impl Requests {
    /// Creates the request handling of the agent with the route `own_route`.
    pub(super) fn new(
        settings: &AgentSettings,
        own_route: Route,
        clock: Clock,
        access: AccessControl,
        peers: Arc<Peers>,
        metrics: Arc<Metrics>,
    ) -> Arc<Requests> {
        let target = &settings.target;
        let options = AdmissionOptions {
            slots: usize::try_from(target.slots).unwrap_or(usize::MAX),
            connections: usize::try_from(target.connections).unwrap_or(usize::MAX),
            ..AdmissionOptions::default()
        };
        let local = LocalTarget {
            slots: Slots::new(options, clock, own_route.incarnation),
            target: Target::new(target.address),
            clock,
        };
        Arc::new(Requests {
            own_route,
            clock,
            access,
            buffers: BodyBuffers::new(),
            keys: Keys::new(&own_route, &settings.keys.idempotency.0, clock),
            local,
            peers,
            retry_budget: Mutex::default(),
            metrics,
        })
    }

    /// Returns the current load of the target's slots and queues.
    pub(super) fn load(&self) -> Load {
        self.local.slots.load()
    }

    /// Refuses new requests from now on. Those that wait still run.
    pub(super) fn leave(&self) {
        self.local.slots.leave();
    }

    /// Waits until no request runs or waits and no feed is open.
    pub(super) async fn idle(&self) {
        self.local.slots.idle().await;
    }

    /// Serves one request of a flow, and stops when the sender of `flow_closed` is dropped.
    /// `permits` holds the connection permits of the flow's customers.
    pub(super) async fn serve(
        self: Arc<Self>,
        request: Request<()>,
        stream: ServerStream,
        mut flow_closed: watch::Receiver<()>,
        permits: Arc<ConnectionPermits>,
    ) {
        let (mut send, receive) = stream.split();
        let work = async {
            // The request counts towards the customer's allowance until its reply is sent.
            let mut allowance = None;
            let reply = self.reply(request, receive, &permits, &mut allowance).await;
            let retry_after = match &reply {
                Reply::Refused(reason) => {
                    self.metrics.count(Counter::Refusal(*reason));
                    Some(self.retry_after(*reason))
                }
                Reply::Unknown(reason) => {
                    self.metrics.count(Counter::UnknownReason(*reason));
                    None
                }
                Reply::Buffered(_) | Reply::Streamed(..) => None,
            };
            reply::send(reply, self.own_route.agent, retry_after, &mut send).await
        };
        tokio::select! {
            sent = work => if let Err(err) = sent {
                log::debug!("event=answer-failed error={err:?}");
            },
            // The sender sends no value. It is dropped when the flow ends.
            _ = flow_closed.changed() => {}
        }
    }

    /// Returns the time after which the caller of a refused request may retry.
    fn retry_after(&self, reason: Refusal) -> Duration {
        match reason {
            Refusal::CustomerConnections | Refusal::RequestRate | Refusal::BulkLimit => {
                self.local.slots.allowance_retry_after()
            }
            _ => self.local.slots.retry_after(),
        }
    }

    /// Runs a request and returns its reply. Sets `allowance` to the permit of a request
    /// that was admitted within the customer's allowance and has no key.
    async fn reply(
        self: &Arc<Self>,
        request: Request<()>,
        receive: body::ReceiveHalf,
        permits: &ConnectionPermits,
        allowance: &mut Option<PermitGuard>,
    ) -> Reply {
        let (parts, ()) = request.into_parts();
        let head = match RequestHead::new(&parts, self.clock.now()) {
            Ok(head) => head,
            // With a key, another attempt may have been well-formed and have run.
            Err(_) if parts.headers.contains_key(headers::KEY) => {
                return Reply::Unknown(UnknownReason::KeyUnread);
            }
            Err(reason) => return Reply::Refused(reason),
        };
        if head.path_without_query() == KEYS_PATH {
            return self.issue_keys(&head, permits).await;
        }
        match head.key.clone() {
            Some(key) => self.serve_keyed(head, &key, receive).await,
            None => self.serve_unkeyed(head, receive, permits, allowance).await,
        }
    }

    /// Issues as many keys as the query parameter `count` asks for: 1 by default, up to
    /// [`MAX_ISSUED_KEYS`]. Any other count or method is refused as malformed.
    async fn issue_keys(&self, head: &RequestHead, permits: &ConnectionPermits) -> Reply {
        let checked = match self.access.check(head) {
            Ok(grant) => self.access.acquire_connection(permits, &grant).await,
            Err(reason) => Err(reason),
        };
        if let Err(reason) = checked {
            return Reply::Refused(reason);
        }
        let count = head.query_value("count").map_or(Ok(1), str::parse);
        match count {
            Ok(count @ 1..=MAX_ISSUED_KEYS) if head.method == Method::POST => {
                Reply::Buffered(text_answer(self.keys.issue(count)))
            }
            _ => Reply::Refused(Refusal::Malformed),
        }
    }

    /// Runs a request without a key. A body of up to [`MAX_RELAYED_BODY`] octets is
    /// buffered, so that the request can be relayed to a peer. A longer body, one of
    /// undeclared length, and the body of a feed are streamed to the own target.
    async fn serve_unkeyed(
        self: &Arc<Self>,
        head: RequestHead,
        receive: body::ReceiveHalf,
        permits: &ConnectionPermits,
        allowance: &mut Option<PermitGuard>,
    ) -> Reply {
        let grant = match self.access.check(&head) {
            Ok(grant) => grant,
            Err(reason) => return Reply::Refused(reason),
        };
        let permit = match self.access.acquire_connection(permits, &grant).await {
            Ok(()) => self.access.admit(&grant).await,
            Err(reason) => Err(reason),
        };
        match permit {
            Ok(permit) => *allowance = Some(permit),
            Err(reason) => return Reply::Refused(reason),
        }
        self.retry_budget().deposit();
        let relayable = body::has_no_body(&head)
            || head.length.is_some_and(|length| length <= MAX_RELAYED_BODY);
        if grant.class == Class::Feed || !relayable {
            let buffer_limit = match grant.class {
                Class::Feed => 0,
                Class::Short | Class::Bulk => MAX_STREAMED_REQUEST_ANSWER,
            };
            let body = body::streamed(&head, receive);
            let wait_limit = WaitLimit::Deadline;
            return self
                .local
                .run(&head, &grant, body, buffer_limit, wait_limit)
                .await;
        }

        let collected = self.buffers.collect(&head, receive, MAX_BUFFERED_BODY);
        let (body, memory) = match collected.await {
            Ok(collected) => collected,
            Err(err) => return err.into(),
        };
        let request = BufferedRequest {
            digest: digest(&head, &body),
            head,
            body,
            memory: Some(memory),
            access: Ok(grant.clone()),
        };
        self.dispatch(&request, &grant, WaitLimit::Deadline).await
    }

    fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn text_answer(body: String) -> Answer {
    let mut headers = HeaderMap::new();
    let kind = HeaderValue::from_static("text/plain");
    headers.insert(header::CONTENT_TYPE, kind);
    Answer {
        status: StatusCode::OK,
        headers,
        body: body.into(),
    }
}

/// Returns a digest of token, method, path and body. A request is refused if an earlier
/// one with the same key had another digest.
fn digest(head: &RequestHead, body: &[u8]) -> Digest {
    let token = head.token.as_deref().unwrap_or_default();
    let mut hasher = Sha256::new();
    for part in [token, head.method.as_str(), &head.path] {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.update(body);
    Digest(hasher.finalize().into())
}
