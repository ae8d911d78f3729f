//! Requests on their way from HTTP/3 to the target's HTTP/1.1 and back.
//!
//! A request without an idempotency key is sent to the target once at most, and
//! its caller's absence cancels it. One with a key is run by a task of its own,
//! whoever waits for it, so that a later attempt finds its outcome.

mod access;
mod body;
mod head;
mod headers;
mod keys;
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
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::sleep;

use marigoldway_core::admission::AdmissionOptions;
use marigoldway_core::duplicates::Digest;
use marigoldway_core::duplicates::Settled;
use marigoldway_core::idempotency::IdempotencyKey;
use marigoldway_core::idempotency::Owner;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::lists::catalog::Catalog;
use marigoldway_core::request::Class;
use marigoldway_core::request::Doubt;
use marigoldway_core::request::Refusal;
use marigoldway_core::retry::Repeat;
use marigoldway_core::retry::RetryBudget;
use marigoldway_core::route::Route;
use marigoldway_core::time::Timestamp;
use marigoldway_net::clock::Clock;

use crate::agent::requests::access::Access;
use crate::agent::requests::access::Grant;
use crate::agent::requests::head::Head;
use crate::agent::requests::keys::Claimed;
use crate::agent::requests::keys::ISSUE_MAX;
use crate::agent::requests::keys::Keys;
use crate::agent::requests::keys::Turn;
use crate::agent::requests::reply::Answer;
use crate::agent::requests::reply::Reply;
use crate::agent::requests::run::Job;
use crate::agent::requests::slots::Slot;
use crate::agent::requests::slots::Slots;
use crate::agent::requests::target::OutBody;
use crate::agent::requests::target::Target;
use crate::metrics::Counter;
use crate::metrics::Metrics;
use crate::metrics::Retry;
use crate::settings::AgentSettings;

/// Path that hands out idempotency keys.
const KEYS_PATH: &str = "/.marigoldway/keys";

/// Octets of an answer that are held back until it is whole, without a key and
/// with one.
const HOLD: usize = 64 << 10;
const HOLD_KEYED: usize = 1 << 20;

/// Longest body of a request with a key, in octets.
const KEYED_BODY_MAX: usize = 1 << 20;

/// Time past its deadline for which a caller is kept waiting, for admission to
/// tell it that nothing ran.
const DEADLINE_GRACE: Duration = Duration::from_millis(25);

/// Time past its deadline for which a request with a key is waited for.
const LATE_LIMIT: Duration = Duration::from_secs(30);

/// The stream of a caller.
pub(super) type ServerStream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// `Requests` serves the requests of an agent.
pub(super) struct Requests {
    own: InstanceId,
    clock: Clock,
    access: Access,
    slots: Arc<Slots>,
    keys: Arc<Keys>,
    target: Target,
    budget: Mutex<RetryBudget>,
    metrics: Arc<Metrics>,
}

impl Requests {
    /// Makes the requests of the agent that `own` names.
    pub(super) fn new(
        settings: &AgentSettings,
        own: &Route,
        clock: Clock,
        catalogs: watch::Receiver<Option<Arc<Catalog>>>,
        metrics: Arc<Metrics>,
    ) -> Arc<Requests> {
        let target = &settings.target;
        let options = AdmissionOptions {
            slots: usize::try_from(target.slots).unwrap_or(usize::MAX),
            connections: usize::try_from(target.connections).unwrap_or(usize::MAX),
            ..AdmissionOptions::default()
        };
        let seed = own.agent.to_u64() ^ u64::from(own.incarnation.0);
        Arc::new(Requests {
            own: own.agent,
            clock,
            access: Access::new(own.service, catalogs),
            slots: Slots::new(options, clock, seed),
            keys: Keys::new(own, &settings.keys.idempotency.0, clock),
            target: Target::new(target.address),
            budget: Mutex::default(),
            metrics,
        })
    }

    /// Stops taking new requests.
    pub(super) fn leave(&self) {
        self.slots.leave();
    }

    /// Waits until nothing runs and nothing waits.
    pub(super) async fn idle(&self) {
        self.slots.idle().await;
    }

    /// Serves one request. `gone` is done when its caller is gone.
    pub(super) async fn serve(
        self: Arc<Self>,
        request: Request<()>,
        stream: ServerStream,
        mut gone: watch::Receiver<()>,
    ) {
        let (mut send, receive) = stream.split();
        let work = async {
            let reply = self.reply(request, receive).await;
            let retry = match &reply {
                Reply::Refused(reason) => {
                    self.metrics.count(Counter::Refusal(*reason));
                    Some(self.slots.retry_after())
                }
                Reply::Unknown(doubt) => {
                    self.metrics.count(Counter::Doubt(*doubt));
                    None
                }
                Reply::Whole(_) | Reply::Streamed(..) => None,
            };
            reply::send(reply, self.own, retry, &mut send).await
        };
        tokio::select! {
            sent = work => if let Err(err) = sent {
                log::debug!("event=answer-failed error={err:?}");
            },
            // The sender never sends; it is dropped with the flow.
            _ = gone.changed() => {}
        }
    }

    async fn reply(self: &Arc<Self>, request: Request<()>, receive: body::ReceiveHalf) -> Reply {
        let (parts, ()) = request.into_parts();
        let head = match Head::new(&parts, self.clock.now()) {
            Ok(head) => head,
            Err(reason) => return Reply::Refused(reason),
        };
        if head.route() == KEYS_PATH {
            return self.issue(&head);
        }
        match head.key.clone() {
            Some(key) => self.keyed(head, &key, receive).await,
            None => self.plain(&head, receive).await,
        }
    }

    fn issue(&self, head: &Head) -> Reply {
        if let Err(reason) = self.access.check(head) {
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

    /// Runs a request that has no key. One that may be repeated, and whose body
    /// is known to be empty, is tried once more within the budget.
    async fn plain(&self, head: &Head, receive: body::ReceiveHalf) -> Reply {
        let grant = match self.access.check(head) {
            Ok(grant) => grant,
            Err(reason) => return Reply::Refused(reason),
        };
        self.budget().deposit();
        if !body::is_empty(head) {
            let body = body::incoming(receive);
            return self.attempt(head, &grant, body).await;
        }

        let reply = self.attempt(head, &grant, target::empty()).await;
        let again = match (&reply, grant.repeat) {
            (Reply::Unknown(Doubt::AnswerBroken), Repeat::Idempotent) => self.budget().withdraw(),
            _ => false,
        };
        if !again {
            return reply;
        }
        self.metrics.count(Counter::Retry(Retry::AnswerBroken));
        self.attempt(head, &grant, target::empty()).await
    }

    async fn attempt(&self, head: &Head, grant: &Grant, body: OutBody) -> Reply {
        let slot = match self.admit(head, grant).await {
            Ok(slot) => slot,
            Err(reason) => return Reply::Refused(reason),
        };
        let (hold, deadline) = match grant.class {
            Class::Feed => (0, None),
            Class::Short | Class::Bulk => (HOLD, head.deadline),
        };
        let reply = self.start(head, grant, slot, body, hold);
        self.wait(reply, deadline).await
    }

    fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs a request that has a key, or gives what became of it before.
    async fn keyed(self: &Arc<Self>, head: Head, text: &str, receive: body::ReceiveHalf) -> Reply {
        let (key, owner) = match self.keys.read(text) {
            Ok(read) => read,
            Err(reason) => return Reply::Refused(reason),
        };
        match owner {
            Owner::Here => {}
            Owner::Expired => return Reply::Unknown(Doubt::KeyExpired),
            Owner::Gone => return Reply::Unknown(Doubt::IssuerGone),
            Owner::OtherService => return Reply::Refused(Refusal::KeyInvalid),
            Owner::Peer(_) => return Reply::Unknown(Doubt::IssuerSilent),
        }
        match body::collect(receive, KEYED_BODY_MAX).await {
            Ok(body) => self.run_once(head, &key, body).await,
            Err(body::Fault::TooLong) => Reply::Refused(Refusal::BodyLimit),
            Err(body::Fault::Broken) => Reply::Unknown(Doubt::AnswerBroken),
        }
    }

    async fn run_once(self: &Arc<Self>, head: Head, key: &IdempotencyKey, body: Bytes) -> Reply {
        let deadline = head.deadline;
        let digest = digest(&head, &body);
        let (sender, receiver) = oneshot::channel();
        match self.keys.claim(key, digest, self.slots.next_id()) {
            Claimed::Settled(settled) => return settled.into(),
            Claimed::Wait(settled) => {
                let settled = async { settled.await.map(Reply::from) };
                return self.wait(settled, deadline).await;
            }
            Claimed::Run(turn) => {
                let requests = self.clone();
                tokio::spawn(async move {
                    let settled = requests.settle(&head, body).await;
                    Turn::settle(turn, &settled);
                    let _ = sender.send(Reply::from(settled));
                });
            }
        }
        self.wait(receiver, deadline).await
    }

    /// Runs the request of a key to its end, whoever waits for it.
    async fn settle(self: &Arc<Self>, head: &Head, body: Bytes) -> Settled<Answer> {
        let grant = match self.access.check(head) {
            Ok(grant) => grant,
            Err(reason) => return Settled::NotRun(reason),
        };
        let slot = match self.admit(head, &grant).await {
            Ok(slot) => slot,
            Err(reason) => return Settled::NotRun(reason),
        };
        let reply = self.start(head, &grant, slot, target::whole(body), HOLD_KEYED);
        let deadline = head.deadline.map(|deadline| deadline + LATE_LIMIT);
        match self.wait(reply, deadline).await {
            Reply::Whole(answer) => Settled::Done(answer),
            Reply::Streamed(..) => Settled::Unknown(Doubt::AnswerNotKept),
            Reply::Refused(reason) => Settled::NotRun(reason),
            Reply::Unknown(doubt) => Settled::Unknown(doubt),
        }
    }

    async fn admit(&self, head: &Head, grant: &Grant) -> Result<Slot, Refusal> {
        let id = self.slots.next_id();
        let deadline = head.deadline.filter(|_| grant.class != Class::Feed);
        self.slots
            .admit(id, grant.class, grant.customer, deadline)
            .await
    }

    /// Sends a request to the target.
    fn start(
        &self,
        head: &Head,
        grant: &Grant,
        slot: Slot,
        body: OutBody,
        hold: usize,
    ) -> oneshot::Receiver<Reply> {
        let (sender, receiver) = oneshot::channel();
        let request = self.outgoing(head, grant, &slot, body);
        let job = Job {
            target: self.target,
            request,
            slot,
            hold,
        };
        let slots = self.slots.clone();
        let target = self.target;
        tokio::spawn(async move {
            if run::run(job, sender).await == run::Reached::No {
                slots.target_down(target);
            }
        });
        receiver
    }

    fn outgoing(&self, head: &Head, grant: &Grant, slot: &Slot, body: OutBody) -> Request<OutBody> {
        let mut request = Request::new(body);
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = head.path.parse().unwrap_or_default();
        *request.headers_mut() = head.headers.clone();
        let headers = request.headers_mut();
        headers.insert(headers::REQUEST_ID, HeaderValue::from(slot.id().0));
        if let Some(host) = self.target.host() {
            headers.insert(header::HOST, host);
        }
        if let Ok(name) = HeaderValue::from_str(&grant.name) {
            headers.insert(headers::CUSTOMER, name);
        }
        if let Some(deadline) = head.deadline {
            let left = deadline.since(self.clock.now()).as_millis();
            let left = u64::try_from(left).unwrap_or(u64::MAX);
            headers.insert(headers::DEADLINE, HeaderValue::from(left));
        }
        request
    }

    /// Waits for a reply until shortly after the deadline.
    async fn wait(
        &self,
        reply: impl Future<Output = Result<Reply, oneshot::error::RecvError>>,
        deadline: Option<Timestamp>,
    ) -> Reply {
        let late = async {
            match deadline {
                Some(deadline) => sleep(deadline.since(self.clock.now()) + DEADLINE_GRACE).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            // The task that owed the reply is gone, so nothing is known.
            reply = reply => reply.unwrap_or(Reply::Unknown(Doubt::AnswerBroken)),
            () = late => Reply::Unknown(Doubt::AnswerLate),
        }
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
