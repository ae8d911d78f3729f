//! Keeps replicas of keys of the platform's store at an agent that follows the store for the other
//! processes, and serves them.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use tokio::time;

use marigoldway_core::replica::Change;
use marigoldway_core::replica::Item;
use marigoldway_core::replica::Replica;
use marigoldway_core::time::Timestamp;
use marigoldway_net::platform::KeyValue;
use marigoldway_net::wire;
use marigoldway_platform::store::KvStore;

use crate::packets::node::Node;
use crate::packets::store;
use crate::packets::store::StoreEvent;

/// Interval between two checks whether this process is a follower.
const ROLE_INTERVAL: Duration = Duration::from_millis(200);

/// `Replicas` holds the replica of each prefix that a follower serves. Other processes have none.
#[derive(Debug, Default)]
pub(crate) struct Replicas {
    replicas: RefCell<IndexMap<&'static str, Replica>>,
}

impl Replicas {
    /// The encoded answer to a reader that has asked for `path`. Returns `None` for another path,
    /// and if this process has no replica that is up to date.
    pub(crate) fn answer(&self, now: Timestamp, path: &str) -> Option<Bytes> {
        let (prefix, after) = wire::replica::parse_path(path)?;
        let replicas = self.replicas.borrow();
        let (_, replica) = replicas.iter().find(|(it, _)| prefix.starts_with(**it))?;
        let answer = replica.answer(now, prefix, after)?;
        match wire::replica::encode(&answer) {
            Ok(body) => Some(Bytes::from(body)),
            Err(error) => {
                log::error!("event=answer-unencodable path={path} error=\"{error}\"");
                None
            }
        }
    }

    fn update(&self, prefix: &'static str, update: impl FnOnce(&mut Replica)) {
        update(self.replicas.borrow_mut().entry(prefix).or_default());
    }
}

/// Follows a prefix of the store while `is_follower` says that this process is one. Never returns.
pub(crate) async fn replicate(
    node: Rc<Node>,
    store: Rc<KvStore>,
    prefix: &'static str,
    is_follower: impl Fn() -> bool,
) {
    loop {
        while !is_follower() {
            time::sleep(ROLE_INTERVAL).await;
        }
        log::info!("event=follower-started prefix={prefix}");
        let stopped = async {
            while is_follower() {
                time::sleep(ROLE_INTERVAL).await;
            }
        };
        tokio::select! {
            () = store::follow(store.clone(), prefix.to_owned(), |event| on_event(&node, prefix, event)) => {}
            () = stopped => {}
        }
        node.replicas.update(prefix, Replica::suspend);
        log::info!("event=follower-stopped prefix={prefix}");
    }
}

fn on_event(node: &Node, prefix: &'static str, event: StoreEvent) {
    let now = node.clock.now();
    node.replicas.update(prefix, |replica| match event {
        StoreEvent::Snapshot(found, revision) => {
            let items = found.into_iter().map(item).collect();
            replica.replace(now, items, revision);
        }
        StoreEvent::Put(stored) => replica.add(Change::Put(item(stored))),
        StoreEvent::Deleted(key, revision) => replica.add(Change::Deleted(key, revision)),
        StoreEvent::UpToDate(_) => replica.confirm(now),
        StoreEvent::Unreachable => replica.suspend(),
    });
}

fn item(stored: KeyValue) -> Item {
    Item {
        key: stored.key,
        value: stored.value,
        revision: stored.revision,
    }
}
