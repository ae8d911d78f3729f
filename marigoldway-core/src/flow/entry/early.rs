//! Keeps the packets that reach an entry before it has the configuration and the agents that they
//! need: a starting entry has none yet, and another entry may lack the newest routes.
//!
//! After all processes have ended together, routers send the packets of all clients to entries that
//! have just started. A client repeats a packet only after up to 1.6 s then, so a packet that is
//! dropped costs far more than the tenths of a second until the entry can forward it.

use std::time::Duration;

use indexmap::IndexMap;

use crate::flow::key::FlowKey;
use crate::flow::segment::Segment;
use crate::time::Timestamp;

/// Time for which a packet is kept. A later one would arrive after the client has repeated it.
const PACKET_LIFETIME: Duration = Duration::from_secs(1);

/// Maximum number of packets. They take less than a megabyte.
const MAX_PACKETS: usize = 512;

/// `EarlyPackets` holds packets of clients with the time of their arrival, in that order. Of several
/// copies of a packet it keeps one.
#[derive(Debug, Default)]
pub struct EarlyPackets {
    packets: IndexMap<PacketKey, (Timestamp, Vec<u8>)>,
}

/// What copies of one packet have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PacketKey {
    flow: FlowKey,
    seq: u32,
    len: u16,
}

impl EarlyPackets {
    /// Keeps a packet. Has no effect if `MAX_PACKETS` others are kept.
    pub fn push(&mut self, now: Timestamp, segment: &Segment, octets: &[u8]) {
        let key = PacketKey {
            flow: segment.inbound_flow(),
            seq: segment.seq,
            len: segment.len,
        };
        if self.packets.len() < MAX_PACKETS || self.packets.contains_key(&key) {
            self.packets.insert(key, (now, octets.to_vec()));
        }
    }

    /// Removes all packets, and returns those that aren't older than `PACKET_LIFETIME`, with the
    /// time of their arrival.
    pub fn take(&mut self, now: Timestamp) -> Vec<(Timestamp, Vec<u8>)> {
        let packets = std::mem::take(&mut self.packets).into_values();
        let recent = packets.filter(|(at, _)| now.since(*at) <= PACKET_LIFETIME);
        recent.collect()
    }

    /// Whether no packets are kept.
    pub fn is_empty(&self) -> bool {
        self.packets.is_empty()
    }
}
