//! What the store lists of the agent's service, and what the agent has to be listed with.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use marigoldway_core::flow::agent::AgentFlows;
use marigoldway_core::flow::key::NameKey;
use marigoldway_core::flow::message::AgentRecord;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::replica::epoch::EpochRevision;
use marigoldway_core::replica::followers;
use marigoldway_core::replica::sources::Role;
use marigoldway_net::platform::KeyValue;
use marigoldway_net::wire::agents;

use crate::packets::agent::Agent;
use crate::packets::agent_records;
use crate::packets::feed;
use crate::packets::feed::Feed;
use crate::packets::store::StoreEvent;

/// Interval between two reads of the service's agents. Until a change has arrived, a directory
/// agent that doesn't know which agent holds a flow queries other agents.
const AGENTS_INTERVAL: Duration = Duration::from_millis(1_500);

/// Reads the agents of the service, and those of another one once the settings name it. Never returns.
pub(super) async fn follow_service(agent: Rc<Agent>) {
    loop {
        let feed = Feed {
            node: agent.node.clone(),
            store: agent.node.feed_client(),
            prefix: agents::service_prefix(agent.flows.borrow().service()),
            role: Role::Reader,
            interval: AGENTS_INTERVAL,
            demand: agent.list_demand.clone(),
            followers: || agent.followers(),
        };
        tokio::select! {
            () = feed::follow(feed, |event| agent.on_agents(event)) => {}
            () = agent.service_changed.notified() => {}
        }
    }
}

impl Agent {
    /// Applies a change of the service's keys in the store: records and presence keys.
    pub(super) fn on_agents(&self, event: StoreEvent) {
        let now = self.node.clock.now();
        if let StoreEvent::Confirmed(as_of) = event {
            let mut actions = Vec::new();
            let mut flows = self.flows.borrow_mut();
            flows.confirm_list(now, as_of, &mut actions);
            drop(flows);
            return self.execute(None, &mut [], &actions);
        }
        let own = self.node.settings.data;
        let epoch = self.listed_epoch.get();
        let in_epoch = |revision| EpochRevision::new(epoch, revision);
        let mut flows = self.flows.borrow_mut();
        match event {
            StoreEvent::NewEpoch(epoch) => {
                self.listed_epoch.set(epoch);
                // A record that the restore has lost is written again soon. Its presence key must
                // not expire by the time that passed before.
                self.presence_keys.borrow_mut().clear();
            }
            StoreEvent::Snapshot(found, revision) => {
                self.on_snapshot(&mut flows, &found, in_epoch(revision));
            }
            StoreEvent::Put(stored) => {
                if let Some(record) = agent_records::decode(&self.node, &stored) {
                    self.presence_keys.borrow_mut().remove(&stored.key);
                    flows.agents_mut().register(record);
                } else if let Some(listed) = agent_records::decode_service(&self.node, &stored) {
                    self.addrs_revision.set(in_epoch(listed.revision));
                    flows.set_listed_addrs(listed.addrs);
                }
            }
            StoreEvent::Deleted(key, revision) => match agents::key_id(&key) {
                Some(id) if id == own => self.on_own_unregistered(in_epoch(revision)),
                Some(id) => {
                    self.presence_keys.borrow_mut().add(&key);
                    flows.agents_mut().unregister(now, id);
                }
                None => match agents::presence_id(&key) {
                    Some(id) if id == own => self.presence_written.set(false),
                    // The agent has removed both keys, or hasn't lived for long.
                    Some(id) => flows.agents_mut().remove(id),
                    None => {}
                },
            },
            StoreEvent::Confirmed(_) => {}
        }
    }

    /// Applies the list of all of the service's keys, at a revision.
    fn on_snapshot(&self, flows: &mut AgentFlows, found: &[KeyValue], revision: EpochRevision) {
        let now = self.node.clock.now();
        let own = self.node.settings.data;
        let records = agent_records::decode_all(&self.node, found);
        let own_key = agents::agent_key(&flows.hello(now).record);
        let listed = found.iter().find(|it| it.key == own_key);
        let listed = listed.map_or(0, |it| it.revision);
        self.own_revision
            .set(EpochRevision::new(revision.epoch, listed));
        if !records.iter().any(|record| record.id == own) {
            self.on_own_unregistered(revision);
        }
        let presence = agent_records::decode_presence(&self.node, found);
        self.presence_written
            .set(presence.iter().any(|it| it.id == own));
        self.add_presence_keys(&records, &presence);
        flows.on_list(now, &records, &presence);
        let listed = agent_records::decode_addrs(&self.node, found);
        let own = listed.into_iter().find(|it| it.service == flows.service());
        let listed = EpochRevision::new(revision.epoch, own.as_ref().map_or(0, |it| it.revision));
        let addrs = own.map(|it| it.addrs).unwrap_or_default();
        if listed.epoch > self.addrs_revision.replace(listed).epoch {
            flows.restore_listed_addrs(now, addrs);
            self.record_dirty.notify_one();
        } else {
            flows.set_listed_addrs(addrs);
        }
        self.agents_loaded.set(true);
        self.node.replicas.check_roles();
    }

    /// Whether this agent follows the store for other processes. `None` before the first list of
    /// agents from the store.
    pub(super) fn is_follower(&self) -> Option<bool> {
        let flows = self.flows.borrow();
        if !flows.agents().is_loaded() {
            return None;
        }
        let followers = followers::ranked(flows.agents());
        Some(!self.node.leaving.get() && followers.contains(&self.node.settings.data))
    }

    /// The followers in the order that they have in common: those of all services, or those of the
    /// own service while others aren't known.
    pub(super) fn ranked_followers(&self) -> Vec<InstanceId> {
        let all = self.node.replicas.followers();
        if all.contains(&self.node.settings.data) {
            return all;
        }
        followers::ranked(self.flows.borrow().agents())
    }

    /// The followers of the service, in the order in which this agent asks them.
    pub(super) fn followers(&self) -> Vec<InstanceId> {
        let settings = &self.node.settings;
        let domain = NameKey::from(settings.domain.as_str());
        followers::followers(self.flows.borrow().agents(), domain, settings.data)
    }

    /// Adds the presence keys of agents that have no record.
    pub(super) fn add_presence_keys(&self, records: &[AgentRecord], presence: &[AgentRecord]) {
        let is_registered = |id| records.iter().any(|record| record.id == id);
        for record in presence.iter().filter(|it| !is_registered(it.id)) {
            self.presence_keys
                .borrow_mut()
                .add(&agents::agent_key(record));
        }
    }

    pub(super) fn on_own_unregistered(&self, revision: EpochRevision) {
        self.unregistered_at.set(Some(revision));
        self.record_dirty.notify_one();
    }

    /// Whether there is no target that holds a flow.
    pub(crate) fn has_no_target(&self) -> bool {
        self.flows.borrow().is_vacant()
    }

    /// Whether the process is leaving and has never heard of a target.
    pub(crate) fn leaves_without_target(&self) -> bool {
        self.node.leaving.get() && self.flows.borrow().target().incarnations() == 0
    }

    /// Whether the agent has announced itself to its peers, so that entries may know it.
    pub(super) fn is_announced(&self) -> bool {
        self.agents_loaded.get() && self.flows.borrow().is_announced()
    }

    /// Revision of the own record's key when the store was last listed, or 0 if the list lacked it.
    pub(crate) fn own_revision(&self) -> EpochRevision {
        self.own_revision.get()
    }

    /// Whether this agent is the first of its service in the order of IDs. The first agent deletes
    /// expired presence keys.
    pub(crate) fn is_first(&self) -> bool {
        self.flows.borrow().is_first()
    }

    /// The list of the service's addresses to write to the store now, if any.
    pub(crate) fn due_addrs(&self) -> Option<Vec<SocketAddrV4>> {
        self.flows.borrow().due_addrs(self.node.clock.now())
    }

    /// Applies the list of the service's addresses at a revision of its key.
    pub(crate) fn set_listed_addrs(&self, addrs: Vec<SocketAddrV4>, revision: EpochRevision) {
        let mut flows = self.flows.borrow_mut();
        if revision.epoch > self.addrs_revision.replace(revision).epoch {
            flows.restore_listed_addrs(self.node.clock.now(), addrs);
        } else {
            flows.set_listed_addrs(addrs);
        }
    }

    /// Revision of the key with the service's addresses, or 0 if it isn't known to exist.
    pub(crate) fn addrs_revision(&self) -> EpochRevision {
        self.addrs_revision.get()
    }

    /// Whether the target has sent a heartbeat and hasn't left, and the agent has announced itself
    /// to its peers. The registrar waits for both, but not without limit.
    pub(crate) fn can_register(&self) -> bool {
        let has_target = self.flows.borrow().target().current().is_some();
        has_target && self.is_announced()
    }

    /// Whether the agent has no target and the store had no trace of it at the start. It isn't
    /// registered then.
    pub(crate) fn is_idle(&self) -> bool {
        self.flows.borrow().is_idle()
    }
}
