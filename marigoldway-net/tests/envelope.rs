//! Tests of envelopes, the authenticated headers before datagrams: an envelope is accepted
//! only with its key and its datagram.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use proptest::prelude::*;

use marigoldway_core::acceptance::Hop;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::ids::ServiceId;
use marigoldway_net::envelope::Direction;
use marigoldway_net::envelope::Envelope;
use marigoldway_net::envelope::EnvelopeKey;
use marigoldway_net::envelope::HEADER_LEN;

/// Number of leading datagram octets that the tag covers.
const COVERED_LEN: usize = 32;

fn arb_addr() -> impl Strategy<Value = SocketAddrV4> {
    (any::<u32>(), 1..u16::MAX)
        .prop_map(|(ip, port)| SocketAddrV4::new(Ipv4Addr::from_bits(ip), port))
}

fn arb_direction() -> impl Strategy<Value = Direction> {
    let id = || arb_addr().prop_map(InstanceId);
    prop_oneof![
        Just(Direction::Reply),
        Just(Direction::Inbound(Hop::Returned)),
        prop::option::of(id()).prop_map(|second| Direction::Inbound(Hop::Offered { second })),
        id().prop_map(|first| Direction::Inbound(Hop::Passed { first })),
    ]
}

fn arb_envelope() -> impl Strategy<Value = Envelope> {
    (arb_addr(), any::<u16>(), arb_direction()).prop_map(|(caller, service, direction)| Envelope {
        caller,
        service: ServiceId(service),
        direction,
    })
}

fn packet(key: &EnvelopeKey, envelope: &Envelope, datagram: &[u8]) -> Vec<u8> {
    let mut packet = key.seal(envelope, datagram).to_vec();
    packet.extend_from_slice(datagram);
    packet
}

proptest! {
    #[test]
    fn open_returns_sealed_envelope(
        envelope in arb_envelope(),
        datagram in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let key = EnvelopeKey::new([3; 16]);
        let packet = packet(&key, &envelope, &datagram);
        prop_assert_eq!(key.open(&packet), Some((envelope, &datagram[..])));
    }

    #[test]
    fn open_rejects_other_key(envelope in arb_envelope()) {
        let packet = packet(&EnvelopeKey::new([3; 16]), &envelope, b"datagram");
        prop_assert_eq!(EnvelopeKey::new([4; 16]).open(&packet), None);
    }

    #[test]
    fn open_rejects_flipped_bit(
        envelope in arb_envelope(),
        bit in 0..(HEADER_LEN + COVERED_LEN) * 8,
    ) {
        let key = EnvelopeKey::new([3; 16]);
        let mut packet = packet(&key, &envelope, &[7; 100]);
        packet[bit / 8] ^= 1 << (bit % 8);
        prop_assert_eq!(key.open(&packet), None);
    }

    #[test]
    fn open_rejects_arbitrary_octets(octets in prop::collection::vec(any::<u8>(), 0..64)) {
        prop_assert_eq!(EnvelopeKey::new([3; 16]).open(&octets), None);
    }
}
