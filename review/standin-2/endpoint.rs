//! An endpoint of a service: holds flows, runs requests, sends heartbeats, drains and leaves.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::packet::ACK;
use crate::packet::BOUNCED;
use crate::packet::FIN;
use crate::packet::FlowKey;
use crate::packet::Packet;
use crate::packet::RST;
use crate::packet::SYN;
use crate::stream::Stream;
use crate::world;
use crate::world::OpenFlow;
use crate::world::World;

/// Time for which an endpoint remembers that a flow has ended.
const ENDED_LIFETIME: Duration = Duration::from_secs(5);

/// Requests beyond the slots that wait in an endpoint.
const MAX_QUEUE: usize = 16;

#[derive(Clone)]
pub struct EndpointOptions {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
    pub slots: usize,
    pub heartbeat: Duration,
    /// Time that a request takes.
    pub work: Duration,
}

/// One incarnation of an endpoint.
pub struct Endpoint {
    pub options: EndpointOptions,
    pub alive: Arc<AtomicBool>,
    pub started: Instant,
    born: u64,
    sequence: Mutex<u64>,
    draining: AtomicBool,
    /// When the agent acknowledged that the endpoint is draining.
    pub drained: Mutex<Option<Instant>>,
    world: Arc<World>,
}

struct Held {
    isn: u32,
    open: bool,
    stream: Stream,
}

struct Work {
    end: Instant,
    key: FlowKey,
    id: String,
    len: usize,
}

impl Endpoint {
    pub fn start(options: EndpointOptions, world: &Arc<World>) -> Arc<Endpoint> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let endpoint = Arc::new(Endpoint {
            alive: Arc::new(AtomicBool::new(true)),
            started: Instant::now(),
            born: now.map_or(0, |it| it.as_millis() as u64),
            sequence: Mutex::new(0),
            draining: AtomicBool::new(false),
            drained: Mutex::new(None),
            world: world.clone(),
            options,
        });
        let socket = UdpSocket::bind(endpoint.options.app).expect("the endpoint's address is free");
        socket
            .set_read_timeout(Some(Duration::from_millis(2)))
            .expect("a timeout can be set");
        let listener =
            TcpListener::bind(endpoint.options.app).expect("the endpoint's address is free");
        let shared = endpoint.clone();
        http::serve(listener, endpoint.alive.clone(), move |request| {
            let serves = request.path == "/health" && !shared.draining.load(Ordering::Relaxed);
            (if serves { 200 } else { 503 }, "{}".to_owned())
        });
        world.say(&format!(
            "endpoint {} of {} started, born {}",
            endpoint.options.id, endpoint.options.service, endpoint.born
        ));
        let shared = endpoint.clone();
        thread::spawn(move || shared.serve(&socket));
        let shared = endpoint.clone();
        thread::spawn(move || {
            while shared.alive.load(Ordering::Relaxed) && !shared.world.stopped() {
                shared.beat();
                thread::sleep(shared.options.heartbeat);
            }
        });
        endpoint
    }

    fn beat(&self) {
        let draining = self.draining.load(Ordering::Relaxed);
        let mut sequence = self.sequence.lock().unwrap();
        *sequence += 1;
        let it = &self.options;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"max_concurrency\":{},\"state\":\"{}\",\"ramp_left_ms\":0,\"sequence\":{},\"born\":{}}}",
            it.service,
            it.app,
            it.zone,
            it.slots,
            if draining { "draining" } else { "ready" },
            *sequence,
            self.born
        );
        let status = http::call(
            it.control,
            "PUT",
            &format!("/v1/endpoints/{}", it.id),
            &body,
        );
        self.world.note(&format!(
            "beat {} sequence {} draining {draining}: {status:?}",
            it.id, *sequence
        ));
        if draining && status == Some(200) {
            self.drained.lock().unwrap().get_or_insert(Instant::now());
        }
    }

    /// Ends as planned: reports that it drains, serves on for `span` after the acknowledgement, says
    /// that it leaves, and exits.
    pub fn shut_down(&self, span: Duration) {
        self.draining.store(true, Ordering::Relaxed);
        self.world
            .say(&format!("endpoint {} drains", self.options.id));
        self.beat();
        thread::sleep(span);
        let path = format!("/v1/endpoints/{}", self.options.id);
        // Once the flag is cleared, no heartbeat follows.
        let _sequence = self.sequence.lock().unwrap();
        let status = http::call(self.options.control, "DELETE", &path, "");
        self.alive.store(false, Ordering::Relaxed);
        self.world.say(&format!(
            "endpoint {} left ({status:?}) and ended",
            self.options.id
        ));
    }

    fn serve(&self, socket: &UdpSocket) {
        let world = &self.world;
        let mut flows: HashMap<FlowKey, Held> = HashMap::new();
        let mut ended: HashMap<FlowKey, (Instant, u32, u32)> = HashMap::new();
        let mut running: Vec<Work> = Vec::new();
        let mut queue: VecDeque<(FlowKey, String, usize)> = VecDeque::new();
        let mut buffer = [0; 2_048];
        let send = |packet: &Packet| {
            let _ = socket.send_to(&packet.encode(), self.options.outbound);
        };
        let mut last_tick = Instant::now();
        while self.alive.load(Ordering::Relaxed) && !world.stopped() {
            let received = socket.recv_from(&mut buffer);
            let now = Instant::now();
            if let Ok((len, _)) = received {
                let octets = &buffer[..len];
                let Some(packet) = Packet::decode(octets) else {
                    world.say(&format!(
                        "UNASKED: {} got an unreadable packet",
                        self.options.id
                    ));
                    continue;
                };
                let key = (packet.src, packet.dst);
                if !packet.intact || packet.has(BOUNCED) {
                    world.say(&format!(
                        "UNASKED: {} got an altered packet of {}",
                        self.options.id,
                        world::name(&key)
                    ));
                    world.broken.fetch_add(1, Ordering::Relaxed);
                    continue;
                }
                if packet.has(SYN) {
                    let held = flows.entry(key).or_insert_with(|| {
                        let isn = world.random() as u32;
                        Held {
                            isn,
                            open: false,
                            stream: Stream::new(
                                key.1,
                                key.0,
                                isn.wrapping_add(1),
                                packet.seq.wrapping_add(1),
                            ),
                        }
                    });
                    send(&Packet::new(
                        key.1,
                        key.0,
                        SYN | ACK,
                        held.isn,
                        packet.seq.wrapping_add(1),
                        &[],
                    ));
                    continue;
                }
                let held = flows
                    .get_mut(&key)
                    .filter(|it| it.stream.may_be_acked(packet.ack));
                let Some(held) = held else {
                    if let Some((_, seq, ack)) = ended.get(&key) {
                        let flags = if packet.has(FIN) { ACK } else { RST };
                        if packet.span() > 0 {
                            send(&Packet::new(key.1, key.0, flags, *seq, *ack, &[]));
                        }
                        continue;
                    }
                    let mut bounced = octets.to_vec();
                    bounced[30] |= BOUNCED;
                    let _ = socket.send_to(&bounced, self.options.outbound);
                    continue;
                };
                if packet.has(RST) {
                    flows.remove(&key);
                    world.open.lock().unwrap().remove(&key);
                    continue;
                }
                if !held.open {
                    held.open = true;
                    world.open.lock().unwrap().insert(
                        key,
                        OpenFlow {
                            endpoint: self.options.id.clone(),
                            alive: self.alive.clone(),
                            started: self.started,
                            opened: now,
                        },
                    );
                    world.note(&format!(
                        "flow {} is open at {}",
                        world::name(&key),
                        self.options.id
                    ));
                }
                for packet in held.stream.receive(&packet) {
                    send(&packet);
                }
                while let Some((id, len)) = take_request(&mut held.stream.received) {
                    if running.len() < self.options.slots {
                        running.push(self.begin(now, key, id, len));
                    } else if queue.len() < MAX_QUEUE {
                        queue.push_back((key, id, len));
                    } else {
                        held.stream.write(
                            b"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                        );
                    }
                }
                if held.stream.peer_done {
                    held.stream.close();
                }
                for packet in held.stream.poll(now) {
                    send(&packet);
                }
            }
            if !running.iter().any(|it| now >= it.end)
                && now.duration_since(last_tick) < Duration::from_millis(2)
            {
                continue;
            }
            last_tick = now;
            for work in extract(&mut running, |it| now >= it.end) {
                if let Some(held) = flows.get_mut(&work.key) {
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Signature: {}-{}\r\nContent-Length: {}\r\n\r\n",
                        work.id, self.options.id, self.born, work.len
                    );
                    held.stream.write(head.as_bytes());
                    held.stream.write(&vec![b'x'; work.len]);
                    if self.draining.load(Ordering::Relaxed) {
                        held.stream.close();
                    }
                }
                if let Some((key, id, len)) = queue.pop_front() {
                    running.push(self.begin(now, key, id, len));
                }
            }
            let mut gone = Vec::new();
            for (key, held) in &mut flows {
                if held.open {
                    for packet in held.stream.poll(now) {
                        send(&packet);
                    }
                }
                let idle = now.duration_since(held.stream.last_heard);
                let forgotten = !held.open && idle > Duration::from_secs(3);
                if held.stream.is_closed() || held.stream.has_given_up() || forgotten {
                    gone.push(*key);
                }
            }
            for key in gone {
                if let Some(mut held) = flows.remove(&key) {
                    let last = held.stream.acknowledge();
                    if held.open {
                        ended.insert(key, (now, last.seq, last.ack));
                        world.open.lock().unwrap().remove(&key);
                        world.note(&format!(
                            "flow {} has ended at {}",
                            world::name(&key),
                            self.options.id
                        ));
                    }
                }
            }
            ended.retain(|_, (at, ..)| now.duration_since(*at) < ENDED_LIFETIME);
        }
        for key in flows.keys() {
            world.open.lock().unwrap().remove(key);
        }
    }

    fn begin(&self, now: Instant, key: FlowKey, id: String, len: usize) -> Work {
        self.world.run.fetch_add(1, Ordering::Relaxed);
        self.world.note(&format!(
            "run {id} at {} on {}",
            self.options.id,
            world::name(&key)
        ));
        Work {
            end: now + self.options.work,
            key,
            id,
            len,
        }
    }
}

fn extract<T>(items: &mut Vec<T>, takes: impl Fn(&T) -> bool) -> Vec<T> {
    let (taken, kept) = std::mem::take(items).into_iter().partition(|it| takes(it));
    *items = kept;
    taken
}

/// Takes a whole request from the octets of a flow: its id, and the length of the answer that it
/// asks for by its path.
fn take_request(octets: &mut Vec<u8>) -> Option<(String, usize)> {
    let end = octets.windows(4).position(|it| it == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&octets[..end]).into_owned();
    octets.drain(..end + 4);
    let id = head
        .lines()
        .find_map(|line| line.strip_prefix("X-Attempt-Id: "));
    let path = head.split_whitespace().nth(1).unwrap_or_default();
    let len = path.trim_start_matches("/octets/").parse().unwrap_or(0);
    Some((id.unwrap_or_default().to_owned(), len))
}
