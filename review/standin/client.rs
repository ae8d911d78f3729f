//! Stand-ins for clients and for the platform's routers in front of the entries.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::endpoint::FlowKey;
use crate::http;
use crate::packet;
use crate::packet::Packet;
use crate::record::Record;

/// Times after a flow's first opening packet at which copies are sent.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];

/// Time after which an unanswered opening ends.
const OPEN_LIMIT: Duration = Duration::from_millis(1_400);

/// Deadline of a request.
const DEADLINE: Duration = Duration::from_millis(2_500);

/// Pause between an answer and the next request on a flow.
const PAUSE: Duration = Duration::from_millis(100);

/// Maximum distance of a reset's sequence number from the client's last acknowledgement.
const RESET_WINDOW: u32 = 76_800;

/// Time between two readiness checks of an entry.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Number of failed checks that take an entry out of rotation.
const MAX_MISSES: u32 = 2;

/// `Router` selects the entry of each packet of the clients of one zone, by `mod` over the entries
/// in rotation.
pub struct Router {
    entries: Vec<(SocketAddrV4, SocketAddrV4)>,
    misses: Mutex<Vec<u32>>,
}

impl Router {
    /// Starts a router for entries, given by their addresses for packets and for readiness.
    pub fn start(entries: Vec<(SocketAddrV4, SocketAddrV4)>, record: Arc<Record>) -> Arc<Router> {
        let router = Arc::new(Router {
            misses: Mutex::new(vec![MAX_MISSES; entries.len()]),
            entries,
        });
        for n in 0..router.entries.len() {
            let router = router.clone();
            let record = record.clone();
            thread::spawn(move || loop {
                let start = Instant::now();
                let (listen, ready) = router.entries[n];
                let status = http::call(ready, "GET", "/v1/readyz", "", CHECK_INTERVAL);
                let mut misses = router.lock();
                let before = misses[n];
                misses[n] = match status {
                    Some(200) => 0,
                    _ => (before + 1).min(MAX_MISSES),
                };
                let (was, is) = (before < MAX_MISSES, misses[n] < MAX_MISSES);
                drop(misses);
                if was != is {
                    record.line(&format!("rotation entry={listen} in={is}"));
                }
                thread::sleep(CHECK_INTERVAL.saturating_sub(start.elapsed()));
            });
        }
        router
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<u32>> {
        self.misses.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Whether every entry is in rotation.
    pub fn is_complete(&self) -> bool {
        self.lock().iter().all(|it| *it < MAX_MISSES)
    }

    fn choose(&self, key: &FlowKey) -> SocketAddrV4 {
        let misses = self.lock().clone();
        let in_rotation = |n: &usize| misses[*n] < MAX_MISSES;
        let mut rotation: Vec<usize> = (0..misses.len()).filter(in_rotation).collect();
        if rotation.len() * 2 < misses.len() {
            rotation = (0..misses.len()).collect();
        }
        let mut hash = 0xcbf2_9ce4_8422_2325_u64;
        for part in [key.0, key.1] {
            for field in [part.ip().to_bits(), u32::from(part.port())] {
                hash = (hash ^ u64::from(field)).wrapping_mul(0x0000_0100_0000_01b3);
                hash ^= hash >> 32;
            }
        }
        self.entries[rotation[(hash % rotation.len() as u64) as usize]].0
    }
}

/// `Client` opens flows from one address and sends requests on them.
pub struct Client {
    address: SocketAddrV4,
    socket: UdpSocket,
    router: Arc<Router>,
    record: Arc<Record>,
    state: Mutex<State>,
    /// Called for each reset of an open flow that the system sent, with the endpoint's initial
    /// sequence number.
    on_reset: Box<dyn Fn(&FlowKey, u32) + Send + Sync>,
}

#[derive(Default)]
struct State {
    flows: HashMap<u16, Flow>,
    next_port: u16,
    next_id: u64,
}

struct Flow {
    key: FlowKey,
    isn: u32,
    started: Instant,
    end: Instant,
    copies: usize,
    tries_left: u32,
    /// The endpoint's initial sequence number, once the flow is open.
    peer_isn: Option<u32>,
    next: u32,
    expected: u32,
    request: Option<RequestState>,
    idle_since: Instant,
}

struct RequestState {
    id: String,
    packet: Vec<u8>,
    sent: Instant,
    due: Instant,
    wait: Duration,
}

impl Client {
    /// Starts a client. The system sends to the port of `address`.
    pub fn start(
        address: SocketAddrV4,
        router: Arc<Router>,
        record: Arc<Record>,
        on_reset: Box<dyn Fn(&FlowKey, u32) + Send + Sync>,
    ) -> std::io::Result<Arc<Client>> {
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(Duration::from_millis(5)))?;
        let client = Arc::new(Client {
            address,
            socket,
            router,
            record,
            state: Mutex::default(),
            on_reset,
        });
        client.lock().next_port = 1_024;
        let shared = client.clone();
        thread::spawn(move || shared.run());
        Ok(client)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Opens a flow to `server`, with further tries if it doesn't open, and keeps it busy for
    /// `lifetime`.
    pub fn open(&self, server: SocketAddrV4, lifetime: Duration, retries: u32) {
        let mut state = self.lock();
        self.open_flow(&mut state, server, Instant::now() + lifetime, retries);
    }

    fn open_flow(&self, state: &mut State, server: SocketAddrV4, end: Instant, tries_left: u32) {
        let port = state.next_port;
        state.next_port += 1;
        let key = (SocketAddrV4::new(*self.address.ip(), port), server);
        let isn = crate::random();
        let flow = Flow {
            key,
            isn,
            started: Instant::now(),
            end,
            copies: 0,
            tries_left,
            peer_isn: None,
            next: isn.wrapping_add(1),
            expected: 0,
            request: None,
            idle_since: Instant::now(),
        };
        self.send_opening(&flow);
        state.flows.insert(port, flow);
    }

    fn send(&self, key: &FlowKey, packet: &[u8]) {
        // A packet to an entry that is down is lost.
        let _ = self.socket.send_to(packet, self.router.choose(key));
    }

    fn send_opening(&self, flow: &Flow) {
        let copies = flow.copies as u32;
        let packet = Packet::new(flow.key.0, flow.key.1, packet::SYN, flow.isn, copies);
        self.send(&flow.key, &packet.encode());
    }

    fn send_ack(&self, flow: &Flow, flags: u8) {
        let flags = flags | packet::ACK;
        let packet = Packet::new(flow.key.0, flow.key.1, flags, flow.next, flow.expected);
        self.send(&flow.key, &packet.encode());
    }

    fn run(&self) {
        let mut buffer = [0; 2_048];
        loop {
            if let Ok((len, _)) = self.socket.recv_from(&mut buffer) {
                self.on_packet(&buffer[..len]);
            }
            self.tick();
        }
    }

    fn on_packet(&self, octets: &[u8]) {
        let Some(packet) = Packet::decode(octets) else {
            return self.record.violation("MIXED", "an unreadable packet");
        };
        let is_system_reset = packet.has(packet::RST) && packet.sum == 0 && packet.data.is_empty();
        if !is_system_reset && !packet.is_valid() {
            return self.record.violation("MIXED", "an altered packet");
        }
        let mut state = self.lock();
        let port = packet.dest.port();
        let Some(flow) = state.flows.get_mut(&port) else {
            return;
        };
        if flow.key != (packet.dest, packet.source) {
            return;
        }
        if packet.has(packet::RST) {
            return self.on_rst(&mut state, port, &packet, is_system_reset);
        }
        if packet.has(packet::SYN) {
            if flow.peer_isn.is_none() {
                flow.peer_isn = Some(packet.seq);
                flow.expected = packet.seq.wrapping_add(1);
                self.record.line(&format!("open flow={}>{}", flow.key.0, flow.key.1));
                self.send_ack(flow, 0);
                flow.idle_since = Instant::now() - PAUSE;
            }
            return;
        }
        if packet.data.is_empty() {
            return;
        }
        if packet.seq == flow.expected {
            flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
            if let Some(request) = flow.request.take() {
                flow.idle_since = Instant::now();
                let text = String::from_utf8_lossy(&packet.data);
                let body = text.split("\r\n\r\n").nth(1).unwrap_or_default();
                if !text.starts_with("HTTP/1.1 200") || !body.starts_with(&request.id) {
                    self.record
                        .violation("MIXED", &format!("wrong answer to {}", request.id));
                }
                self.record.line(&format!("answered id={}", request.id));
                self.record.served();
            }
        }
        self.send_ack(flow, 0);
    }

    fn on_rst(&self, state: &mut State, port: u16, packet: &Packet, is_system: bool) {
        let Some(flow) = state.flows.get(&port) else {
            return;
        };
        let (key, peer_isn, end, tries) = (flow.key, flow.peer_isn, flow.end, flow.tries_left);
        let distance = flow.expected.wrapping_sub(packet.seq).cast_signed();
        if peer_isn.is_some() && distance.unsigned_abs() > RESET_WINDOW {
            return;
        }
        let waits = flow.request.as_ref().map(|it| it.id.clone());
        self.record.line(&format!(
            "reset flow={}>{} open={} by={} waiting={waits:?}",
            key.0,
            key.1,
            peer_isn.is_some(),
            if is_system { "system" } else { "endpoint" },
        ));
        state.flows.remove(&port);
        match peer_isn {
            Some(isn) if is_system => (self.on_reset)(&key, isn),
            Some(_) => {}
            None if tries > 0 => self.open_flow(state, key.1, end, tries - 1),
            None => {}
        }
    }

    fn tick(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let state = &mut *state;
        let mut again = Vec::new();
        for flow in state.flows.values_mut() {
            if flow.peer_isn.is_none() {
                let age = now - flow.started;
                if flow.copies < COPIES.len() && age >= COPIES[flow.copies] {
                    flow.copies += 1;
                    self.send_opening(flow);
                }
                continue;
            }
            if let Some(request) = &mut flow.request {
                if request.due <= now {
                    request.wait = (request.wait * 2).min(Duration::from_millis(1_600));
                    request.due = now + request.wait;
                    self.send(&flow.key, &request.packet);
                }
                continue;
            }
            if now < flow.end && now - flow.idle_since >= PAUSE {
                state.next_id += 1;
                let id = format!("{}-{}", self.address.ip().octets()[3], state.next_id);
                let text = format!("GET /{id} HTTP/1.1\r\nX-Attempt-Id: {id}\r\n\r\n");
                let mut packet =
                    Packet::new(flow.key.0, flow.key.1, packet::ACK, flow.next, flow.expected);
                packet.data = text.into_bytes();
                flow.next = flow.next.wrapping_add(packet.data.len() as u32);
                let packet = packet.encode();
                self.record.line(&format!("sent id={id} port={}", flow.key.1.port()));
                self.send(&flow.key, &packet);
                let wait = Duration::from_millis(200);
                flow.request = Some(RequestState {
                    id,
                    packet,
                    sent: now,
                    due: now + wait,
                    wait,
                });
            }
        }
        state.flows.retain(|_, flow| {
            if flow.peer_isn.is_none() && now - flow.started >= OPEN_LIMIT {
                if flow.tries_left > 0 {
                    again.push((flow.key.1, flow.end, flow.tries_left - 1));
                }
                return false;
            }
            if flow.request.as_ref().is_some_and(|it| now - it.sent >= DEADLINE) {
                self.record.line(&format!("late flow={}>{}", flow.key.0, flow.key.1));
                return false;
            }
            if flow.peer_isn.is_some() && flow.request.is_none() && now >= flow.end {
                self.send_ack(flow, packet::FIN);
                return false;
            }
            true
        });
        for (server, end, tries) in again {
            self.open_flow(state, server, end, tries);
        }
    }
}
