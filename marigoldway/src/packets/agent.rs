//! A packet agent: forwards packets between entries and the target beside it.
//!
//! The agent's record states its service and the state of its target. A hello is a message
//! with the sender's record, its load and the version of its configuration; agents send it
//! to entries and to each other. A flow has two directory agents, or one in a service of a
//! single agent. They are selected by a hash of the flow and keep which agent holds it.

mod capacity;
mod drains;
mod execute;
mod listing;
mod log_actions;
mod messages;
mod moves;
mod record;
mod target;

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::task;
use tokio::time;

use marigoldway_core::flow::agent::AgentFlows;
use marigoldway_core::flow::agent::AgentOptions;
use marigoldway_core::flow::key::NameKey;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::replica::epoch::Epoch;
use marigoldway_core::replica::epoch::EpochRevision;
use marigoldway_core::time::Timestamp;
use marigoldway_net::wire::agents;
use marigoldway_net::wire::flows;
use marigoldway_platform::api::ApiRequest;
use marigoldway_platform::drains::OPERATORS_PREFIX;

use crate::errors::Result;
use crate::packets::agent::capacity::CapacityLog;
use crate::packets::agent::drains::DrainAsker;
use crate::packets::demand::Demand;
use crate::packets::node;
use crate::packets::node::Node;
use crate::packets::peers;
use crate::packets::presence::PresenceKeys;
use crate::packets::registrar::Registrar;
use crate::packets::replicate;
use crate::packets::server;
use crate::packets::server::Answer;
use crate::packets::signals;
use crate::packets::signals::Signals;
use crate::settings::FlowAgentSettings;

/// Maximum number of flows in each of the agent's two tables, per megabyte of memory.
/// One table holds the flows of the own target, the other the directory of other
/// agents' flows. At about 300 octets a flow, the two take a quarter of the memory.
const FLOWS_PER_MB: usize = 400;

/// Maximum number of entries and contacts that receive a hello in each
/// [`HELLO_INTERVAL`], in rotation.
const HELLO_FANOUT: usize = 6;

/// Interval between two rounds of hellos to entries.
const HELLO_INTERVAL: Duration = Duration::from_secs(1);

/// Time after an entry's last packet for which the agent sends it hellos.
const ENTRY_LIFETIME: Duration = Duration::from_secs(60);

/// Maximum number of entries that the agent keeps to send them hellos.
const MAX_ENTRIES: usize = 256;

/// Delay before the agent fetches a newer configuration from an entry. The agent
/// keeps a copy for entries that lose theirs.
const FETCH_DELAY: Duration = Duration::from_millis(700);

/// Interval between two requests of a starting agent to its contacts: the instances
/// that its settings name for this.
const CONTACT_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum time that a leaving process waits for the end of accepted requests.
const LEAVE_LIMIT: Duration = Duration::from_millis(1_500);

/// `Agent` is the state of an agent process.
pub(crate) struct Agent {
    pub(crate) node: Rc<Node>,
    settings: RefCell<FlowAgentSettings>,
    /// Socket for packets from and to the target. Packets to clients leave from it too.
    outbound: UdpSocket,
    flows: RefCell<AgentFlows>,
    /// Buffer for the datagram that is being sent.
    buffer: RefCell<Vec<u8>>,
    /// Entries with the time of their last packet.
    entries: RefCell<IndexMap<InstanceId, Timestamp>>,
    /// Index of the entry that is first in the next round of hellos.
    next_entry: Cell<usize>,
    /// Wakes the registrar when the record may have to be written to the store again.
    record_dirty: Notify,
    /// Number of the own record as last announced to the entries.
    announced_number: Cell<u64>,
    /// Revision at which the store lacked the own record, until the registrar takes
    /// it.
    unregistered_at: Cell<Option<EpochRevision>>,
    /// Whether a newer configuration is being fetched from an entry.
    fetching: Cell<bool>,
    /// Asks entries for the drained failure domains.
    drain_asker: DrainAsker,
    /// Wakes the reader of the service's agents: the service has changed.
    service_changed: Notify,
    /// Raised when a search needs a confirmation of the list of agents.
    list_demand: Rc<Demand>,
    /// Whether collected queries and replies are to be sent soon.
    flushing: Cell<bool>,
    /// Whether queued opening packets are to be sent soon.
    releasing: Cell<bool>,
    /// Whether the list of agents was read, from the store or from a contact.
    agents_loaded: Cell<bool>,
    /// Whether the store has the own presence key.
    pub(crate) presence_written: Cell<bool>,
    /// Whether the store no longer has the record, since the target has left.
    pub(crate) record_removed: Cell<bool>,
    /// Presence keys of agents that aren't registered.
    pub(crate) presence_keys: RefCell<PresenceKeys>,
    /// Revision of the own record's key at the last list of the store, or 0 if the list lacked it.
    own_revision: Cell<EpochRevision>,
    /// Revision of the key with the service's addresses, or 0 if it doesn't exist.
    addrs_revision: Cell<EpochRevision>,
    /// Epoch of the last list of the store.
    listed_epoch: Cell<Epoch>,
}

/// Runs an agent until it has left. Reloads changed settings, of which the service and the
/// target's address take effect at once and the others at the next start.
pub(crate) async fn run(
    settings: FlowAgentSettings,
    file: PathBuf,
    signals: Signals,
) -> Result<()> {
    let node = Rc::new(Node::start(&settings.shared)?);
    let options = AgentOptions {
        own: settings.shared.data,
        incarnation: rand::random(),
        service: NameKey::from(settings.service.as_str()),
        domain: NameKey::from(settings.shared.domain.as_str()),
        heartbeat_interval: settings.shared.heartbeat,
        max_flows: settings.shared.memory as usize * FLOWS_PER_MB,
        idle_timeout: settings.shared.lifetime,
        started: node.clock.now(),
        started_at: node::unix_millis(),
        capacity: settings.shared.capacity,
    };
    let agent = Rc::new(Agent {
        outbound: node::bind(settings.outbound)?,
        flows: RefCell::new(AgentFlows::new(options)),
        buffer: RefCell::new(Vec::new()),
        entries: RefCell::new(IndexMap::new()),
        next_entry: Cell::new(0),
        record_dirty: Notify::new(),
        announced_number: Cell::new(0),
        unregistered_at: Cell::new(None),
        fetching: Cell::new(false),
        drain_asker: DrainAsker::default(),
        service_changed: Notify::new(),
        list_demand: Rc::default(),
        flushing: Cell::new(false),
        releasing: Cell::new(false),
        agents_loaded: Cell::new(false),
        presence_written: Cell::new(false),
        record_removed: Cell::new(false),
        presence_keys: RefCell::new(PresenceKeys::new(settings.shared.lifetime)),
        own_revision: Cell::default(),
        addrs_revision: Cell::default(),
        listed_epoch: Cell::default(),
        settings: RefCell::new(settings),
        node,
    });
    start(&agent)?;
    let shared = agent.clone();
    let path = file.clone();
    signals::wait_for_leave(signals, file, move || shared.reload(&path)).await?;
    agent.leave().await;
    Ok(())
}

fn start(agent: &Rc<Agent>) -> Result<()> {
    let shared = agent.clone();
    let known = move |path: &str| peers::answer(shared.flows.borrow().agents(), path);
    node::serve_peers(&agent.node, known)?;
    server::serve(
        agent.node.settings.ready,
        &agent.node.in_flight,
        |method, path, _| match ApiRequest::parse(method, path) {
            Some(ApiRequest::Ready) => Answer::ready(true),
            _ => Answer::found(None),
        },
    )?;
    if let Some(control) = agent.node.settings.control {
        let shared = agent.clone();
        server::serve(control, &agent.node.in_flight, move |method, path, body| {
            shared.on_request(method, path, body)
        })?;
    }

    let shared = agent.clone();
    task::spawn_local(async move {
        let on_message = |datagram: &mut [u8], from| shared.on_message(datagram, from);
        node::receive(&shared.node.data, on_message).await;
    });
    let shared = agent.clone();
    task::spawn_local(async move {
        let on_packet = |datagram: &mut [u8], _| shared.on_target_packet(datagram);
        node::receive(&shared.outbound, on_packet).await;
    });
    task::spawn_local(listing::follow_service(agent.clone()));
    drains::start(agent);
    for prefix in [OPERATORS_PREFIX, agents::AGENTS_PREFIX] {
        let shared = agent.clone();
        let is_follower = move || shared.is_follower();
        let shared = agent.clone();
        let followers = move || shared.ranked_followers();
        let node = agent.node.clone();
        task::spawn_local(replicate::replicate(node, prefix, is_follower, followers));
    }
    let store = agent.node.store_client();
    task::spawn_local(Registrar::new(agent.clone(), store).run());
    task::spawn_local(moves::record(agent.clone()));
    task::spawn_local(target::find_listener(agent.clone()));
    task::spawn_local(tick(agent.clone()));
    task::spawn_local(send_hellos(agent.clone()));
    task::spawn_local(fetch_from_contacts(agent.clone()));
    Ok(())
}

async fn tick(agent: Rc<Agent>) {
    let mut interval = time::interval(node::TICK);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut log = CapacityLog::default();
    loop {
        node::record_tick_delay(&agent.node, interval.tick().await);
        let now = agent.node.clock.now();
        let mut actions = Vec::new();
        let probes = agent.flows.borrow_mut().tick(now, &mut actions);
        agent.execute(None, &mut [], &actions);
        for peer in probes {
            agent.node.send(peer.0, &flows::encode_probe());
        }
        if agent.due_addrs().is_some() {
            agent.record_dirty.notify_one();
        }
        agent.publish_capacity(now, &mut log);
        agent.review_record();
    }
}

async fn send_hellos(agent: Rc<Agent>) {
    let mut interval = time::interval(HELLO_INTERVAL);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        agent.send_hello_to_entries(HELLO_FANOUT);
    }
}

/// Fetches the agents of the service from the contacts, one after the other, until the list is
/// loaded from a contact or from the store. A starting agent needs it while the store doesn't
/// answer.
async fn fetch_from_contacts(agent: Rc<Agent>) {
    let contacts = agent.node.contacts();
    for contact in contacts.iter().cycle() {
        time::sleep(CONTACT_INTERVAL).await;
        if agent.agents_loaded.get() {
            return;
        }
        let Some(body) = peers::fetch(*contact, peers::AGENTS_PATH).await else {
            continue;
        };
        let now = agent.node.clock.now();
        let mut flows = agent.flows.borrow_mut();
        let service = flows.service();
        for record in peers::decode_agents(&body) {
            if record.service == service {
                flows.agents_mut().on_record(now, record);
            }
        }
        agent.agents_loaded.set(true);
    }
}

impl Agent {
    /// Reads the settings file again. If the file has faults, logs them and keeps the old settings.
    fn reload(&self, file: &std::path::Path) {
        let settings = match FlowAgentSettings::load(file) {
            Ok(settings) => settings,
            Err(faults) => {
                return log::error!("event=settings-refused faults=\"{faults}\"");
            }
        };
        let service = NameKey::from(settings.service.as_str());
        let now = self.node.clock.now();
        if self.flows.borrow_mut().set_service(now, service) {
            log::info!("event=service-changed service={service}");
            self.agents_loaded.set(false);
            self.presence_written.set(false);
            self.presence_keys.borrow_mut().clear();
            self.own_revision.take();
            self.addrs_revision.take();
            self.service_changed.notify_one();
            self.record_dirty.notify_one();
        }
        *self.settings.borrow_mut() = settings;
    }

    /// Refuses new flows, tells the known entries so, and waits until the accepted requests have
    /// finished and the record of an agent without a target is removed, for up to
    /// [`LEAVE_LIMIT`].
    async fn leave(&self) {
        self.node.leaving.set(true);
        self.flows.borrow_mut().leave(self.node.clock.now());
        self.send_hello_to_entries(usize::MAX);
        self.record_dirty.notify_one();
        let start = self.node.clock.now();
        loop {
            time::sleep(node::TICK).await;
            let now = self.node.clock.now();
            let without_target = self.has_no_target() || self.leaves_without_target();
            let is_listed = without_target && !self.record_removed.get();
            let has_work = self.flows.borrow().has_work(now) || is_listed;
            if !has_work || now.since(start) > LEAVE_LIMIT {
                return;
            }
        }
    }

    /// Sends a hello to up to `count` of the known entries and the contacts, in
    /// rotation. Sends none until the agent has announced itself to its peers and the store has
    /// its presence key, since a later process of this agent must learn that it may hold flows.
    fn send_hello_to_entries(&self, count: usize) {
        if !self.is_announced() || !self.presence_written.get() {
            return;
        }
        let now = self.node.clock.now();
        let hello = flows::encode_hello(&self.flows.borrow().hello(now));
        let mut entries = self.entries.borrow_mut();
        entries.retain(|_, seen| now.since(*seen) < ENTRY_LIFETIME);
        let mut known: Vec<SocketAddrV4> = entries.keys().map(|id| id.0).collect();
        for contact in self.node.contacts() {
            if !known.contains(&contact) {
                known.push(contact);
            }
        }
        let next_entry = self.next_entry.get();
        let count = count.min(known.len());
        for entry in known.iter().cycle().skip(next_entry).take(count) {
            self.node.send(*entry, &hello);
        }
        self.next_entry
            .set((next_entry + count) % known.len().max(1));
    }
}
