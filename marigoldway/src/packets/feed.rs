//! Reads the keys of a prefix of the platform's store, from a follower's replica or from the store
//! itself, and passes each change on.
//!
//! A follower is an agent that follows the store for the other processes of its failure domain.
//! Which source is read, and what an answer is worth, is decided by
//! `marigoldway_core::replica`.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use tokio::time;

use marigoldway_core::ids::InstanceId;
use marigoldway_core::replica;
use marigoldway_core::replica::Answer;
use marigoldway_core::replica::Content;
use marigoldway_core::replica::sources::Source;
use marigoldway_core::replica::sources::Sources;
use marigoldway_net::platform::KeyValue;
use marigoldway_net::platform::Platform;
use marigoldway_net::platform::Range;
use marigoldway_net::platform::backoff::Backoff;
use marigoldway_net::wire;
use marigoldway_platform::store::KvStore;

use crate::packets::node::MAX_RETRY_WAIT;
use crate::packets::node::Node;
use crate::packets::peers;
use crate::packets::store;
use crate::packets::store::Outage;
use crate::packets::store::StoreEvent;
use crate::packets::store::WatchEnd;

/// Timeout of a read from a follower. It is in the same failure domain as a rule.
const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum wait between a follower's failure and the next read, drawn at random, so that processes
/// that lose the same follower don't all read the store at the same moment.
const MAX_FAILURE_WAIT: Duration = Duration::from_millis(300);

/// `Feed` says what to read, and where.
pub(crate) struct Feed<F> {
    /// The reading process.
    pub(crate) node: Rc<Node>,
    /// Client of the store.
    pub(crate) store: Rc<KvStore>,
    /// Prefix of the keys.
    pub(crate) prefix: String,
    /// Time between two reads, so that several changes arrive in one answer.
    pub(crate) interval: Duration,
    /// Returns the known followers, in the order in which this process asks them.
    pub(crate) followers: F,
}

/// Reads the keys of a prefix, then their changes, and passes them to `on_event`. Never returns.
pub(crate) async fn follow<F: Fn() -> Vec<InstanceId>>(
    feed: Feed<F>,
    mut on_event: impl FnMut(StoreEvent),
) {
    let mut reader = Reader {
        revision: 0,
        must_read: false,
        backoff: Backoff::default(),
        outage: Outage::new(feed.prefix.clone()),
        feed,
    };
    let mut sources = Sources::default();
    reader.read_first(&mut on_event).await;
    loop {
        let now = reader.feed.node.clock.now();
        let followers = (reader.feed.followers)();
        match sources.next(now, &followers) {
            Source::Follower(id) => {
                if reader.read_follower(id, &mut on_event).await {
                    sources.on_answer();
                    time::sleep(reader.feed.interval).await;
                } else {
                    sources.on_failure(reader.feed.node.clock.now(), id);
                    time::sleep(rand::rng().random_range(Duration::ZERO..MAX_FAILURE_WAIT)).await;
                }
            }
            Source::Store => {
                reader.read_store(&mut on_event).await;
                sources.on_answer();
                time::sleep(reader.feed.interval).await;
            }
        }
    }
}

/// `Reader` is the state of a feed.
struct Reader<F> {
    feed: Feed<F>,
    /// Revision up to which all changes were passed on.
    revision: u64,
    /// Whether a watch of the store can't be resumed, so all keys must be read instead.
    must_read: bool,
    backoff: Backoff,
    outage: Outage,
}

impl<F> Reader<F> {
    /// Reads all keys from the store, for the first time.
    async fn read_first(&mut self, on_event: &mut impl FnMut(StoreEvent)) {
        let (feed, outage) = (&self.feed, &mut self.outage);
        let read = store::first_read(&feed.store, &feed.prefix, outage, on_event).await;
        if let Ok(read) = read {
            self.on_read(read.found, read.revision, on_event);
        }
    }

    fn on_read(
        &mut self,
        found: Vec<KeyValue>,
        revision: u64,
        on_event: &mut impl FnMut(StoreEvent),
    ) {
        self.outage.on_reachable();
        self.backoff.reset();
        self.must_read = false;
        // The store's answers may overtake each other.
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        on_event(StoreEvent::Snapshot(found, revision));
        on_event(StoreEvent::UpToDate(Duration::ZERO));
    }

    /// Reads what is new from the store: waits for the next changes, or reads all keys if the last
    /// wait failed.
    async fn read_store(&mut self, on_event: &mut impl FnMut(StoreEvent)) {
        let prefix = self.feed.prefix.clone();
        if self.must_read {
            match self.feed.store.get(Range::Prefix(&prefix)).await {
                Ok(read) => self.on_read(read.found, read.revision, on_event),
                Err(error) => {
                    self.outage.on_unreachable(&error);
                    on_event(StoreEvent::Unreachable);
                    let wait = self.backoff.next_wait(&mut rand::rng());
                    time::sleep(wait.min(MAX_RETRY_WAIT)).await;
                }
            }
            return;
        }
        let mut revision = self.revision;
        let outage = &mut self.outage;
        let store = &self.feed.store;
        let mut pass_on = |event: StoreEvent| {
            revision = revision.max(event.revision());
            on_event(event);
        };
        let end = store::watch_once(store, &prefix, self.revision, outage, &mut pass_on).await;
        self.revision = revision;
        self.must_read = end == WatchEnd::Broken;
    }

    /// Reads what is new from a follower. Returns whether it gave a usable answer.
    async fn read_follower(
        &mut self,
        follower: InstanceId,
        on_event: &mut impl FnMut(StoreEvent),
    ) -> bool {
        let path = wire::replica::path(&self.feed.prefix, self.revision);
        let answer = read_answer(follower.0, &path).await;
        let Some(answer) = answer.filter(|it| it.revision >= self.revision) else {
            self.feed.node.count("follower-failed");
            log::debug!("event=follower-failed follower={follower} path={path}");
            return false;
        };
        self.outage.on_reachable();
        self.revision = answer.revision;
        match answer.content {
            Content::Snapshot(items) => {
                let found = items.into_iter().map(key_value).collect();
                on_event(StoreEvent::Snapshot(found, answer.revision));
            }
            Content::Changes(changes) => {
                for change in changes {
                    on_event(store_event(change));
                }
            }
        }
        on_event(StoreEvent::UpToDate(answer.age));
        true
    }
}

async fn read_answer(follower: SocketAddrV4, path: &str) -> Option<Answer> {
    let body = time::timeout(FOLLOWER_TIMEOUT, peers::fetch(follower, path)).await;
    let body = body.ok().flatten()?;
    match wire::replica::decode(&body) {
        Ok(answer) => Some(answer),
        Err(error) => {
            log::warn!("event=answer-unreadable follower={follower} error=\"{error}\"");
            None
        }
    }
}

fn key_value(item: replica::Item) -> KeyValue {
    KeyValue {
        key: item.key,
        value: item.value,
        revision: item.revision,
    }
}

fn store_event(change: replica::Change) -> StoreEvent {
    match change {
        replica::Change::Put(item) => StoreEvent::Put(key_value(item)),
        replica::Change::Deleted(key, revision) => StoreEvent::Deleted(key, revision),
    }
}
