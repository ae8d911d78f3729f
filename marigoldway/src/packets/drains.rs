//! What a process learns of drained failure domains, from the store's keys and from peers.

use std::net::SocketAddrV4;

use marigoldway_core::flow::agents::Agents;
use marigoldway_core::flow::drains::DrainChange;
use marigoldway_core::flow::drains::DrainUpdate;
use marigoldway_net::wire;
use marigoldway_platform::drains;
use marigoldway_platform::drains::DrainKey;

use crate::packets::node::Node;
use crate::packets::peers;
use crate::packets::store::StoreEvent;

/// Applies a change of the operators' keys, if it concerns drains. Logs and counts each domain
/// whose drain begins or ends.
pub(crate) fn on_event(node: &Node, agents: &mut Agents, event: &StoreEvent) {
    let update = match event {
        StoreEvent::Snapshot(found, _) => {
            let names = found.iter().filter_map(|it| domain(node, &it.key));
            DrainUpdate::Replace(names.collect())
        }
        StoreEvent::Put(stored) => match domain(node, &stored.key) {
            Some(name) => DrainUpdate::Drain(name),
            None => return,
        },
        StoreEvent::Deleted(key, _) => match domain(node, key) {
            Some(name) => DrainUpdate::Lift(name),
            None => return,
        },
        // The operators write again what the restore has lost, within the time for any change.
        StoreEvent::NewEpoch(_) => DrainUpdate::Restore(node.settings.apply_limit),
        StoreEvent::Confirmed(_) => DrainUpdate::Review,
    };
    apply(node, agents, update, "store");
}

/// Asks a peer for the drained domains. Returns `None` if it doesn't know them.
pub(crate) async fn fetch(node: &Node, peer: SocketAddrV4) -> Option<DrainUpdate> {
    let body = peers::fetch(peer, peers::DRAINS_PATH).await?;
    match wire::drains::decode(&body) {
        Ok(shared) => Some(DrainUpdate::Learn(shared)),
        Err(error) => {
            node.count("drains-unreadable");
            if node
                .log_limiter
                .allows(node.clock.now(), "drains-unreadable")
            {
                log::warn!("event=drains-unreadable peer={peer} error=\"{error}\"");
            }
            None
        }
    }
}

/// Applies what a peer has told.
pub(crate) fn learn(node: &Node, agents: &mut Agents, update: DrainUpdate) {
    apply(node, agents, update, "peer");
}

/// Logs and counts drained domains of which no agent is known, once for each drain.
pub(crate) fn log_unserved(node: &Node, agents: &mut Agents) {
    for domain in agents.take_unserved_drains() {
        node.count("drain-unserved");
        log::warn!("event=drain-unserved domain={domain:?} reason=no-agents");
    }
}

fn apply(node: &Node, agents: &mut Agents, update: DrainUpdate, source: &str) {
    let changes = agents.drains_mut().apply(node.clock.now(), update);
    let drained = agents.drains().len();
    for change in changes {
        let (event, domain) = match &change {
            DrainChange::Drained(domain) => ("domain-drained", domain),
            DrainChange::Lifted(domain) => ("domain-undrained", domain),
        };
        node.count(event);
        log::info!("event={event} domain={domain:?} source={source} drained={drained}");
    }
}

/// The domain that a key drains, or `None` for another key. Counts and logs a malformed one.
fn domain(node: &Node, key: &str) -> Option<String> {
    match drains::parse(key)? {
        DrainKey::Domain(name) => Some(name.to_owned()),
        DrainKey::Malformed => {
            node.count("drain-unreadable");
            if node
                .log_limiter
                .allows(node.clock.now(), "drain-unreadable")
            {
                let len = key.len();
                log::warn!("event=drain-unreadable len={len} reason=name");
            }
            None
        }
    }
}
