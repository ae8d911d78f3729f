//! Follows the keys of a prefix in the platform's store, through outages of the store.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time;

use marigoldway_net::platform::Change;
use marigoldway_net::platform::KeyValue;
use marigoldway_net::platform::Platform;
use marigoldway_net::platform::Range;
use marigoldway_net::platform::ReadResult;
use marigoldway_net::platform::Watch;
use marigoldway_net::platform::backoff::Backoff;
use marigoldway_net::platform::errors::Error;
use marigoldway_net::platform::errors::Result;
use marigoldway_platform::store::KvStore;

use crate::packets::node::MAX_RETRY_WAIT;

/// `StoreEvent` is a change of the keys of one prefix, or of the store's reachability.
pub(crate) enum StoreEvent {
    /// All keys of the prefix, at a revision. They replace the keys known so far.
    Snapshot(Vec<KeyValue>, u64),
    /// A key was written.
    Put(KeyValue),
    /// A key was deleted at a revision.
    Deleted(String, u64),
    /// The store has answered, so the keys known so far were current this long ago.
    UpToDate(Duration),
    /// The store doesn't answer.
    Unreachable,
}

impl StoreEvent {
    /// Revision of the store that the event tells of, or 0.
    pub(crate) fn revision(&self) -> u64 {
        match self {
            StoreEvent::Snapshot(_, revision) | StoreEvent::Deleted(_, revision) => *revision,
            StoreEvent::Put(stored) => stored.revision,
            StoreEvent::UpToDate(_) | StoreEvent::Unreachable => 0,
        }
    }
}

/// `WatchEnd` tells whether a watch may be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchEnd {
    /// The store has answered.
    Answered,
    /// The store didn't answer, or has lost its history: the keys must be read again.
    Broken,
}

/// Time after the start of an attempt at the first read until another one begins beside it. The
/// process can't do its work before an attempt succeeds. The store may be slow, so the earlier
/// attempts go on, and it may never answer calls that it took while it was down.
const FIRST_READ_DELAY: Duration = Duration::from_millis(350);

/// Maximum number of attempts at the first read at a time.
const MAX_FIRST_READS: usize = 3;

/// Timeout of each attempt at the first read.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Wait after a failed attempt at the first read.
const FIRST_RETRY_WAIT: Duration = Duration::from_millis(60);

/// Reads the keys of a prefix, then watches them, and passes each change to `on_event`. Reads all
/// keys again when the watch ends. Never returns.
pub(crate) async fn follow(
    store: Rc<KvStore>,
    prefix: String,
    mut on_event: impl FnMut(StoreEvent),
) {
    let mut backoff = Backoff::default();
    let mut outage = Outage::new(prefix.clone());
    let mut read = first_read(&store, &prefix, &mut outage, &mut on_event).await;
    loop {
        match read {
            Ok(read) => {
                outage.on_reachable();
                backoff.reset();
                on_event(StoreEvent::Snapshot(read.found, read.revision));
                on_event(StoreEvent::UpToDate(Duration::ZERO));
                watch(&store, &prefix, read.revision, &mut outage, &mut on_event).await;
            }
            Err(error) => {
                outage.on_unreachable(&error);
                on_event(StoreEvent::Unreachable);
            }
        }
        time::sleep(backoff.next_wait(&mut rand::rng()).min(MAX_RETRY_WAIT)).await;
        read = store.get(Range::Prefix(&prefix)).await;
    }
}

/// Reads the keys of a prefix for the first time, by several attempts that overlap.
pub(crate) async fn first_read(
    store: &Rc<KvStore>,
    prefix: &str,
    outage: &mut Outage,
    on_event: &mut impl FnMut(StoreEvent),
) -> Result<ReadResult> {
    let mut attempts = JoinSet::new();
    loop {
        if attempts.len() < MAX_FIRST_READS {
            let (store, prefix) = (store.clone(), prefix.to_owned());
            attempts.spawn_local(async move {
                let read = store.get(Range::Prefix(&prefix));
                let limit = FIRST_READ_TIMEOUT;
                let read = time::timeout(limit, read).await;
                read.unwrap_or(Err(Error::Timeout { limit }))
            });
        }
        let error = match time::timeout(FIRST_READ_DELAY, attempts.join_next()).await {
            Ok(Some(Ok(Ok(read)))) => return Ok(read),
            Ok(Some(Ok(Err(error)))) => error,
            Ok(None | Some(Err(_))) | Err(_) => continue,
        };
        outage.on_unreachable(&error);
        on_event(StoreEvent::Unreachable);
        time::sleep(FIRST_RETRY_WAIT).await;
    }
}

/// Passes the changes after `revision` to `on_event`, until the watch ends or the store doesn't
/// answer.
async fn watch(
    store: &KvStore,
    prefix: &str,
    revision: u64,
    outage: &mut Outage,
    on_event: &mut impl FnMut(StoreEvent),
) {
    let Ok(mut watch) = store.watch(prefix, revision + 1).await else {
        return;
    };
    while next_event(&mut watch, prefix, outage, on_event)
        .await
        .is_some()
    {}
}

/// Passes the changes after `revision` to `on_event`, until the store has answered once.
pub(crate) async fn watch_once(
    store: &KvStore,
    prefix: &str,
    revision: u64,
    outage: &mut Outage,
    on_event: &mut impl FnMut(StoreEvent),
) -> WatchEnd {
    let Ok(mut watch) = store.watch(prefix, revision + 1).await else {
        return WatchEnd::Broken;
    };
    loop {
        match next_event(&mut watch, prefix, outage, on_event).await {
            Some(EventKind::Change) => {}
            Some(EventKind::Answered) => return WatchEnd::Answered,
            None => return WatchEnd::Broken,
        }
    }
}

/// `EventKind` tells whether more events of the same answer of the store may follow.
enum EventKind {
    /// A change of a key.
    Change,
    /// The last event of an answer.
    Answered,
}

/// Passes the next event of a watch to `on_event`. Returns `None` if the watch can't be resumed, but
/// the keys must be read again. A store that drops its history ends watches, and may not answer a
/// watch from an earlier revision for the whole wait of the watch.
async fn next_event(
    watch: &mut Watch,
    prefix: &str,
    outage: &mut Outage,
    on_event: &mut impl FnMut(StoreEvent),
) -> Option<EventKind> {
    match watch.next().await? {
        Change::Put(stored) => on_event(StoreEvent::Put(stored)),
        Change::Deleted { key, revision } => on_event(StoreEvent::Deleted(key, revision)),
        Change::UpToDate => {
            outage.on_reachable();
            on_event(StoreEvent::UpToDate(Duration::ZERO));
            return Some(EventKind::Answered);
        }
        Change::Unreachable(error) => {
            outage.on_unreachable(&error);
            on_event(StoreEvent::Unreachable);
            return None;
        }
        Change::HistoryLost => {
            log::info!("event=store-history-lost prefix={prefix}");
            return None;
        }
    }
    Some(EventKind::Change)
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
