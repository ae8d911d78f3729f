//! Task that reads the streams of a feed and moves the feed between connections.

use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use futures_util::future::OptionFuture;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::answer::Answer;
use crate::client::Client;
use crate::errors::Error;
use crate::errors::Result;
use crate::feed::SharedStats;
use crate::feed::source::Input;
use crate::feed::source::Source;
use crate::retry;
use crate::sequence::Sequence;
use crate::sse::Event;

/// Maximum time for which two streams are read in parallel.
const MAX_OVERLAP: Duration = Duration::from_secs(2);

/// State of the task of one feed. It reads one stream, or two while the feed moves.
pub(crate) struct Worker {
    client: Client,
    path: String,
    events: mpsc::Sender<Result<Event>>,
    stats: SharedStats,
    sequence: Sequence,
    current: Option<Box<Source>>,
    successor: Option<Box<Source>>,
    opening: Option<BoxFuture<'static, Result<Box<Source>>>>,
    /// Time at which the successor replaces the current stream. Unused without a successor.
    overlap_end: Instant,
    /// Number of streams that ended or failed to open since the last event.
    failures: u32,
    /// Delay that the service asked for before the next attempt.
    retry_after: Option<Duration>,
}

/// Event that the worker handles next.
enum WorkerEvent {
    Current(Input),
    Successor(Input),
    Opened(Result<Box<Source>>),
    OverlapEnded,
    FeedDropped,
}

impl Worker {
    /// Opens the first stream of a feed. An attempt that fails is retried, unless
    /// `ClientOptions::deadline` has passed. The last attempt may end after the deadline.
    pub(crate) async fn open(
        client: Client,
        path: &str,
        events: mpsc::Sender<Result<Event>>,
        stats: SharedStats,
    ) -> Result<Worker> {
        let mut worker = Worker {
            client,
            path: path.to_owned(),
            events,
            stats,
            sequence: Sequence::default(),
            current: None,
            successor: None,
            opening: None,
            overlap_end: Instant::now(),
            failures: 0,
            retry_after: None,
        };
        let deadline = Instant::now() + worker.client.options().deadline;
        loop {
            match worker.attempt().await {
                Ok(source) => worker.current = Some(source),
                Err(error) if is_final(&error) || Instant::now() >= deadline => return Err(error),
                Err(error) => worker.on_failure(&error),
            }
            if worker.current.is_some() {
                return Ok(worker);
            }
        }
    }

    /// Runs until the feed is dropped, permanently refused or its client is closed.
    pub(crate) async fn run(mut self) {
        loop {
            self.start_opening();
            match self.next_event().await {
                WorkerEvent::Current(Input::Event(event)) => {
                    self.deliver(event).await;
                }
                WorkerEvent::Successor(Input::Event(event)) => {
                    if self.deliver(event).await {
                        self.promote();
                    }
                }
                WorkerEvent::Current(Input::Leaving) | WorkerEvent::Successor(Input::Leaving) => {}
                WorkerEvent::Current(Input::Ended) => self.on_current_ended(),
                WorkerEvent::Successor(Input::Ended) => {
                    self.successor = None;
                    self.failures += 1;
                }
                WorkerEvent::Opened(Ok(source)) => self.on_opened(source),
                WorkerEvent::Opened(Err(error)) if is_final(&error) && self.current.is_none() => {
                    let _ = self.events.send(Err(error)).await;
                    return;
                }
                WorkerEvent::Opened(Err(error)) => self.on_failure(&error),
                WorkerEvent::OverlapEnded => self.promote(),
                WorkerEvent::FeedDropped => return,
            }
        }
    }

    /// Starts to open another stream if the current one is missing or its server is leaving.
    fn start_opening(&mut self) {
        let stream_needed = self
            .current
            .as_ref()
            .is_none_or(|source| source.is_leaving());
        if !stream_needed || self.successor.is_some() || self.opening.is_some() {
            return;
        }
        self.opening = Some(self.attempt());
    }

    /// Returns a future that waits for the backoff after the failures so far and then
    /// opens a stream.
    fn attempt(&mut self) -> BoxFuture<'static, Result<Box<Source>>> {
        let client = self.client.clone();
        let path = self.path.clone();
        let last = self.sequence.last();
        let retry_after = self.retry_after.take();
        let backoff = match self.failures {
            0 => Duration::ZERO,
            failures => retry::backoff(failures - 1, retry_after, &mut rand::rng()),
        };
        async move {
            sleep(backoff).await;
            Source::open(&client, &path, last).await
        }
        .boxed()
    }

    async fn next_event(&mut self) -> WorkerEvent {
        let overlapping = self.successor.is_some();
        let current = OptionFuture::from(self.current.as_mut().map(|source| source.next()));
        let successor = OptionFuture::from(self.successor.as_mut().map(|source| source.next()));
        let opening = OptionFuture::from(self.opening.as_mut());
        tokio::select! {
            () = self.events.closed() => WorkerEvent::FeedDropped,
            Some(input) = current => WorkerEvent::Current(input),
            Some(input) = successor => WorkerEvent::Successor(input),
            Some(source) = opening => {
                self.opening = None;
                WorkerEvent::Opened(source)
            }
            () = sleep_until(self.overlap_end), if overlapping => WorkerEvent::OverlapEnded,
        }
    }

    /// Delivers an event if it is new. Returns whether the source of the event has reached
    /// the last event delivered, or `true` for an event without a number.
    async fn deliver(&mut self, event: Event) -> bool {
        self.failures = 0;
        let Some(id) = event.id else {
            self.stats.update(|stats| stats.events += 1);
            let _ = self.events.send(Ok(event)).await;
            return true;
        };
        let order = self.sequence.admit(id);
        self.stats.update(|stats| stats.count(order));
        if order.is_new() {
            // Fails only if the feed was dropped. `FeedDropped` then ends the worker.
            let _ = self.events.send(Ok(event)).await;
        }
        order.caught_up()
    }

    fn on_opened(&mut self, source: Box<Source>) {
        if self.current.is_none() {
            self.current = Some(source);
            return;
        }
        self.successor = Some(source);
        self.overlap_end = Instant::now() + MAX_OVERLAP;
    }

    /// Closes the current stream and replaces it with the successor.
    fn promote(&mut self) {
        let silent = self.current.as_ref().is_some_and(|it| it.is_silent());
        self.current = self.successor.take();
        self.stats.update(|stats| match silent {
            // The application had to wait for events, so this does not count as a move.
            true => stats.breaks += 1,
            false => stats.moves += 1,
        });
    }

    fn on_current_ended(&mut self) {
        if self.successor.is_some() {
            self.promote();
            return;
        }
        self.current = None;
        self.failures += 1;
        self.stats.update(|stats| stats.breaks += 1);
    }

    fn on_failure(&mut self, error: &Error) {
        self.failures += 1;
        self.retry_after = refusal(error).and_then(|answer| answer.retry_after);
    }
}

fn refusal(error: &Error) -> Option<&Answer> {
    match error {
        Error::Refused(answer) => Some(answer),
        Error::Malformed { .. } | Error::NoConnection { .. } => None,
    }
}

/// Returns whether no later attempt can succeed.
fn is_final(error: &Error) -> bool {
    match error {
        Error::Malformed { .. } => true,
        Error::NoConnection { .. } => false,
        Error::Refused(answer) => {
            let server_error = answer.status.is_some_and(|status| status.is_server_error());
            !server_error && !retry::may_succeed_later(answer)
        }
    }
}
