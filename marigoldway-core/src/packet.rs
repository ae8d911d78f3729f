//! The part of a QUIC packet that every version shares (RFC 8999).

use crate::route::ROUTE_LEN;

/// Bit of the first octet that marks a long header.
const LONG_HEADER: u8 = 0x80;

/// Bits of the first octet that hold the packet type of a long header.
const LONG_TYPE: u8 = 0x30;

/// Octets before the destination connection ID of a long header: the first
/// octet, the version and the length of the ID.
const LONG_PREFIX_LEN: usize = 6;

/// Longest connection ID of QUIC version 1, in octets.
const MAX_ID_LEN: usize = 20;

/// Least length of a datagram that carries an Initial, in octets (RFC 9000,
/// section 14.1).
pub const MIN_INITIAL_LEN: usize = 1_200;

/// Version number of QUIC version 1.
const VERSION_1: [u8; 4] = [0, 0, 0, 1];

/// `PacketHeader` is what an entry reads of a datagram's first packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PacketHeader<'a> {
    /// The form of the header.
    pub form: Form,
    /// The destination connection ID.
    pub id: &'a [u8],
}

/// `Form` sorts packets by what they may do to flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// A long header that may open a flow: an Initial of version 1, or a
    /// version that isn't known here and that the agent has to answer.
    Opening,
    /// A long header that belongs to a handshake in progress.
    Handshake,
    /// A short header.
    Short,
}

impl<'a> PacketHeader<'a> {
    /// Reads the head of a datagram, or gives `None` for one that is too short
    /// or breaks the format.
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
        let known = datagram[1..5] == VERSION_1;
        let form = if known && first & LONG_TYPE != 0 {
            Form::Handshake
        } else {
            Form::Opening
        };
        Some(PacketHeader { form, id })
    }
}
