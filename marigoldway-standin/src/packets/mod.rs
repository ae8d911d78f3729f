//! Stand-ins for the users' platform, on which the soak runs: the store, a target, and a client
//! behind a router. A flow is a connection of a client, carried in packets of the system's format.

pub(crate) mod client;
pub(crate) mod http;
pub(crate) mod proxy;
pub(crate) mod router;
pub(crate) mod store;
pub(crate) mod stream;
pub(crate) mod target;

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use marigoldway_core::flow::segment::Segment;
use marigoldway_platform::packet;

/// Key of the checksum that both ends of a flow write. The system doesn't know the key.
const CHECKSUM_KEY: (u64, u64) = (0x6d61_7269, 0x676f_6c64);

/// Encodes a packet with its checksum, as an end of a flow does.
pub(crate) fn encode(segment: &Segment, data: &[u8]) -> Vec<u8> {
    let mut octets = packet::encode_header(segment, checksum(segment, data)).to_vec();
    octets.extend_from_slice(data);
    octets
}

/// Decodes a packet, and returns whether its checksum is that of an end of the
/// flow. Returns `None` if the packet is unreadable.
pub(crate) fn decode(octets: &[u8]) -> Option<(Segment, bool)> {
    let segment = packet::decode(octets)?;
    let valid = packet::checksum(octets) == Some(checksum(&segment, packet::data(octets)));
    Some((segment, valid))
}

/// The checksum over all fields that the ends write, never 0. The bounced flag,
/// which is set on a packet that is returned, isn't covered.
fn checksum(segment: &Segment, data: &[u8]) -> u32 {
    let mut covered = *segment;
    covered.flags.bounced = false;
    let mut hasher = SipHasher13::new_with_keys(CHECKSUM_KEY.0, CHECKSUM_KEY.1);
    hasher.write(&packet::encode_header(&covered, 0));
    hasher.write(data);
    (hasher.finish() as u32).max(1)
}
