//! Runs requests at the agent's own target.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::header;
use tokio::sync::oneshot;
use tokio::sync::oneshot::error::RecvError;
use tokio::time::sleep;

use marigoldway_core::request::Class;
use marigoldway_core::request::UnknownReason;
use marigoldway_core::time::Timestamp;
use marigoldway_net::clock::Clock;

use crate::agent::requests::access::Grant;
use crate::agent::requests::exchange;
use crate::agent::requests::exchange::Connected;
use crate::agent::requests::exchange::Job;
use crate::agent::requests::head::RequestHead;
use crate::agent::requests::headers;
use crate::agent::requests::reply::Reply;
use crate::agent::requests::slots::Slot;
use crate::agent::requests::slots::Slots;
use crate::agent::requests::target::Target;
use crate::agent::requests::target::TargetBody;

/// Time past the deadline for which a reply is awaited, so that admission control can
/// still report that a waiting request did not run.
const DEADLINE_GRACE: Duration = Duration::from_millis(25);

/// `WaitLimit` sets how long the reply to an admitted request is awaited. Without a
/// deadline there is no limit.
#[derive(Clone, Copy, Debug)]
pub(crate) enum WaitLimit {
    /// Until the caller's deadline.
    Deadline,
    /// Until this long after the caller's deadline.
    Extended(Duration),
}

/// `LocalTarget` admits requests to the own target and runs them.
pub(crate) struct LocalTarget {
    pub(crate) slots: Arc<Slots>,
    pub(crate) target: Target,
    pub(crate) clock: Clock,
}

impl LocalTarget {
    /// Waits for a slot and runs a request. An answer of up to `buffer_limit`
    /// octets is buffered until it is complete; a longer one is streamed.
    pub(crate) async fn run(
        &self,
        head: &RequestHead,
        grant: &Grant,
        body: TargetBody,
        buffer_limit: usize,
        wait_limit: WaitLimit,
    ) -> Reply {
        // A feed has no defined end, so the deadline doesn't apply to it.
        let deadline = head.deadline.filter(|_| grant.class != Class::Feed);
        let id = self.slots.next_id();
        let admitted = self.slots.admit(id, grant.class, grant.customer, deadline);
        let slot = match admitted.await {
            Ok(slot) => slot,
            Err(reason) => return Reply::Refused(reason),
        };

        let request = self.target_request(head, grant, &slot, body);
        let reply = self.spawn_job(request, slot, buffer_limit);
        let deadline = match wait_limit {
            WaitLimit::Deadline => deadline,
            WaitLimit::Extended(time) => deadline.map(|deadline| deadline + time),
        };
        self.wait(reply, deadline, UnknownReason::AnswerLate).await
    }

    /// Waits for a reply until [`DEADLINE_GRACE`] after the deadline, then returns
    /// [`Reply::Unknown`] with `reason`. Without a deadline, waits without a limit.
    pub(crate) async fn wait(
        &self,
        reply: impl Future<Output = Result<Reply, RecvError>>,
        deadline: Option<Timestamp>,
        reason: UnknownReason,
    ) -> Reply {
        let expired = async {
            match deadline {
                Some(deadline) => sleep(deadline.since(self.clock.now()) + DEADLINE_GRACE).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            // On an error, the task that sends the reply ended without one.
            reply = reply => reply.unwrap_or(Reply::Unknown(UnknownReason::AnswerBroken)),
            () = expired => Reply::Unknown(reason),
        }
    }

    /// Spawns the task that runs an admitted request, and returns the receiver of its
    /// reply. The task marks the target as down if it can't connect.
    fn spawn_job(
        &self,
        request: Request<TargetBody>,
        slot: Slot,
        buffer_limit: usize,
    ) -> oneshot::Receiver<Reply> {
        let (sender, receiver) = oneshot::channel();
        let target = self.target;
        let slots = self.slots.clone();
        let job = Job {
            target,
            request,
            slot,
            buffer_limit,
        };
        tokio::spawn(async move {
            if exchange::run(job, sender).await == Connected::No {
                slots.on_target_down(target);
            }
        });
        receiver
    }

    /// Builds the request to the target, with the headers that the agent sets.
    fn target_request(
        &self,
        head: &RequestHead,
        grant: &Grant,
        slot: &Slot,
        body: TargetBody,
    ) -> Request<TargetBody> {
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
            let remaining = deadline.since(self.clock.now()).as_millis();
            let remaining = u64::try_from(remaining).unwrap_or(u64::MAX);
            headers.insert(headers::DEADLINE, HeaderValue::from(remaining));
        }
        request
    }
}
