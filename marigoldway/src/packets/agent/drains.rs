//! How an agent learns of drained failure domains: from followers, and at its start from peers.

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::task;
use tokio::time;

use marigoldway_core::replica::sources::Role;
use marigoldway_platform::drains::DRAINS_PREFIX;

use crate::packets::agent::Agent;
use crate::packets::agent::CONTACT_INTERVAL;
use crate::packets::drains;
use crate::packets::feed;
use crate::packets::feed::Feed;

/// Interval between two reads of the drained domains from a follower. With the time that a change
/// takes to the follower, it is a part of the seconds within which a drain has to be in force.
const DRAINS_INTERVAL: Duration = Duration::from_secs(2);

/// Pause after an entry that didn't know the drained domains was asked for them.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// `DrainAsker` keeps which entry is to be asked for the drained domains.
#[derive(Debug, Default)]
pub(super) struct DrainAsker {
    entry: Cell<Option<SocketAddrV4>>,
    wake: Notify,
}

impl DrainAsker {
    /// Has an entry asked soon. Replaces one that is still to be asked.
    pub(super) fn ask(&self, entry: SocketAddrV4) {
        self.entry.set(Some(entry));
        self.wake.notify_one();
    }
}

/// Starts to read the drained domains. The store is never asked, so that drains cost no call for
/// each process.
pub(super) fn start(agent: &Rc<Agent>) {
    let asking = agent.clone();
    let feed = Feed {
        node: agent.node.clone(),
        store: agent.node.feed_client(),
        prefix: DRAINS_PREFIX.to_owned(),
        role: Role::FollowersOnly,
        interval: DRAINS_INTERVAL,
        demand: Rc::default(),
        followers: move || {
            let mut followers = asking.followers();
            // A follower reads its own replica, since it may be the only one.
            if asking.is_follower() == Some(true) {
                let own = asking.node.settings.data;
                followers.retain(|id| *id != own);
                followers.insert(0, own);
            }
            followers
        },
    };
    let shared = agent.clone();
    task::spawn_local(feed::follow(feed, move |event| {
        let mut flows = shared.flows.borrow_mut();
        drains::on_event(&shared.node, flows.agents_mut(), &event);
    }));
    task::spawn_local(fetch_from_contacts(agent.clone()));
    task::spawn_local(fetch_from_entries(agent.clone()));
}

/// Asks the contacts, one after the other, until one has told the drained domains.
async fn fetch_from_contacts(agent: Rc<Agent>) {
    let contacts = agent.node.contacts();
    for contact in contacts.iter().cycle() {
        time::sleep(CONTACT_INTERVAL).await;
        if agent.fetch_drains(*contact).await {
            return;
        }
    }
}

/// Asks the entries that [`DrainAsker`] is told of, one at a time.
async fn fetch_from_entries(agent: Rc<Agent>) {
    let asker = &agent.drain_asker;
    loop {
        asker.wake.notified().await;
        let Some(entry) = asker.entry.take() else {
            continue;
        };
        // If the entry of a flow isn't known, the flow's header names this agent instead.
        if entry != agent.node.settings.data.0 && !agent.fetch_drains(entry).await {
            time::sleep(RETRY_PAUSE).await;
        }
    }
}

impl Agent {
    /// Asks the entry of a packet for the drained domains, unless they are known. After the loss of
    /// all processes, entries know them before any follower does.
    pub(super) fn learn_drains(&self, entry: SocketAddrV4) {
        if !self.flows.borrow().agents().drains().is_known() {
            self.drain_asker.ask(entry);
        }
    }

    /// Asks a peer for the drained domains, and applies what it tells. Returns whether it knew them.
    async fn fetch_drains(&self, peer: SocketAddrV4) -> bool {
        let Some(update) = drains::fetch(&self.node, peer).await else {
            return false;
        };
        let mut flows = self.flows.borrow_mut();
        drains::learn(&self.node, flows.agents_mut(), update);
        true
    }
}
