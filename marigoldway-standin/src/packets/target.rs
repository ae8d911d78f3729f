//! Stand-in for a target of the users' platform. It serves requests on flows of packets and sends
//! heartbeats to its agent, the process of the system beside the target.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use ::http::Method;
use indexmap::IndexMap;
use rand::RngExt;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::task;
use tokio::time;

use marigoldway_core::flow::key::FlowKey;
use marigoldway_core::flow::segment::Flags;
use marigoldway_core::flow::segment::Segment;
use marigoldway_net::platform::transport;
use marigoldway_platform::packet;

use crate::packets;
use crate::packets::http;
use crate::packets::stream::Stream;
use crate::soak::checker::Checker;

/// Time between the end of a heartbeat's exchange and the next heartbeat, and the heartbeat
/// interval in the processes' settings.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// Timeout of a heartbeat's response.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum time to wait until the former target at an address has closed its socket.
const BIND_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of requests that wait for a slot; further ones are rejected.
const MAX_QUEUE_LEN: usize = 8;

/// Time that one request occupies a slot.
const SERVICE_TIME: Duration = Duration::from_millis(15);

/// Length of a response's body, in octets.
const RESPONSE_LEN: usize = 2_000;

/// Maximum number of octets that a target sends on a flow. An acknowledgement of a later octet
/// belongs to another flow between the same addresses.
const MAX_FLOW_LEN: u32 = 1 << 25;

/// Interval at which due packets are sent and finished flows are removed, and at
/// which binding and receiving are retried.
const TICK: Duration = Duration::from_millis(10);

/// `TargetOptions` are the addresses and limits of a target.
#[derive(Clone, Debug)]
pub(crate) struct TargetOptions {
    /// ID of the target. A target that starts again after a crash may keep it.
    pub(crate) id: String,
    /// Name of its service.
    pub(crate) service: String,
    /// Address at which it receives packets.
    pub(crate) app: SocketAddrV4,
    /// Address at which its agent receives the packets that it sends.
    pub(crate) outbound: SocketAddrV4,
    /// Address at which its agent receives heartbeats.
    pub(crate) control: SocketAddrV4,
    /// Maximum number of requests that run at the same time.
    pub(crate) slots: usize,
}

/// `Target` is one incarnation of a target, from its start to its end.
pub(crate) struct Target {
    pub(crate) options: TargetOptions,
    /// `None` once the target has stopped: another target may use the address.
    socket: RefCell<Option<Rc<UdpSocket>>>,
    /// Listens for health checks at the same address, which are accepted but not answered. Closed
    /// with `socket`.
    health: RefCell<Option<TcpListener>>,
    flows: RefCell<IndexMap<FlowKey, TargetFlow>>,
    /// Requests that wait for a slot, by flow and request id.
    queue: RefCell<VecDeque<(FlowKey, String)>>,
    running: Cell<usize>,
    /// Start time, in Unix milliseconds.
    started_at: u64,
    /// Sequence number of the last heartbeat.
    sequence: Cell<u64>,
    draining: Cell<bool>,
    /// Time at which its agent first acknowledged a heartbeat with state `draining`, `None` before.
    pub(crate) drained: Cell<Option<Instant>>,
    stopped: Cell<bool>,
    checker: Rc<Checker>,
}

struct TargetFlow {
    /// The target's initial sequence number.
    target_isn: u32,
    /// Whether the client has sent a packet after its opening packet.
    open: bool,
    stream: Stream,
}

impl Target {
    /// Starts an incarnation.
    ///
    /// # Errors
    ///
    /// The error of the socket if it can't be bound. An address in use is retried for 2 s.
    pub(crate) async fn start(
        options: TargetOptions,
        checker: Rc<Checker>,
    ) -> io::Result<Rc<Target>> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let socket = bind(async || UdpSocket::bind(options.app).await).await?;
        let health = bind(async || TcpListener::bind(options.app).await).await?;
        let target = Rc::new(Target {
            socket: RefCell::new(Some(Rc::new(socket))),
            health: RefCell::new(Some(health)),
            options,
            flows: RefCell::default(),
            queue: RefCell::default(),
            running: Cell::new(0),
            started_at: since.unwrap_or_default().as_millis() as u64,
            sequence: Cell::new(0),
            draining: Cell::new(false),
            drained: Cell::new(None),
            stopped: Cell::new(false),
            checker,
        });
        let shared = target.clone();
        task::spawn_local(async move { shared.receive().await });
        let shared = target.clone();
        task::spawn_local(async move { shared.send_heartbeats().await });
        let shared = target.clone();
        task::spawn_local(async move { shared.tick().await });
        Ok(target)
    }

    /// Stops at once, without a message to the agent or the clients.
    pub(crate) fn crash(&self) {
        self.stopped.set(true);
        self.socket.borrow_mut().take();
        self.health.borrow_mut().take();
        self.flows.borrow_mut().clear();
    }

    /// Reports the state `draining` from the next heartbeat on, and closes flows
    /// after their next response.
    pub(crate) fn drain(&self) {
        self.draining.set(true);
    }

    /// Deregisters at the agent, then stops.
    pub(crate) async fn leave(&self) {
        let path = format!("/v1/endpoints/{}", self.options.id);
        call(self.options.control, Method::DELETE, &path, String::new()).await;
        self.crash();
    }

    /// Whether the target has an open flow with its own initial sequence number `target_isn`. A
    /// flow is open once the client has sent a packet after its opening packet.
    pub(crate) fn holds(&self, flow: &FlowKey, target_isn: u32) -> bool {
        let flows = self.flows.borrow();
        flows
            .get(flow)
            .is_some_and(|it| it.open && it.target_isn == target_isn && !it.stream.is_closed())
    }

    async fn receive(self: Rc<Self>) {
        let mut buffer = [0; 2_048];
        loop {
            let Some(socket) = self.socket.borrow().clone() else {
                return;
            };
            // An error means that the agent restarts and its port is closed.
            let received = time::timeout(TICK, socket.recv_from(&mut buffer)).await;
            if let Ok(Ok((len, _))) = received {
                self.on_packet(&buffer[..len]);
            }
        }
    }

    fn on_packet(self: &Rc<Self>, octets: &[u8]) {
        let Some((segment, valid)) = packets::decode(octets) else {
            return self
                .checker
                .record_violation("UNASKED", "a target received an unreadable packet");
        };
        let key = segment.inbound_flow();
        if !valid || segment.flags.bounced {
            return self
                .checker
                .record_violation("UNASKED", &format!("packet of {key} was altered"));
        }
        self.checker.on_packet(self, &segment);
        if segment.opens() {
            return self.open(&segment, key);
        }
        let mut flows = self.flows.borrow_mut();
        // A late copy of an opening packet may have opened another flow between the
        // same addresses.
        let matches = |it: &&mut TargetFlow| segment.ack.wrapping_sub(it.target_isn) < MAX_FLOW_LEN;
        let Some(flow) = flows.get_mut(&key).filter(matches) else {
            drop(flows);
            return self.bounce(octets);
        };
        if segment.flags.rst {
            flows.swap_remove(&key);
            return;
        }
        flow.open = true;
        flow.stream.receive(&segment, packet::data(octets));
        let mut requests = Vec::new();
        while let Some(request) = http::take_message(flow.stream.received()) {
            requests.push(request);
        }
        if flow.stream.is_remote_closed() {
            flow.stream.close();
        }
        drop(flows);
        for request in requests {
            self.admit(key, &request);
        }
        self.flush(&key);
    }

    fn open(&self, segment: &Segment, key: FlowKey) {
        let mut flows = self.flows.borrow_mut();
        let flow = flows.entry(key).or_insert_with(|| {
            let target_isn: u32 = rand::rng().random();
            let expected = segment.seq.wrapping_add(1);
            TargetFlow {
                target_isn,
                open: false,
                stream: Stream::new(key.server, key.client, target_isn.wrapping_add(1), expected),
            }
        });
        let answer = Segment {
            source: key.server,
            dest: key.client,
            flags: Flags {
                syn: true,
                ack: true,
                ..Flags::default()
            },
            seq: flow.target_isn,
            ack: segment.seq.wrapping_add(1),
            len: 0,
            answer: None,
        };
        self.send(&packets::encode(&answer, &[]));
    }

    /// Sends a packet back to the agent, marked as bounced, since the target doesn't hold its flow.
    fn bounce(&self, octets: &[u8]) {
        let mut bounced = octets.to_vec();
        packet::set_bounced(&mut bounced);
        self.send(&bounced);
    }

    fn admit(self: &Rc<Self>, key: FlowKey, request: &http::Message) {
        let id = request.id().unwrap_or_default().to_owned();
        if http::body(&id, request.body.len()) != request.body {
            self.checker
                .record_violation("UNASKED", &format!("body of request {id} was altered"));
        }
        if self.running.get() < self.options.slots {
            return self.run(key, id);
        }
        let mut queue = self.queue.borrow_mut();
        if queue.len() < MAX_QUEUE_LEN {
            return queue.push_back((key, id));
        }
        drop(queue);
        self.respond(&key, &http::rejection());
    }

    fn run(self: &Rc<Self>, key: FlowKey, id: String) {
        self.running.set(self.running.get() + 1);
        self.checker.on_request(self, &key, &id);
        let target = self.clone();
        task::spawn_local(async move {
            time::sleep(SERVICE_TIME).await;
            target.running.set(target.running.get() - 1);
            target.respond(&key, &http::response(&id, RESPONSE_LEN));
            let next = target.queue.borrow_mut().pop_front();
            if let Some((key, id)) = next {
                target.run(key, id);
            }
        });
    }

    fn respond(&self, key: &FlowKey, octets: &[u8]) {
        if let Some(flow) = self.flows.borrow_mut().get_mut(key) {
            flow.stream.write(octets);
            if self.draining.get() {
                flow.stream.close();
            }
        }
        self.flush(key);
    }

    fn flush(&self, key: &FlowKey) {
        let now = Instant::now();
        let packets = match self.flows.borrow_mut().get_mut(key) {
            Some(flow) if flow.open => flow.stream.poll(now),
            _ => return,
        };
        for packet in packets {
            self.send(&packet);
        }
    }

    fn send(&self, packet: &[u8]) {
        if let Some(socket) = &*self.socket.borrow() {
            // A packet to a restarting agent is lost; both ends of a flow retransmit.
            let _ = socket.try_send_to(packet, self.options.outbound.into());
        }
    }

    async fn tick(self: Rc<Self>) {
        while !self.stopped.get() {
            time::sleep(TICK).await;
            let keys: Vec<FlowKey> = self.flows.borrow().keys().copied().collect();
            for key in keys {
                self.flush(&key);
            }
            self.flows
                .borrow_mut()
                .retain(|_, it| !it.stream.is_timed_out() && !it.stream.is_closed());
        }
    }

    async fn send_heartbeats(self: Rc<Self>) {
        while !self.stopped.get() {
            self.sequence.set(self.sequence.get() + 1);
            let draining = self.draining.get();
            let body = json!({
                "service": self.options.service,
                "address": self.options.app.to_string(),
                "zone": "a",
                "version": "v1",
                "max_concurrency": self.options.slots,
                "state": if draining { "draining" } else { "ready" },
                "ramp_left_ms": 0,
                "sequence": self.sequence.get(),
                "born": self.started_at,
            })
            .to_string();
            let path = format!("/v1/endpoints/{}", self.options.id);
            let request = call(self.options.control, Method::PUT, &path, body);
            let acknowledged = time::timeout(HEARTBEAT_TIMEOUT, request).await;
            if acknowledged == Ok(true) && draining && self.drained.get().is_none() {
                self.drained.set(Some(Instant::now()));
            }
            time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }
}

/// Binds an address by `bind`, and retries while the former target still uses it.
async fn bind<T>(bind: impl AsyncFn() -> io::Result<T>) -> io::Result<T> {
    let end = time::Instant::now() + BIND_TIMEOUT;
    loop {
        match bind().await {
            Err(err) if err.kind() == ErrorKind::AddrInUse && time::Instant::now() < end => {
                time::sleep(TICK).await;
            }
            result => return result,
        }
    }
}

/// Sends a request to the agent, and returns whether the response has a status from 200 to 299.
async fn call(addr: SocketAddrV4, method: Method, path: &str, body: String) -> bool {
    let response = transport::exchange(addr.into(), method, path, body.into()).await;
    response.is_ok_and(|(status, _)| status.is_success())
}
