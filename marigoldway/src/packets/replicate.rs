//! Keeps replicas of keys of the platform's store at an agent that follows the store for the other
//! processes, and serves them.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use tokio::time;

use marigoldway_core::flow::agents::Agents;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::replica::Change;
use marigoldway_core::replica::Item;
use marigoldway_core::replica::Replica;
use marigoldway_core::replica::followers;
use marigoldway_core::replica::sources::Freshness;
use marigoldway_core::replica::sources::Role;
use marigoldway_core::replica::timing::Timing;
use marigoldway_core::time::Timestamp;
use marigoldway_net::platform::KeyValue;
use marigoldway_net::wire;
use marigoldway_net::wire::agents;

use crate::packets::agent_records;
use crate::packets::feed;
use crate::packets::feed::Demand;
use crate::packets::feed::Feed;
use crate::packets::node::Node;
use crate::packets::store::StoreEvent;

/// Interval between two checks whether this process is a follower.
const ROLE_INTERVAL: Duration = Duration::from_millis(200);

/// `Replicas` holds the replica of each prefix that a follower serves. Other processes have none.
#[derive(Debug)]
pub(crate) struct Replicas {
    /// Age of a confirmation from which on a replica gives no answer.
    lifetime: Duration,
    replicas: RefCell<IndexMap<&'static str, Replica>>,
    /// What readers of each prefix demand.
    demands: RefCell<IndexMap<&'static str, Rc<Demand>>>,
    /// The agents of all services, by the replica of their keys.
    agents: RefCell<Agents>,
}

impl Replicas {
    /// No replicas. Those to come give no answer whose confirmation is older than `lifetime`.
    pub(crate) fn new(lifetime: Duration) -> Replicas {
        Replicas {
            lifetime,
            replicas: RefCell::default(),
            demands: RefCell::default(),
            agents: RefCell::default(),
        }
    }

    /// The encoded answer to a reader that has asked for `path`. Returns `None` for another path,
    /// and if this process has no replica that is up to date.
    pub(crate) fn answer(&self, now: Timestamp, path: &str) -> Option<Bytes> {
        let request = wire::replica::parse_path(path)?;
        let prefix = request.prefix;
        let replicas = self.replicas.borrow();
        let (held, replica) = replicas.iter().find(|(it, _)| prefix.starts_with(**it))?;
        // A reader may know of a later epoch. The store tells whether there is one.
        let is_behind = request.after.epoch > replica.epoch();
        if is_behind || request.freshness == Freshness::Now {
            self.demand(held).raise();
        }
        let answer = replica.answer(now, prefix, request.after)?;
        match wire::replica::encode(&answer) {
            Ok(body) => Some(Bytes::from(body)),
            Err(error) => {
                log::error!("event=answer-unencodable path={path} error=\"{error}\"");
                None
            }
        }
    }

    /// The followers of all services, in the order that they have in common. Empty if this process
    /// has no replica of the agents' keys.
    pub(crate) fn followers(&self) -> Vec<InstanceId> {
        followers::ranked(&self.agents.borrow())
    }

    /// Applies a change of the agents' keys.
    fn update_agents(&self, node: &Node, event: &StoreEvent) {
        let now = node.clock.now();
        let mut known = self.agents.borrow_mut();
        match event {
            StoreEvent::Snapshot(found, _) => {
                known.replace(now, &agent_records::decode_all(node, found));
            }
            StoreEvent::Put(stored) => {
                if let Some(record) = agent_records::decode(node, stored) {
                    known.register(record);
                }
            }
            StoreEvent::Deleted(key, _) => {
                if let Some(id) = agents::key_id(key) {
                    known.remove(id);
                }
            }
            StoreEvent::NewEpoch(_) => {}
            StoreEvent::Confirmed(_) => {
                known.expire(now);
            }
        }
    }

    fn demand(&self, prefix: &'static str) -> Rc<Demand> {
        self.demands.borrow_mut().entry(prefix).or_default().clone()
    }

    fn update(&self, prefix: &'static str, update: impl FnOnce(&mut Replica)) {
        let mut replicas = self.replicas.borrow_mut();
        let replica = replicas.entry(prefix);
        update(replica.or_insert_with(|| Replica::new(self.lifetime)));
    }
}

/// Keeps a replica of a prefix while `is_follower` says that this process is a follower. `followers`
/// returns all followers in their common order. Never returns.
pub(crate) async fn replicate(
    node: Rc<Node>,
    prefix: &'static str,
    is_follower: impl Fn() -> bool,
    followers: impl Fn() -> Vec<InstanceId>,
) {
    let own = node.settings.data;
    let timing = Timing::new(node.settings.apply_limit);
    loop {
        while !is_follower() {
            time::sleep(ROLE_INTERVAL).await;
        }
        log::info!("event=follower-started prefix={prefix}");
        let feed = Feed {
            node: node.clone(),
            store: node.feed_client(),
            prefix: prefix.to_owned(),
            role: Role::Follower(own),
            interval: timing.relay,
            demand: node.replicas.demand(prefix),
            followers: &followers,
        };
        let stopped = async {
            while is_follower() {
                time::sleep(ROLE_INTERVAL).await;
            }
        };
        tokio::select! {
            () = feed::follow(feed, |event| on_event(&node, prefix, event)) => {}
            () = stopped => {}
        }
        node.replicas.update(prefix, Replica::suspend);
        if prefix == agents::AGENTS_PREFIX {
            node.replicas.agents.take();
        }
        log::info!("event=follower-stopped prefix={prefix}");
    }
}

fn on_event(node: &Node, prefix: &'static str, event: StoreEvent) {
    if prefix == agents::AGENTS_PREFIX {
        node.replicas.update_agents(node, &event);
    }
    node.replicas.update(prefix, |replica| match event {
        StoreEvent::NewEpoch(epoch) => replica.on_epoch(epoch),
        StoreEvent::Snapshot(found, revision) => {
            let items = found.into_iter().map(item).collect();
            replica.replace(items, revision);
        }
        StoreEvent::Put(stored) => replica.add(Change::Put(item(stored))),
        StoreEvent::Deleted(key, revision) => replica.add(Change::Deleted(key, revision)),
        StoreEvent::Confirmed(as_of) => replica.confirm(as_of),
    });
}

fn item(stored: KeyValue) -> Item {
    Item {
        key: stored.key,
        value: stored.value,
        revision: stored.revision,
    }
}
