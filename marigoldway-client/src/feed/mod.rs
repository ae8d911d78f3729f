//! Feeds: streams of events that outlive the connections they run on.
//!
//! Where a server announces that it leaves, the feed is opened elsewhere before
//! the old stream is closed, resumes after the last event delivered, and drops
//! what comes twice. Where a stream breaks, the feed is opened again after a
//! pause; where the server falls silent, it is opened elsewhere as well. The events must be numbered one after the other.

mod source;
mod worker;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::sync::mpsc;

use crate::client::Client;
use crate::errors::Error;
use crate::errors::Result;
use crate::feed::worker::Worker;
use crate::sequence::EventOrder;
use crate::sse::Event;

/// Events that wait for the application before the library stops reading.
const EVENT_QUEUE_LENGTH: usize = 256;

/// `FeedStats` counts what happened to a feed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedStats {
    /// Events delivered.
    pub events: u64,
    /// Times that the feed was opened elsewhere before the old stream closed.
    pub moves: u64,
    /// Times that the stream ended or fell silent before another was open.
    pub breaks: u64,
    /// Events dropped because they had been delivered before.
    pub duplicates: u64,
    /// Events that no stream sent.
    pub gaps: u64,
}

impl FeedStats {
    fn count(&mut self, order: EventOrder) {
        match order {
            EventOrder::Next => self.events += 1,
            EventOrder::Duplicate { .. } => self.duplicates += 1,
            EventOrder::Gap { missing } => {
                self.events += 1;
                self.gaps += missing;
            }
        }
    }
}

/// Counters shared between a feed and its worker.
#[derive(Clone, Default)]
pub(crate) struct SharedStats(Arc<Mutex<FeedStats>>);

impl SharedStats {
    fn update(&self, change: impl FnOnce(&mut FeedStats)) {
        change(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn snapshot(&self) -> FeedStats {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `Feed` yields the events of one path in order, each once.
///
/// It ends when it is dropped, or when the service refuses it for good.
pub struct Feed {
    events: mpsc::Receiver<Result<Event>>,
    stats: SharedStats,
}

impl Feed {
    /// Waits for the next event.
    ///
    /// Fails where the service refuses the feed and trying again would not
    /// help. After that it fails with [`Error::NoConnection`].
    pub async fn next(&mut self) -> Result<Event> {
        let event = self.events.recv().await;
        event.unwrap_or_else(|| Err(Error::no_connection("the feed has ended")))
    }

    /// What happened to the feed so far.
    pub fn stats(&self) -> FeedStats {
        self.stats.snapshot()
    }
}

impl Client {
    /// Opens a feed and waits until the service has accepted it.
    ///
    /// Fails where no server can be reached within the deadline of the options,
    /// and where the service refuses.
    pub async fn feed(&self, path: &str) -> Result<Feed> {
        let (sender, events) = mpsc::channel(EVENT_QUEUE_LENGTH);
        let stats = SharedStats::default();
        let worker = Worker::open(self.clone(), path, sender, stats.clone()).await?;
        tokio::spawn(worker.run());
        Ok(Feed { events, stats })
    }
}
