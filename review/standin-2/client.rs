//! Clients, and the platform's routers that hand each of their packets to an entry.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::RwLock;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::packet::End;
use crate::packet::FlowKey;
use crate::packet::Packet;
use crate::packet::RST;
use crate::packet::SYN;
use crate::stream::Stream;
use crate::world;
use crate::world::World;

/// Largest distance of a reset's sequence number from the client's last acknowledgement.
const RESET_WINDOW: u32 = 76_800;

/// An entry as the routers see it.
#[derive(Clone)]
pub struct Target {
    pub name: String,
    pub data: SocketAddrV4,
    pub ready: SocketAddrV4,
}

/// The routers: those entries that are in rotation, in a fixed order.
pub struct Router {
    entries: RwLock<Vec<(Target, bool, u32)>>,
    world: Arc<World>,
}

impl Router {
    pub fn start(world: &Arc<World>) -> Arc<Router> {
        Arc::new(Router {
            entries: RwLock::default(),
            world: world.clone(),
        })
    }

    /// Adds an entry and asks it twice per second whether it is ready.
    pub fn add(self: &Arc<Self>, target: Target) {
        self.entries
            .write()
            .unwrap()
            .push((target.clone(), false, 0));
        let router = self.clone();
        thread::spawn(move || {
            while !router.world.stopped() {
                let ready = http::call(target.ready, "GET", "/v1/readyz", "") == Some(200);
                let mut entries = router.entries.write().unwrap();
                let Some(entry) = entries.iter_mut().find(|it| it.0.name == target.name) else {
                    return;
                };
                entry.2 = if ready { 0 } else { entry.2 + 1 };
                let was = entry.1;
                entry.1 = ready || (was && entry.2 < 2);
                if entry.1 != was {
                    let text = if entry.1 {
                        "is in rotation"
                    } else {
                        "is out of rotation"
                    };
                    router.world.say(&format!("{} {text}", target.name));
                }
                drop(entries);
                thread::sleep(Duration::from_millis(500));
            }
        });
    }

    pub fn ready_count(&self) -> usize {
        self.entries
            .read()
            .unwrap()
            .iter()
            .filter(|it| it.1)
            .count()
    }

    /// The entry to which a packet of a flow goes now: by its hash over those in rotation.
    fn pick(&self, key: &FlowKey) -> Option<(String, SocketAddrV4)> {
        let entries = self.entries.read().unwrap();
        let usable: Vec<&Target> = entries.iter().filter(|it| it.1).map(|it| &it.0).collect();
        if usable.is_empty() {
            return None;
        }
        let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
        let ends = [key.0, key.1];
        for octet in ends
            .iter()
            .flat_map(|(ip, port)| ip.octets().into_iter().chain(port.to_be_bytes()))
        {
            hash = (hash ^ u64::from(octet)).wrapping_mul(0x0100_0000_01b3);
        }
        hash ^= hash >> 32;
        let target = usable[(hash % usable.len() as u64) as usize];
        Some((target.name.clone(), target.data))
    }
}

/// What a client does on its flows.
#[derive(Clone)]
pub struct Habit {
    pub route: End,
    /// Length of the answers that it asks for.
    pub len: usize,
    /// Time between an answer and the next request on the same flow.
    pub pause: Duration,
    pub deadline: Duration,
    /// Shortest and longest time until a flow is closed and another one is opened.
    pub life: (Duration, Duration),
}

/// An accepted reset of a flow.
pub struct ResetSeen {
    pub key: FlowKey,
    /// Entry to which the routers hand the flow's packets now.
    pub entry: String,
    /// When the client's end of the flow opened.
    pub opened: Instant,
    pub last_heard: Instant,
}

/// Judges a reset that a client has accepted on a flow that is open at its end.
pub type Judge = Arc<dyn Fn(&ResetSeen) + Send + Sync>;

enum Phase {
    Opening { copies: u32, since: Instant },
    Open(Stream),
}

struct Flow {
    habit: Habit,
    isn: u32,
    phase: Phase,
    opened: Instant,
    end: Instant,
    /// Request in progress: id and time.
    request: Option<(String, Instant)>,
    next_request: Instant,
}

/// Starts a client at an address with flows of these habits, one at a time each.
pub fn start(
    world: &Arc<World>,
    router: &Arc<Router>,
    address: SocketAddrV4,
    habits: Vec<Habit>,
    judge: Judge,
) {
    let (world, router) = (world.clone(), router.clone());
    let socket = UdpSocket::bind(address).expect("the client's address is free");
    socket
        .set_read_timeout(Some(Duration::from_millis(2)))
        .expect("a timeout can be set");
    thread::spawn(move || run(&world, &router, *address.ip(), &socket, &habits, &judge));
}

fn run(
    world: &World,
    router: &Router,
    ip: Ipv4Addr,
    socket: &UdpSocket,
    habits: &[Habit],
    judge: &Judge,
) {
    let mut port = 1_024 + (world.random() % 20_000) as u16;
    let mut flows: HashMap<u16, Flow> = HashMap::new();
    let mut number = 0_u64;
    let mut buffer = [0; 2_048];
    for habit in habits {
        open(world, &mut port, &mut flows, habit);
    }
    let send = |packet: &Packet| {
        if let Some((_, to)) = router.pick(&(packet.src, packet.dst)) {
            let _ = socket.send_to(&packet.encode(), to);
        }
    };
    let mut last_tick = Instant::now();
    while !world.stopped() {
        let received = socket.recv_from(&mut buffer);
        let now = Instant::now();
        if let Ok((len, _)) = received {
            let Some(packet) = Packet::decode(&buffer[..len]) else {
                world.say("MIXED: a client got an unreadable packet");
                world.broken.fetch_add(1, Ordering::Relaxed);
                continue;
            };
            let key = (packet.dst, packet.src);
            let is_reset = packet.unsigned && packet.has(RST) && packet.data.is_empty();
            if !packet.intact && !is_reset {
                world.say(&format!(
                    "MIXED: the client of {} got an altered packet",
                    world::name(&key)
                ));
                world.broken.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            let Some(flow) = flows
                .get_mut(&packet.dst.1)
                .filter(|it| it.habit.route == packet.src)
            else {
                continue;
            };
            if packet.has(RST) {
                let accepted = match &flow.phase {
                    Phase::Opening { .. } => true,
                    Phase::Open(stream) => {
                        let distance = packet.seq.wrapping_sub(stream.ack()) as i32;
                        distance.unsigned_abs() <= RESET_WINDOW
                    }
                };
                if !accepted {
                    world.note(&format!("ignored reset of {}", world::name(&key)));
                    continue;
                }
                world.note(&format!(
                    "reset of {} by {}",
                    world::name(&key),
                    if is_reset {
                        "the system"
                    } else {
                        "its endpoint"
                    }
                ));
                if let (Phase::Open(stream), true) = (&flow.phase, is_reset) {
                    judge(&ResetSeen {
                        key,
                        entry: router.pick(&key).map(|it| it.0).unwrap_or_default(),
                        opened: flow.opened,
                        last_heard: stream.last_heard,
                    });
                }
                let habit = flow.habit.clone();
                flows.remove(&packet.dst.1);
                open(world, &mut port, &mut flows, &habit);
                continue;
            }
            if packet.has(SYN) {
                if let Phase::Opening { .. } = flow.phase {
                    let mut stream = Stream::new(
                        key.0,
                        key.1,
                        flow.isn.wrapping_add(1),
                        packet.seq.wrapping_add(1),
                    );
                    flow.opened = now;
                    flow.next_request = now;
                    let (least, most) = flow.habit.life;
                    let spread = (most - least).as_millis().max(1) as u64;
                    flow.end = now + least + Duration::from_millis(world.random() % spread);
                    send(&stream.acknowledge());
                    flow.phase = Phase::Open(stream);
                }
                continue;
            }
            if let Phase::Open(stream) = &mut flow.phase {
                for packet in stream.receive(&packet) {
                    send(&packet);
                }
                while let Some((id, status)) = take_answer(&mut stream.received) {
                    let expected = flow.request.take();
                    match expected {
                        Some((own, at)) if own == id || id.is_empty() => {
                            world.answered.fetch_add(1, Ordering::Relaxed);
                            let took = now.duration_since(at).as_millis();
                            world.note(&format!("answer {own} status {status} after {took} ms"));
                        }
                        _ => {
                            world.say(&format!(
                                "MIXED: answer {id} on {} without its request",
                                world::name(&key)
                            ));
                            world.broken.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                    flow.next_request = now + flow.habit.pause;
                    if stream.owes() {
                        send(&stream.acknowledge());
                    }
                }
            }
        }
        if now.duration_since(last_tick) < Duration::from_millis(1) {
            continue;
        }
        last_tick = now;
        let mut again = Vec::new();
        for (port, flow) in &mut flows {
            let key = ((ip, *port), flow.habit.route);
            match &mut flow.phase {
                Phase::Opening { copies, since } => {
                    let waited = now.duration_since(*since).as_millis();
                    let due = [0, 200, 600];
                    if (*copies as usize) < due.len() && waited >= due[*copies as usize] {
                        send(&Packet::new(key.0, key.1, SYN, flow.isn, *copies, &[]));
                        *copies += 1;
                    }
                    if waited >= 1_400 {
                        world.note(&format!("flow {} never opened", world::name(&key)));
                        again.push(*port);
                    }
                }
                Phase::Open(stream) => {
                    if flow.request.is_none() && !stream.is_closing() && now >= flow.next_request {
                        if now >= flow.end || stream.peer_done {
                            stream.close();
                        } else {
                            number += 1;
                            let id = format!("{}-{number}", u32::from(ip) & 0xffff);
                            world.sent.fetch_add(1, Ordering::Relaxed);
                            let entry = router.pick(&key).map(|it| it.0).unwrap_or_default();
                            world.note(&format!(
                                "send {id} on {} through {entry}",
                                world::name(&key)
                            ));
                            let text = format!(
                                "GET /octets/{} HTTP/1.1\r\nHost: x\r\nX-Attempt-Id: {id}\r\n\r\n",
                                flow.habit.len
                            );
                            stream.write(text.as_bytes());
                            flow.request = Some((id, now));
                        }
                    }
                    for packet in stream.poll(now) {
                        send(&packet);
                    }
                    let late = flow.request.as_ref();
                    let late = late.filter(|(_, at)| now.duration_since(*at) > flow.habit.deadline);
                    if let Some((id, _)) = late {
                        world.note(&format!("deadline of {id} on {}", world::name(&key)));
                        again.push(*port);
                    } else if stream.is_closed() || (stream.is_closing() && stream.has_given_up()) {
                        again.push(*port);
                    }
                }
            }
        }
        for old in again {
            if let Some(flow) = flows.remove(&old) {
                open(world, &mut port, &mut flows, &flow.habit);
            }
        }
    }
}

fn open(world: &World, port: &mut u16, flows: &mut HashMap<u16, Flow>, habit: &Habit) {
    *port = if *port >= 60_000 { 1_024 } else { *port + 1 };
    let now = Instant::now();
    flows.insert(
        *port,
        Flow {
            habit: habit.clone(),
            isn: world.random() as u32,
            phase: Phase::Opening {
                copies: 0,
                since: now,
            },
            opened: now,
            end: now,
            request: None,
            next_request: now,
        },
    );
}

/// Takes a whole answer from the octets of a flow: its id and its status.
fn take_answer(octets: &mut Vec<u8>) -> Option<(String, String)> {
    let end = octets.windows(4).position(|it| it == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&octets[..end]).into_owned();
    let value = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
    let len: usize = value("Content-Length: ")?.parse().ok()?;
    if octets.len() < end + 4 + len {
        return None;
    }
    octets.drain(..end + 4 + len);
    let status = head.split_whitespace().nth(1).unwrap_or_default();
    Some((
        value("X-Attempt-Id: ").unwrap_or_default().to_owned(),
        status.to_owned(),
    ))
}
