//! A client behind a router: opens flows, asks, and repeats what may be
//! repeated.

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
use crate::packets::pipe::Pipe;
use crate::packets::router::Router;
use crate::soak::checker::Checker;

/// When copies of an opening packet are sent, and when the client gives up.
const COPIES: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
];

/// Time between two rounds of what is due.
const TICK: Duration = Duration::from_millis(10);

/// Distance from the client's last acknowledgement within which it takes a
/// reset for valid.
const RESET_WINDOW: u32 = 76_800;

/// `Failure` says why a request got no good answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The flow never opened.
    Unopened,
    /// The target says that it has not run.
    NotRun,
    /// The flow was broken off.
    Cut,
    /// The deadline has passed.
    Deadline,
}

/// `Client` has one address and many flows.
pub(crate) struct Client {
    addr: SocketAddrV4,
    socket: UdpSocket,
    router: Rc<Router>,
    checker: Rc<Checker>,
    flows: RefCell<IndexMap<u16, Rc<Flow>>>,
    next_port: Cell<u16>,
}

/// `Flow` is one flow of a client.
pub(crate) struct Flow {
    key: FlowKey,
    first: u32,
    origin: Cell<Option<u32>>,
    pipe: RefCell<Option<Pipe>>,
    cut: Cell<bool>,
    news: Notify,
}

impl Client {
    /// Starts a client at `addr`, whose port is the one that the system sends
    /// to.
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

    /// Opens a flow to `server`.
    pub(crate) async fn open(&self, server: SocketAddrV4) -> Result<Rc<Flow>, Failure> {
        let port = self.next_port.get();
        self.next_port.set(port.checked_add(1).unwrap_or(1_024));
        let key = FlowKey {
            client: SocketAddrV4::new(*self.addr.ip(), port),
            server,
        };
        let flow = Rc::new(Flow {
            key,
            first: rand::rng().random(),
            origin: Cell::new(None),
            pipe: RefCell::default(),
            cut: Cell::new(false),
            news: Notify::new(),
        });
        self.flows.borrow_mut().insert(port, flow.clone());
        for (copies, wait) in (0..).zip(COPIES) {
            self.send(&key, &opening(&flow, copies));
            let end = time::Instant::now() + wait;
            while !flow.is_open() && !flow.cut.get() && time::Instant::now() < end {
                // Whether it is time or news, the loop looks.
                let _ = time::timeout_at(end, flow.news.notified()).await;
            }
            if flow.is_open() {
                return Ok(flow);
            }
            if flow.cut.get() {
                break;
            }
        }
        self.flows.borrow_mut().swap_remove(&port);
        Err(Failure::Unopened)
    }

    /// Asks on a flow, and waits for the answer until `deadline`.
    pub(crate) async fn ask(
        &self,
        flow: &Flow,
        id: &str,
        len: usize,
        deadline: Instant,
    ) -> Result<(), Failure> {
        if let Some(pipe) = &mut *flow.pipe.borrow_mut() {
            pipe.write(&http::request(id, len));
        }
        self.flush(flow);
        loop {
            let (answer, ended) = match &mut *flow.pipe.borrow_mut() {
                Some(pipe) => (http::take(pipe.inbox()), pipe.is_ended()),
                None => return Err(Failure::Cut),
            };
            if let Some(answer) = answer {
                return self.check(id, &answer);
            }
            if flow.cut.get() || ended {
                return Err(Failure::Cut);
            }
            if Instant::now() >= deadline {
                return Err(Failure::Deadline);
            }
            // Whether it is time or news, the loop looks.
            let _ = time::timeout_at(deadline.into(), flow.news.notified()).await;
        }
    }

    fn check(&self, id: &str, answer: &http::Message) -> Result<(), Failure> {
        if answer.is_not_run() {
            return Err(Failure::NotRun);
        }
        let whole = http::body(id, answer.body.len()) == answer.body;
        if answer.status() != Some(200) || !answer.is_signed() || !whole {
            let broken = format!("request {id} got {:?}", answer.status());
            self.checker.record_violation("MIXED", &broken);
        }
        Ok(())
    }

    /// Ends a flow from the client's side.
    pub(crate) fn close(&self, flow: &Flow) {
        if let Some(pipe) = &mut *flow.pipe.borrow_mut() {
            pipe.close();
        }
        self.flush(flow);
    }

    /// Forgets a flow, as a client does whose deadline has passed.
    pub(crate) fn abandon(&self, flow: &Flow) {
        self.flows.borrow_mut().swap_remove(&flow.key.client.port());
    }

    async fn receive(self: Rc<Self>) {
        let mut buffer = [0; 2_048];
        loop {
            // An entry that is down refuses datagrams; others come.
            if let Ok((len, _)) = self.socket.recv_from(&mut buffer).await {
                self.on_packet(&buffer[..len]);
            }
        }
    }

    fn on_packet(&self, octets: &[u8]) {
        let Some((segment, genuine)) = packets::decode(octets) else {
            return self
                .checker
                .record_violation("MIXED", "a client got an unreadable packet");
        };
        let own = segment.flags.rst && segment.len == 0 && packet::checksum(octets) == Some(0);
        if !genuine && !own {
            return self
                .checker
                .record_violation("MIXED", &format!("changed packet of {:?}", segment.dest));
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
        flow.news.notify_one();
    }

    fn on_reset(&self, flow: &Flow, segment: &Segment) {
        let pipe = flow.pipe.borrow();
        let expected = pipe.as_ref().map(Pipe::expected);
        let far = |it: u32| it.wrapping_sub(segment.seq).cast_signed().unsigned_abs();
        if expected.is_some_and(|it| far(it) > RESET_WINDOW) {
            return;
        }
        flow.cut.set(true);
        if let Some(origin) = flow.origin.get() {
            self.checker.on_reset(&flow.key, origin);
        }
    }

    fn flush(&self, flow: &Flow) {
        let packets = match &mut *flow.pipe.borrow_mut() {
            Some(pipe) if !flow.cut.get() => pipe.poll(Instant::now()),
            _ => return,
        };
        for packet in packets {
            self.send(&flow.key, &packet);
        }
    }

    fn send(&self, key: &FlowKey, packet: &[u8]) {
        if let Some(entry) = self.router.choose(key) {
            // What an entry doesn't take is lost, as on the network.
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
            self.flows.borrow_mut().retain(|_, it| !it.is_over());
        }
    }
}

impl Flow {
    fn is_open(&self) -> bool {
        self.origin.get().is_some()
    }

    /// Whether the flow can serve another request.
    pub(crate) fn is_usable(&self) -> bool {
        let pipe = self.pipe.borrow();
        !self.cut.get() && pipe.as_ref().is_some_and(|it| !it.is_ended())
    }

    fn is_over(&self) -> bool {
        let pipe = self.pipe.borrow();
        let done = pipe.as_ref().is_some_and(|it| it.is_done() || it.is_lost());
        done || self.cut.get()
    }

    fn receive(&self, segment: &Segment, data: &[u8]) {
        if segment.flags.syn {
            // A second target's answer comes too late.
            if self.is_open() {
                return;
            }
            let base = self.first.wrapping_add(1);
            let expected = segment.seq.wrapping_add(1);
            let pipe = Pipe::new(self.key.client, self.key.server, base, expected);
            *self.pipe.borrow_mut() = Some(pipe);
            self.origin.set(Some(segment.seq));
        } else if let Some(pipe) = &mut *self.pipe.borrow_mut() {
            pipe.receive(segment, data);
        }
    }
}

fn opening(flow: &Flow, copies: u32) -> Vec<u8> {
    let segment = Segment {
        source: flow.key.client,
        dest: flow.key.server,
        flags: Flags {
            syn: true,
            ..Flags::default()
        },
        seq: flow.first,
        ack: copies,
        len: 0,
        answer: None,
    };
    packets::encode(&segment, &[])
}
