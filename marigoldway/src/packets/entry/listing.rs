//! What an entry learns from the store, from followers and from contacts: the configuration, the
//! drained failure domains and the agents.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use marigoldway_core::flow::entry::EntryAction;
use marigoldway_core::flow::entry::EntryFlows;
use marigoldway_core::flow::key::NameKey;
use marigoldway_core::flow::route_moves::Continuity;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::replica::followers::followers;
use marigoldway_core::replica::sources::Role;
use marigoldway_core::time::Timestamp;
use marigoldway_net::platform::KeyValue;
use marigoldway_net::wire::agents;
use marigoldway_platform::config;

use crate::packets::agent_records;
use crate::packets::demand::Demand;
use crate::packets::drains;
use crate::packets::entry::Entry;
use crate::packets::feed::Feed;
use crate::packets::peers;
use crate::packets::store::StoreEvent;

/// Interval between two reads of the agents. Agents whose state changes send a hello at once to
/// the entries that they know.
pub(super) const AGENTS_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between two reads of the configuration. It is a small part of the seconds within
/// which a change has to be in force.
pub(super) const CONFIG_INTERVAL: Duration = Duration::from_millis(600);

/// Interval between two requests of a starting entry to its contacts: the instances
/// that its settings name for this.
const CONTACT_INTERVAL: Duration = Duration::from_millis(500);

/// Fetches the configuration and the agents from the contacts, one after the other, until the
/// entry has both, and the drained domains until a contact has told them. A starting entry needs
/// this while the store doesn't answer.
pub(super) async fn fetch_from_contacts(entry: Rc<Entry>) {
    let contacts = entry.node.contacts();
    let mut drains_told = false;
    for contact in contacts.iter().cycle() {
        time::sleep(CONTACT_INTERVAL).await;
        let configured = entry.node.version() > 0;
        if configured && entry.agents_loaded.get() && drains_told {
            return;
        }
        if !drains_told {
            drains_told = fetch_drains(&entry, *contact).await;
        }
        if !configured {
            fetch_config(&entry, *contact).await;
        }
        if entry.agents_loaded.get() {
            continue;
        }
        if let Some(body) = peers::fetch(*contact, peers::AGENTS_PATH).await {
            let records = peers::decode_agents(&body);
            entry.agents_loaded.set(!records.is_empty());
            // The contact may list agents that have ended. An agent that doesn't answer probes
            // is removed soon.
            let now = entry.node.clock.now();
            for record in &records {
                entry.flows.borrow_mut().on_relayed_record(now, record);
            }
        }
    }
}

/// Fetches the drained domains from a peer and applies what it tells. Returns whether it knew them.
async fn fetch_drains(entry: &Rc<Entry>, peer: SocketAddrV4) -> bool {
    let Some(update) = drains::fetch(&entry.node, peer).await else {
        return false;
    };
    let mut flows = entry.flows.borrow_mut();
    drains::learn(&entry.node, flows.agents_mut(), update);
    true
}

/// Fetches the configuration from a peer and applies it if it is newer. Before that, fetches the
/// drained domains if they aren't known, since new flows are placed once there is a configuration.
pub(super) async fn fetch_config(entry: &Rc<Entry>, peer: SocketAddrV4) {
    let knows_drains = entry.flows.borrow().agents().drains().is_known();
    if !knows_drains {
        fetch_drains(entry, peer).await;
    }
    if let Some(raw) = peers::fetch_config(peer).await {
        let routes = entry.node.apply_config(raw, "peer");
        if let Some(routes) = routes {
            let now = entry.node.clock.now();
            entry
                .flows
                .borrow_mut()
                .set_routes(now, routes, Continuity::Unknown);
        }
    }
}

impl Entry {
    /// A feed of the keys of a prefix, with a read from a follower each `interval`, or when
    /// `demand` is raised.
    pub(super) fn feed(
        self: &Rc<Self>,
        prefix: &str,
        interval: Duration,
        demand: Rc<Demand>,
    ) -> Feed<impl Fn() -> Vec<InstanceId> + use<>> {
        let shared = self.clone();
        Feed {
            node: self.node.clone(),
            store: self.node.feed_client(),
            prefix: prefix.to_owned(),
            role: Role::Reader,
            interval,
            demand,
            followers: move || {
                let settings = &shared.node.settings;
                let domain = NameKey::from(settings.domain.as_str());
                followers(shared.flows.borrow().agents(), domain, settings.data)
            },
        }
    }

    /// Applies a change of the operators' keys in the store: the drains, and then the configuration,
    /// without which no flow is placed.
    pub(super) fn on_config(&self, event: StoreEvent) {
        drains::on_event(&self.node, self.flows.borrow_mut().agents_mut(), &event);
        let (stored, continuity) = match event {
            StoreEvent::Snapshot(found, _) => {
                let stored = found.into_iter().find(|it| it.key == config::CONFIG_KEY);
                (stored, Continuity::Unknown)
            }
            StoreEvent::Put(stored) if stored.key == config::CONFIG_KEY => {
                (Some(stored), Continuity::Next)
            }
            // A version that the store has lost stays in force: an older one never replaces it.
            StoreEvent::NewEpoch(_) | StoreEvent::Put(_) | StoreEvent::Deleted(..) => return,
            StoreEvent::Confirmed(as_of) => {
                return self.confirm(|flows, now| flows.confirm_routes(now, as_of));
            }
        };
        let Some(stored) = stored else {
            return;
        };
        if let Some(routes) = self.node.apply_config(stored.value.into(), "store") {
            let now = self.node.clock.now();
            let mut flows = self.flows.borrow_mut();
            flows.set_routes(now, routes, continuity);
        }
    }

    /// Notes a confirmation, and carries out what follows for flows that wait for it.
    fn confirm(&self, note: impl FnOnce(&mut EntryFlows, Timestamp) -> Vec<EntryAction>) {
        let now = self.node.clock.now();
        let actions = note(&mut self.flows.borrow_mut(), now);
        self.execute_all(now, actions);
    }

    /// Carries out actions that don't follow from a packet.
    pub(super) fn execute_all(&self, now: Timestamp, actions: Vec<EntryAction>) {
        for action in actions {
            match &action {
                EntryAction::Reset(reset, _) => self.log_action(now, &reset.flow, 0, &action),
                EntryAction::Search(_, _, flow) => self.log_action(now, flow, 0, &action),
                EntryAction::Forward(_) | EntryAction::Keep | EntryAction::Drop(_) => {}
            }
            self.execute(&[], action);
        }
    }

    /// Applies a change of the agents' keys in the store.
    pub(super) fn on_agents(&self, event: StoreEvent) {
        let now = self.node.clock.now();
        if let StoreEvent::Confirmed(as_of) = event {
            return self.confirm(|flows, now| flows.confirm_agents(now, as_of));
        }
        let mut flows = self.flows.borrow_mut();
        match event {
            StoreEvent::Snapshot(found, _) => {
                let records = agent_records::decode_all(&self.node, &found);
                for listed in agent_records::decode_addrs(&self.node, &found) {
                    flows.set_service_addrs(listed.service, &listed.addrs);
                }
                self.agents_loaded
                    .set(self.agents_loaded.get() || !records.is_empty());
                flows.replace_agents(now, &records);
                let presence = agent_records::decode_presence(&self.node, &found);
                let present = presence.iter().map(|it| (it.id, it.service));
                flows.set_present_agents(present.collect());
                found.iter().for_each(|it| self.on_moves(&mut flows, it));
                log::info!("event=agents-listed count={}", records.len());
            }
            StoreEvent::Put(stored) => {
                if let Some(record) = agent_records::decode(&self.node, &stored) {
                    let (id, state) = (record.id, record.state);
                    log::info!(
                        "event=agent-listed agent={id} state={state:?} revision={}",
                        stored.revision
                    );
                    self.agents_loaded.set(true);
                    flows.register_agent(record);
                } else if let Some(listed) = agent_records::decode_service(&self.node, &stored) {
                    flows.set_service_addrs(listed.service, &listed.addrs);
                } else if let Some(present) =
                    agent_records::decode_presence_key(&self.node, &stored)
                {
                    flows.add_present_agent(present.id, present.service);
                } else {
                    self.on_moves(&mut flows, &stored);
                }
            }
            StoreEvent::Deleted(key, _) => {
                if let Some(id) = agents::key_id(&key) {
                    log::info!("event=agent-unlisted agent={id}");
                    flows.unregister_agent(now, id);
                } else if let Some(id) = agents::presence_id(&key) {
                    // The agent has removed both keys, or hasn't lived for long.
                    flows.remove_agent(id);
                }
            }
            StoreEvent::NewEpoch(epoch) => self.agents_epoch.set(epoch),
            StoreEvent::Confirmed(_) => {}
        }
    }

    /// Applies the record of moved routes, if `stored` is it. One of an earlier epoch lacks the moves
    /// of configurations that the store has lost.
    fn on_moves(&self, flows: &mut EntryFlows, stored: &KeyValue) {
        if let Some(mut moves) = agent_records::decode_moves(&self.node, stored) {
            moves.complete &= moves.epoch == self.agents_epoch.get();
            flows.set_route_moves(moves);
        }
    }
}
