//! Requests on their way from HTTP/3 to the target's HTTP/1.1 and back.
//!
//! A request without an idempotency key is sent to the target once at most, and
//! its caller's absence cancels it. One with a key is run by a task of its own,
//! whoever waits for it, so that a later attempt finds its outcome.

mod access;
mod ask;
mod body;
mod head;
mod headers;
mod held;
mod inbound;
mod keys;
mod local;
mod once;
mod peers;
mod reply;
mod run;
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

use crate::agent::requests::ask::Ask;
use crate::agent::requests::body::Bodies;
use crate::agent::requests::head::Head;
use crate::agent::requests::keys::ISSUE_MAX;
use crate::agent::requests::keys::Keys;
use crate::agent::requests::local::Local;
use crate::agent::requests::local::Patience;
use crate::agent::requests::reply::Answer;
use crate::agent::requests::reply::Reply;
use crate::agent::requests::slots::Slots;
use crate::agent::requests::target::Target;
use crate::metrics::Counter;
use crate::metrics::Metrics;
use crate::settings::AgentSettings;
use crate::shares::ConnectionPermits;
use crate::shares::PermitGuard;

pub(super) use crate::agent::requests::access::Access;
pub(super) use crate::agent::requests::peers::Peers;

/// Path that hands out idempotency keys.
const KEYS_PATH: &str = "/.marigoldway/keys";

/// Octets of an answer that are held back until it is whole, where the body of
/// the request was not held.
const HOLD_PLAIN: usize = 64 << 10;

/// Longest body of a request with a key, in octets.
const KEYED_BODY_MAX: usize = 1 << 20;

/// Longest body that is held so that its request may go to a peer, in octets.
const RELAY_BODY_MAX: u64 = 256 << 10;

/// The stream of a caller.
pub(super) type ServerStream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// `Requests` serves the requests of an agent.
pub(super) struct Requests {
    own: Route,
    clock: Clock,
    access: Access,
    bodies: Bodies,
    keys: Arc<Keys>,
    local: Local,
    peers: Arc<Peers>,
    budget: Mutex<RetryBudget>,
    metrics: Arc<Metrics>,
}

impl Requests {
    /// Makes the requests of the agent that `own` names.
    pub(super) fn new(
        settings: &AgentSettings,
        own: Route,
        clock: Clock,
        access: Access,
        peers: Arc<Peers>,
        metrics: Arc<Metrics>,
    ) -> Arc<Requests> {
        let target = &settings.target;
        let options = AdmissionOptions {
            slots: usize::try_from(target.slots).unwrap_or(usize::MAX),
            connections: usize::try_from(target.connections).unwrap_or(usize::MAX),
            ..AdmissionOptions::default()
        };
        let local = Local {
            slots: Slots::new(options, clock, own.incarnation),
            target: Target::new(target.address),
            clock,
        };
        Arc::new(Requests {
            own,
            clock,
            access,
            bodies: Bodies::new(),
            keys: Keys::new(&own, &settings.keys.idempotency.0, clock),
            local,
            peers,
            budget: Mutex::default(),
            metrics,
        })
    }

    /// What is held now.
    pub(super) fn load(&self) -> Load {
        self.local.slots.load()
    }

    /// Stops taking new requests.
    pub(super) fn leave(&self) {
        self.local.slots.leave();
    }

    /// Waits until nothing runs and nothing waits.
    pub(super) async fn idle(&self) {
        self.local.slots.idle().await;
    }

    /// Serves one request. `gone` is done when its caller is gone, and `seats`
    /// are those of its flow.
    pub(super) async fn serve(
        self: Arc<Self>,
        request: Request<()>,
        stream: ServerStream,
        mut gone: watch::Receiver<()>,
        seats: Arc<ConnectionPermits>,
    ) {
        let (mut send, receive) = stream.split();
        let work = async {
            // What is admitted lasts until the answer is sent.
            let mut admitted = None;
            let reply = self.reply(request, receive, &seats, &mut admitted).await;
            let retry = match &reply {
                Reply::Refused(reason) => {
                    self.metrics.count(Counter::Refusal(*reason));
                    Some(self.retry_after(*reason))
                }
                Reply::Unknown(doubt) => {
                    self.metrics.count(Counter::UnknownReason(*doubt));
                    None
                }
                Reply::Whole(_) | Reply::Streamed(..) => None,
            };
            reply::send(reply, self.own.agent, retry, &mut send).await
        };
        tokio::select! {
            sent = work => if let Err(err) = sent {
                log::debug!("event=answer-failed error={err:?}");
            },
            // The sender never sends; it is dropped with the flow.
            _ = gone.changed() => {}
        }
    }

    /// When a refused caller may come back.
    fn retry_after(&self, reason: Refusal) -> Duration {
        match reason {
            Refusal::CustomerConnections | Refusal::RequestRate | Refusal::BulkLimit => {
                self.local.slots.allowance_retry()
            }
            _ => self.local.slots.retry_after(),
        }
    }

    async fn reply(
        self: &Arc<Self>,
        request: Request<()>,
        receive: body::ReceiveHalf,
        seats: &ConnectionPermits,
        admitted: &mut Option<PermitGuard>,
    ) -> Reply {
        let (parts, ()) = request.into_parts();
        let head = match Head::new(&parts, self.clock.now()) {
            Ok(head) => head,
            // With a key, another attempt may have been well formed and run.
            Err(_) if parts.headers.contains_key(headers::KEY) => {
                return Reply::Unknown(UnknownReason::KeyUnread);
            }
            Err(reason) => return Reply::Refused(reason),
        };
        if head.route() == KEYS_PATH {
            return self.issue(&head, seats).await;
        }
        match head.key.clone() {
            Some(key) => self.keyed(head, &key, receive).await,
            None => self.plain(head, receive, seats, admitted).await,
        }
    }

    async fn issue(&self, head: &Head, seats: &ConnectionPermits) -> Reply {
        let checked = match self.access.check(head) {
            Ok(grant) => self.access.take_seat(seats, &grant).await,
            Err(reason) => Err(reason),
        };
        if let Err(reason) = checked {
            return Reply::Refused(reason);
        }
        let count = head.query("count").map_or(Ok(1), str::parse);
        match count {
            Ok(count @ 1..=ISSUE_MAX) if head.method == Method::POST => {
                Reply::Whole(text(self.keys.issue(count)))
            }
            _ => Reply::Refused(Refusal::Malformed),
        }
    }

    /// Runs a request that has no key. A short body is held whole, so that the
    /// request may go to a peer; a longer one is passed on as it comes.
    async fn plain(
        self: &Arc<Self>,
        head: Head,
        receive: body::ReceiveHalf,
        seats: &ConnectionPermits,
        admitted: &mut Option<PermitGuard>,
    ) -> Reply {
        let grant = match self.access.check(&head) {
            Ok(grant) => grant,
            Err(reason) => return Reply::Refused(reason),
        };
        let allowed = match self.access.take_seat(seats, &grant).await {
            Ok(()) => self.access.allow(&grant).await,
            Err(reason) => Err(reason),
        };
        match allowed {
            Ok(allowed) => *admitted = Some(allowed),
            Err(reason) => return Reply::Refused(reason),
        }
        self.budget().deposit();
        let short = body::is_empty(&head) || head.length.is_some_and(|it| it <= RELAY_BODY_MAX);
        if grant.class == Class::Feed || !short {
            let hold = match grant.class {
                Class::Feed => 0,
                Class::Short | Class::Bulk => HOLD_PLAIN,
            };
            let body = body::incoming(&head, receive);
            let patience = Patience::Caller;
            return self.local.run(&head, &grant, body, hold, patience).await;
        }

        let held = self.bodies.collect(&head, receive, KEYED_BODY_MAX);
        let (body, room) = match held.await {
            Ok(held) => held,
            Err(fault) => return fault.into(),
        };
        let ask = Ask {
            digest: digest(&head, &body),
            head,
            body,
            room: Some(room),
            access: Ok(grant.clone()),
        };
        self.held(&ask, &grant, Patience::Caller).await
    }

    fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn text(body: String) -> Answer {
    let mut headers = HeaderMap::new();
    let kind = HeaderValue::from_static("text/plain");
    headers.insert(header::CONTENT_TYPE, kind);
    Answer {
        status: StatusCode::OK,
        headers,
        body: body.into(),
    }
}

/// The digest of everything that makes two requests the same.
fn digest(head: &Head, body: &[u8]) -> Digest {
    let token = head.token.as_deref().unwrap_or_default();
    let mut sum = Sha256::new();
    for part in [token, head.method.as_str(), &head.path] {
        sum.update((part.len() as u64).to_le_bytes());
        sum.update(part);
    }
    sum.update(body);
    Digest(sum.finalize().into())
}
