//! Follows the keys of a prefix in the platform's store, through outages of the store.

use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use marigoldway_net::platform::Change;
use marigoldway_net::platform::KeyValue;
use marigoldway_net::platform::Platform;
use marigoldway_net::platform::Range;
use marigoldway_net::platform::backoff::Backoff;
use marigoldway_net::platform::errors::Error;
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
    /// The store has answered, so the keys known so far are current.
    UpToDate,
    /// The store doesn't answer.
    Unreachable,
}

/// Timeout of each attempt at the first read. The process can't do its work before an
/// attempt succeeds, and the store may answer again at any moment.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(350);

/// Wait between two attempts at the first read.
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
    let mut loaded = false;
    loop {
        let limit = if loaded {
            Duration::MAX
        } else {
            FIRST_READ_TIMEOUT
        };
        let read = time::timeout(limit, store.get(Range::Prefix(&prefix)));
        match read.await.unwrap_or(Err(Error::Timeout { limit })) {
            Ok(read) => {
                loaded = true;
                outage.on_reachable();
                backoff.reset();
                on_event(StoreEvent::Snapshot(read.found, read.revision));
                on_event(StoreEvent::UpToDate);
                watch(&store, &prefix, read.revision, &mut outage, &mut on_event).await;
            }
            Err(error) => {
                outage.on_unreachable(&error);
                on_event(StoreEvent::Unreachable);
            }
        }
        let wait = backoff.next_wait(&mut rand::rng()).min(MAX_RETRY_WAIT);
        time::sleep(if loaded { wait } else { FIRST_RETRY_WAIT }).await;
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
    while let Some(change) = watch.next().await {
        match change {
            Change::Put(stored) => on_event(StoreEvent::Put(stored)),
            Change::Deleted { key, revision } => on_event(StoreEvent::Deleted(key, revision)),
            Change::UpToDate => {
                outage.on_reachable();
                on_event(StoreEvent::UpToDate);
            }
            // The watch isn't resumed, but the keys are read again. A store that drops its history
            // ends watches, and may not answer a watch from an earlier revision for the whole
            // wait of the watch.
            Change::Unreachable(error) => {
                outage.on_unreachable(&error);
                return on_event(StoreEvent::Unreachable);
            }
            Change::HistoryLost => {
                log::info!("event=store-history-lost prefix={prefix} revision={revision}");
                return;
            }
        }
    }
}

/// `Outage` logs when the store becomes unreachable and when it answers again.
struct Outage {
    prefix: String,
    /// Start of the outage, or `None` while the store answers.
    since: Option<time::Instant>,
}

impl Outage {
    fn new(prefix: String) -> Outage {
        Outage {
            prefix,
            since: None,
        }
    }

    fn on_reachable(&mut self) {
        if let Some(since) = self.since.take() {
            let (prefix, ms) = (&self.prefix, since.elapsed().as_millis());
            log::info!("event=store-regained prefix={prefix} away-ms={ms}");
        }
    }

    fn on_unreachable(&mut self, error: &Error) {
        if self.since.is_none() {
            self.since = Some(time::Instant::now());
            let prefix = &self.prefix;
            log::warn!("event=store-lost prefix={prefix} error=\"{error}\"");
        }
    }
}
