//! The version-independent part of a QUIC packet header (RFC 8999), and the packet
//! type of QUIC version 1.

use crate::route::ROUTE_LEN;

/// Bit of the first octet that marks a long header.
const LONG_HEADER: u8 = 0x80;

/// Bits of the first octet that hold the packet type of a long header of QUIC
/// version 1. They are zero for an Initial packet.
const LONG_TYPE: u8 = 0x30;

/// Octets before the destination connection ID of a long header: the first
/// octet, the version and the length of the ID.
const LONG_PREFIX_LEN: usize = 6;

/// Maximum length of a connection ID of QUIC version 1, in octets.
const MAX_ID_LEN: usize = 20;

/// Minimum length of a datagram that carries an Initial packet, in octets
/// (RFC 9000, section 14.1).
pub const MIN_INITIAL_LEN: usize = 1_200;

/// Version number of QUIC version 1.
const VERSION_1: [u8; 4] = [0, 0, 0, 1];

/// Header fields that an entry reads from the first packet of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketHeader<'a> {
    /// The form of the header.
    pub form: Form,
    /// The destination connection ID. A short header does not contain the length of
    /// the ID, so [`ROUTE_LEN`] octets are taken.
    pub id: &'a [u8],
}

/// Header form, as far as it decides how a packet may affect flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// A long header that may open a flow: an Initial packet of version 1, or a
    /// packet of an unsupported version, which the agent has to answer.
    Opening,
    /// Any other long header of version 1, which belongs to a handshake in progress.
    Handshake,
    /// A short header.
    Short,
}

impl<'a> PacketHeader<'a> {
    /// Parses the header of the first packet of a datagram. Returns `None` if the
    /// datagram is too short or malformed.
    pub fn parse(datagram: &'a [u8]) -> Option<PacketHeader<'a>> {
        let first = *datagram.first()?;
        if first & LONG_HEADER == 0 {
            let id = datagram.get(1..=ROUTE_LEN)?;
            return Some(PacketHeader {
                form: Form::Short,
                id,
            });
        }

        let len = usize::from(*datagram.get(LONG_PREFIX_LEN - 1)?);
        if len > MAX_ID_LEN {
            return None;
        }
        let id = datagram.get(LONG_PREFIX_LEN..LONG_PREFIX_LEN + len)?;
        let is_version_1 = datagram[1..5] == VERSION_1;
        let form = if is_version_1 && first & LONG_TYPE != 0 {
            Form::Handshake
        } else {
            Form::Opening
        };
        Some(PacketHeader { form, id })
    }
}
