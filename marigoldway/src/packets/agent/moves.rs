//! Keeps the record of moved routes in the store: the first follower writes it.
//!
//! The record tells entries which services may hold flows to an address beside those of its route.
//! Every follower sees each configuration, so any of them can go on.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time;

use marigoldway_core::flow::route_moves::RouteBase;
use marigoldway_core::flow::routes::Routes;
use marigoldway_net::platform::Change;
use marigoldway_net::platform::KeyValue;
use marigoldway_net::platform::Platform;
use marigoldway_net::platform::Range;
use marigoldway_net::platform::Swap;
use marigoldway_net::platform::SwapOutcome;
use marigoldway_net::platform::errors::Result;
use marigoldway_net::wire::agents;
use marigoldway_net::wire::moves as wire;
use marigoldway_platform::config;
use marigoldway_platform::store::Changes;
use marigoldway_platform::store::KvStore;

use crate::packets::agent::Agent;

/// Maximum time between two checks whether the record is to be written: moves expire.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time between two writes. Configurations that follow each other closely take one call.
const WRITE_INTERVAL: Duration = Duration::from_millis(300);

/// Time after a failed call until the next one.
const RETRY_WAIT: Duration = Duration::from_secs(2);

/// Writes the record while this agent is the first follower. Never returns.
pub(super) async fn record(agent: Rc<Agent>) {
    let store = agent.node.store_client();
    let changed = agent.node.replicas.moves.borrow().changed.clone();
    loop {
        let _ = time::timeout(CHECK_INTERVAL, changed.notified()).await;
        if !agent.leads() {
            continue;
        }
        match agent.write_moves(&store).await {
            Ok(true) => time::sleep(WRITE_INTERVAL).await,
            Ok(false) => {}
            Err(error) => {
                log::debug!("event=moves-delayed error=\"{error}\"");
                time::sleep(RETRY_WAIT).await;
            }
        }
    }
}

impl Agent {
    /// Whether this agent is the first of all followers, and so the one that asks the store.
    fn leads(&self) -> bool {
        let first = self.ranked_followers().first().copied();
        first == Some(self.node.settings.data) && !self.node.leaving.get()
    }

    /// Writes the record if it is due, and returns whether it was. If another agent has written it
    /// meanwhile, its record arrives with the keys of the agents.
    async fn write_moves(&self, store: &KvStore) -> Result<bool> {
        let moves = &self.node.replicas.moves;
        self.find_origin(store).await?;
        self.resume_moves(store).await?;
        let due = moves.borrow_mut().recorder.due(self.node.clock.now());
        let base = moves.borrow().recorder.routes().cloned();
        let (Some(due), Some(base)) = (due, base) else {
            return Ok(false);
        };
        let position = moves.borrow().position;
        let base = wire::encode_base(&RouteBase::from(&*base));
        let swap = Swap {
            epoch: position.epoch,
            compares: vec![(agents::MOVES_KEY.to_owned(), position.revision)],
            puts: vec![
                (agents::MOVES_KEY.to_owned(), wire::encode_moves(&due)),
                (wire::BASE_KEY.to_owned(), base),
            ],
            ..Swap::default()
        };
        let outcome = store.compare_and_swap(&swap).await?;
        let (version, complete, count) = (due.version, due.complete, due.moved.len());
        log::info!(
            "event=moves-written version={version} complete={complete} count={count} outcome={outcome:?}"
        );
        if let SwapOutcome::Applied(revision) = outcome {
            let now = self.node.clock.now();
            moves.borrow_mut().on_written(now, due, revision);
        }
        Ok(true)
    }

    /// Asks the store whether the configuration is the first of all, if there is no record yet.
    async fn find_origin(&self, store: &KvStore) -> Result<()> {
        let moves = &self.node.replicas.moves;
        if moves.borrow().recorder.lacks_origin()
            && let Some(stored) = store.original(config::CONFIG_KEY).await?
            && let Ok(parsed) = config::parse(&stored.value, None)
        {
            moves.borrow_mut().recorder.on_oldest(parsed.routes.version);
        }
        Ok(())
    }

    /// Continues an earlier record, of a configuration that no living process has seen, by the history
    /// of the store. Has no effect if the store no longer has it.
    async fn resume_moves(&self, store: &KvStore) -> Result<()> {
        let moves = &self.node.replicas.moves;
        let earlier = moves.borrow().recorder.earlier_record().cloned();
        let Some(earlier) = earlier else {
            return Ok(());
        };
        let base = store.get(Range::Key(wire::BASE_KEY)).await?;
        let base = base.found.first().map(|it| wire::decode_base(&it.value));
        let found = store.changes(config::CONFIG_KEY, earlier.revision, Duration::ZERO);
        let (Some(Ok(base)), Changes::Found(changes, _)) = (base, found.await?) else {
            return Ok(());
        };
        let since = configurations(changes);
        log::info!(
            "event=moves-resumed version={} configurations={}",
            earlier.version,
            since.len()
        );
        let now = self.node.clock.now();
        moves.borrow_mut().recorder.resume(now, base, &since);
        Ok(())
    }
}

/// The configurations among changes of the store, without those that can't be decoded.
fn configurations(changes: Vec<Change>) -> Vec<Arc<Routes>> {
    let mut decoded: Vec<Arc<Routes>> = Vec::new();
    for change in changes {
        let Change::Put(KeyValue { key, value, .. }) = change else {
            continue;
        };
        let previous = decoded.last().cloned();
        if key == config::CONFIG_KEY
            && let Ok(parsed) = config::parse(&value, previous.as_deref())
        {
            decoded.push(Arc::new(parsed.routes));
        }
    }
    decoded
}
