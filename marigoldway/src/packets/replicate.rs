//! Keeps replicas of keys of the platform's store at an agent that follows the store for the other
//! processes.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time;

use marigoldway_core::ids::InstanceId;
use marigoldway_core::replica::Change;
use marigoldway_core::replica::Item;
use marigoldway_core::replica::Replica;
use marigoldway_core::replica::sources::Role;
use marigoldway_core::replica::timing::Timing;
use marigoldway_net::platform::KeyValue;
use marigoldway_net::wire::agents;

use crate::packets::agent_records;
use crate::packets::feed;
use crate::packets::feed::Feed;
use crate::packets::node::Node;
use crate::packets::replicas::Standing;
use crate::packets::store::StoreEvent;

/// Interval between two checks whether this process is a follower.
const ROLE_INTERVAL: Duration = Duration::from_millis(200);

/// Keeps a replica of a prefix while `is_follower` says that this process is a follower. It returns
/// `None` while that isn't known. `followers` returns all followers in their common order. Never
/// returns.
pub(crate) async fn replicate(
    node: Rc<Node>,
    prefix: &'static str,
    is_follower: impl Fn() -> Option<bool>,
    followers: impl Fn() -> Vec<InstanceId>,
) {
    let own = node.settings.data;
    let timing = Timing::new(node.settings.apply_limit);
    loop {
        wait_until_follower(&node, prefix, &is_follower).await;
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
            while is_follower() == Some(true) {
                time::sleep(ROLE_INTERVAL).await;
            }
        };
        tokio::select! {
            () = feed::follow(feed, |event| on_event(&node, prefix, event)) => {}
            () = stopped => {}
        }
        node.replicas.set_standing(prefix, Standing::NotFollowing);
        node.replicas.update(prefix, Replica::suspend);
        if prefix == agents::AGENTS_PREFIX {
            node.replicas.agents.take();
        }
        log::info!("event=follower-stopped prefix={prefix}");
    }
}

/// Waits until this process is a follower. Keeps its standing up to date meanwhile.
async fn wait_until_follower(
    node: &Node,
    prefix: &'static str,
    is_follower: impl Fn() -> Option<bool>,
) {
    loop {
        let standing = match is_follower() {
            None => Standing::Undecided,
            Some(true) => Standing::Following,
            Some(false) => Standing::NotFollowing,
        };
        node.replicas.set_standing(prefix, standing);
        if standing == Standing::Following {
            return;
        }
        tokio::select! {
            () = time::sleep(ROLE_INTERVAL) => {}
            () = node.replicas.role_check_due() => {}
        }
    }
}

/// Applies a change of the agents' keys.
fn update_agents(node: &Node, event: &StoreEvent) {
    let now = node.clock.now();
    let mut known = node.replicas.agents.borrow_mut();
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

fn on_event(node: &Node, prefix: &'static str, event: StoreEvent) {
    if prefix == agents::AGENTS_PREFIX {
        update_agents(node, &event);
        node.replicas.moves.borrow_mut().on_agents(node, &event);
    } else {
        let now = node.clock.now();
        node.replicas.moves.borrow_mut().on_config(now, &event);
    }
    let replicas = &node.replicas;
    match event {
        StoreEvent::NewEpoch(epoch) => replicas.update(prefix, |it| it.on_epoch(epoch)),
        StoreEvent::Snapshot(found, revision) => {
            let items = found.into_iter().map(item).collect();
            replicas.update(prefix, |it| it.replace(items, revision));
        }
        StoreEvent::Put(stored) => {
            replicas.update(prefix, |it| it.add(Change::Put(item(stored))));
        }
        StoreEvent::Deleted(key, revision) => {
            replicas.update(prefix, |it| it.add(Change::Deleted(key, revision)));
        }
        StoreEvent::Confirmed(as_of) => replicas.confirm(prefix, as_of),
    }
}

fn item(stored: KeyValue) -> Item {
    Item {
        key: stored.key,
        value: Bytes::from(stored.value),
        revision: stored.revision,
    }
}
