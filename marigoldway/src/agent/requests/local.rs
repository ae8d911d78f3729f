//! The way of a request to the own target.

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

/// Time past its deadline for which a caller is kept waiting, for admission to
/// tell it that nothing ran.
const DEADLINE_GRACE: Duration = Duration::from_millis(25);

/// `WaitLimit` says how long a request is waited for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum WaitLimit {
    /// As long as its caller waits.
    Deadline,
    /// For this time longer.
    Extended(Duration),
}

/// `LocalTarget` runs requests at the own target.
pub(crate) struct LocalTarget {
    pub(crate) slots: Arc<Slots>,
    pub(crate) target: Target,
    pub(crate) clock: Clock,
}

impl LocalTarget {
    /// Waits for a slot and runs a request. Octets of the answer up to `hold`
    /// are held back until it is whole.
    pub(crate) async fn run(
        &self,
        head: &RequestHead,
        grant: &Grant,
        body: TargetBody,
        buffer_limit: usize,
        wait_limit: WaitLimit,
    ) -> Reply {
        // A feed has no end that a deadline could be meant for.
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

    /// Waits for a reply until shortly after the deadline. After it the request
    /// is in `doubt`.
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
            // The task that owed the reply is gone, so nothing is known.
            reply = reply => reply.unwrap_or(Reply::Unknown(UnknownReason::AnswerBroken)),
            () = expired => Reply::Unknown(reason),
        }
    }

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
