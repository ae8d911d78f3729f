//! The task behind a feed: reads its streams and moves it between servers.

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

/// Longest time that two streams are read side by side.
const OVERLAP: Duration = Duration::from_secs(2);

/// `Worker` holds the streams of one feed: one, or two while the feed moves.
pub(crate) struct Worker {
    client: Client,
    path: String,
    events: mpsc::Sender<Result<Event>>,
    stats: SharedStats,
    sequence: Sequence,
    current: Option<Box<Source>>,
    successor: Option<Box<Source>>,
    opening: Option<BoxFuture<'static, Result<Box<Source>>>>,
    /// End of the overlap, while there is a successor.
    overlap: Instant,
    /// Streams that ended or were refused since the last event.
    failures: u32,
    /// Pause that the service asked for.
    asked: Option<Duration>,
}

/// What the worker waits for.
enum Step {
    Current(Input),
    Successor(Input),
    Opened(Result<Box<Source>>),
    OverlapOver,
    Dropped,
}

impl Worker {
    /// Opens the first stream of a feed.
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
            overlap: Instant::now(),
            failures: 0,
            asked: None,
        };
        let limit = Instant::now() + worker.client.options().deadline;
        loop {
            match worker.attempt().await {
                Ok(source) => worker.current = Some(source),
                Err(error) if is_final(&error) || Instant::now() >= limit => return Err(error),
                Err(error) => worker.failed(&error),
            }
            if worker.current.is_some() {
                return Ok(worker);
            }
        }
    }

    /// Runs until the feed is dropped or refused for good.
    pub(crate) async fn run(mut self) {
        loop {
            self.seek();
            match self.step().await {
                Step::Current(Input::Event(event)) => {
                    self.deliver(event).await;
                }
                Step::Successor(Input::Event(event)) => {
                    if self.deliver(event).await {
                        self.promote();
                    }
                }
                Step::Current(Input::Leaving) | Step::Successor(Input::Leaving) => {}
                Step::Current(Input::Ended) => self.current_ended(),
                Step::Successor(Input::Ended) => {
                    self.successor = None;
                    self.failures += 1;
                }
                Step::Opened(Ok(source)) => self.opened(source),
                Step::Opened(Err(error)) if is_final(&error) && self.current.is_none() => {
                    let _ = self.events.send(Err(error)).await;
                    return;
                }
                Step::Opened(Err(error)) => self.failed(&error),
                Step::OverlapOver => self.promote(),
                Step::Dropped => return,
            }
        }
    }

    /// Begins to open another stream where one is needed.
    fn seek(&mut self) {
        let leaving = self
            .current
            .as_ref()
            .is_none_or(|source| source.is_leaving());
        if !leaving || self.successor.is_some() || self.opening.is_some() {
            return;
        }
        self.opening = Some(self.attempt());
    }

    /// One attempt to open a stream, after the pause that is due.
    fn attempt(&mut self) -> BoxFuture<'static, Result<Box<Source>>> {
        let client = self.client.clone();
        let path = self.path.clone();
        let last = self.sequence.last();
        let asked = self.asked.take();
        let pause = match self.failures {
            0 => Duration::ZERO,
            failures => retry::pause(failures - 1, asked, &mut rand::rng()),
        };
        async move {
            sleep(pause).await;
            Source::open(&client, &path, last).await
        }
        .boxed()
    }

    async fn step(&mut self) -> Step {
        let two = self.successor.is_some();
        let current = OptionFuture::from(self.current.as_mut().map(|source| source.next()));
        let successor = OptionFuture::from(self.successor.as_mut().map(|source| source.next()));
        let opening = OptionFuture::from(self.opening.as_mut());
        tokio::select! {
            () = self.events.closed() => Step::Dropped,
            Some(input) = current => Step::Current(input),
            Some(input) = successor => Step::Successor(input),
            Some(source) = opening => {
                self.opening = None;
                Step::Opened(source)
            }
            () = sleep_until(self.overlap), if two => Step::OverlapOver,
        }
    }

    /// Delivers an event that is new. Says whether its source has caught up.
    async fn deliver(&mut self, event: Event) -> bool {
        self.failures = 0;
        let Some(id) = event.id else {
            self.stats.update(|stats| stats.events += 1);
            let _ = self.events.send(Ok(event)).await;
            return true;
        };
        let verdict = self.sequence.admit(id);
        self.stats.update(|stats| stats.count(verdict));
        if verdict.is_new() {
            // A feed that was dropped ends the worker at its next step.
            let _ = self.events.send(Ok(event)).await;
        }
        verdict.caught_up()
    }

    fn opened(&mut self, source: Box<Source>) {
        if self.current.is_none() {
            self.current = Some(source);
            return;
        }
        self.successor = Some(source);
        self.overlap = Instant::now() + OVERLAP;
    }

    /// Closes the old stream in favour of the new one.
    fn promote(&mut self) {
        let silent = self.current.as_ref().is_some_and(|it| it.is_silent());
        self.current = self.successor.take();
        self.stats.update(|stats| match silent {
            // The application has waited, so this is no move.
            true => stats.breaks += 1,
            false => stats.moves += 1,
        });
    }

    fn current_ended(&mut self) {
        if self.successor.is_some() {
            self.promote();
            return;
        }
        self.current = None;
        self.failures += 1;
        self.stats.update(|stats| stats.breaks += 1);
    }

    fn failed(&mut self, error: &Error) {
        self.failures += 1;
        self.asked = refusal(error).and_then(|answer| answer.retry_after);
    }
}

fn refusal(error: &Error) -> Option<&Answer> {
    match error {
        Error::Refused(answer) => Some(answer),
        Error::Malformed { .. } | Error::NoConnection { .. } => None,
    }
}

/// Whether no later attempt can help.
fn is_final(error: &Error) -> bool {
    match error {
        Error::Malformed { .. } => true,
        Error::NoConnection { .. } => false,
        Error::Refused(answer) => {
            let fault = answer.status.is_some_and(|status| status.is_server_error());
            !fault && !retry::may_pass(answer)
        }
    }
}
