//! The header that entries and agents put before a QUIC datagram.
//!
//! It carries what the datagram itself can't: the caller's address and the
//! service. The header has a fixed binary form of [`HEADER_LEN`] octets, since
//! it is made and read for each packet; the control channel uses CBOR. A tag
//! over the header and the start of the datagram keeps processes that don't
//! hold the fleet's key from naming callers.

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

/// Longest QUIC datagram that the system carries, in octets. With the header it
/// stays below the 1,472 octets that an Ethernet frame leaves to UDP over IPv4.
pub const MAX_DATAGRAM_LEN: usize = 1_440;

/// First octet of every header; the low bits hold the version of the format.
const MAGIC: u8 = 0xd1;

/// Octets of the datagram that the tag covers: a short header's first octet and
/// connection ID, or the start of a long header.
const COVERED_LEN: usize = 32;

/// Flag: the datagram goes from an agent to a caller.
const FLAG_REPLY: u8 = 0b001;

/// Flag: the first candidate passed the datagram on.
const FLAG_PASSED: u8 = 0b010;

/// Flag: the second candidate gave the datagram back.
const FLAG_RETURNED: u8 = 0b100;

/// `Wire` is the header as it stands before the datagram.
#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
struct Wire {
    magic: u8,
    flags: u8,
    service: U16,
    caller_ip: [u8; 4],
    caller_port: U16,
    /// The other candidate for a new flow, port 0 for none.
    other_ip: [u8; 4],
    other_port: U16,
    tag: [u8; 8],
}

/// `Direction` says which way a datagram travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From a caller to an agent, by the given hop.
    Inbound(Hop),
    /// From an agent to a caller.
    Reply,
}

/// `Envelope` is the checked content of a header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The caller's address as the entry saw it.
    pub caller: SocketAddrV4,
    /// The service that the caller asked for.
    pub service: ServiceId,
    /// The way of the datagram.
    pub direction: Direction,
}

/// `EnvelopeKey` authenticates headers.
#[derive(Clone, Copy)]
pub struct EnvelopeKey([u8; 16]);

impl EnvelopeKey {
    /// Makes a key from 16 octets.
    pub fn new(key: [u8; 16]) -> EnvelopeKey {
        EnvelopeKey(key)
    }

    /// The header of `datagram`.
    pub fn seal(&self, envelope: &Envelope, datagram: &[u8]) -> [u8; HEADER_LEN] {
        let mut wire = Wire::from(envelope);
        wire.tag = self.tag(&wire, datagram);
        zerocopy::transmute!(wire)
    }

    /// Parts a packet into its envelope and its datagram, or gives `None` for
    /// one that is too short or was not made with this key.
    pub fn open<'a>(&self, packet: &'a [u8]) -> Option<(Envelope, &'a [u8])> {
        let (wire, datagram) = Wire::ref_from_prefix(packet).ok()?;
        if wire.magic != MAGIC || wire.tag != self.tag(wire, datagram) {
            return None;
        }
        Some((Envelope::from(wire), datagram))
    }

    fn tag(&self, wire: &Wire, datagram: &[u8]) -> [u8; 8] {
        let header = wire.as_bytes();
        let covered = &datagram[..datagram.len().min(COVERED_LEN)];

        let mut hasher = SipHasher24::new_with_key(&self.0);
        hasher.write(&header[..HEADER_LEN - wire.tag.len()]);
        hasher.write(covered);
        hasher.write_u64(datagram.len() as u64);
        hasher.finish().to_be_bytes()
    }
}

impl From<&Envelope> for Wire {
    fn from(envelope: &Envelope) -> Wire {
        let (flags, other) = match envelope.direction {
            Direction::Reply => (FLAG_REPLY, None),
            Direction::Inbound(Hop::Offered { second }) => (0, second),
            Direction::Inbound(Hop::Passed { first }) => (FLAG_PASSED, Some(first)),
            Direction::Inbound(Hop::Returned) => (FLAG_RETURNED, None),
        };
        let other = other.map_or(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0), |id| id.0);
        Wire {
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

impl From<&Wire> for Envelope {
    fn from(wire: &Wire) -> Envelope {
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
