//! Client behind a router: opens flows, sends requests on them and retransmits
//! unacknowledged packets.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use rand::RngExt;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::task;
use tokio::time;

use marigoldway_core::flow::key::FlowKey;
use marigoldway_core::flow::segment::Flags;
use marigoldway_core::flow::segment::Segment;
use marigoldway_platform::packet;

use crate::packets;
use crate::packets::http;
use crate::packets::router::Router;
use crate::packets::stream::Stream;
use crate::soak::checker::Checker;

/// Time to wait for an answer after each copy of an opening packet. The flow fails to open after
/// the last wait.
const OPEN_WAITS: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
];

/// Interval at which due packets are sent and finished flows are removed.
const TICK: Duration = Duration::from_millis(10);

/// Maximum distance, in octets, of a reset's sequence number from the next one
/// that the client expects. Resets farther away are ignored.
const RESET_WINDOW: u32 = 76_800;

/// `Failure` is the reason why a request got no successful response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The flow was reset or timed out before it opened.
    NotOpened,
    /// The target rejected the request without running it.
    NotRun,
    /// The flow was reset, or the target closed it, before the response.
    Aborted,
    /// The deadline passed before the response.
    Deadline,
}

/// `Client` opens many flows from one IP address, each with a port of its own.
pub(crate) struct Client {
    addr: SocketAddrV4,
    socket: UdpSocket,
    router: Rc<Router>,
    checker: Rc<Checker>,
    flows: RefCell<IndexMap<u16, Rc<Flow>>>,
    next_port: Cell<u16>,
}

/// `Flow` is one flow of a client, open or opening.
pub(crate) struct Flow {
    key: FlowKey,
    client_isn: u32,
    /// The target's initial sequence number, `None` until the flow is open.
    target_isn: Cell<Option<u32>>,
    stream: RefCell<Option<Stream>>,
    aborted: Cell<bool>,
    received: Notify,
}

impl Client {
    /// Starts a client whose socket is bound to `addr`.
    ///
    /// The system sends every packet of the client to the port of `addr`; the
    /// ports of flows are only in the packets.
    pub(crate) async fn start(
        addr: SocketAddrV4,
        router: Rc<Router>,
        checker: Rc<Checker>,
    ) -> io::Result<Rc<Client>> {
        let client = Rc::new(Client {
            addr,
            socket: UdpSocket::bind(addr).await?,
            router,
            checker,
            flows: RefCell::default(),
            next_port: Cell::new(1_024),
        });
        let shared = client.clone();
        task::spawn_local(async move { shared.receive().await });
        let shared = client.clone();
        task::spawn_local(async move { shared.tick().await });
        Ok(client)
    }

    /// Opens a flow to `server`. The only failure is [`Failure::NotOpened`].
    pub(crate) async fn open(&self, server: SocketAddrV4) -> Result<Rc<Flow>, Failure> {
        let port = self.next_port.get();
        self.next_port.set(port.checked_add(1).unwrap_or(1_024));
        let key = FlowKey {
            client: SocketAddrV4::new(*self.addr.ip(), port),
            server,
        };
        let flow = Rc::new(Flow {
            key,
            client_isn: rand::rng().random(),
            target_isn: Cell::new(None),
            stream: RefCell::default(),
            aborted: Cell::new(false),
            received: Notify::new(),
        });
        self.flows.borrow_mut().insert(port, flow.clone());
        for (copy, wait) in (0..).zip(OPEN_WAITS) {
            self.send(&key, &encode_opening(&flow, copy));
            let end = time::Instant::now() + wait;
            while !flow.is_open() && !flow.aborted.get() && time::Instant::now() < end {
                // The loop checks the flow after a timeout and after a packet.
                let _ = time::timeout_at(end, flow.received.notified()).await;
            }
            if flow.is_open() {
                return Ok(flow);
            }
            if flow.aborted.get() {
                break;
            }
        }
        self.flows.borrow_mut().swap_remove(&port);
        Err(Failure::NotOpened)
    }

    /// Sends a request with a body of `len` octets on a flow, and waits for the
    /// response until `deadline`.
    ///
    /// A response that doesn't belong to the request is recorded as a violation and still returns
    /// `Ok`.
    pub(crate) async fn exchange(
        &self,
        flow: &Flow,
        id: &str,
        len: usize,
        deadline: Instant,
    ) -> Result<(), Failure> {
        if let Some(stream) = &mut *flow.stream.borrow_mut() {
            stream.write(&http::request(id, len));
        }
        self.flush(flow);
        loop {
            let (response, closed) = match &mut *flow.stream.borrow_mut() {
                Some(stream) => (
                    http::take_message(stream.received()),
                    stream.is_remote_closed(),
                ),
                None => return Err(Failure::Aborted),
            };
            if let Some(response) = response {
                return self.check(id, &response);
            }
            if flow.aborted.get() || closed {
                return Err(Failure::Aborted);
            }
            if Instant::now() >= deadline {
                return Err(Failure::Deadline);
            }
            // The loop checks the flow after a timeout and after a packet.
            let _ = time::timeout_at(deadline.into(), flow.received.notified()).await;
        }
    }

    fn check(&self, id: &str, response: &http::Message) -> Result<(), Failure> {
        if response.is_not_run() {
            return Err(Failure::NotRun);
        }
        let intact = http::body(id, response.body.len()) == response.body;
        if response.status() != Some(200) || !response.is_signed() || !intact {
            let detail = format!(
                "wrong response to request {id}, status {:?}",
                response.status()
            );
            self.checker.record_violation("MIXED", &detail);
        }
        Ok(())
    }

    /// Closes a flow in the direction from the client to the target, after all queued requests.
    pub(crate) fn close(&self, flow: &Flow) {
        if let Some(stream) = &mut *flow.stream.borrow_mut() {
            stream.close();
        }
        self.flush(flow);
    }

    /// Drops a flow without a packet, as a client does after its deadline.
    pub(crate) fn abandon(&self, flow: &Flow) {
        self.flows.borrow_mut().swap_remove(&flow.key.client.port());
    }

    async fn receive(self: Rc<Self>) {
        let mut buffer = [0; 2_048];
        loop {
            // An error means that an entry, a process that forwards the flows, is down. Other
            // entries still send.
            if let Ok((len, _)) = self.socket.recv_from(&mut buffer).await {
                self.on_packet(&buffer[..len]);
            }
        }
    }

    fn on_packet(&self, octets: &[u8]) {
        let Some((segment, valid)) = packets::decode(octets) else {
            return self
                .checker
                .record_violation("MIXED", "a client received an unreadable packet");
        };
        // Resets that the system itself sends have the checksum 0.
        let system_reset =
            segment.flags.rst && segment.len == 0 && packet::checksum(octets) == Some(0);
        if !valid && !system_reset {
            return self.checker.record_violation(
                "MIXED",
                &format!("packet to {:?} was altered", segment.dest),
            );
        }
        let flow = self.flows.borrow().get(&segment.dest.port()).cloned();
        let Some(flow) = flow.filter(|it| it.key == segment.outbound_flow()) else {
            return;
        };
        if segment.flags.rst {
            self.on_reset(&flow, &segment);
        } else {
            flow.receive(&segment, packet::data(octets));
            self.flush(&flow);
        }
        flow.received.notify_one();
    }

    fn on_reset(&self, flow: &Flow, segment: &Segment) {
        let stream = flow.stream.borrow();
        let expected = stream.as_ref().map(Stream::expected);
        let distance = |it: u32| it.wrapping_sub(segment.seq).cast_signed().unsigned_abs();
        if expected.is_some_and(|it| distance(it) > RESET_WINDOW) {
            return;
        }
        flow.aborted.set(true);
        if let Some(target_isn) = flow.target_isn.get() {
            self.checker.on_reset(&flow.key, target_isn);
        }
    }

    fn flush(&self, flow: &Flow) {
        let packets = match &mut *flow.stream.borrow_mut() {
            Some(stream) if !flow.aborted.get() => stream.poll(Instant::now()),
            _ => return,
        };
        for packet in packets {
            self.send(&flow.key, &packet);
        }
    }

    fn send(&self, key: &FlowKey, packet: &[u8]) {
        if let Some(entry) = self.router.choose(key) {
            // A packet that can't be sent is lost, as on a network.
            let _ = self.socket.try_send_to(packet, entry.into());
        }
    }

    async fn tick(self: Rc<Self>) {
        loop {
            time::sleep(TICK).await;
            let flows: Vec<Rc<Flow>> = self.flows.borrow().values().cloned().collect();
            for flow in flows {
                self.flush(&flow);
            }
            self.flows.borrow_mut().retain(|_, it| !it.is_finished());
        }
    }
}

impl Flow {
    fn is_open(&self) -> bool {
        self.target_isn.get().is_some()
    }

    /// Whether the flow is open and can carry another request.
    pub(crate) fn is_usable(&self) -> bool {
        let stream = self.stream.borrow();
        !self.aborted.get() && stream.as_ref().is_some_and(|it| !it.is_remote_closed())
    }

    fn is_finished(&self) -> bool {
        let stream = self.stream.borrow();
        let done = stream
            .as_ref()
            .is_some_and(|it| it.is_closed() || it.is_timed_out());
        done || self.aborted.get()
    }

    fn receive(&self, segment: &Segment, data: &[u8]) {
        if segment.flags.syn {
            // Further answers to the opening packet, also of another target, are ignored.
            if self.is_open() {
                return;
            }
            let next = self.client_isn.wrapping_add(1);
            let expected = segment.seq.wrapping_add(1);
            let stream = Stream::new(self.key.client, self.key.server, next, expected);
            *self.stream.borrow_mut() = Some(stream);
            self.target_isn.set(Some(segment.seq));
        } else if let Some(stream) = &mut *self.stream.borrow_mut() {
            stream.receive(segment, data);
        }
    }
}

/// Encodes a copy of the opening packet. Its field `ack` holds the number of the copy, from 0.
fn encode_opening(flow: &Flow, copy: u32) -> Vec<u8> {
    let segment = Segment {
        source: flow.key.client,
        dest: flow.key.server,
        flags: Flags {
            syn: true,
            ..Flags::default()
        },
        seq: flow.client_isn,
        ack: copy,
        len: 0,
        answer: None,
    };
    packets::encode(&segment, &[])
}
