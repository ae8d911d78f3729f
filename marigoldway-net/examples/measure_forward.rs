//! Measures packets per second and core. Compares the forwarding loop of an entry, a process
//! that forwards callers' datagrams to agents, with plain forwarding of the same datagrams
//! over the loopback. Rounds of both alternate in one run.
//!
//! `cargo run --release -p marigoldway-net --example measure_forward [CSV]`
//!
//! In each round, two threads send datagrams of established flows as fast as they
//! can. The rate per core is the number of forwarded datagrams divided by the
//! processor time of the forwarding thread. Linux only.

use std::env;
use std::error::Error;
use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::sync::watch;
use tokio::time::timeout;

use marigoldway_core::forward::AgentScope;
use marigoldway_core::forward::Forwarder;
use marigoldway_core::ids::DomainId;
use marigoldway_core::ids::Incarnation;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::ids::RegionId;
use marigoldway_core::ids::ServiceId;
use marigoldway_core::reset::ResetKey;
use marigoldway_core::roster::FULL_WEIGHT;
use marigoldway_core::roster::Record;
use marigoldway_core::roster::Role;
use marigoldway_core::roster::Roster;
use marigoldway_core::roster::State;
use marigoldway_core::route::ROUTE_LEN;
use marigoldway_core::route::Route;
use marigoldway_core::route::RouteKey;
use marigoldway_core::route::RouteKeys;

use marigoldway_net::counters::PacketOutcome;
use marigoldway_net::envelope::EnvelopeKey;
use marigoldway_net::envelope::MAX_DATAGRAM_LEN;
use marigoldway_net::forward::EntryDataPlane;
use marigoldway_net::forward::EntryKeys;
use marigoldway_net::udp::Batch;
use marigoldway_net::udp::Udp;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

const SERVICE: ServiceId = ServiceId(1);

/// Number of rounds per kind of forwarding and datagram length.
const ROUNDS: usize = 7;

/// Duration of a round.
const ROUND_TIME: Duration = Duration::from_secs(1);

/// Lengths of the datagrams in octets: a packet with only an acknowledgement, and a
/// full packet.
const LENGTHS: [usize; 2] = [64, 1_200];

/// Number of threads that send datagrams.
const SENDERS: usize = 2;

/// Number of flows per sending thread.
const FLOWS: u32 = 64;

/// Minimum ratio of the entry's rate to that of plain forwarding to meet the goal.
const MIN_RATIO: f64 = 0.8;

/// `RosterOnly` is an empty scope: agents are looked up in the roster only.
struct RosterOnly;

impl AgentScope for RosterOnly {
    fn contains(&self, _id: InstanceId) -> bool {
        false
    }
}

/// `Rate` is the result of one round.
#[derive(Clone, Copy)]
struct Rate {
    packets: u64,
    cpu_time: Duration,
}

impl Rate {
    /// Returns the number of packets per second of processor time.
    fn per_core(self) -> f64 {
        self.packets as f64 / self.cpu_time.as_secs_f64()
    }
}

fn main() -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let mut csv = String::from("length,round,plain_pps,entry_pps\n");
    println!("length  plain pps  entry pps  entry/plain  goal {MIN_RATIO}");
    for length in LENGTHS {
        let mut pairs = Vec::new();
        for round in 0..ROUNDS {
            let plain = runtime.block_on(measure_plain(length))?.per_core();
            let entry = runtime.block_on(measure_entry(length))?.per_core();
            writeln!(csv, "{length},{round},{plain:.0},{entry:.0}")?;
            pairs.push((plain, entry));
        }
        let plain = median(pairs.iter().map(|(plain, _)| *plain));
        let entry = median(pairs.iter().map(|(_, entry)| *entry));
        let ratio = median(pairs.iter().map(|(plain, entry)| entry / plain));
        let met = if ratio >= MIN_RATIO { "met" } else { "NOT met" };
        println!("{length:>6}  {plain:>9.0}  {entry:>9.0}  {ratio:>11.2}  {met}");
    }
    if let Some(path) = env::args().nth(1) {
        fs::write(path, csv)?;
    }
    Ok(())
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns a bound socket in place of an agent, and its address. Nothing reads from it, so
/// datagrams are lost once its buffer is full.
fn sink() -> Result<(UdpSocket, SocketAddrV4)> {
    let socket = UdpSocket::bind(any_port())?;
    match socket.local_addr()? {
        SocketAddr::V4(addr) => Ok((socket, addr)),
        SocketAddr::V6(_) => Err("the loopback socket has no IPv4 address".into()),
    }
}

/// Measures forwarding of unchanged datagrams, with the same sockets and batches as the entry.
async fn measure_plain(length: usize) -> Result<Rate> {
    let (_sink, agent) = sink()?;
    let (front, back) = (Udp::bind(any_port())?, Udp::bind(any_port())?);
    let generator = LoadGenerator::start(front.local_addr()?, agent, length)?;

    let mut packets = 0;
    let start = cpu_time()?;
    let forwarding = async {
        let mut batch = Batch::default();
        loop {
            front.recv(&mut batch).await?;
            for datagram in batch.datagrams() {
                back.send(agent.into(), datagram.contents, datagram.ecn)
                    .await?;
                packets += 1;
            }
        }
    };
    // Either the timeout or an error ends the loop.
    let end: std::result::Result<std::io::Result<()>, _> = timeout(ROUND_TIME, forwarding).await;
    if let Ok(end) = end {
        end?;
    }
    let cpu_time = cpu_time()? - start;
    generator.stop();
    Ok(Rate { packets, cpu_time })
}

/// Measures forwarding by the data plane of an entry.
async fn measure_entry(length: usize) -> Result<Rate> {
    let (_sink, agent) = sink()?;
    let front = Udp::bind(any_port())?;
    let generator = LoadGenerator::start(front.local_addr()?, agent, length)?;

    let (_views, view) = watch::channel(Arc::new(roster(agent).view(&IndexSet::new())));
    let keys = EntryKeys {
        forwarder: Forwarder::new(keys(), [3; 16], MAX_DATAGRAM_LEN),
        envelope: EnvelopeKey::new([4; 16]),
        reset: ResetKey::new(&[5; 32]),
    };
    let services = IndexMap::from([(SERVICE, front)]);
    let plane = EntryDataPlane::new(keys, RosterOnly, view, Udp::bind(any_port())?, services);

    let start = cpu_time()?;
    if let Ok(end) = timeout(ROUND_TIME, plane.serve(SERVICE)).await {
        end?;
    }
    let cpu_time = cpu_time()? - start;
    generator.stop();
    let routed = plane
        .counters()
        .outcomes()
        .find(|(outcome, _)| *outcome == PacketOutcome::Routed);
    let packets = routed.map_or(0, |(_, count)| count);
    Ok(Rate { packets, cpu_time })
}

fn keys() -> RouteKeys {
    RouteKeys::new(RouteKey::new(1, &[1; 16], &[2; 16]), None)
}

fn roster(agent: SocketAddrV4) -> Roster {
    let mut roster = Roster::new();
    roster.merge(Record {
        id: InstanceId(agent),
        incarnation: Incarnation(1),
        role: Role::Agent,
        service: Some(SERVICE),
        domain: DomainId(1),
        region: RegionId(1),
        control: agent,
        state: State::Serving,
        version: 1,
        weight: FULL_WEIGHT,
    });
    roster
}

/// Returns the processor time that this thread has used.
fn cpu_time() -> Result<Duration> {
    let stat = fs::read_to_string("/proc/thread-self/schedstat")?;
    let nanos = stat.split_whitespace().next().ok_or("empty schedstat")?;
    Ok(Duration::from_nanos(nanos.parse()?))
}

/// `LoadGenerator` sends datagrams from several threads until it is stopped.
struct LoadGenerator {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl LoadGenerator {
    fn start(to: SocketAddr, agent: SocketAddrV4, length: usize) -> Result<LoadGenerator> {
        let stop = Arc::new(AtomicBool::new(false));
        let mut threads = Vec::new();
        for _ in 0..SENDERS {
            let socket = UdpSocket::bind(any_port())?;
            socket.connect(to)?;
            let datagrams = datagrams(agent, length);
            let stop = stop.clone();
            threads.push(thread::spawn(move || {
                for datagram in datagrams.iter().cycle() {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    // Losses at a full receive buffer are expected, since the
                    // forwarder is saturated.
                    let _ = socket.send(datagram);
                }
            }));
        }
        Ok(LoadGenerator { stop, threads })
    }

    fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Returns datagrams of established flows whose agent is `agent`.
fn datagrams(agent: SocketAddrV4, length: usize) -> Vec<Vec<u8>> {
    let route = Route {
        agent: InstanceId(agent),
        service: SERVICE,
        incarnation: Incarnation(1),
    };
    let datagram = |nonce| {
        let mut datagram = vec![0x40; length];
        datagram[1..=ROUTE_LEN].copy_from_slice(&keys().encode(&route, nonce));
        datagram
    };
    (0..FLOWS).map(datagram).collect()
}
