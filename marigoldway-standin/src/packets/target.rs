//! A target that speaks in flows of packets.

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
use crate::packets::pipe::Pipe;
use crate::soak::checker::Checker;

/// Time between two heartbeats.
pub(crate) const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time that an agent may take to answer a heartbeat.
const HEARTBEAT_LIMIT: Duration = Duration::from_secs(1);

/// Time that the former target at an address may take to leave it.
const BIND_LIMIT: Duration = Duration::from_secs(2);

/// Requests that wait for a slot at most.
const QUEUE_LEN: usize = 8;

/// Time of one request in a slot.
const WORK: Duration = Duration::from_millis(15);

/// Octets of an answer.
const ANSWER_LEN: usize = 2_000;

/// Octets that a flow carries at most, as far as numbers tell flows apart.
const FLOW_SPAN: u32 = 1 << 25;

/// Time between two rounds of what is due.
const TICK: Duration = Duration::from_millis(10);

/// `TargetOptions` says where a target runs.
#[derive(Clone, Debug)]
pub(crate) struct TargetOptions {
    /// Its name, for as long as it isn't replaced.
    pub(crate) id: String,
    /// Its service.
    pub(crate) service: String,
    /// Where it takes packets.
    pub(crate) app: SocketAddrV4,
    /// Where its agent takes the packets that it writes.
    pub(crate) outbound: SocketAddrV4,
    /// Where its agent takes heartbeats.
    pub(crate) control: SocketAddrV4,
    /// Requests that run at a time.
    pub(crate) slots: usize,
}

/// `Target` is one incarnation.
pub(crate) struct Target {
    pub(crate) options: TargetOptions,
    /// `None` once it is gone: another target may use the address.
    socket: RefCell<Option<Rc<UdpSocket>>>,
    flows: RefCell<IndexMap<FlowKey, Held>>,
    queue: RefCell<VecDeque<(FlowKey, String)>>,
    running: Cell<usize>,
    born: u64,
    beats: Cell<u64>,
    draining: Cell<bool>,
    /// When its agent acknowledged that it drains.
    pub(crate) drained: Cell<Option<Instant>>,
    gone: Cell<bool>,
    checker: Rc<Checker>,
}

struct Held {
    origin: u32,
    open: bool,
    pipe: Pipe,
}

impl Target {
    /// Starts an incarnation.
    pub(crate) async fn start(
        options: TargetOptions,
        checker: Rc<Checker>,
    ) -> io::Result<Rc<Target>> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let target = Rc::new(Target {
            socket: RefCell::new(Some(Rc::new(bind(options.app).await?))),
            options,
            flows: RefCell::default(),
            queue: RefCell::default(),
            running: Cell::new(0),
            born: since.unwrap_or_default().as_millis() as u64,
            beats: Cell::new(0),
            draining: Cell::new(false),
            drained: Cell::new(None),
            gone: Cell::new(false),
            checker,
        });
        let shared = target.clone();
        task::spawn_local(async move { shared.receive().await });
        let shared = target.clone();
        task::spawn_local(async move { shared.beat().await });
        let shared = target.clone();
        task::spawn_local(async move { shared.tick().await });
        Ok(target)
    }

    /// Ends without a word.
    pub(crate) fn crash(&self) {
        self.gone.set(true);
        self.socket.borrow_mut().take();
        self.flows.borrow_mut().clear();
    }

    /// Begins to leave.
    pub(crate) fn drain(&self) {
        self.draining.set(true);
    }

    /// Tells the agent that it ends, and ends.
    pub(crate) async fn leave(&self) {
        let path = format!("/v1/endpoints/{}", self.options.id);
        call(self.options.control, Method::DELETE, &path, String::new()).await;
        self.crash();
    }

    /// Whether it holds an open flow that began with `origin`.
    pub(crate) fn holds(&self, flow: &FlowKey, origin: u32) -> bool {
        let flows = self.flows.borrow();
        flows
            .get(flow)
            .is_some_and(|it| it.open && it.origin == origin && !it.pipe.is_done())
    }

    async fn receive(self: Rc<Self>) {
        let mut buffer = [0; 2_048];
        loop {
            let Some(socket) = self.socket.borrow().clone() else {
                return;
            };
            // While the agent restarts its port is closed; the next packet comes.
            let received = time::timeout(TICK, socket.recv_from(&mut buffer)).await;
            if let Ok(Ok((len, _))) = received {
                self.on_packet(&buffer[..len]);
            }
        }
    }

    fn on_packet(self: &Rc<Self>, octets: &[u8]) {
        let Some((segment, genuine)) = packets::decode(octets) else {
            return self
                .checker
                .record_violation("UNASKED", "a target got an unreadable packet");
        };
        let key = segment.inbound_flow();
        if !genuine || segment.flags.bounced {
            return self
                .checker
                .record_violation("UNASKED", &format!("changed packet of {key}"));
        }
        self.checker.on_packet(self, &segment);
        if segment.opens() {
            return self.open(&segment, key);
        }
        let mut flows = self.flows.borrow_mut();
        // A late copy of an opening packet may have begun another flow between
        // the same ends.
        let fits = |it: &&mut Held| segment.ack.wrapping_sub(it.origin) < FLOW_SPAN;
        let Some(held) = flows.get_mut(&key).filter(fits) else {
            drop(flows);
            return self.bounce(octets);
        };
        if segment.flags.rst {
            flows.swap_remove(&key);
            return;
        }
        held.open = true;
        held.pipe.receive(&segment, packet::data(octets));
        let mut asked = Vec::new();
        while let Some(request) = http::take(held.pipe.inbox()) {
            asked.push(request);
        }
        if held.pipe.is_ended() {
            held.pipe.close();
        }
        drop(flows);
        for request in asked {
            self.ask(key, &request);
        }
        self.flush(&key);
    }

    fn open(&self, segment: &Segment, key: FlowKey) {
        let mut flows = self.flows.borrow_mut();
        let held = flows.entry(key).or_insert_with(|| {
            let origin: u32 = rand::rng().random();
            let expected = segment.seq.wrapping_add(1);
            Held {
                origin,
                open: false,
                pipe: Pipe::new(key.server, key.client, origin.wrapping_add(1), expected),
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
            seq: held.origin,
            ack: segment.seq.wrapping_add(1),
            len: 0,
            answer: None,
        };
        self.send(&packets::encode(&answer, &[]));
    }

    fn bounce(&self, octets: &[u8]) {
        let mut back = octets.to_vec();
        packet::set_bounced(&mut back);
        self.send(&back);
    }

    fn ask(self: &Rc<Self>, key: FlowKey, request: &http::Message) {
        let id = request.id().unwrap_or_default().to_owned();
        if http::body(&id, request.body.len()) != request.body {
            self.checker
                .record_violation("UNASKED", &format!("changed body of {id}"));
        }
        if self.running.get() < self.options.slots {
            return self.run(key, id);
        }
        let mut queue = self.queue.borrow_mut();
        if queue.len() < QUEUE_LEN {
            return queue.push_back((key, id));
        }
        drop(queue);
        self.answer(&key, &http::rejection());
    }

    fn run(self: &Rc<Self>, key: FlowKey, id: String) {
        self.running.set(self.running.get() + 1);
        self.checker.on_request(self, &key, &id);
        let target = self.clone();
        task::spawn_local(async move {
            time::sleep(WORK).await;
            target.running.set(target.running.get() - 1);
            target.answer(&key, &http::answer(&id, ANSWER_LEN));
            let next = target.queue.borrow_mut().pop_front();
            if let Some((key, id)) = next {
                target.run(key, id);
            }
        });
    }

    fn answer(&self, key: &FlowKey, octets: &[u8]) {
        if let Some(held) = self.flows.borrow_mut().get_mut(key) {
            held.pipe.write(octets);
            if self.draining.get() {
                held.pipe.close();
            }
        }
        self.flush(key);
    }

    fn flush(&self, key: &FlowKey) {
        let now = Instant::now();
        let packets = match self.flows.borrow_mut().get_mut(key) {
            Some(held) if held.open => held.pipe.poll(now),
            _ => return,
        };
        for packet in packets {
            self.send(&packet);
        }
    }

    fn send(&self, packet: &[u8]) {
        if let Some(socket) = &*self.socket.borrow() {
            // An agent that restarts takes nothing; ends repeat what matters.
            let _ = socket.try_send_to(packet, self.options.outbound.into());
        }
    }

    async fn tick(self: Rc<Self>) {
        while !self.gone.get() {
            time::sleep(TICK).await;
            let keys: Vec<FlowKey> = self.flows.borrow().keys().copied().collect();
            for key in keys {
                self.flush(&key);
            }
            self.flows
                .borrow_mut()
                .retain(|_, it| !it.pipe.is_lost() && !it.pipe.is_done());
        }
    }

    async fn beat(self: Rc<Self>) {
        while !self.gone.get() {
            self.beats.set(self.beats.get() + 1);
            let draining = self.draining.get();
            let body = json!({
                "service": self.options.service,
                "address": self.options.app.to_string(),
                "zone": "a",
                "version": "v1",
                "max_concurrency": self.options.slots,
                "state": if draining { "draining" } else { "ready" },
                "ramp_left_ms": 0,
                "sequence": self.beats.get(),
                "born": self.born,
            })
            .to_string();
            let path = format!("/v1/endpoints/{}", self.options.id);
            let sent = call(self.options.control, Method::PUT, &path, body);
            let heard = time::timeout(HEARTBEAT_LIMIT, sent).await;
            if heard == Ok(true) && draining && self.drained.get().is_none() {
                self.drained.set(Some(Instant::now()));
            }
            time::sleep(HEARTBEAT).await;
        }
    }
}

/// Binds the address, which the target before may leave a moment later.
async fn bind(addr: SocketAddrV4) -> io::Result<UdpSocket> {
    let end = time::Instant::now() + BIND_LIMIT;
    loop {
        match UdpSocket::bind(addr).await {
            Err(err) if err.kind() == ErrorKind::AddrInUse && time::Instant::now() < end => {
                time::sleep(TICK).await;
            }
            result => return result,
        }
    }
}

/// Makes a call, and tells whether it was answered well.
async fn call(addr: SocketAddrV4, method: Method, path: &str, body: String) -> bool {
    let answer = transport::exchange(addr.into(), method, path, body.into()).await;
    answer.is_ok_and(|(status, _)| status.is_success())
}
