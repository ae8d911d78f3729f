//! HTTP/3 client of one service, with reconnection and retries.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use http::Method;
use marigoldway_core::retry::RetryBudget;
use quinn::Endpoint;
use rand::RngExt;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::answer::Answer;
use crate::answer::Reason;
use crate::counters::ClientStats;
use crate::counters::Counters;
use crate::errors::Error;
use crate::errors::Result;
use crate::exchange;
use crate::exchange::Attempt;
use crate::link;
use crate::link::Link;
use crate::link::LinkState;
use crate::options::ClientOptions;
use crate::request::Key;
use crate::request::Request;
use crate::retry::RetryState;

/// Time after a request's deadline during which the client still waits for an answer,
/// so that the server can report the expired deadline.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);

/// Minimum time until the deadline that must remain for an attempt to start.
const MIN_REMAINING: Duration = Duration::from_millis(1);

/// Client of one service. It uses one connection at a time and opens a new one
/// after the connection is lost. Clones share the connection.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
}

struct Shared {
    options: ClientOptions,
    endpoint: Endpoint,
    link: tokio::sync::Mutex<Option<Link>>,
    budget: Mutex<RetryBudget>,
    counters: Counters,
}

impl Client {
    /// Creates a client and opens its first connection.
    ///
    /// Fails if the options are malformed or no server is reachable.
    pub async fn connect(options: ClientOptions) -> Result<Client> {
        let endpoint = link::endpoint(&options)?;
        let client = Client {
            shared: Arc::new(Shared {
                options,
                endpoint,
                link: tokio::sync::Mutex::new(None),
                budget: Mutex::default(),
                counters: Counters::default(),
            }),
        };
        client.link().await?;
        Ok(client)
    }

    /// Sends a request and waits for the complete answer or for the outcome.
    ///
    /// Fails only if the request or an option is malformed, or if the client is closed.
    ///
    /// A repeatable request is retried within the retry budget and the request's
    /// deadline. Any other request is not retried once its first octet is sent,
    /// unless it has an idempotency key. With a key, the request is retried under
    /// the same key, to learn the outcome of an aborted attempt.
    pub async fn request(&self, request: Request) -> Result<Answer> {
        let time_limit = request.deadline.unwrap_or(self.shared.options.deadline);
        let deadline = Instant::now() + time_limit;
        let mut state = RetryState::new(&request);
        self.budget().deposit();

        let counters = &self.shared.counters;
        loop {
            let mut attempt = self.attempt(&request, deadline).await?;
            let may_retry = state.on_attempt_end(attempt.sent, &mut attempt.answer);
            let backoff = state.next_backoff(attempt.answer.retry_after, &mut rand::rng());
            let in_time = Instant::now() + backoff < deadline;
            if !may_retry || !in_time || !self.budget().withdraw() {
                counters.record_end(&attempt.answer);
                return Ok(attempt.answer);
            }
            counters.record_retry(&attempt.answer);
            sleep(backoff).await;
        }
    }

    /// Returns the counts of requests, failures, retries and connections so far.
    pub fn stats(&self) -> ClientStats {
        self.shared.counters.snapshot()
    }

    /// Requests `count` idempotency keys from the service.
    ///
    /// Fails if the request does not succeed or a key is malformed. Does not check
    /// how many keys the service returns.
    pub async fn keys(&self, count: usize) -> Result<Vec<Key>> {
        let request = Request {
            method: Method::POST,
            path: format!("/.marigoldway/keys?count={count}"),
            repeatable: true,
            ..Request::default()
        };
        let answer = self.request(request).await?;
        if !answer.is_success() {
            return Err(Error::refused(answer));
        }
        let text = std::str::from_utf8(&answer.body)
            .map_err(|_| Error::malformed("idempotency keys are not UTF-8 text"))?;
        text.lines().map(Key::try_from).collect()
    }

    /// Closes every connection of this client and its clones, and waits until the
    /// close is sent to the server. Later requests fail and feeds end.
    pub async fn close(&self) {
        self.shared.link.lock().await.take();
        // H3_NO_ERROR (RFC 9114, section 8.1).
        self.shared.endpoint.close(0x100_u32.into(), b"");
        self.shared.endpoint.wait_idle().await;
    }

    pub(crate) fn options(&self) -> &ClientOptions {
        &self.shared.options
    }

    /// Returns the open connection, or opens one if there is none.
    pub(crate) async fn link(&self) -> Result<Link> {
        let mut current = self.shared.link.lock().await;
        if let Some(link) = current.as_ref().filter(|l| l.state() == LinkState::Open) {
            return Ok(link.clone());
        }
        *current = None;
        let link = self.dial().await?;
        self.shared.counters.record_connection();
        *current = Some(link.clone());
        tokio::spawn(release_link(link.watch(), Arc::downgrade(&self.shared)));
        Ok(link)
    }

    /// Connects to the first reachable server, in list order from a random start.
    async fn dial(&self) -> Result<Link> {
        let options = &self.shared.options;
        let start = rand::rng().random_range(0..options.servers.len());
        let (tail, first) = options.servers.split_at(start);
        let mut last_error = Error::no_connection("no server address");
        for server in first.iter().chain(tail) {
            match Link::open(&self.shared.endpoint, *server, options).await {
                Ok(link) => return Ok(link),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    /// Makes one attempt, on a new connection if none is open.
    ///
    /// Fails only if the request or an option is malformed, or if the client is closed.
    async fn attempt(&self, request: &Request, deadline: Instant) -> Result<Attempt> {
        let mut link = match timeout_at(deadline, self.link()).await {
            Ok(Ok(link)) => link,
            Ok(Err(error @ Error::Malformed { .. })) => return Err(error),
            Ok(Err(_)) => return Ok(Attempt::unsent(Reason::NoConnection)),
            Err(_) => return Ok(Attempt::unsent(Reason::Timeout)),
        };
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining < MIN_REMAINING {
            return Ok(Attempt::unsent(Reason::Timeout));
        }

        let options = &self.shared.options;
        let head = exchange::head(request, options, Some(remaining))?;
        let body = request.body.clone();
        let running = exchange::exchange(&mut link, head, body, options.body_limit);
        let end = timeout_at(deadline + DEADLINE_GRACE, running).await;
        Ok(end.unwrap_or_else(|_| Attempt::aborted(Reason::Timeout)))
    }

    fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        let budget = &self.shared.budget;
        budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Drops the client's connection once the server is leaving, silent or gone, so
/// that an idle client does not delay the server's shutdown.
async fn release_link(state: watch::Receiver<LinkState>, shared: Weak<Shared>) {
    link::wait_not_open(state).await;
    let Some(shared) = shared.upgrade() else {
        return;
    };
    let mut current = shared.link.lock().await;
    if current
        .as_ref()
        .is_some_and(|l| l.state() != LinkState::Open)
    {
        *current = None;
    }
}
