//! The entries that watch the platform.
//!
//! An entry that is among its failure domain's watchers reads both lists, then
//! holds one watch on both, and hands on what it sees. Now and then it reads
//! again, so that a watch that hangs unnoticed costs no more than that time.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time;

use marigoldway_core::ids::DomainId;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::lists::ListKind;
use marigoldway_core::lists::document;
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

use crate::lists::store;
use crate::lists::store::Lists;
use crate::metrics::Counter;
use crate::metrics::Metrics;
use crate::metrics::Retry;

/// Time after which a watcher reads again.
const REREAD: Duration = Duration::from_secs(30);

/// Time after which a watch counts as steady.
const STEADY: Duration = Duration::from_secs(5);

/// `Seen` is a list as it stands in the platform.
#[derive(Debug)]
pub(super) struct Seen {
    pub(super) kind: ListKind,
    pub(super) text: String,
}

/// `Repair` asks for a list to be written over an older state of it.
#[derive(Debug)]
pub(super) struct Repair {
    pub(super) kind: ListKind,
    pub(super) text: Arc<str>,
}

/// `Watcher` watches the platform while its entry is a watcher.
pub(super) struct Watcher<P> {
    pub(super) platform: Arc<P>,
    pub(super) own: InstanceId,
    pub(super) domain: DomainId,
    pub(super) views: watch::Receiver<Arc<RosterView>>,
    pub(super) seen: mpsc::Sender<Seen>,
    pub(super) repairs: mpsc::Receiver<Repair>,
    pub(super) metrics: Arc<Metrics>,
}

impl<P: Platform> Watcher<P> {
    /// Runs until the process ends.
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
                    // A platform that ends each watch at once must not be
                    // flooded.
                    if opened.elapsed() >= STEADY {
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

    /// Reads both lists and watches for what changes from then on.
    async fn open(&mut self) -> Result<Watch> {
        let lists = Lists::read(self.platform.as_ref()).await?;
        for (_, stored) in &lists.found {
            self.hand_on(stored).await;
        }
        let next = lists.revision + 1;
        self.platform.watch(store::LISTS_PREFIX, next).await
    }

    /// Hands on changes until the watch ends or is due to be renewed.
    async fn follow(&mut self, mut watch: Watch) {
        let end = time::Instant::now() + REREAD;
        loop {
            tokio::select! {
                change = watch.next() => match change {
                    Some(Change::Put(stored)) => self.hand_on(&stored).await,
                    Some(Change::Deleted { key, .. }) => {
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

    async fn hand_on(&self, stored: &KeyValue) {
        let (Some(kind), Some(text)) = (store::kind_of(stored), store::text(stored)) else {
            let key = &stored.key;
            return log::warn!("event=list-unreadable key={key}");
        };
        let text = text.to_owned();
        // The reader ends with the process only.
        let _ = self.seen.send(Seen { kind, text }).await;
    }

    /// Writes a list over an older state. Whoever wrote meanwhile wins; the
    /// watch then shows it, and it is compared anew.
    async fn repair(&self, repair: &Repair) {
        let kind = repair.kind;
        match self.write(repair).await {
            Ok(written) => log::warn!("event=list-repaired list={kind} written={written}"),
            Err(error) => log::warn!("event=platform-failed call=repair result=\"{error}\""),
        }
    }

    async fn write(&self, repair: &Repair) -> Result<bool> {
        let kind = repair.kind;
        let lists = Lists::read(self.platform.as_ref()).await?;
        let stands = lists
            .text(kind)
            .and_then(|text| document::revision(kind, text).ok());
        if stands >= document::revision(kind, &repair.text).ok() {
            return Ok(false);
        }
        let key = store::list_key(kind);
        let swap = Swap {
            compares: vec![(key.clone(), lists.stored(kind))],
            puts: vec![(key, repair.text.as_bytes().to_vec())],
            removes: Vec::new(),
            lease: None,
        };
        let swapped = self.platform.compare_and_swap(&swap).await?;
        Ok(swapped != SwapOutcome::Refused)
    }
}
