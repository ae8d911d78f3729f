//! Keys of the platform's store, followed through its outages.

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

use crate::packets::node::RETRY_MAX;

/// `News` is what the store has to tell of the keys of one prefix.
pub(crate) enum News {
    /// All keys at a revision, in place of what was known.
    All(Vec<KeyValue>, u64),
    /// A value was written.
    Put(KeyValue),
    /// A key was deleted at a revision.
    Deleted(String, u64),
    /// The store answers.
    Reached,
    /// The store doesn't answer.
    Unreached,
}

/// Time that the first read may take: until it is done, the process can't do
/// its work, and the answer may come any moment.
const FIRST_LIMIT: Duration = Duration::from_millis(350);

/// Wait between two tries of the first read.
const FIRST_WAIT: Duration = Duration::from_millis(60);

/// Tells `on_news` of the keys of a prefix for as long as the process runs.
pub(crate) async fn follow(store: Rc<KvStore>, prefix: String, mut on_news: impl FnMut(News)) {
    let mut backoff = Backoff::default();
    let mut away = Away::new(prefix.clone());
    let mut known = false;
    loop {
        let limit = if known { Duration::MAX } else { FIRST_LIMIT };
        let read = time::timeout(limit, store.get(Range::Prefix(&prefix)));
        match read.await.unwrap_or(Err(Error::Timeout { limit })) {
            Ok(read) => {
                known = true;
                away.reached();
                backoff.reset();
                on_news(News::All(read.found, read.revision));
                on_news(News::Reached);
                watch(&store, &prefix, read.revision, &mut away, &mut on_news).await;
            }
            Err(error) => {
                away.unreached(&error);
                on_news(News::Unreached);
            }
        }
        let wait = backoff.next_wait(&mut rand::rng()).min(RETRY_MAX);
        time::sleep(if known { wait } else { FIRST_WAIT }).await;
    }
}

async fn watch(
    store: &KvStore,
    prefix: &str,
    revision: u64,
    away: &mut Away,
    on_news: &mut impl FnMut(News),
) {
    let Ok(mut watch) = store.watch(prefix, revision + 1).await else {
        return;
    };
    while let Some(change) = watch.next().await {
        match change {
            Change::Put(stored) => on_news(News::Put(stored)),
            Change::Deleted { key, revision } => on_news(News::Deleted(key, revision)),
            Change::UpToDate => {
                away.reached();
                on_news(News::Reached);
            }
            // A store that drops its history cuts watches, and may leave one
            // that goes on from before without a word for as long as it waits.
            Change::Unreachable(error) => {
                away.unreached(&error);
                return on_news(News::Unreached);
            }
            Change::HistoryLost => {
                log::info!("event=store-history-lost prefix={prefix} revision={revision}");
                return;
            }
        }
    }
}

/// `Away` logs when the store is lost and when it is back.
struct Away {
    prefix: String,
    since: Option<time::Instant>,
}

impl Away {
    fn new(prefix: String) -> Away {
        Away {
            prefix,
            since: None,
        }
    }

    fn reached(&mut self) {
        if let Some(since) = self.since.take() {
            let (prefix, ms) = (&self.prefix, since.elapsed().as_millis());
            log::info!("event=store-regained prefix={prefix} away-ms={ms}");
        }
    }

    fn unreached(&mut self, error: &Error) {
        if self.since.is_none() {
            self.since = Some(time::Instant::now());
            let prefix = &self.prefix;
            log::warn!("event=store-lost prefix={prefix} error=\"{error}\"");
        }
    }
}
