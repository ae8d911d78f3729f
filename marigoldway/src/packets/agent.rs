//! An agent for packets: stands between entries and the target beside it.

mod log_actions;
mod target;

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use indexmap::IndexMap;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::task;
use tokio::time;

use marigoldway_core::flow::agent::AgentAction;
use marigoldway_core::flow::agent::AgentFlows;
use marigoldway_core::flow::agent::AgentOptions;
use marigoldway_core::flow::key::FlowKey;
use marigoldway_core::flow::key::NameKey;
use marigoldway_core::flow::message::AgentRecord;
use marigoldway_core::flow::message::Header;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::time::Timestamp;
use marigoldway_net::wire::agents;
use marigoldway_net::wire::flows;
use marigoldway_net::wire::flows::Message;
use marigoldway_platform::calls::Call;
use marigoldway_platform::packet;

use crate::errors::Result;
use crate::packets::agent_records;
use crate::packets::node;
use crate::packets::node::Node;
use crate::packets::node::Signals;
use crate::packets::peers;
use crate::packets::presence::PresenceKeys;
use crate::packets::registrar::Registrar;
use crate::packets::server;
use crate::packets::server::Answer;
use crate::packets::store;
use crate::packets::store::StoreEvent;
use crate::settings::FlowAgentSettings;

/// Flows that are remembered for each megabyte of memory, own ones and those of
/// others each: at some 300 octets a flow, a quarter of it.
const FLOWS_PER_MB: usize = 400;

/// Entries that are told of the agent each second: the others get their next_entry.
const HELLO_FANOUT: usize = 6;

/// Time between two rounds of words to entries.
const HELLO_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which an entry is told of the agent after its last packet.
const ENTRY_LIFETIME: Duration = Duration::from_secs(60);

/// Entries that are remembered at most.
const MAX_ENTRIES: usize = 256;

/// Time that a newer configuration settles before the agent fetches a copy, for
/// entries that lose theirs.
const FETCH_DELAY: Duration = Duration::from_millis(700);

/// Time over which changes of the service's agents gather: until then homes
/// that know nothing ask the others.
const AGENTS_PAUSE: Duration = Duration::from_secs(3);

/// Time between two questions of a newcomer to its contacts.
const CONTACT_INTERVAL: Duration = Duration::from_millis(500);

/// Time that requests inside the target may take once the process leaves.
const LEAVE_LIMIT: Duration = Duration::from_millis(1_500);

/// `Agent` is the state of the process.
pub(crate) struct Agent {
    pub(crate) node: Rc<Node>,
    settings: RefCell<FlowAgentSettings>,
    outbound: UdpSocket,
    flows: RefCell<AgentFlows>,
    buffer: RefCell<Vec<u8>>,
    entries: RefCell<IndexMap<InstanceId, Timestamp>>,
    /// Where the next round of words to entries begins.
    next_entry: Cell<usize>,
    record_dirty: Notify,
    /// Revision at which the store's list not_held the own record.
    unregistered_at: Cell<Option<u64>>,
    fetching: Cell<bool>,
    /// Whether the store's list was read.
    agents_loaded: Cell<bool>,
    /// Whether the own key stands in the store.
    pub(crate) presence_written: Cell<bool>,
    /// PresenceKeys of agents that aren't agents_loaded.
    pub(crate) presence_keys: RefCell<PresenceKeys>,
}

/// Runs an agent until it has left.
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
        started_at: unix_millis(),
    };
    let agent = Rc::new(Agent {
        outbound: node::bind(settings.outbound)?,
        flows: RefCell::new(AgentFlows::new(options)),
        buffer: RefCell::new(Vec::new()),
        entries: RefCell::new(IndexMap::new()),
        next_entry: Cell::new(0),
        record_dirty: Notify::new(),
        unregistered_at: Cell::new(None),
        fetching: Cell::new(false),
        agents_loaded: Cell::new(false),
        presence_written: Cell::new(false),
        presence_keys: RefCell::new(PresenceKeys::new(settings.shared.lifetime)),
        settings: RefCell::new(settings),
        node,
    });
    start(&agent)?;
    let shared = agent.clone();
    let path = file.clone();
    node::wait_for_leave(signals, file, move || shared.reload(&path)).await?;
    agent.leave().await;
    Ok(())
}

fn start(agent: &Rc<Agent>) -> Result<()> {
    let shared = agent.clone();
    let known = move || peers::encode_agents(shared.flows.borrow().agents());
    node::serve_peers(&agent.node, known)?;
    server::serve(
        agent.node.settings.ready,
        |method, path, _| match Call::parse(method, path) {
            Some(Call::Ready) => Answer::ready(true),
            _ => Answer::found(None),
        },
    )?;
    if let Some(control) = agent.node.settings.control {
        let shared = agent.clone();
        server::serve(control, move |method, path, body| {
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
    let store = agent.node.store_client(AGENTS_PAUSE, node::WATCH_WAIT);
    let prefix = agents::service_prefix(agent.flows.borrow().service());
    let shared = agent.clone();
    task::spawn_local(store::follow(store.clone(), prefix, move |event| {
        shared.on_agents(event);
    }));
    task::spawn_local(Registrar::new(agent.clone(), store).run());
    task::spawn_local(tick(agent.clone()));
    task::spawn_local(send_hellos(agent.clone()));
    task::spawn_local(fetch_from_contacts(agent.clone()));
    Ok(())
}

async fn tick(agent: Rc<Agent>) {
    let mut interval = time::interval(node::TICK);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut number = 0;
    loop {
        node::record_tick_delay(&agent.node, interval.tick().await);
        let now = agent.node.clock.now();
        let mut actions = Vec::new();
        let probes = agent.flows.borrow_mut().tick(now, &mut actions);
        agent.execute(None, &mut [], &actions);
        for peer in probes {
            agent.node.send(peer.0, &flows::encode_probe());
        }
        let record = agent.record();
        if number != record.number {
            number = record.number;
            log::info!(
                "event=target-state state={:?} number={number}",
                record.state
            );
            agent.send_hello_to_entries(usize::MAX);
            agent.record_dirty.notify_one();
        }
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

/// A newcomer that the store doesn't answer learns its peers from its contacts.
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

/// The instance's clock, in Unix milliseconds.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}

impl Agent {
    /// What the agent says of itself.
    pub(crate) fn record(&self) -> AgentRecord {
        self.flows.borrow().hello(self.node.clock.now()).record
    }

    /// Waits until the record is to be written anew.
    pub(crate) async fn record_changed(&self) {
        self.record_dirty.notified().await;
    }

    /// The revision at which the store's list last not_held the own record, told
    /// once.
    pub(crate) fn take_unregistered(&self) -> Option<u64> {
        self.unregistered_at.take()
    }

    /// Takes settings that have record_dirty.
    fn reload(&self, file: &std::path::Path) {
        let settings = match FlowAgentSettings::load(file) {
            Ok(settings) => settings,
            Err(faults) => {
                return log::error!("event=settings-refused faults=\"{faults}\"");
            }
        };
        let service = NameKey::from(settings.service.as_str());
        self.flows.borrow_mut().set_service(service);
        *self.settings.borrow_mut() = settings;
    }

    /// Lets requests inside the target finish.
    async fn leave(&self) {
        self.node.leaving.set(true);
        self.flows.borrow_mut().leave(self.node.clock.now());
        self.send_hello_to_entries(usize::MAX);
        self.record_dirty.notify_one();
        let start = self.node.clock.now();
        loop {
            time::sleep(node::TICK).await;
            let now = self.node.clock.now();
            let running = self.flows.borrow().load(now).running;
            if running == 0 || now.since(start) > LEAVE_LIMIT {
                return;
            }
        }
    }

    /// Tells up to `count` entries of the agent, by turns.
    fn send_hello_to_entries(&self, count: usize) {
        if !self.is_announced() {
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

    fn on_agents(&self, event: StoreEvent) {
        let now = self.node.clock.now();
        let own = self.node.settings.data;
        let mut flows = self.flows.borrow_mut();
        match event {
            StoreEvent::Snapshot(found, revision) => {
                let records = agent_records::decode_all(&self.node, &found);
                if !records.iter().any(|record| record.id == own) {
                    self.on_own_unregistered(revision);
                }
                let presence = agent_records::decode_presence(&found);
                self.presence_written
                    .set(presence.iter().any(|it| it.id == own));
                self.add_presence_keys(&records, &presence);
                flows.on_list(now, &records, &presence);
                self.agents_loaded.set(true);
            }
            StoreEvent::Put(stored) => {
                if let Some(record) = agent_records::decode(&self.node, &stored) {
                    self.presence_keys.borrow_mut().remove(&stored.key);
                    flows.agents_mut().register(record);
                }
            }
            StoreEvent::Deleted(key, revision) => match agents::key_id(&key) {
                Some(id) if id == own => self.on_own_unregistered(revision),
                Some(id) => {
                    self.presence_keys.borrow_mut().add(&key);
                    flows.agents_mut().unregister(now, id);
                }
                None if agents::mark_id(&key) == Some(own) => self.presence_written.set(false),
                None => {}
            },
            StoreEvent::UpToDate | StoreEvent::Unreachable => {}
        }
    }

    /// Takes note of the presence without a record.
    fn add_presence_keys(&self, records: &[AgentRecord], presence: &[AgentRecord]) {
        let registered = |id| records.iter().any(|record| record.id == id);
        for record in presence.iter().filter(|it| !registered(it.id)) {
            self.presence_keys
                .borrow_mut()
                .add(&agents::agent_key(record));
        }
    }

    fn on_own_unregistered(&self, revision: u64) {
        self.unregistered_at.set(Some(revision));
        self.record_dirty.notify_one();
    }

    /// Whether the target has left, and this process leaves after it.
    pub(crate) fn has_left(&self) -> bool {
        self.node.leaving.get() && self.flows.borrow().target().current().is_none()
    }

    /// Whether the agent's peers know it, so that entries may.
    fn is_announced(&self) -> bool {
        self.agents_loaded.get() && self.flows.borrow().is_announced()
    }

    /// Whether this agent is the first of its service, which deletes old presence.
    pub(crate) fn is_first(&self) -> bool {
        let flows = self.flows.borrow();
        let first = flows.agents().of_service(flows.service()).first();
        first == Some(&self.node.settings.data)
    }

    /// Whether the target has spoken and the record may be agents_loaded.
    pub(crate) fn can_register(&self) -> bool {
        let known = self.flows.borrow().target().current().is_some();
        known && self.is_announced()
    }

    /// Takes a message of a process of the system.
    fn on_message(self: &Rc<Self>, datagram: &mut [u8], from: SocketAddrV4) {
        let now = self.node.clock.now();
        match flows::decode(datagram) {
            Some(Message::Packet(header, _)) => {
                let packet = &mut datagram[flows::HEADER_LEN..];
                self.on_client(now, &header, packet);
            }
            Some(Message::DirectoryUpdate(update)) => {
                let mut flows = self.flows.borrow_mut();
                flows.on_directory_update(now, &update);
            }
            Some(Message::Hello(hello)) => {
                self.flows
                    .borrow_mut()
                    .agents_mut()
                    .on_record(now, hello.record);
            }
            Some(Message::Probe) => {
                let hello = self.flows.borrow().hello(now);
                self.node.send(from, &flows::encode_hello(&hello));
            }
            Some(Message::Lack(not_held)) => {
                let mut actions = Vec::new();
                let from = InstanceId(from);
                self.flows
                    .borrow_mut()
                    .on_not_held(from, &not_held, &mut actions);
                self.execute(None, &mut [], &actions);
            }
            Some(Message::Inquiry(query)) => {
                let mut actions = Vec::new();
                let from = InstanceId(from);
                let mut flows = self.flows.borrow_mut();
                flows.on_query(now, from, &query, &mut actions);
                drop(flows);
                self.execute(None, &mut [], &actions);
            }
            Some(Message::FlowReport(_)) | None => self.node.count("message-unexpected"),
        }
    }

    fn on_client(self: &Rc<Self>, now: Timestamp, header: &Header, packet: &mut [u8]) {
        let Some(segment) = packet::decode(packet) else {
            return self.node.count("packet-unreadable");
        };
        self.on_entry_packet(now, header);
        let mut actions = Vec::new();
        let mut flows = self.flows.borrow_mut();
        flows.on_client(now, header, &segment, packet, &mut actions);
        drop(flows);
        self.execute(Some(&segment.inbound_flow()), packet, &actions);
    }

    /// Takes a packet that the target wrote or gave back.
    fn on_target_packet(&self, packet: &mut [u8]) {
        let Some(segment) = packet::decode(packet) else {
            return self.node.count("packet-unreadable");
        };
        if segment.flags.bounced {
            packet::clear_bounced(packet);
        }
        let now = self.node.clock.now();
        let mut actions = Vec::new();
        let mut flows = self.flows.borrow_mut();
        flows.on_target(now, &segment, &mut actions);
        drop(flows);
        let flow = if segment.flags.bounced {
            segment.inbound_flow()
        } else {
            segment.outbound_flow()
        };
        self.execute(Some(&flow), packet, &actions);
    }

    /// Remembers who sends packets, and fetches a newer configuration from it.
    fn on_entry_packet(self: &Rc<Self>, now: Timestamp, header: &Header) {
        let mut entries = self.entries.borrow_mut();
        if entries.len() < MAX_ENTRIES || entries.contains_key(&header.entry) {
            entries.insert(header.entry, now);
        }
        drop(entries);
        if header.version <= self.node.version() || self.fetching.replace(true) {
            return;
        }
        let (agent, entry) = (self.clone(), header.entry.0);
        task::spawn_local(async move {
            time::sleep(FETCH_DELAY).await;
            if let Some(raw) = peers::fetch(entry, peers::CONFIG_PATH).await {
                agent.node.apply_config(raw, "peer");
            }
            agent.fetching.set(false);
        });
    }

    /// Does what was decided on `packet`.
    fn execute(&self, flow: Option<&FlowKey>, packet: &mut [u8], actions: &[AgentAction]) {
        for action in actions {
            self.log_action(flow, packet, action);
            match action {
                AgentAction::ToTarget => {
                    let target = self.settings.borrow().target;
                    self.node.send_on(&self.outbound, target, packet);
                }
                AgentAction::Release(release) => {
                    let target = self.settings.borrow().target;
                    for queued in &release.packets {
                        self.node.send_on(&self.outbound, target, queued);
                    }
                }
                AgentAction::ToClient => {
                    if let Some(flow) = flow {
                        self.node.send_client(&self.outbound, flow.client, packet);
                    }
                }
                AgentAction::ToAgents(agents, header) => {
                    let mut buffer = self.buffer.borrow_mut();
                    flows::write_packet(header, packet, &mut buffer);
                    for agent in agents {
                        self.node.send(agent.0, &buffer);
                    }
                }
                AgentAction::ToEntry(entry, report) => {
                    self.node.send(entry.0, &flows::encode_receipt(report));
                }
                AgentAction::SendHello(agents) => {
                    let now = self.node.clock.now();
                    let hello = flows::encode_hello(&self.flows.borrow().hello(now));
                    for agent in agents {
                        self.node.send(agent.0, &hello);
                    }
                }
                AgentAction::Query(agents, query) => {
                    let datagram = flows::encode_inquiry(query);
                    for agent in agents {
                        self.node.send(agent.0, &datagram);
                    }
                }
                AgentAction::ToSearcher(searcher, not_held) => {
                    self.node.send(searcher.0, &flows::encode_lack(not_held));
                }
                AgentAction::ToDirectory(directory_agent, update) => {
                    let datagram = flows::encode_registration(update);
                    self.node.send(directory_agent.0, &datagram);
                }
                AgentAction::Reset(reset, _) => {
                    let reset_packet = packet::encode_reset(reset);
                    let client = reset.flow.client;
                    self.node.send_client(&self.outbound, client, &reset_packet);
                }
                AgentAction::Queue
                | AgentAction::Request(_)
                | AgentAction::Answered(..)
                | AgentAction::Unanswered(_)
                | AgentAction::TargetReset(..)
                | AgentAction::TimedOut(_)
                | AgentAction::Drop(_) => {}
            }
        }
    }
}
