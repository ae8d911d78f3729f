//! Packets and messages that an agent receives from other processes and from its target.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::task;
use tokio::time;

use marigoldway_core::flow::agent::AgentAction;
use marigoldway_core::flow::agent::AgentFlows;
use marigoldway_core::flow::agent::FLUSH_INTERVAL;
use marigoldway_core::flow::message::Header;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::time::Timestamp;
use marigoldway_net::wire::flows;
use marigoldway_net::wire::flows::Message;
use marigoldway_platform::packet;

use crate::packets::agent::Agent;
use crate::packets::agent::FETCH_DELAY;
use crate::packets::agent::MAX_ENTRIES;
use crate::packets::peers;

/// Minimum time between two runs that send queued opening packets. The limiter counts whole
/// milliseconds.
const MIN_RELEASE_INTERVAL: Duration = Duration::from_millis(1);

impl Agent {
    /// Handles a message from another process of the system.
    pub(super) fn on_message(self: &Rc<Self>, datagram: &mut [u8], from: SocketAddrV4) {
        let now = self.node.clock.now();
        self.flows.borrow_mut().on_heard(now);
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
            Some(Message::NotHeld(not_held)) => self.decide(|flows, actions| {
                flows.on_not_held(now, InstanceId(from), &not_held, actions);
            }),
            Some(Message::Query(entry, query)) => self.decide(|flows, actions| {
                flows.on_query(now, InstanceId(from), entry, &query, actions);
            }),
            Some(Message::Search(class, search)) => self.decide(|flows, actions| {
                flows.on_search(now, InstanceId(from), class, &search, actions);
            }),
            Some(Message::FlowReport(_)) | None => self.node.count("message-unexpected"),
        }
    }

    /// Handles a client's packet that an entry or another agent forwarded.
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
        self.review_record();
        self.schedule_flush();
        self.schedule_openings();
    }

    /// Handles a packet that the target sent or returned.
    pub(super) fn on_target_packet(&self, packet: &mut [u8]) {
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

    /// Keeps the entry of a packet for hellos, and fetches the drained failure domains if they aren't
    /// known, and the entry's configuration if it is newer than the own one.
    fn on_entry_packet(self: &Rc<Self>, now: Timestamp, header: &Header) {
        let mut entries = self.entries.borrow_mut();
        if entries.len() < MAX_ENTRIES || entries.contains_key(&header.entry) {
            entries.insert(header.entry, now);
        }
        drop(entries);
        self.learn_drains(header.entry.0);
        if header.version <= self.node.version() || self.fetching.replace(true) {
            return;
        }
        let (agent, entry) = (self.clone(), header.entry.0);
        task::spawn_local(async move {
            time::sleep(FETCH_DELAY).await;
            if let Some(raw) = peers::fetch_config(entry).await
                && let Some(routes) = agent.node.apply_config(raw, "peer")
            {
                let now = agent.node.clock.now();
                agent.flows.borrow_mut().on_routes(now, &routes);
            }
            agent.fetching.set(false);
        });
    }

    /// Carries out what the core decides on a message of another process.
    fn decide(self: &Rc<Self>, on_message: impl FnOnce(&mut AgentFlows, &mut Vec<AgentAction>)) {
        let mut actions = Vec::new();
        on_message(&mut self.flows.borrow_mut(), &mut actions);
        self.execute(None, &mut [], &actions);
        self.schedule_flush();
    }

    /// Sends the queued opening packets as soon as the limit of the target's slow start and the reach
    /// of the own record in the store allow it.
    fn schedule_openings(self: &Rc<Self>) {
        let now = self.node.clock.now();
        let next = self.flows.borrow().next_opening(now);
        let Some(next) = next.filter(|_| !self.releasing.get()) else {
            return;
        };
        self.releasing.set(true);
        let agent = self.clone();
        task::spawn_local(async move {
            time::sleep(next.since(now).max(MIN_RELEASE_INTERVAL)).await;
            agent.releasing.set(false);
            let now = agent.node.clock.now();
            let mut actions = Vec::new();
            agent.flows.borrow_mut().release_openings(now, &mut actions);
            agent.execute(None, &mut [], &actions);
            agent.schedule_openings();
        });
    }

    /// Sends the queries and replies that the agent has collected, after the interval in which it
    /// collects them.
    fn schedule_flush(self: &Rc<Self>) {
        if let Some(at) = self.flows.borrow_mut().take_list_demand() {
            self.node.count("list-demanded");
            self.list_demand.raise(at);
        }
        if !self.flows.borrow().has_queued_searches() || self.flushing.replace(true) {
            return;
        }
        let agent = self.clone();
        task::spawn_local(async move {
            time::sleep(FLUSH_INTERVAL).await;
            agent.flushing.set(false);
            let now = agent.node.clock.now();
            let mut actions = Vec::new();
            agent.flows.borrow_mut().flush_searches(now, &mut actions);
            agent.execute(None, &mut [], &actions);
            agent.schedule_flush();
        });
    }
}
