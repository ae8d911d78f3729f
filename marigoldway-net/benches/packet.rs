//! Benchmarks of an entry's work per datagram: decoding the route ID, selecting the
//! agent, sealing the envelope.
//!
//! An entry forwards callers' datagrams to agents, the processes beside the targets. A route
//! ID is a QUIC connection ID that contains the agent of a flow. An envelope is the
//! authenticated header that the entry prepends to a datagram.
//!
//! Run with `cargo bench -p marigoldway-net --bench packet`.

use std::hint::black_box;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use indexmap::IndexSet;

use marigoldway_core::acceptance::Hop;
use marigoldway_core::forward::AgentScope;
use marigoldway_core::forward::Forwarder;
use marigoldway_core::ids::DomainId;
use marigoldway_core::ids::Incarnation;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::ids::RegionId;
use marigoldway_core::ids::ServiceId;
use marigoldway_core::packet::MIN_INITIAL_LEN;
use marigoldway_core::roster::FULL_WEIGHT;
use marigoldway_core::roster::Record;
use marigoldway_core::roster::Role;
use marigoldway_core::roster::Roster;
use marigoldway_core::roster::RosterView;
use marigoldway_core::roster::State;
use marigoldway_core::route::ROUTE_LEN;
use marigoldway_core::route::Route;
use marigoldway_core::route::RouteKey;
use marigoldway_core::route::RouteKeys;

use marigoldway_net::envelope::Direction;
use marigoldway_net::envelope::Envelope;
use marigoldway_net::envelope::EnvelopeKey;
use marigoldway_net::envelope::HEADER_LEN;
use marigoldway_net::envelope::MAX_DATAGRAM_LEN;

const SERVICE: ServiceId = ServiceId(1);

/// Number of distinct connection IDs. They are so many that branch prediction and caches don't
/// adapt to one ID.
const ID_COUNT: usize = 1_024;

/// Numbers of targets of the service. Each number has its own benchmark.
const TARGET_COUNTS: [u32; 4] = [7, 70, 700, 7_000];

/// `RosterOnly` is an empty scope: agents are looked up in the roster only.
struct RosterOnly;

impl AgentScope for RosterOnly {
    fn contains(&self, _id: InstanceId) -> bool {
        false
    }
}

fn keys() -> RouteKeys {
    RouteKeys::new(RouteKey::new(1, &[1; 16], &[2; 16]), None)
}

fn agent(number: u32) -> InstanceId {
    InstanceId::new(Ipv4Addr::from_bits(0x0a00_0000 + number), 7_000)
}

fn view(targets: u32) -> RosterView {
    let mut roster = Roster::new();
    for number in 0..targets {
        let id = agent(number);
        roster.merge(Record {
            id,
            incarnation: Incarnation(1),
            role: Role::Agent,
            service: Some(SERVICE),
            domain: DomainId(1),
            region: RegionId(1),
            control: SocketAddrV4::new(*id.0.ip(), 7_001),
            state: State::Serving,
            version: 1,
            weight: FULL_WEIGHT,
        });
    }
    roster.view(&IndexSet::new())
}

fn route_ids(targets: u32) -> Vec<[u8; ROUTE_LEN]> {
    let id = |nonce: usize| {
        let nonce = nonce as u32;
        let route = Route {
            agent: agent(nonce % targets),
            service: SERVICE,
            incarnation: Incarnation(1),
        };
        keys().encode(&route, nonce)
    };
    (0..ID_COUNT).map(id).collect()
}

/// Returns a short-header packet of an established flow with the route ID `id`.
fn short_packet(id: &[u8; ROUTE_LEN]) -> Vec<u8> {
    let mut datagram = vec![0x40; MIN_INITIAL_LEN];
    datagram[1..=ROUTE_LEN].copy_from_slice(id);
    datagram
}

/// Returns an initial packet, which opens a flow. Its connection ID isn't a route ID.
fn initial_packet(number: usize) -> Vec<u8> {
    let mut datagram = vec![0; MIN_INITIAL_LEN];
    datagram[..6].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8]);
    datagram[6..14].copy_from_slice(&(number as u64).to_be_bytes());
    datagram
}

fn envelope() -> Envelope {
    Envelope {
        caller: SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, 1), 50_000),
        service: SERVICE,
        direction: Direction::Inbound(Hop::Offered {
            second: Some(agent(2)),
        }),
    }
}

fn bench_route(c: &mut Criterion) {
    let keys = keys();
    let ids = route_ids(7);
    let mut ids = ids.iter().cycle();
    c.bench_function("decode route id", |b| {
        b.iter(|| keys.decode(black_box(ids.next().expect("cycle"))));
    });
}

fn bench_decide(c: &mut Criterion) {
    let forwarder = Forwarder::new(keys(), [3; 16], MAX_DATAGRAM_LEN);
    let mut group = c.benchmark_group("decide");
    for targets in TARGET_COUNTS {
        let view = view(targets);
        let flows: Vec<_> = route_ids(targets).iter().map(short_packet).collect();
        let new_flows: Vec<_> = (0..ID_COUNT).map(initial_packet).collect();
        for (name, datagrams) in [("established", flows), ("new", new_flows)] {
            let mut datagrams = datagrams.iter().cycle();
            group.bench_function(BenchmarkId::new(name, targets), |b| {
                b.iter(|| {
                    let datagram = black_box(datagrams.next().expect("cycle"));
                    forwarder.decide(SERVICE, datagram, &view, &RosterOnly)
                });
            });
        }
    }
    group.finish();
}

fn bench_envelope(c: &mut Criterion) {
    let key = EnvelopeKey::new([4; 16]);
    let envelope = envelope();
    let datagram = short_packet(&route_ids(7)[0]);
    c.bench_function("seal envelope", |b| {
        b.iter(|| key.seal(black_box(&envelope), black_box(&datagram)));
    });

    let mut packet = key.seal(&envelope, &datagram).to_vec();
    packet.extend_from_slice(&datagram);
    c.bench_function("open envelope", |b| {
        b.iter(|| key.open(black_box(&packet)));
    });
}

/// Measures the work between the receive and send system calls, for an established flow.
fn bench_forward(c: &mut Criterion) {
    let forwarder = Forwarder::new(keys(), [3; 16], MAX_DATAGRAM_LEN);
    let key = EnvelopeKey::new([4; 16]);
    let envelope = envelope();
    let view = view(7);
    let flows: Vec<_> = route_ids(7).iter().map(short_packet).collect();
    let mut flows = flows.iter().cycle();
    let mut packet = Vec::with_capacity(HEADER_LEN + MAX_DATAGRAM_LEN);
    c.bench_function("decide, seal and copy", |b| {
        b.iter(|| {
            let datagram = black_box(flows.next().expect("cycle"));
            let decision = forwarder.decide(SERVICE, datagram, &view, &RosterOnly);
            packet.clear();
            packet.extend_from_slice(&key.seal(&envelope, datagram));
            packet.extend_from_slice(datagram);
            black_box(&packet);
            decision
        });
    });
}

criterion_group!(
    packet,
    bench_route,
    bench_decide,
    bench_envelope,
    bench_forward
);
criterion_main!(packet);
