//! Reads the keys of a prefix of the platform's store, from a follower's replica or from the store
//! itself, and passes each change on.
//!
//! A follower is an agent that follows the store for the other processes of its failure domain.
//! Which source is read, when, and what an answer is worth, is decided by
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
use marigoldway_core::replica::epoch::Epoch;
use marigoldway_core::replica::position::Position;
use marigoldway_core::replica::sources::Freshness;
use marigoldway_core::replica::sources::Role;
use marigoldway_core::replica::sources::Sources;
use marigoldway_core::replica::sources::Step;
use marigoldway_core::replica::timing::Timing;
use marigoldway_core::time::Timestamp;
use marigoldway_net::platform::Change;
use marigoldway_net::platform::KeyValue;
use marigoldway_net::platform::Platform;
use marigoldway_net::platform::Range;
use marigoldway_net::platform::ReadResult;
use marigoldway_net::platform::errors::Result;
use marigoldway_net::platform::transport::Patience;
use marigoldway_net::wire;
use marigoldway_net::wire::replica::Request;
use marigoldway_platform::store::Changes;
use marigoldway_platform::store::KvStore;

use crate::packets::demand::Demand;
use crate::packets::node::Node;
use crate::packets::peers;
use crate::packets::peers::TimedOut;
use crate::packets::store;
use crate::packets::store::FirstRead;
use crate::packets::store::Outage;
use crate::packets::store::StoreEvent;

/// Time limits of a read from a follower. It is in the same failure domain as a rule. A follower that
/// sends octets works, however narrow the link is.
const FOLLOWER_PATIENCE: Patience = Patience {
    head: Duration::from_millis(400),
    pause: Duration::from_millis(400),
    body: Duration::from_secs(3),
};

/// Maximum wait between a follower's failure and the next read, drawn at random, so that processes
/// that lose the same follower don't all ask the next one at the same moment.
const MAX_FAILURE_WAIT: Duration = Duration::from_millis(300);

/// `Feed` says what to read, and where.
pub(crate) struct Feed<F> {
    /// The reading process.
    pub(crate) node: Rc<Node>,
    /// Client of the store.
    pub(crate) store: Rc<KvStore>,
    /// Prefix of the keys.
    pub(crate) prefix: String,
    /// What the process reads for.
    pub(crate) role: Role,
    /// Time between two reads, so that several changes arrive in one answer.
    pub(crate) interval: Duration,
    /// What the process's decisions demand.
    pub(crate) demand: Rc<Demand>,
    /// Returns the known followers, in the order in which this process asks them.
    pub(crate) followers: F,
}

/// Reads the keys of a prefix, then their changes, and passes them to `on_event`. Never returns.
pub(crate) async fn follow<F: Fn() -> Vec<InstanceId>>(
    feed: Feed<F>,
    mut on_event: impl FnMut(StoreEvent),
) {
    let timing = Timing::new(feed.node.settings.apply_limit);
    let mut reader = Reader {
        sources: Sources::new(feed.role, timing, feed.interval),
        position: Position::default(),
        delivered: None,
        must_read: true,
        outage: Outage::new(feed.prefix.clone()),
        feed,
    };
    // A process that reads for itself can't do its work before. A follower may ask another one.
    if reader.feed.role == Role::Reader {
        reader.read_first(&mut on_event).await;
    }
    let demand = reader.feed.demand.clone();
    loop {
        let now = reader.now();
        if let Some(at) = demand.take() {
            reader.sources.demand(at);
        }
        let followers = (reader.feed.followers)();
        match reader.sources.next(now, &followers) {
            Step::Follower(id, freshness) => {
                reader.read_follower(id, freshness, &mut on_event).await;
            }
            Step::Store(Duration::ZERO) => reader.read_store(Duration::ZERO, &mut on_event).await,
            // A call that the store holds isn't waited for if a decision needs another one.
            Step::Store(hold) => tokio::select! {
                () = reader.read_store(hold, &mut on_event) => {}
                () = demand.raised() => {}
            },
            Step::Wait(until) => tokio::select! {
                () = time::sleep(until.since(now)) => {}
                () = demand.raised() => {}
            },
        }
    }
}

/// `Reader` is the state of a feed.
struct Reader<F> {
    feed: Feed<F>,
    sources: Sources,
    position: Position,
    /// Epoch of the last snapshot, or `None` before the first one.
    delivered: Option<Epoch>,
    /// Whether the changes since the known revision may be lost, so that all keys must be read.
    must_read: bool,
    outage: Outage,
}

impl<F> Reader<F> {
    fn now(&self) -> Timestamp {
        self.feed.node.clock.now()
    }

    /// Reads all keys from the store, for the first time.
    async fn read_first(&mut self, on_event: &mut impl FnMut(StoreEvent)) {
        let (feed, outage) = (&self.feed, &mut self.outage);
        let FirstRead { asked, read } =
            store::first_read(&feed.node.clock, &feed.store, &feed.prefix, outage).await;
        self.on_list(asked, read, on_event);
    }

    /// Notes that the process has learned of a later epoch, from whatever source. The position is of
    /// no use then.
    fn enter_epoch(&mut self) {
        let latest = self.feed.store.epochs().latest();
        self.must_read |= self.position.on_epoch(latest);
    }

    /// Handles a list of all keys, which the store was asked for at `asked`.
    fn on_list(
        &mut self,
        asked: Timestamp,
        read: ReadResult,
        on_event: &mut impl FnMut(StoreEvent),
    ) {
        let revision = read.revision;
        self.enter_epoch();
        // One of several attempts may have been answered before the restore.
        if read.epoch != self.position.reached().epoch {
            return;
        }
        self.outage.on_reachable();
        self.sources.on_store_answer(self.now(), asked, asked, true);
        self.must_read = false;
        // The store's answers may overtake each other.
        if revision < self.position.known() {
            return;
        }
        self.position.on_known(revision);
        self.log_change("store", Duration::ZERO);
        self.pass_snapshot(read.found, revision, on_event);
        on_event(StoreEvent::Confirmed(asked));
    }

    /// Passes on all keys, and before them their epoch if it is new.
    fn pass_snapshot(
        &mut self,
        found: Vec<KeyValue>,
        revision: u64,
        on_event: &mut impl FnMut(StoreEvent),
    ) {
        let epoch = self.position.reached().epoch;
        let previous = self.delivered.replace(epoch);
        if previous != Some(epoch) {
            on_event(StoreEvent::NewEpoch(epoch));
        }
        if let Some(previous) = previous
            && previous != epoch
        {
            self.feed.node.count("epoch-changed");
            let prefix = &self.feed.prefix;
            log::warn!(
                "event=epoch-changed prefix={prefix} previous={previous} epoch={epoch} revision={revision}"
            );
        }
        on_event(StoreEvent::Snapshot(found, revision));
    }

    /// Reads what is new from the store, which may hold the call for `hold`.
    async fn read_store(&mut self, hold: Duration, on_event: &mut impl FnMut(StoreEvent)) {
        self.feed.node.count("store-read");
        if let Err(error) = self.try_store(hold, on_event).await {
            self.outage.on_unreachable(&error);
            // A store that has dropped its history may leave a call from before without a word.
            self.must_read = true;
            let jitter = rand::rng().random_range(0.0..1.0);
            self.sources.on_store_failure(self.now(), jitter);
        }
    }

    async fn try_store(
        &mut self,
        hold: Duration,
        on_event: &mut impl FnMut(StoreEvent),
    ) -> Result<()> {
        let (store, prefix) = (self.feed.store.clone(), self.feed.prefix.clone());
        self.enter_epoch();
        if !self.must_read {
            let asked = self.now();
            let after = self.position.after(asked);
            match store.changes(&prefix, after, hold).await? {
                Changes::Found(changes, revision) => {
                    self.on_changes(asked, hold, changes, revision, on_event);
                    return Ok(());
                }
                Changes::HistoryLost => log::info!("event=store-history-lost prefix={prefix}"),
            }
        }
        let asked = self.now();
        let read = store.get(Range::Prefix(&prefix)).await?;
        self.on_list(asked, read, on_event);
        Ok(())
    }

    /// Handles the store's answer to a call for changes made at `asked`.
    fn on_changes(
        &mut self,
        asked: Timestamp,
        hold: Duration,
        changes: Vec<Change>,
        revision: u64,
        on_event: &mut impl FnMut(StoreEvent),
    ) {
        self.outage.on_reachable();
        let now = self.now();
        let changed = !changes.is_empty();
        // A call that was held to the end confirms that nothing has changed until then.
        let held = !changed && now.since(asked) >= hold;
        let as_of = if held { asked + hold } else { asked };
        self.sources.on_store_answer(now, asked, as_of, changed);
        for event in changes.into_iter().filter_map(store_event) {
            self.position.on_known(event.revision());
            on_event(event);
        }
        self.position.on_answer(asked, revision);
        if changed {
            self.log_change("store", now.since(as_of));
        }
        on_event(StoreEvent::Confirmed(as_of));
    }

    /// Reads what is new from a follower.
    async fn read_follower(
        &mut self,
        id: InstanceId,
        freshness: Freshness,
        on_event: &mut impl FnMut(StoreEvent),
    ) {
        self.enter_epoch();
        let after = self.position.reached();
        let request = Request {
            prefix: &self.feed.prefix,
            after,
            freshness,
        };
        let path = request.path();
        if freshness != Freshness::Known {
            self.feed.node.count("demand-sent");
        }
        let asked = self.now();
        let answer = read_answer(id.0, &path).await;
        let now = self.now();
        // The answer may be the first to tell of a later epoch, or be of an earlier one.
        if let Ok(Some(answer)) = &answer {
            self.feed.store.epochs().raise(answer.epoch);
        }
        self.enter_epoch();
        let answer = answer.map(|it| it.filter(|it| self.position.accepts(it, after)));
        let Ok(Some(answer)) = answer else {
            self.feed.node.count("follower-failed");
            log::debug!("event=follower-failed follower={id} path={path}");
            let wait = rand::rng().random_range(Duration::ZERO..MAX_FAILURE_WAIT);
            return match answer {
                Ok(_) => self.sources.on_refusal(now, id, wait),
                Err(_) => self.sources.on_failure(now, id, wait),
            };
        };
        let Some(as_of) = self.sources.on_answer(now, id, asked, answer.age) else {
            self.feed.node.count("follower-late");
            let age = answer.age.as_millis();
            return log::debug!("event=follower-late follower={id} path={path} age-ms={age}");
        };
        self.outage.on_reachable();
        self.position.on_known(answer.revision);
        if !answer.content.is_empty() {
            self.log_change(id, now.since(as_of));
        }
        match answer.content {
            Content::Snapshot(items) => {
                let found = items.into_iter().map(key_value).collect();
                self.pass_snapshot(found, answer.revision, on_event);
            }
            Content::Changes(changes) => changes
                .into_iter()
                .map(replica_event)
                .for_each(&mut *on_event),
        }
        on_event(StoreEvent::Confirmed(as_of));
    }

    /// Logs from whom the process has learnt of a change, and how old its confirmation is.
    fn log_change(&self, source: impl std::fmt::Display, age: Duration) {
        let (prefix, revision) = (&self.feed.prefix, self.position.known());
        let age = age.as_millis();
        log::info!(
            "event=feed-changed prefix={prefix} revision={revision} source={source} age-ms={age}"
        );
    }
}

/// Reads from a follower. Returns `None` if it has no answer, or if no process listens there.
async fn read_answer(
    follower: SocketAddrV4,
    path: &str,
) -> std::result::Result<Option<Answer>, TimedOut> {
    let body = peers::fetch_patiently(follower, path, FOLLOWER_PATIENCE).await?;
    let Some(body) = body else {
        return Ok(None);
    };
    match wire::replica::decode(&body) {
        Ok(answer) => Ok(Some(answer)),
        Err(error) => {
            log::warn!("event=answer-unreadable follower={follower} error=\"{error}\"");
            Ok(None)
        }
    }
}

fn key_value(item: replica::Item) -> KeyValue {
    KeyValue {
        key: item.key,
        value: item.value.into(),
        revision: item.revision,
    }
}

fn replica_event(change: replica::Change) -> StoreEvent {
    match change {
        replica::Change::Put(item) => StoreEvent::Put(key_value(item)),
        replica::Change::Deleted(key, revision) => StoreEvent::Deleted(key, revision),
    }
}

/// The change of a key that the store has told, or `None` for news of the store itself.
fn store_event(change: Change) -> Option<StoreEvent> {
    match change {
        Change::Put(stored) => Some(StoreEvent::Put(stored)),
        Change::Deleted { key, revision } => Some(StoreEvent::Deleted(key, revision)),
        Change::UpToDate | Change::Unreachable(_) | Change::HistoryLost => None,
    }
}
