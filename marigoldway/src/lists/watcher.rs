//! The watch of an entry (a load balancer) on the lists in the platform, a key-value
//! store.
//!
//! A few entries of each failure domain are its watchers. A watcher reads both lists,
//! then keeps one watch on both. It sends each list that it receives to the list task.
//! It rereads both lists after each `REREAD_INTERVAL`, which bounds the delay that an
//! undetected stalled watch causes.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time;

use marigoldway_core::ids::DomainId;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::lists::ListKind;
use marigoldway_core::lists::document;
use marigoldway_core::lists::document::Revision;
use marigoldway_core::lists::rollback::RollbackDetector;
use marigoldway_core::lists::watchers;
use marigoldway_core::roster::RosterView;
use marigoldway_net::platform::Change;
use marigoldway_net::platform::KeyValue;
use marigoldway_net::platform::Platform;
use marigoldway_net::platform::Swap;
use marigoldway_net::platform::SwapOutcome;
use marigoldway_net::platform::Watch;
use marigoldway_net::platform::backoff::Backoff;
use marigoldway_net::platform::errors::Result;

use crate::lists::diff;
use crate::lists::put;
use crate::lists::store;
use crate::lists::store::StoredLists;
use crate::metrics::Counter;
use crate::metrics::Metrics;
use crate::metrics::Retry;

/// Time after which a watcher reopens its watch and rereads both lists.
const REREAD_INTERVAL: Duration = Duration::from_secs(30);

/// Minimum duration of a watch that resets the backoff between watches.
const STABLE_WATCH_TIME: Duration = Duration::from_secs(5);

/// Author of the history entries of repairs.
const REPAIR_AUTHOR: &str = "repair";

/// `ListSnapshot` is a list as read from the platform.
#[derive(Debug)]
pub(super) struct ListSnapshot {
    pub(super) kind: ListKind,
    pub(super) text: String,
}

/// `Repair` is a request to overwrite an older revision of a list in the platform by
/// the text that this process holds.
#[derive(Debug)]
pub(super) struct Repair {
    pub(super) kind: ListKind,
    pub(super) text: Arc<str>,
}

/// `Watcher` watches the platform while its entry is one of its domain's watchers.
pub(super) struct Watcher<P> {
    pub(super) platform: Arc<P>,
    pub(super) own: InstanceId,
    pub(super) domain: DomainId,
    pub(super) views: watch::Receiver<Arc<RosterView>>,
    pub(super) snapshots: mpsc::Sender<ListSnapshot>,
    pub(super) repairs: mpsc::Receiver<Repair>,
    pub(super) metrics: Arc<Metrics>,
    /// Detects that the platform was restored from a backup.
    pub(super) rollbacks: RollbackDetector,
}

impl<P: Platform> Watcher<P> {
    /// Runs until the process ends. Returns only if the channel of roster views is closed
    /// while the entry is not a watcher.
    pub(super) async fn run(mut self) {
        let mut backoff = Backoff::default();
        loop {
            if !self.is_watcher() {
                if self.views.changed().await.is_err() {
                    return;
                }
                continue;
            }
            match self.open().await {
                Ok(watch) => {
                    let opened = time::Instant::now();
                    self.follow(watch).await;
                    // The backoff keeps growing while the platform ends each watch at
                    // once, so that new watches don't flood it.
                    if opened.elapsed() >= STABLE_WATCH_TIME {
                        backoff.reset();
                    }
                }
                Err(error) => {
                    log::warn!("event=platform-failed call=watch result=\"{error}\"");
                    self.metrics.count(Counter::Retry(Retry::PlatformCall));
                }
            }
            let wait = backoff.next_wait(&mut rand::rng());
            time::sleep(wait).await;
        }
    }

    fn is_watcher(&mut self) -> bool {
        let view = self.views.borrow_and_update();
        watchers::is_watcher(&view, self.domain, self.own)
    }

    /// Reads both lists, sends them to the list task, and opens a watch on the changes
    /// after that read.
    async fn open(&mut self) -> Result<Watch> {
        let lists = StoredLists::read(self.platform.as_ref()).await?;
        self.on_revision(lists.revision);
        for (_, stored) in &lists.pairs {
            self.send_snapshot(stored).await;
        }
        let next = lists.revision + 1;
        self.platform.watch(store::LISTS_PREFIX, next).await
    }

    /// Sends changes to the list task until the watch ends, the platform is unreachable,
    /// the watch is due for renewal, or the entry is no longer a watcher. Performs repairs
    /// meanwhile.
    async fn follow(&mut self, mut watch: Watch) {
        let end = time::Instant::now() + REREAD_INTERVAL;
        loop {
            tokio::select! {
                change = watch.next() => match change {
                    Some(Change::Put(stored)) => {
                        self.rollbacks.on_change(stored.revision);
                        self.send_snapshot(&stored).await;
                    }
                    Some(Change::Deleted { key, revision }) => {
                        self.rollbacks.on_change(revision);
                        log::warn!("event=list-deleted key={key}");
                    }
                    Some(Change::UpToDate) => {}
                    Some(Change::Unreachable(_) | Change::HistoryLost) | None => return,
                },
                Some(repair) = self.repairs.recv() => self.repair(&repair).await,
                changed = self.views.changed() => {
                    if changed.is_err() || !self.is_watcher() {
                        return;
                    }
                }
                () = time::sleep_until(end) => return,
            }
        }
    }

    /// Notes the platform's revision at a read, and reports that it went back: edits that were
    /// accepted since then are lost, unless a process holds them and writes them again.
    fn on_revision(&mut self, revision: u64) {
        if let Some(last) = self.rollbacks.observe(revision) {
            self.metrics.count(Counter::Event("platform-restored"));
            log::warn!("event=platform-restored last={last} revision={revision}");
        }
    }

    /// Sends a stored list to the list task. Logs and skips a value that is not a list or
    /// not valid UTF-8.
    async fn send_snapshot(&self, stored: &KeyValue) {
        let (Some(kind), Some(text)) = (store::list_kind(stored), store::text(stored)) else {
            let key = &stored.key;
            return log::warn!("event=list-unreadable key={key}");
        };
        let text = text.to_owned();
        // The receiver exists until the process ends.
        let _ = self.snapshots.send(ListSnapshot { kind, text }).await;
    }

    /// Overwrites an older revision of a list, and reports what was overwritten: that may be an edit
    /// that was accepted after the platform was restored from a backup. If another process
    /// writes the list first, that write wins. The watch then reports its revision, and the
    /// list task compares it with the held one again.
    async fn repair(&mut self, repair: &Repair) {
        let kind = repair.kind;
        match self.write(repair).await {
            Ok(Some(lost)) => {
                self.metrics.count(Counter::Event("list-repaired"));
                log::warn!("event=list-repaired list={kind} written=true overwritten={lost}");
            }
            Ok(None) => log::warn!("event=list-repaired list={kind} written=false"),
            Err(error) => log::warn!("event=platform-failed call=repair result=\"{error}\""),
        }
    }

    /// Writes the list unless the platform stores the same or a newer revision, and with it an entry
    /// of the history that tells what was overwritten. Returns the overwritten revision, 0 for none.
    /// Returns `None` if nothing was written, also if another process wrote the list first.
    async fn write(&mut self, repair: &Repair) -> Result<Option<Revision>> {
        let kind = repair.kind;
        let lists = StoredLists::read(self.platform.as_ref()).await?;
        self.on_revision(lists.revision);
        let stored = lists.text(kind).unwrap_or_default();
        let current = document::revision(kind, stored).ok();
        let Ok(held) = document::revision(kind, &repair.text) else {
            return Ok(None);
        };
        if current >= Some(held) {
            return Ok(None);
        }
        let current = current.unwrap_or_default();
        let difference = format!(
            "overwritten={current}\n{}",
            diff::lines(stored, &repair.text)
        );
        let entry = put::history_entry(kind, held, REPAIR_AUTHOR, &difference);
        let key = store::list_key(kind);
        let swap = Swap {
            compares: vec![(key.clone(), lists.store_revision(kind))],
            puts: vec![
                (key, repair.text.as_bytes().to_vec()),
                (store::repair_key(kind, held.generation), entry.into_bytes()),
            ],
            ..Swap::default()
        };
        let outcome = self.platform.compare_and_swap(&swap).await?;
        Ok((outcome != SwapOutcome::Refused).then_some(current))
    }
}
