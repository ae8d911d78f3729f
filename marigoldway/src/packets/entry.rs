//! A packet entry: receives packets from routers, and forwards each to an agent.
//!
//! Agents announce themselves to entries by hellos: messages with the agent's record, its
//! load and the version of its configuration. A probe asks an agent for a hello.

mod listing;
mod log_actions;

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::task;
use tokio::time;

use marigoldway_core::flow::entry::EarlyPackets;
use marigoldway_core::flow::entry::EntryAction;
use marigoldway_core::flow::entry::EntryFlows;
use marigoldway_core::flow::entry::EntryOptions;
use marigoldway_core::flow::entry::Forwarding;
use marigoldway_core::flow::key::NameKey;
use marigoldway_core::flow::message::FlowReport;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::replica::epoch::Epoch;
use marigoldway_core::time::Timestamp;
use marigoldway_net::wire::agents;
use marigoldway_net::wire::flows;
use marigoldway_net::wire::flows::Message;
use marigoldway_platform::api::ApiRequest;
use marigoldway_platform::drains::OPERATORS_PREFIX;
use marigoldway_platform::packet;

use crate::errors::Result;
use crate::packets::demand::Demand;
use crate::packets::drains;
use crate::packets::feed;
use crate::packets::node;
use crate::packets::node::Node;
use crate::packets::peers;
use crate::packets::server;
use crate::packets::server::Answer;
use crate::packets::signals;
use crate::packets::signals::Signals;
use crate::settings::FlowSettings;

/// Maximum number of flows per megabyte of memory. At about 200 octets a flow, they
/// take a fifth of the memory.
const FLOWS_PER_MB: usize = 1_000;

/// Time that the store has to deliver a newer configuration before the entry fetches
/// it from the process that reported its version.
const FETCH_DELAY: Duration = Duration::from_millis(700);

/// Time after which routers no longer send packets to an instance that isn't ready:
/// two readiness checks of half a second each, and one in transit.
const ROUTER_DELAY: Duration = Duration::from_millis(1_600);

/// Time without a packet from routers after which a leaving entry ends.
const ROUTER_SILENCE: Duration = Duration::from_millis(400);

/// `Entry` is the state of an entry process.
struct Entry {
    node: Rc<Node>,
    /// Socket for packets from and to clients.
    clients: UdpSocket,
    flows: RefCell<EntryFlows>,
    /// Packets that wait for a configuration, for agents, or for a confirmation of the routes.
    early: RefCell<EarlyPackets>,
    /// Buffer for the datagram that is being sent.
    buffer: RefCell<Vec<u8>>,
    /// Whether any agents were learned, from the store or from a peer.
    agents_loaded: Cell<bool>,
    /// Raised when a flow can only be reset by a confirmation of the routes.
    config_demand: Rc<Demand>,
    /// Epoch of the list of agents.
    agents_epoch: Cell<Epoch>,
    /// Wakes the task that demands confirmations for flows that stay unknown.
    flow_unknown: Notify,
    /// Time of the last packet from a client.
    last_packet: Cell<Timestamp>,
    /// Whether a newer configuration is being fetched from another process.
    fetching: Cell<bool>,
}

/// Runs an entry until it has left. Changed settings take effect at the next start.
pub(crate) async fn run(settings: FlowSettings, file: PathBuf, signals: Signals) -> Result<()> {
    let node = Rc::new(Node::start(&settings)?);
    let options = EntryOptions {
        own: settings.data,
        domain: NameKey::from(settings.domain.as_str()),
        max_flows: settings.memory as usize * FLOWS_PER_MB,
        idle_timeout: settings.lifetime,
        apply_limit: settings.apply_limit,
        overflow: settings.overflow,
        seed: rand::random(),
        capacity: settings.capacity,
    };
    let entry = Rc::new(Entry {
        clients: node::bind(settings.listen)?,
        flows: RefCell::new(EntryFlows::new(options)),
        early: RefCell::default(),
        buffer: RefCell::new(Vec::new()),
        agents_loaded: Cell::new(false),
        config_demand: Rc::default(),
        agents_epoch: Cell::default(),
        flow_unknown: Notify::new(),
        last_packet: Cell::new(Timestamp::ZERO),
        fetching: Cell::new(false),
        node,
    });
    start(&entry)?;
    signals::wait_for_leave(signals, file, || {}).await?;
    entry.leave().await;
    Ok(())
}

fn start(entry: &Rc<Entry>) -> Result<()> {
    let shared = entry.clone();
    let known = move |path: &str| peers::answer(shared.flows.borrow().agents(), path);
    node::serve_peers(&entry.node, known)?;
    let shared = entry.clone();
    server::serve(
        entry.node.settings.ready,
        &entry.node.in_flight,
        move |method, path, _| match ApiRequest::parse(method, path) {
            Some(ApiRequest::Ready) => Answer::ready(shared.is_ready()),
            _ => Answer::found(None),
        },
    )?;
    if let Some(control) = entry.node.settings.control {
        // Targets send their requests to the agent beside them. An entry listens on this
        // address only because the address identifies the instance as a contact.
        server::serve(control, &entry.node.in_flight, |_, _, _| {
            Answer::empty(StatusCode::NOT_FOUND)
        })?;
    }

    let shared = entry.clone();
    task::spawn_local(async move {
        let on_packet = |datagram: &mut [u8], _| shared.on_packet(datagram);
        node::receive(&shared.clients, on_packet).await;
    });
    let shared = entry.clone();
    task::spawn_local(async move {
        let on_message = |datagram: &mut [u8], from| shared.on_message(datagram, from);
        node::receive(&shared.node.data, on_message).await;
    });
    let shared = entry.clone();
    let feed = entry.feed(
        OPERATORS_PREFIX,
        listing::CONFIG_INTERVAL,
        entry.config_demand.clone(),
    );
    let on_config = move |event| {
        shared.on_config(event);
        shared.forward_early();
    };
    task::spawn_local(feed::follow(feed, on_config));
    let shared = entry.clone();
    let feed = entry.feed(
        agents::AGENTS_PREFIX,
        listing::AGENTS_INTERVAL,
        Rc::default(),
    );
    let on_agents = move |event| {
        shared.on_agents(event);
        shared.forward_early();
    };
    task::spawn_local(feed::follow(feed, on_agents));
    task::spawn_local(tick(entry.clone()));
    task::spawn_local(demand_confirmations(entry.clone()));
    task::spawn_local(listing::fetch_from_contacts(entry.clone()));
    Ok(())
}

async fn tick(entry: Rc<Entry>) {
    let mut interval = time::interval(node::TICK);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        node::record_tick_delay(&entry.node, interval.tick().await);
        let now = entry.node.clock.now();
        let probes = entry.flows.borrow_mut().tick(now);
        drains::log_unserved(&entry.node, entry.flows.borrow_mut().agents_mut());
        for agent in probes {
            entry.node.send(agent.0, &flows::encode_probe());
        }
    }
}

/// Demands confirmations of the routes for flows that stay unknown. Never returns.
async fn demand_confirmations(entry: Rc<Entry>) {
    loop {
        let due = entry.flows.borrow().demand_due();
        let Some(due) = due else {
            entry.flow_unknown.notified().await;
            continue;
        };
        time::sleep(due.since(entry.node.clock.now())).await;
        entry.demand_confirmation(entry.node.clock.now());
    }
}

impl Entry {
    /// Whether routers may send packets: the entry has a configuration and knows agents, and isn't
    /// leaving.
    fn is_ready(&self) -> bool {
        !self.node.leaving.get() && self.node.version() > 0 && self.agents_loaded.get()
    }

    /// Reports the entry as not ready, and forwards packets until routers have stopped sending
    /// them, for up to four fifths of the grace time.
    async fn leave(&self) {
        self.node.leaving.set(true);
        let start = self.node.clock.now();
        let limit = self.node.settings.grace.mul_f64(0.8);
        loop {
            time::sleep(node::TICK).await;
            let now = self.node.clock.now();
            let routers_gone = now.since(start) > ROUTER_DELAY
                && now.since(self.last_packet.get()) > ROUTER_SILENCE;
            if routers_gone || now.since(start) > limit {
                return;
            }
        }
    }

    /// Handles a packet from a client.
    fn on_packet(&self, datagram: &[u8]) {
        let now = self.node.clock.now();
        self.last_packet.set(now);
        self.forward(now, datagram);
    }

    /// Forwards a packet that arrived at `arrived`, or keeps it.
    fn forward(&self, arrived: Timestamp, datagram: &[u8]) {
        let now = self.node.clock.now();
        let Some(segment) = packet::decode(datagram) else {
            return self.node.count("packet-unreadable");
        };
        let mut flows = self.flows.borrow_mut();
        let action = flows.on_kept_packet(now, arrived, &segment);
        let is_unknown = flows.demand_due().is_some();
        drop(flows);
        if is_unknown {
            self.flow_unknown.notify_one();
        }
        if action == EntryAction::Keep {
            self.early.borrow_mut().push(arrived, &segment, datagram);
        }
        // An opening packet acknowledges nothing: its `ack` counts earlier copies.
        let copy = if segment.opens() { segment.ack } else { 0 };
        self.log_action(now, &segment.inbound_flow(), copy, &action);
        self.log_overflow(now);
        self.execute(datagram, action);
    }

    /// Handles the packets that were kept, after the entry has learned something new.
    fn forward_early(&self) {
        if self.early.borrow().is_empty() || self.flows.borrow().is_starting() {
            return;
        }
        let packets = self.early.borrow_mut().take(self.node.clock.now());
        log::info!("event=early-packets count={}", packets.len());
        for (arrived, packet) in packets {
            self.forward(arrived, &packet);
        }
    }

    /// Carries out an action. `datagram` is the current packet, empty for a report.
    fn execute(&self, datagram: &[u8], action: EntryAction) {
        match action {
            EntryAction::Forward(forwardings) => {
                let mut buffer = self.buffer.borrow_mut();
                for Forwarding { agent, header } in forwardings {
                    flows::write_packet(&header, datagram, &mut buffer);
                    self.node.send(agent.0, &buffer);
                }
            }
            EntryAction::Search(agents, class, flow) => {
                let datagram = flows::encode_search(class, &[flow]);
                for agent in agents {
                    self.node.send(agent.0, &datagram);
                }
            }
            EntryAction::Reset(reset, _) => {
                let packet = packet::encode_reset(&reset);
                let client = reset.flow.client;
                self.node.send_client(&self.clients, client, &packet);
            }
            EntryAction::Keep | EntryAction::Drop(_) => {}
        }
    }

    /// Handles an agent's report about a flow.
    fn on_flow_report(&self, now: Timestamp, from: InstanceId, report: &FlowReport) {
        let action = self.flows.borrow_mut().on_flow_report(now, from, report);
        self.demand_confirmation(now);
        self.log_report(now, from, report);
        if let Some(action) = action {
            self.log_action(now, &report.flow, 0, &action);
            self.execute(&[], action);
        }
    }

    /// Demands a confirmation of the routes if the reset of a flow may need one.
    fn demand_confirmation(&self, now: Timestamp) {
        let at = self.flows.borrow_mut().take_demand(now);
        if let Some(at) = at {
            self.node.count("demand-raised");
            self.config_demand.raise(at);
        }
    }

    /// Handles a message from another process of the system.
    fn on_message(self: &Rc<Self>, datagram: &[u8], from: SocketAddrV4) {
        let now = self.node.clock.now();
        match flows::decode(datagram) {
            Some(Message::FlowReport(report)) => {
                let from = InstanceId(from);
                self.on_flow_report(now, from, &report);
                self.on_version(report.version, from.0);
            }
            Some(Message::Hello(hello)) => {
                self.flows.borrow_mut().on_hello(now, &hello);
                self.agents_loaded.set(true);
                self.on_version(hello.version, from);
            }
            Some(
                Message::Packet(..)
                | Message::DirectoryUpdate(_)
                | Message::Probe
                | Message::NotHeld(_)
                | Message::Query(..)
                | Message::Search(..),
            )
            | None => {
                self.node.count("message-unexpected");
            }
        }
    }

    /// Fetches a newer configuration from the process that reported its version, unless the
    /// store delivers it within [`FETCH_DELAY`].
    fn on_version(self: &Rc<Self>, version: u64, from: SocketAddrV4) {
        if version <= self.node.version() || self.fetching.replace(true) {
            return;
        }
        let entry = self.clone();
        task::spawn_local(async move {
            time::sleep(FETCH_DELAY).await;
            if version > entry.node.version() {
                listing::fetch_config(&entry, from).await;
            }
            entry.fetching.set(false);
        });
    }
}
