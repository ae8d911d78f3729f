//! An agent for packets: stands between entries and the target beside it.

mod lines;
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
use marigoldway_platform::api::ApiRequest;
use marigoldway_platform::packet;

use crate::errors::Result;
use crate::packets::listing;
use crate::packets::marks::Marks;
use crate::packets::node;
use crate::packets::node::Node;
use crate::packets::node::Signals;
use crate::packets::peers;
use crate::packets::registrar::Registrar;
use crate::packets::server;
use crate::packets::server::Answer;
use crate::packets::store;
use crate::packets::store::News;
use crate::settings::FlowAgentSettings;

/// Flows that are remembered for each megabyte of memory, own ones and those of
/// others each: at some 300 octets a flow, a quarter of it.
const FLOWS_PER_MB: usize = 400;

/// Entries that are told of the agent each second: the others get their turn.
const HELLO_FANOUT: usize = 6;

/// Time between two rounds of words to entries.
const HELLO_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which an entry is told of the agent after its last packet.
const ENTRY_LIFE: Duration = Duration::from_secs(60);

/// Entries that are remembered at most.
const ENTRIES_MAX: usize = 256;

/// Time that a newer configuration settles before the agent fetches a copy, for
/// entries that lose theirs.
const FETCH_DELAY: Duration = Duration::from_millis(700);

/// Time over which changes of the service's agents gather: until then homes
/// that know nothing ask the others.
const PEERS_PAUSE: Duration = Duration::from_secs(3);

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
    turn: Cell<usize>,
    changed: Notify,
    /// Revision at which the store's list lacked the own record.
    unlisted: Cell<Option<u64>>,
    fetching: Cell<bool>,
    /// Whether the store's list was read.
    listed: Cell<bool>,
    /// Whether the own mark stands in the store.
    pub(crate) marked: Cell<bool>,
    /// Marks of agents that aren't listed.
    pub(crate) marks: RefCell<Marks>,
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
        turn: Cell::new(0),
        changed: Notify::new(),
        unlisted: Cell::new(None),
        fetching: Cell::new(false),
        listed: Cell::new(false),
        marked: Cell::new(false),
        marks: RefCell::new(Marks::new(settings.shared.lifetime)),
        settings: RefCell::new(settings),
        node,
    });
    start(&agent)?;
    let shared = agent.clone();
    let path = file.clone();
    node::leave_signal(signals, file, move || shared.reload(&path)).await?;
    agent.leave().await;
    Ok(())
}

fn start(agent: &Rc<Agent>) -> Result<()> {
    let shared = agent.clone();
    let known = move || peers::encode_agents(shared.flows.borrow().agents());
    node::serve_peers(&agent.node, known)?;
    server::serve(
        agent.node.settings.ready,
        |method, path, _| match ApiRequest::parse(method, path) {
            Some(ApiRequest::Ready) => Answer::ready(true),
            _ => Answer::found(None),
        },
    )?;
    if let Some(control) = agent.node.settings.control {
        let shared = agent.clone();
        server::serve(control, move |method, path, body| {
            shared.on_call(method, path, body)
        })?;
    }

    let shared = agent.clone();
    task::spawn_local(async move {
        let on_message = |datagram: &mut [u8], from| shared.on_message(datagram, from);
        node::receive(&shared.node.data, on_message).await;
    });
    let shared = agent.clone();
    task::spawn_local(async move {
        let on_packet = |datagram: &mut [u8], _| shared.on_target(datagram);
        node::receive(&shared.outbound, on_packet).await;
    });
    let store = agent.node.store(PEERS_PAUSE, node::WATCH_WAIT);
    let prefix = agents::service_prefix(agent.flows.borrow().service());
    let shared = agent.clone();
    task::spawn_local(store::follow(store.clone(), prefix, move |news| {
        shared.on_agents(news);
    }));
    task::spawn_local(Registrar::new(agent.clone(), store).run());
    task::spawn_local(tick(agent.clone()));
    task::spawn_local(say_hello(agent.clone()));
    task::spawn_local(ask_contacts(agent.clone()));
    Ok(())
}

async fn tick(agent: Rc<Agent>) {
    let mut interval = time::interval(node::TICK);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut number = 0;
    loop {
        node::note_tick(&agent.node, interval.tick().await);
        let now = agent.node.clock.now();
        let mut steps = Vec::new();
        let probes = agent.flows.borrow_mut().tick(now, &mut steps);
        agent.carry_out(None, &mut [], &steps);
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
            agent.tell_entries(usize::MAX);
            agent.changed.notify_one();
        }
    }
}

async fn say_hello(agent: Rc<Agent>) {
    let mut interval = time::interval(HELLO_INTERVAL);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        agent.tell_entries(HELLO_FANOUT);
    }
}

/// A newcomer that the store doesn't answer learns its peers from its contacts.
async fn ask_contacts(agent: Rc<Agent>) {
    let contacts = agent.node.contacts();
    for contact in contacts.iter().cycle() {
        time::sleep(CONTACT_INTERVAL).await;
        if agent.listed.get() {
            return;
        }
        let Some(body) = peers::ask(*contact, peers::AGENTS_PATH).await else {
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
        agent.listed.set(true);
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
        self.changed.notified().await;
    }

    /// The revision at which the store's list last lacked the own record, told
    /// once.
    pub(crate) fn take_unlisted(&self) -> Option<u64> {
        self.unlisted.take()
    }

    /// Takes settings that have changed.
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
        self.tell_entries(usize::MAX);
        self.changed.notify_one();
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
    fn tell_entries(&self, count: usize) {
        if !self.is_announced() {
            return;
        }
        let now = self.node.clock.now();
        let hello = flows::encode_hello(&self.flows.borrow().hello(now));
        let mut entries = self.entries.borrow_mut();
        entries.retain(|_, seen| now.since(*seen) < ENTRY_LIFE);
        let mut known: Vec<SocketAddrV4> = entries.keys().map(|id| id.0).collect();
        for contact in self.node.contacts() {
            if !known.contains(&contact) {
                known.push(contact);
            }
        }
        let turn = self.turn.get();
        let count = count.min(known.len());
        for entry in known.iter().cycle().skip(turn).take(count) {
            self.node.send(*entry, &hello);
        }
        self.turn.set((turn + count) % known.len().max(1));
    }

    fn on_agents(&self, news: News) {
        let now = self.node.clock.now();
        let own = self.node.settings.data;
        let mut flows = self.flows.borrow_mut();
        match news {
            News::All(found, revision) => {
                let records = listing::records(&self.node, &found);
                if !records.iter().any(|record| record.id == own) {
                    self.unlist(revision);
                }
                let marks = listing::marks(&found);
                self.marked.set(marks.iter().any(|mark| mark.id == own));
                self.note_marks(&records, &marks);
                flows.on_list(now, &records, &marks);
                self.listed.set(true);
            }
            News::Put(stored) => {
                if let Some(record) = listing::record(&self.node, &stored) {
                    self.marks.borrow_mut().list(&stored.key);
                    flows.agents_mut().register(record);
                }
            }
            News::Deleted(key, revision) => match agents::key_id(&key) {
                Some(id) if id == own => self.unlist(revision),
                Some(id) => {
                    self.marks.borrow_mut().unlist(&key);
                    flows.agents_mut().unregister(now, id);
                }
                None if agents::presence_id(&key) == Some(own) => self.marked.set(false),
                None => {}
            },
            News::Reached | News::Unreached => {}
        }
    }

    /// Takes note of the marks without a record.
    fn note_marks(&self, records: &[AgentRecord], marks: &[AgentRecord]) {
        let listed = |id| records.iter().any(|record| record.id == id);
        for mark in marks.iter().filter(|mark| !listed(mark.id)) {
            self.marks.borrow_mut().unlist(&agents::agent_key(mark));
        }
    }

    fn unlist(&self, revision: u64) {
        self.unlisted.set(Some(revision));
        self.changed.notify_one();
    }

    /// Whether the target has left, and this process leaves after it.
    pub(crate) fn is_over(&self) -> bool {
        self.node.leaving.get() && self.flows.borrow().target().current().is_none()
    }

    /// Whether the agent's peers know it, so that entries may.
    fn is_announced(&self) -> bool {
        self.listed.get() && self.flows.borrow().is_announced()
    }

    /// Whether this agent is the first of its service, which deletes old marks.
    pub(crate) fn is_first(&self) -> bool {
        let flows = self.flows.borrow();
        let first = flows.agents().of_service(flows.service()).first();
        first == Some(&self.node.settings.data)
    }

    /// Whether the target has spoken and the record may be listed.
    pub(crate) fn may_list(&self) -> bool {
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
            Some(Message::DirectoryUpdate(registration)) => {
                let mut flows = self.flows.borrow_mut();
                flows.on_directory_update(now, &registration);
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
            Some(Message::NotHeld(lacked)) => {
                let mut steps = Vec::new();
                let from = InstanceId(from);
                self.flows
                    .borrow_mut()
                    .on_not_held(from, &lacked, &mut steps);
                self.carry_out(None, &mut [], &steps);
            }
            Some(Message::Query(asked)) => {
                let mut steps = Vec::new();
                let from = InstanceId(from);
                let mut flows = self.flows.borrow_mut();
                flows.on_query(now, from, &asked, &mut steps);
                drop(flows);
                self.carry_out(None, &mut [], &steps);
            }
            Some(Message::FlowReport(_)) | None => self.node.count("message-unexpected"),
        }
    }

    fn on_client(self: &Rc<Self>, now: Timestamp, header: &Header, packet: &mut [u8]) {
        let Some(segment) = packet::decode(packet) else {
            return self.node.count("packet-unreadable");
        };
        self.see_entry(now, header);
        let mut steps = Vec::new();
        let mut flows = self.flows.borrow_mut();
        flows.on_client(now, header, &segment, packet, &mut steps);
        drop(flows);
        self.carry_out(Some(&segment.inbound_flow()), packet, &steps);
    }

    /// Takes a packet that the target wrote or gave back.
    fn on_target(&self, packet: &mut [u8]) {
        let Some(segment) = packet::decode(packet) else {
            return self.node.count("packet-unreadable");
        };
        if segment.flags.bounced {
            packet::clear_bounced(packet);
        }
        let now = self.node.clock.now();
        let mut steps = Vec::new();
        let mut flows = self.flows.borrow_mut();
        flows.on_target(now, &segment, &mut steps);
        drop(flows);
        let flow = if segment.flags.bounced {
            segment.inbound_flow()
        } else {
            segment.outbound_flow()
        };
        self.carry_out(Some(&flow), packet, &steps);
    }

    /// Remembers who sends packets, and fetches a newer configuration from it.
    fn see_entry(self: &Rc<Self>, now: Timestamp, header: &Header) {
        let mut entries = self.entries.borrow_mut();
        if entries.len() < ENTRIES_MAX || entries.contains_key(&header.entry) {
            entries.insert(header.entry, now);
        }
        drop(entries);
        if header.version <= self.node.version() || self.fetching.replace(true) {
            return;
        }
        let (agent, entry) = (self.clone(), header.entry.0);
        task::spawn_local(async move {
            time::sleep(FETCH_DELAY).await;
            if let Some(raw) = peers::ask(entry, peers::CONFIG_PATH).await {
                agent.node.offer(raw, "peer");
            }
            agent.fetching.set(false);
        });
    }

    /// Does what was decided on `packet`.
    fn carry_out(&self, flow: Option<&FlowKey>, packet: &mut [u8], steps: &[AgentAction]) {
        for step in steps {
            self.log_step(flow, packet, step);
            match step {
                AgentAction::ToTarget => {
                    let target = self.settings.borrow().target;
                    self.node.send_by(&self.outbound, target, packet);
                }
                AgentAction::Release(released) => {
                    let target = self.settings.borrow().target;
                    for held in &released.packets {
                        self.node.send_by(&self.outbound, target, held);
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
                AgentAction::ToEntry(entry, receipt) => {
                    self.node.send(entry.0, &flows::encode_flow_report(receipt));
                }
                AgentAction::SendHello(agents) => {
                    let now = self.node.clock.now();
                    let hello = flows::encode_hello(&self.flows.borrow().hello(now));
                    for agent in agents {
                        self.node.send(agent.0, &hello);
                    }
                }
                AgentAction::Query(agents, asked) => {
                    let datagram = flows::encode_query(asked);
                    for agent in agents {
                        self.node.send(agent.0, &datagram);
                    }
                }
                AgentAction::ToSearcher(searcher, lacked) => {
                    self.node.send(searcher.0, &flows::encode_not_held(lacked));
                }
                AgentAction::ToDirectory(home, registration) => {
                    let datagram = flows::encode_directory_update(registration);
                    self.node.send(home.0, &datagram);
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
