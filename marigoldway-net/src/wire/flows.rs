//! Format of the datagrams by which entries and agents forward packets and exchange facts
//! about flows.
//!
//! An entry is a process that receives clients' packets and forwards them to agents. An agent
//! is a process beside one target, a server that holds flows. The directory agents of a flow
//! are agents that a hash of the flow selects. They remember which agent's target holds it.
//!
//! Each message has a fixed binary layout in network byte order, since most are encoded
//! and decoded for each packet or each new flow. The first octet is the message type.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use zerocopy::FromBytes;
use zerocopy::Immutable;
use zerocopy::IntoBytes;
use zerocopy::KnownLayout;
use zerocopy::Unaligned;
use zerocopy::big_endian::U16;
use zerocopy::big_endian::U32;
use zerocopy::big_endian::U64;

use marigoldway_core::flow::key::FlowKey;
use marigoldway_core::flow::key::NameKey;
use marigoldway_core::flow::message::AgentRecord;
use marigoldway_core::flow::message::DirectoryEntry;
use marigoldway_core::flow::message::DirectoryUpdate;
use marigoldway_core::flow::message::FlowReport;
use marigoldway_core::flow::message::Header;
use marigoldway_core::flow::message::Hello;
use marigoldway_core::flow::message::Intent;
use marigoldway_core::flow::message::Load;
use marigoldway_core::flow::message::LoadLevel;
use marigoldway_core::flow::message::PlacementHint;
use marigoldway_core::flow::message::RefuseReason;
use marigoldway_core::flow::message::TargetState;
use marigoldway_core::flow::message::Verdict;
use marigoldway_core::flow::routes::Work;
use marigoldway_core::flow::routes::WorkClass;
use marigoldway_core::ids::InstanceId;

/// First octet of a message that consists of a header and a client's packet.
const PACKET: u8 = 0xe1;

/// First octet of a flow report.
const FLOW_REPORT: u8 = 0xe2;

/// First octet of a directory update.
const DIRECTORY_UPDATE: u8 = 0xe3;

/// First octet of a hello, by which an agent announces itself.
const HELLO: u8 = 0xe4;

/// First octet of a probe, which requests a hello.
const PROBE: u8 = 0xe5;

/// First octet of a list of flows that an agent's target doesn't hold.
const NOT_HELD: u8 = 0xe6;

/// First octet of a query that asks which flows an agent's target holds.
const QUERY: u8 = 0xe7;

/// First octet of a request to search flows among all agents of a service.
const SEARCH: u8 = 0xe8;

/// `Message` is the content of one datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Message<'a> {
    /// A client's packet behind the header that tells the receiver how to handle it.
    Packet(Header, &'a [u8]),
    /// An agent's report to an entry on the outcome of a flow, with the agent's load.
    FlowReport(FlowReport),
    /// Flows that an agent's target holds, for the directory agents of these flows.
    DirectoryUpdate(DirectoryUpdate),
    /// An agent's own record and load.
    Hello(Hello),
    /// A request for a hello, which checks whether an agent is alive.
    Probe,
    /// The flows of a query that the target of the answering agent doesn't hold.
    NotHeld(Vec<FlowKey>),
    /// A query that asks the receiving agent which of these flows its target holds, on behalf of
    /// an entry.
    Query(InstanceId, Vec<FlowKey>),
    /// An entry's request to search flows of this class among the agents that may hold them.
    Search(WorkClass, Vec<FlowKey>),
}

/// Length of the header before a client's packet in octets, including the message type.
pub const HEADER_LEN: usize = 1 + size_of::<WireHeader>();

/// Replaces the contents of `buffer` by a header and a client's packet.
pub fn write_packet(header: &Header, packet: &[u8], buffer: &mut Vec<u8>) {
    buffer.clear();
    buffer.push(PACKET);
    buffer.extend_from_slice(WireHeader::from(header).as_bytes());
    buffer.extend_from_slice(packet);
}

/// Encodes a flow report.
pub fn encode_flow_report(report: &FlowReport) -> Vec<u8> {
    encode(FLOW_REPORT, &WireFlowReport::from(report))
}

/// Encodes a directory update.
pub fn encode_directory_update(update: &DirectoryUpdate) -> Vec<u8> {
    let header = WireDirectoryUpdate {
        service: update.service.0.into(),
        owner: update.owner.0.into(),
    };
    let mut datagram = encode(DIRECTORY_UPDATE, &header);
    for entry in &update.flows {
        let wire = WireDirectoryEntry {
            flow: WireFlow::from(&entry.flow),
            origin: entry.origin.into(),
        };
        datagram.extend_from_slice(wire.as_bytes());
    }
    datagram
}

/// Encodes an agent's hello.
pub fn encode_hello(hello: &Hello) -> Vec<u8> {
    encode(HELLO, &WireHello::from(hello))
}

/// Encodes a probe.
pub fn encode_probe() -> Vec<u8> {
    vec![PROBE]
}

/// Encodes the flows that an agent's target doesn't hold.
pub fn encode_not_held(keys: &[FlowKey]) -> Vec<u8> {
    let mut datagram = vec![NOT_HELD];
    push_flows(&mut datagram, keys);
    datagram
}

/// Encodes a query, on behalf of `entry`, that asks which flows an agent's target holds.
pub fn encode_query(entry: InstanceId, keys: &[FlowKey]) -> Vec<u8> {
    let mut datagram = encode(QUERY, &WireAddr::from(entry.0));
    push_flows(&mut datagram, keys);
    datagram
}

/// Encodes a request to search flows of one class.
pub fn encode_search(class: WorkClass, keys: &[FlowKey]) -> Vec<u8> {
    let mut datagram = encode(SEARCH, &class_code(class));
    push_flows(&mut datagram, keys);
    datagram
}

/// Decodes a datagram. Returns `None` if its type, its length or one of its values is invalid.
/// Octets after the type of a probe are ignored.
pub fn decode(datagram: &[u8]) -> Option<Message<'_>> {
    let (kind, body) = datagram.split_first()?;
    match *kind {
        PACKET => {
            let (wire, packet) = WireHeader::ref_from_prefix(body).ok()?;
            Some(Message::Packet(Header::try_from(wire).ok()?, packet))
        }
        FLOW_REPORT => {
            let wire = WireFlowReport::ref_from_bytes(body).ok()?;
            Some(Message::FlowReport(FlowReport::try_from(wire).ok()?))
        }
        DIRECTORY_UPDATE => decode_directory_update(body).map(Message::DirectoryUpdate),
        HELLO => {
            let wire = WireHello::ref_from_bytes(body).ok()?;
            Some(Message::Hello(Hello::try_from(wire).ok()?))
        }
        PROBE => Some(Message::Probe),
        NOT_HELD => decode_flows(body).map(Message::NotHeld),
        QUERY => {
            let (entry, flows) = WireAddr::ref_from_prefix(body).ok()?;
            let entry = InstanceId(SocketAddrV4::from(*entry));
            Some(Message::Query(entry, decode_flows(flows)?))
        }
        SEARCH => {
            let (class, flows) = body.split_first()?;
            let class = decode_class(*class).ok()?;
            Some(Message::Search(class, decode_flows(flows)?))
        }
        _ => None,
    }
}

fn encode<T: IntoBytes + Immutable>(kind: u8, wire: &T) -> Vec<u8> {
    let mut datagram = Vec::with_capacity(1 + size_of::<T>());
    datagram.push(kind);
    datagram.extend_from_slice(wire.as_bytes());
    datagram
}

fn push_flows(datagram: &mut Vec<u8>, keys: &[FlowKey]) {
    for key in keys {
        datagram.extend_from_slice(WireFlow::from(key).as_bytes());
    }
}

fn decode_flows(body: &[u8]) -> Option<Vec<FlowKey>> {
    let wires = <[WireFlow]>::ref_from_bytes(body).ok()?;
    Some(wires.iter().map(|wire| FlowKey::from(*wire)).collect())
}

fn decode_directory_update(body: &[u8]) -> Option<DirectoryUpdate> {
    let (header, rest) = WireDirectoryUpdate::ref_from_prefix(body).ok()?;
    let flows = <[WireDirectoryEntry]>::ref_from_bytes(rest).ok()?;
    Some(DirectoryUpdate {
        service: NameKey(header.service.get()),
        owner: InstanceId(header.owner.into()),
        flows: flows
            .iter()
            .map(|wire| DirectoryEntry {
                flow: FlowKey::from(wire.flow),
                origin: wire.origin.get(),
            })
            .collect(),
    })
}

/// `InvalidValue` is the error for a received number that stands for no enum variant.
struct InvalidValue;

#[derive(Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct WireAddr {
    ip: U32,
    port: U16,
}

#[derive(Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct WireFlow {
    client: WireAddr,
    server: WireAddr,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct WireHeader {
    intent: u8,
    hops: u8,
    class: u8,
    /// 1 if directory agents search for the flow.
    search: u8,
    priority: u8,
    service: U64,
    version: U64,
    entry: WireAddr,
    /// Another agent, which [`Header::other`] describes; port 0 means none.
    other: WireAddr,
    objective_ms: U32,
    timeout_ms: U32,
    threshold: U16,
    /// Least loaded agent that forwarded the flow; port 0 means none.
    best: WireAddr,
    best_load: U16,
}

#[derive(Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct WireLoad {
    state: u8,
    slots: U16,
    running: U16,
    waiting: U16,
    opening: U16,
    flows: U32,
    /// Percentage of the latest requests that failed, 0 to 100.
    failing: u8,
    slow_start_ms: U32,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct WireFlowReport {
    verdict: u8,
    flow: WireFlow,
    load: WireLoad,
    version: U64,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct WireDirectoryUpdate {
    service: U64,
    owner: WireAddr,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct WireDirectoryEntry {
    flow: WireFlow,
    origin: U32,
}

/// `WireHello` is the layout of a [`Hello`]. The state and slots of the agent's record are
/// those of `load`.
#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct WireHello {
    id: WireAddr,
    incarnation: U64,
    number: U64,
    service: U64,
    domain: U64,
    /// 1 if the agent's table contains every flow that its target holds.
    complete: u8,
    /// 1 if the target may hold flows that other processes don't look for at the agent.
    strays: u8,
    /// Start time of the target in Unix milliseconds, or 0 if it isn't known.
    started_at: U64,
    load: WireLoad,
    version: U64,
}

impl From<SocketAddrV4> for WireAddr {
    fn from(addr: SocketAddrV4) -> WireAddr {
        WireAddr {
            ip: addr.ip().to_bits().into(),
            port: addr.port().into(),
        }
    }
}

impl From<WireAddr> for SocketAddrV4 {
    fn from(wire: WireAddr) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from_bits(wire.ip.get()), wire.port.get())
    }
}

impl From<&FlowKey> for WireFlow {
    fn from(flow: &FlowKey) -> WireFlow {
        WireFlow {
            client: flow.client.into(),
            server: flow.server.into(),
        }
    }
}

impl From<WireFlow> for FlowKey {
    fn from(wire: WireFlow) -> FlowKey {
        FlowKey {
            client: wire.client.into(),
            server: wire.server.into(),
        }
    }
}

impl From<&Header> for WireHeader {
    fn from(header: &Header) -> WireHeader {
        let none = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);
        let best = header.placement_hint.best;
        let best = best.map_or((none, LoadLevel::default()), |(id, load)| (id.0, load));
        WireHeader {
            intent: match header.intent {
                Intent::Open => 0,
                Intent::Owned => 1,
                Intent::Locate => 2,
                Intent::Search => 3,
            },
            hops: header.hops,
            class: class_code(header.work.class),
            search: u8::from(header.search),
            priority: header.work.priority,
            service: header.service.0.into(),
            version: header.version.into(),
            entry: header.entry.0.into(),
            other: header.other.map_or(none, |other| other.0).into(),
            objective_ms: millis(header.work.objective),
            timeout_ms: millis(header.work.timeout),
            threshold: header.placement_hint.threshold.0.into(),
            best: best.0.into(),
            best_load: best.1.0.into(),
        }
    }
}

impl TryFrom<&WireHeader> for Header {
    type Error = InvalidValue;

    fn try_from(wire: &WireHeader) -> Result<Header, InvalidValue> {
        let other = SocketAddrV4::from(wire.other);
        let best = SocketAddrV4::from(wire.best);
        let best_load = LoadLevel(wire.best_load.get());
        Ok(Header {
            intent: match wire.intent {
                0 => Intent::Open,
                1 => Intent::Owned,
                2 => Intent::Locate,
                3 => Intent::Search,
                _ => return Err(InvalidValue),
            },
            hops: wire.hops,
            service: NameKey(wire.service.get()),
            version: wire.version.get(),
            entry: InstanceId(wire.entry.into()),
            other: (other.port() > 0).then_some(InstanceId(other)),
            search: wire.search == 1,
            work: Work {
                class: decode_class(wire.class)?,
                priority: wire.priority,
                objective: duration(wire.objective_ms),
                timeout: duration(wire.timeout_ms),
            },
            placement_hint: PlacementHint {
                threshold: LoadLevel(wire.threshold.get()),
                best: (best.port() > 0).then_some((InstanceId(best), best_load)),
            },
        })
    }
}

impl From<&Load> for WireLoad {
    fn from(load: &Load) -> WireLoad {
        WireLoad {
            state: match load.state {
                TargetState::Serving => 0,
                TargetState::Draining => 1,
                TargetState::Absent => 2,
            },
            slots: load.slots.into(),
            running: load.running.into(),
            waiting: load.waiting.into(),
            opening: load.opening.into(),
            flows: load.flows.into(),
            failing: load.failing,
            slow_start_ms: millis(load.slow_start),
        }
    }
}

impl TryFrom<WireLoad> for Load {
    type Error = InvalidValue;

    fn try_from(wire: WireLoad) -> Result<Load, InvalidValue> {
        Ok(Load {
            state: match wire.state {
                0 => TargetState::Serving,
                1 => TargetState::Draining,
                2 => TargetState::Absent,
                _ => return Err(InvalidValue),
            },
            slots: wire.slots.get(),
            running: wire.running.get(),
            waiting: wire.waiting.get(),
            opening: wire.opening.get(),
            flows: wire.flows.get(),
            failing: wire.failing,
            slow_start: duration(wire.slow_start_ms),
        })
    }
}

impl From<&FlowReport> for WireFlowReport {
    fn from(report: &FlowReport) -> WireFlowReport {
        WireFlowReport {
            verdict: match report.verdict {
                Verdict::Holds => 0,
                Verdict::Refused(RefuseReason::Service) => 2,
                Verdict::Refused(RefuseReason::Version) => 3,
                Verdict::Refused(RefuseReason::Draining) => 4,
                Verdict::Refused(RefuseReason::Absent) => 5,
                Verdict::Refused(RefuseReason::Bounced) => 6,
                Verdict::Refused(RefuseReason::Silent) => 7,
                Verdict::PassedOn => 1,
                Verdict::Unknown => 8,
                Verdict::NotHeld => 9,
            },
            flow: WireFlow::from(&report.flow),
            load: WireLoad::from(&report.load),
            version: report.version.into(),
        }
    }
}

impl TryFrom<&WireFlowReport> for FlowReport {
    type Error = InvalidValue;

    fn try_from(wire: &WireFlowReport) -> Result<FlowReport, InvalidValue> {
        Ok(FlowReport {
            flow: FlowKey::from(wire.flow),
            verdict: match wire.verdict {
                0 => Verdict::Holds,
                2 => Verdict::Refused(RefuseReason::Service),
                3 => Verdict::Refused(RefuseReason::Version),
                4 => Verdict::Refused(RefuseReason::Draining),
                5 => Verdict::Refused(RefuseReason::Absent),
                6 => Verdict::Refused(RefuseReason::Bounced),
                7 => Verdict::Refused(RefuseReason::Silent),
                1 => Verdict::PassedOn,
                8 => Verdict::Unknown,
                9 => Verdict::NotHeld,
                _ => return Err(InvalidValue),
            },
            load: Load::try_from(wire.load)?,
            version: wire.version.get(),
        })
    }
}

impl From<&Hello> for WireHello {
    fn from(hello: &Hello) -> WireHello {
        WireHello {
            id: hello.record.id.0.into(),
            incarnation: hello.record.incarnation.into(),
            number: hello.record.number.into(),
            service: hello.record.service.0.into(),
            domain: hello.record.domain.0.into(),
            complete: u8::from(hello.record.complete),
            strays: u8::from(hello.record.strays),
            started_at: hello.record.started_at.unwrap_or(0).into(),
            load: WireLoad::from(&hello.load),
            version: hello.version.into(),
        }
    }
}

impl TryFrom<&WireHello> for Hello {
    type Error = InvalidValue;

    fn try_from(wire: &WireHello) -> Result<Hello, InvalidValue> {
        let load = Load::try_from(wire.load)?;
        Ok(Hello {
            record: AgentRecord {
                id: InstanceId(wire.id.into()),
                incarnation: wire.incarnation.get(),
                number: wire.number.get(),
                service: NameKey(wire.service.get()),
                domain: NameKey(wire.domain.get()),
                state: load.state,
                slots: load.slots,
                complete: wire.complete == 1,
                strays: wire.strays == 1,
                started_at: Some(wire.started_at.get()).filter(|it| *it > 0),
            },
            load,
            version: wire.version.get(),
        })
    }
}

fn class_code(class: WorkClass) -> u8 {
    match class {
        WorkClass::Safe => 0,
        WorkClass::Unsafe => 1,
        WorkClass::Upload => 2,
        WorkClass::Download => 3,
    }
}

fn decode_class(code: u8) -> Result<WorkClass, InvalidValue> {
    match code {
        0 => Ok(WorkClass::Safe),
        1 => Ok(WorkClass::Unsafe),
        2 => Ok(WorkClass::Upload),
        3 => Ok(WorkClass::Download),
        _ => Err(InvalidValue),
    }
}

/// Returns a duration in milliseconds. A longer one becomes [`u32::MAX`].
fn millis(span: Duration) -> U32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX).into()
}

fn duration(millis: U32) -> Duration {
    Duration::from_millis(u64::from(millis.get()))
}
