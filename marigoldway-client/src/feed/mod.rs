//! Feeds: streams of events that continue across connections.
//!
//! A feed reads one HTTP/3 stream, or two while it moves to another connection. It
//! moves when the server announces that it is leaving, or becomes silent (no datagram
//! arrives within `ClientOptions::silence_limit`). The feed opens the new stream before
//! it closes the old one, resumes after the last event delivered and drops duplicates.
//! When a stream ends or fails, the feed opens another after a backoff.
//!
//! The service must number the events of a feed consecutively. Events without a number
//! are delivered as they arrive.

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

/// Maximum number of events queued for the application. Reading stops when the queue is full.
const EVENT_QUEUE_LENGTH: usize = 256;

/// Counts of the events and stream changes of a feed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedStats {
    /// Events delivered.
    pub events: u64,
    /// Number of times that a new stream was open before the old one ended or became silent.
    pub moves: u64,
    /// Number of times that the stream ended or became silent before another was open.
    pub breaks: u64,
    /// Events dropped because they were already delivered.
    pub duplicates: u64,
    /// Events missing from the sequence, because no stream sent them.
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

/// `FeedStats` behind a lock, shared by a feed and its worker.
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

/// Yields the events of one path in order, each once.
///
/// A feed ends when it is dropped, when the service refuses it permanently, or when the
/// client is closed.
pub struct Feed {
    events: mpsc::Receiver<Result<Event>>,
    stats: SharedStats,
}

impl Feed {
    /// Waits for the next event.
    ///
    /// Fails if the service refuses the feed and a retry would not succeed, or if the
    /// client is closed. Every later call fails with [`Error::NoConnection`].
    pub async fn next(&mut self) -> Result<Event> {
        let event = self.events.recv().await;
        event.unwrap_or_else(|| Err(Error::no_connection("the feed has ended")))
    }

    /// Returns the counts so far.
    pub fn stats(&self) -> FeedStats {
        self.stats.snapshot()
    }
}

impl Client {
    /// Opens a feed and waits until the service has accepted it.
    ///
    /// Fails if an attempt fails after `ClientOptions::deadline` has passed, if the service
    /// refuses the feed permanently, or if the client is closed. The last attempt may end
    /// after the deadline.
    pub async fn feed(&self, path: &str) -> Result<Feed> {
        let (sender, events) = mpsc::channel(EVENT_QUEUE_LENGTH);
        let stats = SharedStats::default();
        let worker = Worker::open(self.clone(), path, sender, stats.clone()).await?;
        tokio::spawn(worker.run());
        Ok(Feed { events, stats })
    }
}
