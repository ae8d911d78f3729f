//! Stand-in for an endpoint beside an agent.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::packet;
use crate::packet::Packet;
use crate::record::Record;

/// Time between two heartbeats, as in the settings of the processes.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time that a request runs.
const WORK_TIME: Duration = Duration::from_millis(26);

/// Number of retransmissions after which the endpoint gives a flow up.
const MAX_RETRANSMITS: u32 = 8;

/// The two ends of a flow: client, then server.
pub type FlowKey = (SocketAddrV4, SocketAddrV4);

/// `Options` are the addresses of an endpoint and of the node beside it.
#[derive(Clone)]
pub struct Options {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
    pub slots: usize,
}

/// `Endpoint` is one incarnation.
pub struct Endpoint {
    pub options: Options,
    socket: UdpSocket,
    flows: Mutex<HashMap<FlowKey, Flow>>,
    record: Arc<Record>,
}

struct Flow {
    isn: u32,
    /// Sequence number that follows the last octet sent.
    next: u32,
    /// Sequence number that is expected from the client.
    expected: u32,
    open: bool,
    closed: bool,
    /// The last answer while the client hasn't acknowledged it.
    unacked: Option<Unacked>,
}

struct Unacked {
    packet: Vec<u8>,
    end: u32,
    due: Instant,
    wait: Duration,
    count: u32,
}

impl Endpoint {
    /// Starts an endpoint that sends heartbeats and serves requests.
    pub fn start(options: Options, record: Arc<Record>) -> std::io::Result<Arc<Endpoint>> {
        let socket = UdpSocket::bind(options.app)?;
        let health = TcpListener::bind(options.app)?;
        http::serve(health, Arc::new(|_| (200, String::new())));
        let endpoint = Arc::new(Endpoint {
            options,
            socket,
            flows: Mutex::default(),
            record,
        });
        let shared = endpoint.clone();
        thread::spawn(move || shared.receive());
        let shared = endpoint.clone();
        thread::spawn(move || shared.beat());
        let shared = endpoint.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            shared.retransmit();
        });
        Ok(endpoint)
    }

    /// Whether the endpoint holds an open flow with this initial sequence number of its own.
    pub fn holds(&self, key: &FlowKey, isn: u32) -> bool {
        let flows = self.lock();
        flows
            .get(key)
            .is_some_and(|it| it.open && !it.closed && it.isn == isn)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<FlowKey, Flow>> {
        self.flows.lock().unwrap_or_else(|it| it.into_inner())
    }

    fn send(&self, packet: &[u8]) {
        // A packet to a node that restarts is lost.
        let _ = self.socket.send_to(packet, self.options.outbound);
    }

    fn beat(&self) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.unwrap_or_default().as_millis();
        let path = format!("/v1/endpoints/{}", self.options.id);
        for sequence in 1_u64.. {
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"max_concurrency\":{},\"state\":\"ready\",\"ramp_left_ms\":0,\
                 \"sequence\":{sequence},\"born\":{born}}}",
                self.options.service, self.options.app, self.options.zone, self.options.slots
            );
            let limit = Duration::from_secs(1);
            http::call(self.options.control, "PUT", &path, &body, limit);
            thread::sleep(HEARTBEAT);
        }
    }

    fn receive(self: Arc<Endpoint>) {
        let mut buffer = [0; 2_048];
        loop {
            if let Ok((len, _)) = self.socket.recv_from(&mut buffer) {
                self.clone().on_packet(&buffer[..len]);
            }
        }
    }

    fn on_packet(self: Arc<Endpoint>, octets: &[u8]) {
        let Some(packet) = Packet::decode(octets).filter(Packet::is_valid) else {
            return self.record.violation("UNASKED", "an altered packet");
        };
        let key = (packet.source, packet.dest);
        if packet.has(packet::SYN) {
            return self.on_open(&packet, key);
        }
        let mut flows = self.lock();
        // A half-open flow opens only by an acknowledgement of its own sequence number.
        let fits = |it: &&mut Flow| {
            let acked = packet.ack.wrapping_sub(it.isn);
            acked > 0 && acked <= it.next.wrapping_sub(it.isn)
        };
        let Some(flow) = flows.get_mut(&key).filter(fits) else {
            drop(flows);
            let mut bounced = octets.to_vec();
            bounced[packet::HEADER_LEN - 1] |= packet::BOUNCED;
            return self.send(&bounced);
        };
        if packet.has(packet::RST) {
            flows.remove(&key);
            return;
        }
        flow.open = true;
        if flow.unacked.as_ref().is_some_and(|it| it.end == packet.ack) {
            flow.unacked = None;
        }
        let is_next = packet.seq == flow.expected;
        let is_request = !packet.data.is_empty();
        if is_next {
            flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
        }
        let mut flags = packet::ACK;
        if packet.has(packet::FIN) && is_next {
            flow.expected = flow.expected.wrapping_add(1);
            flow.closed = true;
            flags |= packet::FIN;
        }
        if is_request || packet.has(packet::FIN) {
            let answer = Packet::new(key.1, key.0, flags, flow.next, flow.expected);
            self.send(&answer.encode());
        }
        drop(flows);
        if is_request && is_next {
            let text = String::from_utf8_lossy(&packet.data).into_owned();
            thread::spawn(move || self.run(key, &text));
        }
    }

    fn on_open(&self, packet: &Packet, key: FlowKey) {
        let mut flows = self.lock();
        let flow = flows.entry(key).or_insert_with(|| {
            let isn = crate::random();
            Flow {
                isn,
                next: isn.wrapping_add(1),
                expected: packet.seq.wrapping_add(1),
                open: false,
                closed: false,
                unacked: None,
            }
        });
        let flags = packet::SYN | packet::ACK;
        let ack = packet.seq.wrapping_add(1);
        let answer = Packet::new(key.1, key.0, flags, flow.isn, ack);
        self.send(&answer.encode());
    }

    fn run(&self, key: FlowKey, request: &str) {
        let id = request
            .split("X-Attempt-Id: ")
            .nth(1)
            .and_then(|it| it.split("\r\n").next())
            .unwrap_or_default();
        self.record
            .line(&format!("run id={id} endpoint={}", self.options.id));
        thread::sleep(WORK_TIME);
        let body = format!("{id};").repeat(20);
        let text = format!(
            "HTTP/1.1 200 OK\r\nX-Server-Signature: {}\r\nContent-Length: {}\r\n\r\n{body}",
            self.options.id,
            body.len()
        );
        let mut flows = self.lock();
        let Some(flow) = flows.get_mut(&key) else {
            return;
        };
        let mut answer = Packet::new(key.1, key.0, packet::ACK, flow.next, flow.expected);
        answer.data = text.into_bytes();
        flow.next = flow.next.wrapping_add(answer.data.len() as u32);
        let packet = answer.encode();
        self.send(&packet);
        let wait = Duration::from_millis(200);
        flow.unacked = Some(Unacked {
            packet,
            end: flow.next,
            due: Instant::now() + wait,
            wait,
            count: 0,
        });
    }

    fn retransmit(&self) {
        let now = Instant::now();
        let mut flows = self.lock();
        flows.retain(|_, flow| {
            let Some(unacked) = flow.unacked.as_mut().filter(|it| it.due <= now) else {
                return true;
            };
            self.send(&unacked.packet);
            unacked.wait = (unacked.wait * 2).min(Duration::from_millis(1_600));
            unacked.due = now + unacked.wait;
            unacked.count += 1;
            unacked.count <= MAX_RETRANSMITS
        });
    }
}
