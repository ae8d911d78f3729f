//! Format of the datagrams by which entries and agents forward packets and exchange facts
//! about flows.
//!
//! An entry is a process that receives clients' packets and forwards them to agents. An agent
//! is a process beside one target, a server that holds flows. The directory agents of a flow
//! are agents that a hash of the flow selects. They remember which agent's target holds it.
//!
//! Each message has a fixed binary layout in network byte order, since most are encoded
//! and decoded for each packet or each new flow. The first octet is the message type.

mod layout;
mod load;

use std::net::SocketAddrV4;

use zerocopy::FromBytes;
use zerocopy::Immutable;
use zerocopy::IntoBytes;

use marigoldway_core::flow::key::FlowKey;
use marigoldway_core::flow::key::NameKey;
use marigoldway_core::flow::message::DirectoryEntry;
use marigoldway_core::flow::message::DirectoryUpdate;
use marigoldway_core::flow::message::FlowReport;
use marigoldway_core::flow::message::Header;
use marigoldway_core::flow::message::Hello;
use marigoldway_core::flow::routes::WorkClass;
use marigoldway_core::ids::InstanceId;

use crate::wire::flows::layout::WireAddr;
use crate::wire::flows::layout::WireDirectoryEntry;
use crate::wire::flows::layout::WireDirectoryUpdate;
use crate::wire::flows::layout::WireFlow;
use crate::wire::flows::layout::WireFlowReport;
use crate::wire::flows::layout::WireHeader;
use crate::wire::flows::layout::WireHello;

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
    let mut datagram = encode(SEARCH, &layout::class_code(class));
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
            let class = layout::decode_class(*class).ok()?;
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
