//! An endpoint: it holds flows, runs requests and sends heartbeats to the agent beside it.

use std::collections::HashMap;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::packet;
use crate::packet::Outgoing;
use crate::packet::Packet;
use crate::record::Record;

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
const TICK: Duration = Duration::from_millis(10);
const FIRST_WAIT: Duration = Duration::from_millis(200);
const MAX_WAIT: Duration = Duration::from_millis(1_600);
const MAX_TRIES: u32 = 8;
const MAX_FLOWS: usize = 2_000;

pub type FlowKey = (SocketAddrV4, SocketAddrV4);

#[derive(Clone)]
pub struct Options {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
    pub slots: u16,
    pub health_path: String,
}

/// One incarnation of an endpoint.
pub struct Endpoint {
    pub options: Options,
    pub born: u64,
    pub started: Instant,
    socket: UdpSocket,
    flows: Mutex<HashMap<FlowKey, Flow>>,
    stopped: AtomicBool,
    sequence: AtomicU64,
    record: Arc<Record>,
}

struct Flow {
    isn: u32,
    /// Whether the end of the handshake has arrived.
    open: bool,
    next_in: u32,
    next_out: u32,
    received: Vec<u8>,
    unacked: Option<Unacked>,
    client_ended: bool,
    ended: bool,
}

struct Unacked {
    seq: u32,
    data: Vec<u8>,
    fin: bool,
    at: Instant,
    wait: Duration,
    tries: u32,
}

impl Endpoint {
    pub fn start(options: Options, record: Arc<Record>) -> std::io::Result<Arc<Endpoint>> {
        let socket = UdpSocket::bind(options.app)?;
        socket.set_read_timeout(Some(TICK))?;
        let health = TcpListener::bind(options.app)?;
        health.set_nonblocking(true)?;
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let endpoint = Arc::new(Endpoint {
            options,
            born: since.as_millis() as u64,
            started: Instant::now(),
            socket,
            flows: Mutex::default(),
            stopped: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            record,
        });
        let shared = endpoint.clone();
        thread::spawn(move || shared.run());
        let shared = endpoint.clone();
        thread::spawn(move || shared.answer_health(&health));
        let shared = endpoint.clone();
        thread::spawn(move || shared.send_heartbeats());
        Ok(endpoint)
    }

    /// Ends at once, without a word.
    pub fn crash(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.flows.lock().unwrap().clear();
    }

    pub fn is_running(&self) -> bool {
        !self.stopped.load(Ordering::SeqCst)
    }

    /// Whether the endpoint runs and holds the open flow with its own first number `isn`.
    pub fn holds(&self, key: &FlowKey, isn: u32) -> bool {
        let flows = self.flows.lock().unwrap();
        let held = flows.get(key);
        self.is_running() && held.is_some_and(|it| it.open && it.isn == isn && !it.ended)
    }

    /// The body of the next heartbeat.
    pub fn heartbeat(&self) -> String {
        let Options {
            service,
            zone,
            app,
            slots,
            ..
        } = &self.options;
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{app}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"max_concurrency\":{slots},\"state\":\"ready\",\
             \"ramp_left_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.born
        )
    }

    /// Sends a heartbeat. Returns whether it was acknowledged.
    pub fn beat(&self, body: &str) -> bool {
        let path = format!("/v1/endpoints/{}", self.options.id);
        let limit = Duration::from_secs(1);
        let answer = http::call(self.options.control, "PUT", &path, body, limit);
        answer.is_some_and(|it| (200..300).contains(&it.0))
    }

    fn send_heartbeats(&self) {
        while self.is_running() {
            let at = Instant::now();
            let body = self.heartbeat();
            self.beat(&body);
            while self.is_running() && at.elapsed() < HEARTBEAT {
                thread::sleep(TICK);
            }
        }
    }

    fn answer_health(&self, listener: &TcpListener) {
        while self.is_running() {
            let Ok((mut stream, _)) = listener.accept() else {
                thread::sleep(TICK);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
            let mut buffer = [0; 1_024];
            let head = stream.read(&mut buffer).unwrap_or(0);
            let expected = format!("GET {} ", self.options.health_path);
            if buffer[..head].starts_with(expected.as_bytes()) {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
        }
    }

    fn run(&self) {
        let mut buffer = [0; 2_048];
        let mut ticked = Instant::now();
        while self.is_running() {
            // An error tells that the agent's port is closed.
            if let Ok((len, _)) = self.socket.recv_from(&mut buffer) {
                self.on_packet(&buffer[..len]);
            }
            if ticked.elapsed() >= TICK {
                ticked = Instant::now();
                self.send_due();
            }
        }
    }

    fn on_packet(&self, bytes: &[u8]) {
        let Some(packet) = packet::decode(bytes).filter(|it| it.valid) else {
            return self
                .record
                .broken("UNASKED", "an endpoint got a packet that nobody wrote so");
        };
        if packet.flags & packet::BOUNCED != 0 || packet.flags & (packet::SYN | packet::ACK) == 3 {
            return self
                .record
                .broken("UNASKED", "an endpoint got a packet that is none for it");
        }
        let key = (packet.src, packet.dst);
        let mut flows = self.flows.lock().unwrap();
        if packet.flags & packet::SYN != 0 {
            if flows.len() >= MAX_FLOWS && !flows.contains_key(&key) {
                return self.bounce(bytes);
            }
            let isn = self.record.random();
            let flow = flows.entry(key).or_insert_with(|| Flow {
                isn,
                open: false,
                next_in: packet.seq.wrapping_add(1),
                next_out: isn.wrapping_add(1),
                received: Vec::new(),
                unacked: None,
                client_ended: false,
                ended: false,
            });
            let (seq, ack) = (flow.isn, flow.next_in);
            return self.send(&key, packet::SYN | packet::ACK, seq, ack, &[]);
        }
        // An acknowledgement of what this endpoint hasn't sent belongs to another flow.
        let fits = |it: &&mut Flow| {
            let sent = it.next_out.wrapping_sub(it.isn);
            (1..=sent).contains(&packet.ack.wrapping_sub(it.isn))
        };
        let Some(flow) = flows.get_mut(&key).filter(fits) else {
            return self.bounce(bytes);
        };
        if packet.flags & packet::RST != 0 {
            flows.remove(&key);
            return;
        }
        if !flow.open {
            flow.open = true;
            self.record.line(&format!(
                "endpoint {} has the end of the handshake of {}",
                self.options.id,
                name(&key)
            ));
        }
        self.receive(&key, flow, &packet);
    }

    fn receive(&self, key: &FlowKey, flow: &mut Flow, packet: &Packet) {
        if let Some(unacked) = &flow.unacked {
            let end = unacked
                .seq
                .wrapping_add(unacked.data.len() as u32 + u32::from(unacked.fin));
            if packet.ack == end {
                flow.ended |= unacked.fin && flow.client_ended;
                flow.unacked = None;
            }
        }
        let is_next = packet.seq == flow.next_in;
        let has_fin = packet.flags & packet::FIN != 0;
        if !packet.data.is_empty() && is_next {
            flow.next_in = flow.next_in.wrapping_add(packet.data.len() as u32);
            flow.received.extend_from_slice(&packet.data);
        }
        let end = packet.seq.wrapping_add(packet.data.len() as u32);
        if has_fin && end == flow.next_in && !flow.client_ended {
            flow.client_ended = true;
            flow.next_in = flow.next_in.wrapping_add(1);
        }
        let mut answer = Vec::new();
        while let Some(end) = flow.received.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&flow.received[..end]).into_owned();
            flow.received.drain(..end + 4);
            let id = head
                .lines()
                .find_map(|it| it.strip_prefix("X-Attempt-Id: "));
            let id = id.unwrap_or("none").to_owned();
            self.record.ran(&id, &self.options.id);
            answer.extend_from_slice(
                format!(
                    "HTTP/1.1 200 OK\r\nX-Server-Signature: {}\r\nContent-Length: {}\r\n\r\n{id}",
                    self.options.id,
                    id.len()
                )
                .as_bytes(),
            );
        }
        let ends = flow.client_ended && flow.unacked.is_none() && !flow.ended;
        if !answer.is_empty() || ends {
            let unacked = Unacked {
                seq: flow.next_out,
                data: answer,
                fin: ends,
                at: Instant::now(),
                wait: FIRST_WAIT,
                tries: 0,
            };
            flow.next_out = flow
                .next_out
                .wrapping_add(unacked.data.len() as u32 + u32::from(ends));
            self.send_unacked(key, flow.next_in, &unacked);
            flow.unacked = Some(unacked);
        } else if !packet.data.is_empty() || has_fin {
            self.send(key, packet::ACK, flow.next_out, flow.next_in, &[]);
        }
    }

    fn send_due(&self) {
        let mut flows = self.flows.lock().unwrap();
        let now = Instant::now();
        flows.retain(|key, flow| {
            let next_in = flow.next_in;
            if let Some(unacked) = &mut flow.unacked
                && now - unacked.at >= unacked.wait
            {
                if unacked.tries >= MAX_TRIES {
                    return false;
                }
                unacked.tries += 1;
                unacked.at = now;
                unacked.wait = (unacked.wait * 2).min(MAX_WAIT);
                self.send_unacked(key, next_in, unacked);
            }
            true
        });
    }

    fn send_unacked(&self, key: &FlowKey, ack: u32, unacked: &Unacked) {
        let fin = if unacked.fin { packet::FIN } else { 0 };
        self.send(key, packet::ACK | fin, unacked.seq, ack, &unacked.data);
    }

    fn send(&self, key: &FlowKey, flags: u8, seq: u32, ack: u32, data: &[u8]) {
        let (dst, src) = *key;
        let bytes = packet::encode(&Outgoing {
            src,
            dst,
            flags,
            seq,
            ack,
            data,
        });
        let _ = self.socket.send_to(&bytes, self.options.outbound);
    }

    fn bounce(&self, bytes: &[u8]) {
        let mut bounced = bytes.to_vec();
        bounced[packet::HEAD - 1] |= packet::BOUNCED;
        let _ = self.socket.send_to(&bounced, self.options.outbound);
    }
}

pub fn name(key: &FlowKey) -> String {
    format!("{}>{}", key.0, key.1)
}
