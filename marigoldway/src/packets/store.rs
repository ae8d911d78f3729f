//! What a process learns from the platform's store, its first read, and the log of outages.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time;

use marigoldway_core::time::Timestamp;
use marigoldway_net::clock::Clock;
use marigoldway_net::platform::KeyValue;
use marigoldway_net::platform::Platform;
use marigoldway_net::platform::Range;
use marigoldway_net::platform::ReadResult;
use marigoldway_net::platform::epochs::Epoch;
use marigoldway_net::platform::errors::Error;
use marigoldway_platform::store::KvStore;

/// `StoreEvent` is a change of the keys of one prefix, or a confirmation of what is known.
pub(crate) enum StoreEvent {
    /// The snapshot that follows is the first one of this epoch. It may lack writes that the store
    /// acknowledged in an earlier epoch, and its revisions can't be compared with earlier ones.
    NewEpoch(Epoch),
    /// All keys of the prefix, at a revision. They replace the keys known so far.
    Snapshot(Vec<KeyValue>, u64),
    /// A key was written.
    Put(KeyValue),
    /// A key was deleted at a revision.
    Deleted(String, u64),
    /// The process lacks no change that the store had at this time.
    Confirmed(Timestamp),
}

impl StoreEvent {
    /// Revision of the store that the event tells of, or 0.
    pub(crate) fn revision(&self) -> u64 {
        match self {
            StoreEvent::Snapshot(_, revision) | StoreEvent::Deleted(_, revision) => *revision,
            StoreEvent::Put(stored) => stored.revision,
            StoreEvent::NewEpoch(_) | StoreEvent::Confirmed(_) => 0,
        }
    }
}

/// `FirstRead` is the first list of all keys.
pub(crate) struct FirstRead {
    /// Time at which the store was asked for the list.
    pub(crate) asked: Timestamp,
    /// The list.
    pub(crate) read: ReadResult,
}

/// Time without progress of any attempt at the first read until another one begins beside the others.
/// The process can't do its work before an attempt succeeds. The store may be slow, so the earlier
/// attempts go on, and it may never answer calls that it took while it was down. While octets arrive,
/// another attempt would only take a part of the link.
const FIRST_READ_DELAY: Duration = Duration::from_millis(350);

/// Maximum number of attempts at the first read at a time.
const MAX_FIRST_READS: usize = 3;

/// Wait after a failed attempt at the first read.
const FIRST_RETRY_WAIT: Duration = Duration::from_millis(60);

/// Reads the keys of a prefix for the first time, by several attempts that overlap.
pub(crate) async fn first_read(
    clock: &Clock,
    store: &Rc<KvStore>,
    prefix: &str,
    outage: &mut Outage,
) -> FirstRead {
    let mut attempts = JoinSet::new();
    let mut parts = store.calls().parts();
    loop {
        let has_progress = parts != store.calls().parts() && !attempts.is_empty();
        parts = store.calls().parts();
        if attempts.len() < MAX_FIRST_READS && !has_progress {
            let (store, prefix, asked) = (store.clone(), prefix.to_owned(), clock.now());
            attempts.spawn_local(async move {
                let read = store.get(Range::Prefix(&prefix)).await;
                read.map(|read| FirstRead { asked, read })
            });
        }
        let error = match time::timeout(FIRST_READ_DELAY, attempts.join_next()).await {
            Ok(Some(Ok(Ok(read)))) => return read,
            Ok(Some(Ok(Err(error)))) => error,
            Ok(None | Some(Err(_))) | Err(_) => continue,
        };
        outage.on_unreachable(&error);
        time::sleep(FIRST_RETRY_WAIT).await;
    }
}

/// `Outage` logs when the store becomes unreachable and when it answers again.
pub(crate) struct Outage {
    prefix: String,
    /// Start of the outage, or `None` while the store answers.
    since: Option<time::Instant>,
}

impl Outage {
    pub(crate) fn new(prefix: String) -> Outage {
        Outage {
            prefix,
            since: None,
        }
    }

    pub(crate) fn on_reachable(&mut self) {
        if let Some(since) = self.since.take() {
            let (prefix, ms) = (&self.prefix, since.elapsed().as_millis());
            log::info!("event=store-regained prefix={prefix} away-ms={ms}");
        }
    }

    pub(crate) fn on_unreachable(&mut self, error: &Error) {
        if self.since.is_none() {
            self.since = Some(time::Instant::now());
            let prefix = &self.prefix;
            log::warn!("event=store-lost prefix={prefix} error=\"{error}\"");
        }
    }
}
