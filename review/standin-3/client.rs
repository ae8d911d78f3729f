//! A client behind the platform's routers: it opens flows and sends requests on them.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::endpoint::FlowKey;
use crate::endpoint::name;
use crate::http;
use crate::packet;
use crate::packet::Outgoing;
use crate::record::Record;

const TICK: Duration = Duration::from_millis(5);
/// Times after the first opening packet at which its copies are sent.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const OPEN_LIMIT: Duration = Duration::from_millis(1_400);
const FIRST_WAIT: Duration = Duration::from_millis(200);
const MAX_WAIT: Duration = Duration::from_millis(1_600);
/// Distance from the last acknowledgement within which a reset is taken.
const RESET_WINDOW: u32 = 76_800;

/// The routers of one zone.
pub struct Router {
    nodes: Mutex<Vec<(SocketAddrV4, SocketAddrV4, u32)>>,
}

impl Router {
    /// Starts to check the nodes, each by the address of its packets and that of its readiness.
    pub fn start(nodes: &[(SocketAddrV4, SocketAddrV4)]) -> Arc<Router> {
        let list = nodes.iter().map(|it| (it.0, it.1, 2)).collect();
        let router = Arc::new(Router {
            nodes: Mutex::new(list),
        });
        for (index, node) in nodes.iter().enumerate() {
            let (shared, ready) = (router.clone(), node.1);
            thread::spawn(move || {
                loop {
                    let limit = Duration::from_millis(500);
                    let answer = http::call(ready, "GET", "/v1/readyz", "", limit);
                    let is_ready = answer.is_some_and(|it| it.0 == 200);
                    shared.record_check(index, is_ready);
                    thread::sleep(limit);
                }
            });
        }
        router
    }

    fn record_check(&self, index: usize, is_ready: bool) {
        let misses = &mut self.nodes.lock().unwrap()[index].2;
        *misses = if is_ready { 0 } else { *misses + 1 };
    }

    fn choose(&self, key: &FlowKey) -> SocketAddrV4 {
        let nodes = self.nodes.lock().unwrap();
        let ready: Vec<SocketAddrV4> = nodes.iter().filter(|it| it.2 < 2).map(|it| it.0).collect();
        let all: Vec<SocketAddrV4> = nodes.iter().map(|it| it.0).collect();
        let rotation = if ready.len() * 2 < all.len() {
            all
        } else {
            ready
        };
        let mut hash = 0xcbf2_9ce4_8422_2325_u64;
        for end in [key.0, key.1] {
            let octets = end
                .ip()
                .octets()
                .into_iter()
                .chain(end.port().to_le_bytes());
            for octet in octets {
                hash = (hash ^ u64::from(octet)).wrapping_mul(0x0100_0000_01b3);
            }
        }
        hash ^= hash >> 31;
        rotation[(hash % rotation.len() as u64) as usize]
    }
}

/// What became of a flow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    Opening,
    Open,
    /// The attempt to open the flow has ended.
    NotOpened,
    /// A reset was taken: at this time, and whether the system wrote it.
    Reset(Instant, bool),
}

#[derive(Clone, Debug)]
pub struct Flow {
    pub key: FlowKey,
    pub phase: Phase,
    /// First number of the endpoint.
    pub peer: u32,
    pub begun: Instant,
    pub opened: Option<Instant>,
    /// Time of the last packet to or from the client.
    pub used: Instant,
    /// Number of requests that were answered.
    pub answered: u32,
    pub requests: u32,
    isn: u32,
    next_in: u32,
    next_out: u32,
    copies: usize,
    unacked: Option<Unacked>,
    received: Vec<u8>,
}

#[derive(Clone, Debug)]
struct Unacked {
    seq: u32,
    data: Vec<u8>,
    at: Instant,
    wait: Duration,
}

pub struct Client {
    addr: SocketAddrV4,
    socket: UdpSocket,
    router: Arc<Router>,
    record: Arc<Record>,
    flows: Mutex<HashMap<u16, Flow>>,
}

impl Client {
    pub fn start(
        addr: SocketAddrV4,
        router: Arc<Router>,
        record: Arc<Record>,
    ) -> std::io::Result<Arc<Client>> {
        let socket = UdpSocket::bind(addr)?;
        socket.set_read_timeout(Some(TICK))?;
        let flows = Mutex::default();
        let client = Arc::new(Client {
            addr,
            socket,
            router,
            record,
            flows,
        });
        let shared = client.clone();
        thread::spawn(move || {
            let mut buffer = [0; 2_048];
            let mut ticked = Instant::now();
            loop {
                if let Ok((len, _)) = shared.socket.recv_from(&mut buffer) {
                    shared.on_packet(&buffer[..len]);
                }
                if ticked.elapsed() >= TICK {
                    ticked = Instant::now();
                    shared.send_due();
                }
            }
        });
        Ok(client)
    }

    /// Begins to open a flow from a port. Its first request follows the handshake.
    pub fn open(&self, port: u16, server: SocketAddrV4) {
        let key = (SocketAddrV4::new(*self.addr.ip(), port), server);
        let now = Instant::now();
        let isn = self.record.random();
        let flow = Flow {
            key,
            phase: Phase::Opening,
            peer: 0,
            begun: now,
            opened: None,
            used: now,
            answered: 0,
            requests: 0,
            isn,
            next_in: 0,
            next_out: isn.wrapping_add(1),
            copies: 0,
            unacked: None,
            received: Vec::new(),
        };
        self.record.line(&format!("client opens {}", name(&key)));
        self.flows.lock().unwrap().insert(port, flow);
        self.send(&key, packet::SYN, isn, 0, &[]);
    }

    /// Sends a request on an open flow that has none waiting.
    pub fn request(&self, port: u16) {
        let mut flows = self.flows.lock().unwrap();
        if let Some(flow) = flows.get_mut(&port).filter(|it| it.phase == Phase::Open) {
            self.send_request(flow);
        }
    }

    pub fn flows(&self) -> Vec<Flow> {
        self.flows.lock().unwrap().values().cloned().collect()
    }

    fn send_request(&self, flow: &mut Flow) {
        let id = format!("r-{}-{}", flow.key.0.port(), flow.requests);
        flow.requests += 1;
        self.record
            .line(&format!("client sends {id} on {}", name(&flow.key)));
        let data = format!("GET /{id} HTTP/1.1\r\nX-Attempt-Id: {id}\r\n\r\n").into_bytes();
        let unacked = Unacked {
            seq: flow.next_out,
            data,
            at: Instant::now(),
            wait: FIRST_WAIT,
        };
        flow.next_out = flow.next_out.wrapping_add(unacked.data.len() as u32);
        flow.used = Instant::now();
        self.send(
            &flow.key,
            packet::ACK,
            unacked.seq,
            flow.next_in,
            &unacked.data,
        );
        flow.unacked = Some(unacked);
    }

    fn on_packet(&self, bytes: &[u8]) {
        let Some(packet) = packet::decode(bytes) else {
            return self
                .record
                .broken("MIXED", "a client got bytes that are no packet");
        };
        let is_reset = packet.flags & packet::RST != 0;
        let by_system = is_reset && packet.data.is_empty() && packet.sum == 0;
        if !packet.valid && !by_system {
            return self
                .record
                .broken("MIXED", "a client got a packet that nobody wrote so");
        }
        let mut flows = self.flows.lock().unwrap();
        let Some(flow) = flows.get_mut(&packet.dst.port()) else {
            return;
        };
        if flow.key != (packet.dst, packet.src) {
            return;
        }
        if is_reset {
            let distance = packet
                .seq
                .wrapping_sub(flow.next_in)
                .cast_signed()
                .unsigned_abs();
            let is_open = flow.phase == Phase::Open;
            if (is_open && distance > RESET_WINDOW) || matches!(flow.phase, Phase::Reset(..)) {
                return;
            }
            let by = if by_system {
                "the system"
            } else {
                "an endpoint"
            };
            self.record.line(&format!(
                "client takes a reset of {} by {by}",
                name(&flow.key)
            ));
            let now = Instant::now();
            flow.phase = if is_open {
                Phase::Reset(now, by_system)
            } else {
                Phase::NotOpened
            };
            flow.unacked = None;
            return;
        }
        if packet.flags & packet::SYN != 0 {
            if flow.phase == Phase::Opening {
                flow.phase = Phase::Open;
                flow.opened = Some(Instant::now());
                flow.peer = packet.seq;
                flow.next_in = packet.seq.wrapping_add(1);
                self.send_request(flow);
            }
            return;
        }
        if flow.phase != Phase::Open {
            return;
        }
        flow.used = Instant::now();
        if flow.unacked.is_some() && packet.ack == flow.next_out {
            flow.unacked = None;
        }
        if packet.data.is_empty() {
            return;
        }
        if packet.seq == flow.next_in {
            flow.next_in = flow.next_in.wrapping_add(packet.data.len() as u32);
            flow.received.extend_from_slice(&packet.data);
            self.take_answer(flow);
        }
        self.send(&flow.key, packet::ACK, flow.next_out, flow.next_in, &[]);
    }

    fn take_answer(&self, flow: &mut Flow) {
        let text = String::from_utf8_lossy(&flow.received).into_owned();
        let expected = format!(
            "r-{}-{}",
            flow.key.0.port(),
            flow.requests.saturating_sub(1)
        );
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            return;
        };
        if body.len() < expected.len() {
            return;
        }
        if body != expected || !head.contains("X-Server-Signature: ") {
            return self
                .record
                .broken("MIXED", "an answer belongs to another request");
        }
        flow.received.clear();
        flow.answered += 1;
        self.record
            .line(&format!("client has the answer to {expected}"));
    }

    fn send_due(&self) {
        let mut flows = self.flows.lock().unwrap();
        let now = Instant::now();
        for flow in flows.values_mut() {
            let age = now - flow.begun;
            if flow.phase == Phase::Opening {
                if age >= OPEN_LIMIT {
                    flow.phase = Phase::NotOpened;
                } else if flow.copies < COPIES.len() && age >= COPIES[flow.copies] {
                    flow.copies += 1;
                    self.send(&flow.key, packet::SYN, flow.isn, flow.copies as u32, &[]);
                }
            }
            let (key, ack) = (flow.key, flow.next_in);
            if let Some(unacked) = &mut flow.unacked
                && now - unacked.at >= unacked.wait
            {
                unacked.at = now;
                unacked.wait = (unacked.wait * 2).min(MAX_WAIT);
                flow.used = now;
                self.send(&key, packet::ACK, unacked.seq, ack, &unacked.data);
            }
        }
    }

    fn send(&self, key: &FlowKey, flags: u8, seq: u32, ack: u32, data: &[u8]) {
        let (src, dst) = *key;
        let bytes = packet::encode(&Outgoing {
            src,
            dst,
            flags,
            seq,
            ack,
            data,
        });
        let _ = self.socket.send_to(&bytes, self.router.choose(key));
    }
}
