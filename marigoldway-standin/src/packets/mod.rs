//! Stand-ins that speak in flows of packets, as the users' platform does: its
//! store, a target, a client behind a router.

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

/// Key of the sum that ends put on their packets; the system doesn't know it.
const SUM_KEY: (u64, u64) = (0x6d61_7269, 0x676f_6c64);

/// Encodes a packet of one end of a flow.
pub(crate) fn encode(segment: &Segment, data: &[u8]) -> Vec<u8> {
    let mut octets = packet::encode_header(segment, sum(segment, data)).to_vec();
    octets.extend_from_slice(data);
    octets
}

/// Reads a packet, and says whether an end of the flow wrote it so.
pub(crate) fn decode(octets: &[u8]) -> Option<(Segment, bool)> {
    let segment = packet::decode(octets)?;
    let genuine = packet::checksum(octets) == Some(sum(&segment, packet::data(octets)));
    Some((segment, genuine))
}

/// The sum over all fields that ends write, never 0.
fn sum(segment: &Segment, data: &[u8]) -> u32 {
    let mut plain = *segment;
    plain.flags.bounced = false;
    let mut hasher = SipHasher13::new_with_keys(SUM_KEY.0, SUM_KEY.1);
    hasher.write(&packet::encode_header(&plain, 0));
    hasher.write(data);
    (hasher.finish() as u32).max(1)
}
