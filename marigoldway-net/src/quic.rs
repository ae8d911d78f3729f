//! The QUIC endpoint of an agent. Its datagrams travel in envelopes instead of plain UDP.
//!
//! An agent is a process beside one target. Callers' datagrams reach it through entries, the
//! processes that forward them, or through other agents. An envelope is a header with the
//! caller's address and the service.

use std::collections::VecDeque;
use std::fmt;
use std::io;
use std::io::ErrorKind;
use std::io::IoSliceMut;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use quinn::AsyncUdpSocket;
use quinn::ConnectionId;
use quinn::ConnectionIdGenerator;
use quinn::Endpoint;
use quinn::EndpointConfig;
use quinn::ServerConfig;
use quinn::TokioRuntime;
use quinn::UdpPoller;
use quinn::crypto::CryptoError;
use quinn::crypto::HmacKey;
use quinn_proto::InvalidCid;
use quinn_udp::RecvMeta;
use quinn_udp::Transmit;
use rand::RngExt;

use marigoldway_core::forward::DropReason;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::reset::ResetKey;
use marigoldway_core::route::ROUTE_LEN;

use crate::counters::PacketCounters;
use crate::counters::PacketOutcome;
use crate::envelope::Direction;
use crate::envelope::Envelope;
use crate::envelope::EnvelopeKey;
use crate::envelope::HEADER_LEN;
use crate::envelope::MAX_DATAGRAM_LEN;
use crate::filter::DatagramFilter;
use crate::filter::FilterDecision;
use crate::udp::Batch;
use crate::udp::Received;
use crate::udp::Udp;

/// `AgentSocket` is the socket of the QUIC endpoint. It removes the envelopes of datagrams
/// that entries and agents send, and sends replies to entries in envelopes.
pub struct AgentSocket {
    udp: Udp,
    key: EnvelopeKey,
    filter: Arc<DatagramFilter>,
    counters: Arc<PacketCounters>,
    inbox: Mutex<Inbox>,
}

/// `Inbox` queues received datagrams until QUIC provides buffers for them.
#[derive(Default)]
struct Inbox {
    batch: Batch,
    queue: VecDeque<(RecvMeta, Vec<u8>)>,
}

impl AgentSocket {
    /// Creates the socket of an agent over the bound socket `udp`.
    pub fn new(udp: Udp, key: EnvelopeKey, filter: Arc<DatagramFilter>) -> AgentSocket {
        AgentSocket {
            udp,
            key,
            filter,
            counters: Arc::default(),
            inbox: Mutex::default(),
        }
    }

    /// Returns the counters of received datagrams and replies.
    pub fn counters(&self) -> &Arc<PacketCounters> {
        &self.counters
    }

    /// Opens the packets of the batch and queues the accepted datagrams.
    fn open_batch(&self, inbox: &mut Inbox) {
        for packet in inbox.batch.datagrams() {
            match self.open_packet(&packet) {
                Ok(Some(item)) => inbox.queue.push_back(item),
                Ok(None) => (),
                Err(reason) => self.counters.count_drop(reason),
            }
        }
    }

    /// Removes the envelope of a packet and filters its datagram. Returns `None` if the
    /// datagram was forwarded to another agent.
    fn open_packet(
        &self,
        packet: &Received<'_>,
    ) -> Result<Option<(RecvMeta, Vec<u8>)>, DropReason> {
        let opened = self.key.open(packet.contents);
        let (envelope, datagram) = opened.ok_or(DropReason::ForgedEnvelope)?;
        match self.filter.decide(packet.from, &envelope, datagram) {
            FilterDecision::Drop(reason) => Err(reason),
            FilterDecision::Forward { to, hop } => {
                let envelope = Envelope {
                    direction: Direction::Inbound(hop),
                    ..envelope
                };
                self.forward(to, &envelope, datagram, packet)?;
                Ok(None)
            }
            FilterDecision::Accept => {
                self.counters.count(PacketOutcome::Taken);
                let meta = RecvMeta {
                    addr: SocketAddr::V4(envelope.caller),
                    len: datagram.len(),
                    stride: datagram.len(),
                    ecn: packet.ecn,
                    dst_ip: None,
                };
                Ok(Some((meta, datagram.to_vec())))
            }
        }
    }

    fn forward(
        &self,
        to: InstanceId,
        envelope: &Envelope,
        datagram: &[u8],
        packet: &Received<'_>,
    ) -> Result<(), DropReason> {
        let sealed = self.seal(envelope, datagram);
        self.udp
            .try_send(to.addr(), &sealed, packet.ecn)
            .map_err(|_| DropReason::SendFailed)?;
        self.counters.count(PacketOutcome::Passed);
        Ok(())
    }

    /// Returns the header for `datagram`, followed by `datagram`.
    fn seal(&self, envelope: &Envelope, datagram: &[u8]) -> Vec<u8> {
        let mut packet = Vec::with_capacity(HEADER_LEN + datagram.len());
        packet.extend_from_slice(&self.key.seal(envelope, datagram));
        packet.extend_from_slice(datagram);
        packet
    }
}

impl fmt::Debug for AgentSocket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AgentSocket").finish_non_exhaustive()
    }
}

impl AsyncUdpSocket for AgentSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(WritePoller {
            socket: self,
            writable: None,
        })
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let SocketAddr::V4(caller) = transmit.destination else {
            self.counters.count_drop(DropReason::Malformed);
            return Ok(());
        };
        // Without a known entry the reply is dropped. QUIC treats the reply as a lost packet
        // and retransmits its content.
        let Some(entry) = self.filter.reply_entry(caller) else {
            self.counters.count_drop(DropReason::NoEntry);
            return Ok(());
        };
        let envelope = Envelope {
            caller,
            service: self.filter.own().service,
            direction: Direction::Reply,
        };
        let packet = self.seal(&envelope, transmit.contents);
        match self.udp.try_send(entry.addr(), &packet, transmit.ecn) {
            Ok(()) => self.counters.count(PacketOutcome::Answered),
            Err(err) if err.kind() == ErrorKind::WouldBlock => return Err(err),
            Err(_) => self.counters.count_drop(DropReason::SendFailed),
        }
        Ok(())
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut inbox = self.inbox.lock().unwrap_or_else(PoisonError::into_inner);
        let inbox = &mut *inbox;
        while inbox.queue.is_empty() {
            ready!(self.udp.poll_recv(cx, &mut inbox.batch))?;
            self.open_batch(inbox);
        }

        let mut filled = 0;
        for (buf, meta) in bufs.iter_mut().zip(meta) {
            let Some((received, datagram)) = inbox.queue.pop_front() else {
                break;
            };
            buf[..datagram.len()].copy_from_slice(&datagram);
            *meta = received;
            filled += 1;
        }
        Poll::Ready(Ok(filled))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.udp.local_addr()
    }
}

type WritableFuture = Pin<Box<dyn Future<Output = io::Result<()>> + Send + Sync>>;

/// `WritePoller` waits until the socket is writable.
struct WritePoller {
    socket: Arc<AgentSocket>,
    writable: Option<WritableFuture>,
}

impl fmt::Debug for WritePoller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WritePoller").finish_non_exhaustive()
    }
}

impl UdpPoller for WritePoller {
    fn poll_writable(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let socket = self.socket.clone();
        let writable = self
            .writable
            .get_or_insert_with(|| Box::pin(async move { socket.udp.writable().await }));
        let result = ready!(writable.as_mut().poll(cx));
        self.writable = None;
        Poll::Ready(result)
    }
}

/// `RouteIdGenerator` generates the connection IDs of one agent. They are route IDs, which
/// contain the agent, the service and the agent's incarnation.
struct RouteIdGenerator {
    filter: Arc<DatagramFilter>,
}

impl ConnectionIdGenerator for RouteIdGenerator {
    fn generate_cid(&mut self) -> ConnectionId {
        let nonce = rand::rng().random();
        ConnectionId::new(&self.filter.keys().encode(self.filter.own(), nonce))
    }

    /// Accepts every ID made with the fleet's route keys, also of earlier incarnations of the
    /// agent, so that QUIC answers datagrams of their flows with a stateless reset.
    fn validate(&self, id: &ConnectionId) -> Result<(), InvalidCid> {
        match self.filter.keys().decode(id) {
            Some(_) => Ok(()),
            None => Err(InvalidCid),
        }
    }

    fn cid_len(&self) -> usize {
        ROUTE_LEN
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}

/// `FleetResetKey` adapts the fleet's reset key to the HMAC trait of QUIC, which derives
/// stateless reset tokens from the key.
struct FleetResetKey(ResetKey);

impl HmacKey for FleetResetKey {
    fn sign(&self, data: &[u8], signature: &mut [u8]) {
        signature.copy_from_slice(&self.0.sign(data)[..signature.len()]);
    }

    fn signature_len(&self) -> usize {
        32
    }

    fn verify(&self, data: &[u8], signature: &[u8]) -> Result<(), CryptoError> {
        if self.0.sign(data)[..] == *signature {
            Ok(())
        } else {
            Err(CryptoError)
        }
    }
}

/// Creates the QUIC endpoint of an agent over `socket`. The maximum UDP payload of the
/// endpoint is [`MAX_DATAGRAM_LEN`].
pub fn agent_endpoint(
    socket: Arc<AgentSocket>,
    reset: ResetKey,
    server: ServerConfig,
) -> io::Result<Endpoint> {
    let filter = socket.filter.clone();
    let mut config = EndpointConfig::new(Arc::new(FleetResetKey(reset)));
    config.cid_generator(move || {
        Box::new(RouteIdGenerator {
            filter: filter.clone(),
        })
    });
    config
        .max_udp_payload_size(MAX_DATAGRAM_LEN as u16)
        .map_err(io::Error::other)?;
    Endpoint::new_with_abstract_socket(config, Some(server), socket, Arc::new(TokioRuntime))
}
