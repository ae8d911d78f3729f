//! The header that entries and agents prepend to a QUIC datagram.
//!
//! An entry is a process that receives callers' datagrams and forwards them to agents. An
//! agent is a process beside one target. The header carries what the datagram doesn't
//! contain: the caller's address and the service. An envelope is the content of the header.
//!
//! The header has a fixed binary layout of [`HEADER_LEN`] octets, since it is encoded and
//! decoded for each packet; the control channel uses CBOR. An authentication tag prevents
//! processes without the fleet's key from forging caller addresses. The tag covers the
//! header, and the start and the length of the datagram.

use std::hash::Hasher;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use siphasher::sip::SipHasher24;
use zerocopy::FromBytes;
use zerocopy::Immutable;
use zerocopy::IntoBytes;
use zerocopy::KnownLayout;
use zerocopy::Unaligned;
use zerocopy::big_endian::U16;

use marigoldway_core::acceptance::Hop;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::ids::ServiceId;

/// Length of the header in octets.
pub const HEADER_LEN: usize = 24;

/// Maximum length of a QUIC datagram behind a header, in octets. Header and datagram together
/// stay below the 1,472 octets that an Ethernet frame leaves for a UDP payload over IPv4.
pub const MAX_DATAGRAM_LEN: usize = 1_440;

/// First octet of every header; its low bits hold the format version.
const MAGIC: u8 = 0xd1;

/// Number of leading datagram octets that the tag covers: the first octet and the
/// connection ID of a short header, or the start of a long header.
const COVERED_LEN: usize = 32;

/// Flag: the datagram goes from an agent to a caller.
const FLAG_REPLY: u8 = 0b001;

/// Flag: the first candidate agent for a new flow forwarded the datagram to the second.
const FLAG_PASSED: u8 = 0b010;

/// Flag: the second candidate agent returned the datagram to the first.
const FLAG_RETURNED: u8 = 0b100;

/// `WireHeader` is the binary layout of the header, in network byte order.
#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct WireHeader {
    magic: u8,
    flags: u8,
    service: U16,
    caller_ip: [u8; 4],
    caller_port: U16,
    /// The other one of the two candidate agents for a new flow; port 0 means none.
    other_ip: [u8; 4],
    other_port: U16,
    tag: [u8; 8],
}

/// `Direction` is the direction of a datagram between caller and agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From a caller to an agent. The hop tells which process sent the datagram to the
    /// receiver, and why.
    Inbound(Hop),
    /// From an agent to a caller.
    Reply,
}

/// `Envelope` is the content of an authenticated header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The caller's address, as the entry received it.
    pub caller: SocketAddrV4,
    /// The service whose address the caller sent to.
    pub service: ServiceId,
    /// The direction of the datagram.
    pub direction: Direction,
}

/// `EnvelopeKey` is the fleet's key that authenticates headers with SipHash-2-4.
#[derive(Clone, Copy)]
pub struct EnvelopeKey([u8; 16]);

impl EnvelopeKey {
    /// Creates a key from 16 octets.
    pub fn new(key: [u8; 16]) -> EnvelopeKey {
        EnvelopeKey(key)
    }

    /// Returns the header with `envelope` and the tag for `datagram`. The caller prepends it
    /// to the datagram.
    pub fn seal(&self, envelope: &Envelope, datagram: &[u8]) -> [u8; HEADER_LEN] {
        let mut wire = WireHeader::from(envelope);
        wire.tag = self.tag(&wire, datagram);
        zerocopy::transmute!(wire)
    }

    /// Splits a packet into its envelope and its datagram. Returns `None` if the packet is
    /// too short, its header has another format version, or its tag wasn't made with this key.
    pub fn open<'a>(&self, packet: &'a [u8]) -> Option<(Envelope, &'a [u8])> {
        let (wire, datagram) = WireHeader::ref_from_prefix(packet).ok()?;
        if wire.magic != MAGIC || wire.tag != self.tag(wire, datagram) {
            return None;
        }
        Some((Envelope::from(wire), datagram))
    }

    fn tag(&self, wire: &WireHeader, datagram: &[u8]) -> [u8; 8] {
        let header = wire.as_bytes();
        let covered = &datagram[..datagram.len().min(COVERED_LEN)];

        let mut hasher = SipHasher24::new_with_key(&self.0);
        hasher.write(&header[..HEADER_LEN - wire.tag.len()]);
        hasher.write(covered);
        hasher.write_u64(datagram.len() as u64);
        hasher.finish().to_be_bytes()
    }
}

impl From<&Envelope> for WireHeader {
    fn from(envelope: &Envelope) -> WireHeader {
        let (flags, other) = match envelope.direction {
            Direction::Reply => (FLAG_REPLY, None),
            Direction::Inbound(Hop::Offered { second }) => (0, second),
            Direction::Inbound(Hop::Passed { first }) => (FLAG_PASSED, Some(first)),
            Direction::Inbound(Hop::Returned) => (FLAG_RETURNED, None),
        };
        let other = other.map_or(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0), |id| id.0);
        WireHeader {
            magic: MAGIC,
            flags,
            service: U16::new(envelope.service.0),
            caller_ip: envelope.caller.ip().octets(),
            caller_port: U16::new(envelope.caller.port()),
            other_ip: other.ip().octets(),
            other_port: U16::new(other.port()),
            tag: [0; 8],
        }
    }
}

impl From<&WireHeader> for Envelope {
    fn from(wire: &WireHeader) -> Envelope {
        let port = wire.other_port.get();
        let other = (port != 0).then(|| InstanceId::new(wire.other_ip.into(), port));
        let direction = match (wire.flags, other) {
            (FLAG_REPLY, _) => Direction::Reply,
            (FLAG_PASSED, Some(first)) => Direction::Inbound(Hop::Passed { first }),
            (FLAG_RETURNED, _) => Direction::Inbound(Hop::Returned),
            (_, second) => Direction::Inbound(Hop::Offered { second }),
        };
        Envelope {
            caller: SocketAddrV4::new(wire.caller_ip.into(), wire.caller_port.get()),
            service: ServiceId(wire.service.get()),
            direction,
        }
    }
}
