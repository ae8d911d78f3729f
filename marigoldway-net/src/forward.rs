//! The data plane of an entry: it forwards datagrams between callers and agents.
//!
//! An entry is a process that receives callers' datagrams and forwards them to agents. An
//! agent is a process beside one target. The roster holds one record for each instance.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use tokio::sync::watch;

use marigoldway_core::acceptance::Hop;
use marigoldway_core::forward::AgentScope;
use marigoldway_core::forward::Decision;
use marigoldway_core::forward::DropReason;
use marigoldway_core::forward::Forwarder;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::ids::ServiceId;
use marigoldway_core::packet::PacketHeader;
use marigoldway_core::reset::ResetKey;
use marigoldway_core::roster::RosterView;

use crate::counters::PacketCounters;
use crate::counters::PacketOutcome;
use crate::envelope::Direction;
use crate::envelope::Envelope;
use crate::envelope::EnvelopeKey;
use crate::envelope::HEADER_LEN;
use crate::envelope::MAX_DATAGRAM_LEN;
use crate::udp::Batch;
use crate::udp::Received;
use crate::udp::Udp;

/// `EntryKeys` holds the forwarder of an entry and the keys of its packet path.
#[derive(Clone)]
pub struct EntryKeys {
    /// Selects the agent for a caller's datagram.
    pub forwarder: Forwarder,
    /// Authenticates envelopes.
    pub envelope: EnvelopeKey,
    /// Derives stateless reset tokens.
    pub reset: ResetKey,
}

/// `EntryDataPlane` forwards datagrams between callers and agents.
///
/// It keeps no state for a flow. Each decision depends only on the datagram, the keys, the
/// scope and the latest view of the roster.
pub struct EntryDataPlane<S> {
    keys: EntryKeys,
    scope: S,
    views: watch::Receiver<Arc<RosterView>>,
    counters: Arc<PacketCounters>,
    agent_socket: Udp,
    service_sockets: IndexMap<ServiceId, Udp>,
}

impl<S: AgentScope> EntryDataPlane<S> {
    /// Creates a data plane from bound sockets. It exchanges datagrams with agents on
    /// `agent_socket`, and with callers on one of `service_sockets` for each service.
    ///
    /// `scope` tells which addresses may belong to agents that the roster doesn't list.
    /// `views` holds the latest view of the roster.
    pub fn new(
        keys: EntryKeys,
        scope: S,
        views: watch::Receiver<Arc<RosterView>>,
        agent_socket: Udp,
        service_sockets: IndexMap<ServiceId, Udp>,
    ) -> EntryDataPlane<S> {
        EntryDataPlane {
            keys,
            scope,
            views,
            counters: Arc::default(),
            agent_socket,
            service_sockets,
        }
    }

    /// Returns the counters. They count callers' datagrams of all services, and replies.
    pub fn counters(&self) -> &Arc<PacketCounters> {
        &self.counters
    }

    /// Receives callers' datagrams of one service until the socket fails, and returns that
    /// error. Returns at once if the data plane has no socket for `service`.
    pub async fn serve(&self, service: ServiceId) -> io::Result<()> {
        let Some(socket) = self.service_sockets.get(&service) else {
            return Ok(());
        };
        let mut batch = Batch::default();
        let mut packet = Vec::with_capacity(HEADER_LEN + MAX_DATAGRAM_LEN);
        loop {
            socket.recv(&mut batch).await?;
            // The whole batch uses one snapshot of the roster.
            let view = self.views.borrow().clone();
            for datagram in batch.datagrams() {
                self.forward_inbound(service, socket, &datagram, &view, &mut packet)
                    .await;
            }
        }
    }

    async fn forward_inbound(
        &self,
        service: ServiceId,
        socket: &Udp,
        datagram: &Received<'_>,
        view: &RosterView,
        packet: &mut Vec<u8>,
    ) {
        let decision = self
            .keys
            .forwarder
            .decide(service, datagram.contents, view, &self.scope);
        let (agent, second, outcome) = match decision {
            Decision::Route(agent) => (agent, None, PacketOutcome::Routed),
            Decision::Place(it) => (it.first, it.second, PacketOutcome::Placed),
            Decision::Reset => return self.send_reset(socket, datagram).await,
            Decision::Drop(reason) => return self.counters.count_drop(reason),
        };
        let SocketAddr::V4(caller) = datagram.from else {
            return self.counters.count_drop(DropReason::Malformed);
        };
        let envelope = Envelope {
            caller,
            service,
            direction: Direction::Inbound(Hop::Offered { second }),
        };
        self.send_to_agent(agent, &envelope, datagram, outcome, packet)
            .await;
    }

    async fn send_to_agent(
        &self,
        agent: InstanceId,
        envelope: &Envelope,
        datagram: &Received<'_>,
        outcome: PacketOutcome,
        packet: &mut Vec<u8>,
    ) {
        packet.clear();
        packet.extend_from_slice(&self.keys.envelope.seal(envelope, datagram.contents));
        packet.extend_from_slice(datagram.contents);
        match self
            .agent_socket
            .send(agent.addr(), packet, datagram.ecn)
            .await
        {
            Ok(()) => self.counters.count(outcome),
            Err(_) => self.counters.count_drop(DropReason::SendFailed),
        }
    }

    async fn send_reset(&self, socket: &Udp, datagram: &Received<'_>) {
        let Some(head) = PacketHeader::parse(datagram.contents) else {
            return self.counters.count_drop(DropReason::Malformed);
        };
        let len = datagram.contents.len();
        let Some(reset) = self.keys.reset.datagram(head.id, len, &mut rand::rng()) else {
            return self.counters.count_drop(DropReason::UnknownRoute);
        };
        match socket.send(datagram.from, &reset, None).await {
            Ok(()) => self.counters.count(PacketOutcome::Reset),
            Err(_) => self.counters.count_drop(DropReason::SendFailed),
        }
    }

    /// Receives agents' replies until the socket fails, and returns that error.
    pub async fn serve_replies(&self) -> io::Result<()> {
        let mut batch = Batch::default();
        loop {
            self.agent_socket.recv(&mut batch).await?;
            for packet in batch.datagrams() {
                match self.forward_reply(&packet).await {
                    Ok(()) => self.counters.count(PacketOutcome::Replied),
                    Err(reason) => self.counters.count_drop(reason),
                }
            }
        }
    }

    async fn forward_reply(&self, packet: &Received<'_>) -> Result<(), DropReason> {
        let (envelope, datagram) = self
            .keys
            .envelope
            .open(packet.contents)
            .ok_or(DropReason::ForgedEnvelope)?;
        if envelope.direction != Direction::Reply {
            return Err(DropReason::WrongDirection);
        }
        let socket = self
            .service_sockets
            .get(&envelope.service)
            .ok_or(DropReason::ForeignService)?;
        socket
            .send(SocketAddr::V4(envelope.caller), datagram, packet.ecn)
            .await
            .map_err(|_| DropReason::SendFailed)
    }
}
