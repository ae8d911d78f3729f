//! Packets of the clients and targets of the model.

use std::net::Ipv4Addr;

use marigoldway_core::flow::key::FlowKey;
use marigoldway_core::flow::segment::Answer;
use marigoldway_core::flow::segment::Flags;
use marigoldway_core::flow::segment::Segment;
use marigoldway_core::ids::InstanceId;

pub(super) fn entry_id(n: usize) -> InstanceId {
    InstanceId::new(Ipv4Addr::new(10, 1, 0, n as u8), 7_000)
}

pub(super) fn client_packet(flow: FlowKey, syn: bool, seq: u32, ack: u32, len: u16) -> Segment {
    Segment {
        source: flow.client,
        dest: flow.server,
        flags: Flags {
            syn,
            ack: !syn,
            ..Flags::default()
        },
        seq,
        ack,
        len,
        answer: None,
    }
}

pub(super) fn target_packet(
    flow: FlowKey,
    syn: bool,
    seq: u32,
    len: u16,
    answer: Option<Answer>,
) -> Segment {
    Segment {
        source: flow.server,
        dest: flow.client,
        flags: Flags {
            syn,
            ack: true,
            ..Flags::default()
        },
        seq,
        ack: 8,
        len,
        answer,
    }
}

/// The octets of a client's packet that the model needs again when the packet is released.
pub(super) fn encode(segment: &Segment) -> Vec<u8> {
    let mut octets = segment.seq.to_le_bytes().to_vec();
    octets.extend(segment.ack.to_le_bytes());
    octets.extend(segment.len.to_le_bytes());
    octets
}

pub(super) fn decode(flow: FlowKey, octets: &[u8]) -> Segment {
    let word = |at: usize| u32::from_le_bytes(octets[at..at + 4].try_into().unwrap());
    let len = u16::from_le_bytes(octets[8..10].try_into().unwrap());
    client_packet(flow, false, word(0), word(4), len)
}
