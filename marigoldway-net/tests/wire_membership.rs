//! Membership messages are unchanged by encoding and decoding.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use proptest::prelude::*;

use marigoldway_core::ids::DomainId;
use marigoldway_core::ids::Incarnation;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::ids::RegionId;
use marigoldway_core::ids::ServiceId;
use marigoldway_core::message::Ack;
use marigoldway_core::message::Delta;
use marigoldway_core::message::Digest;
use marigoldway_core::message::DomainCounter;
use marigoldway_core::message::Heartbeat;
use marigoldway_core::message::Load;
use marigoldway_core::message::Message;
use marigoldway_core::message::RecordSummary;
use marigoldway_core::message::Scope;
use marigoldway_core::roster::Record;
use marigoldway_core::roster::Role;
use marigoldway_core::roster::State;
use marigoldway_net::wire::Frame;
use marigoldway_net::wire::decode;
use marigoldway_net::wire::encode;
use marigoldway_net::wire::membership::MembershipWire;

const STATES: [State; 5] = [
    State::Starting,
    State::Serving,
    State::Leaving,
    State::Suspect,
    State::Down,
];

fn arb_addr() -> impl Strategy<Value = SocketAddrV4> {
    any::<(u32, u16)>().prop_map(|(ip, port)| SocketAddrV4::new(Ipv4Addr::from_bits(ip), port))
}

prop_compose! {
    fn arb_record()(
        id in arb_addr(),
        control in arb_addr(),
        (incarnation, version, weight) in any::<(u32, u32, u16)>(),
        service in any::<Option<u16>>(),
        (domain, region) in any::<(u8, u8)>(),
        state in prop::sample::select(&STATES),
    ) -> Record {
        Record {
            id: InstanceId(id),
            incarnation: Incarnation(incarnation),
            role: service.map_or(Role::Entry, |_| Role::Agent),
            service: service.map(ServiceId),
            domain: DomainId(domain),
            region: RegionId(region),
            control,
            state,
            version,
            weight,
        }
    }
}

fn arb_heartbeat() -> impl Strategy<Value = Message> {
    let parts = any::<(u32, u32, Option<u32>, u64)>();
    (arb_addr(), parts).prop_map(|(id, (incarnation, version, sum, revision))| {
        Message::Heartbeat(Heartbeat {
            id: InstanceId(id),
            incarnation: Incarnation(incarnation),
            version,
            sum,
            revision,
        })
    })
}

fn arb_ack() -> impl Strategy<Value = Message> {
    let summary = prop::option::of((any::<(u32, u32)>(), prop::sample::select(&STATES)));
    let parts = any::<(u32, Vec<u8>, u64)>();
    (summary, parts).prop_map(|(summary, (number, lost, revision))| {
        Message::Ack(Ack {
            record: summary.map(|((incarnation, version), state)| RecordSummary {
                incarnation: Incarnation(incarnation),
                version,
                state,
            }),
            number,
            lost: lost.into_iter().map(DomainId).collect(),
            revision,
        })
    })
}

fn arb_delta() -> impl Strategy<Value = Message> {
    let records = prop::collection::vec(arb_record(), 0..4);
    let counters = prop::collection::vec(any::<(u8, u64)>(), 0..4);
    (records, counters).prop_map(|(records, counters)| {
        let counter = |(domain, count)| DomainCounter {
            domain: DomainId(domain),
            count,
        };
        let counters = counters.into_iter().map(counter).collect();
        Message::Delta(Delta { records, counters })
    })
}

fn arb_digest() -> impl Strategy<Value = Message> {
    let parts = any::<(Option<u16>, u32, bool)>();
    (parts, 0..5_u32, any::<u32>()).prop_map(|((service, count, reply), power, seed)| {
        Message::Digest(Digest {
            scope: service.map_or(Scope::All, |it| Scope::Service(ServiceId(it))),
            count,
            sums: (0..1 << power).map(|n| seed.wrapping_mul(n + 1)).collect(),
            reply,
        })
    })
}

fn arb_message() -> impl Strategy<Value = Message> {
    let inquiry = |(id, number)| Message::Inquiry {
        id: InstanceId(id),
        number,
    };
    let load = |(id, flows)| {
        Message::Load(Load {
            id: InstanceId(id),
            flows,
        })
    };
    prop_oneof![
        arb_heartbeat(),
        arb_ack(),
        Just(Message::Probe),
        (arb_addr(), any::<u32>()).prop_map(inquiry),
        arb_delta(),
        arb_digest(),
        (arb_addr(), any::<u32>()).prop_map(load),
    ]
}

proptest! {
    #[test]
    fn decode_returns_encoded_message(message in arb_message()) {
        let frame = Frame::Membership(MembershipWire::from(&message));
        let octets = encode(&frame).unwrap();
        let Frame::Membership(wire) = decode(&octets).unwrap() else {
            return Err(TestCaseError::fail("decoded another kind of frame"));
        };
        prop_assert_eq!(Message::try_from(wire).unwrap(), message);
    }

    #[test]
    fn decode_arbitrary_octets(octets in prop::collection::vec(any::<u8>(), 0..200)) {
        if let Ok(Frame::Membership(wire)) = decode(&octets) {
            let _ = Message::try_from(wire);
        }
    }

    #[test]
    fn decode_rejects_truncated_message(message in arb_message(), cut in 0.0..1.0_f64) {
        let octets = encode(&Frame::Membership(MembershipWire::from(&message))).unwrap();
        let len = (octets.len() as f64 * cut) as usize;
        prop_assert!(decode::<Frame>(&octets[..len]).is_err());
    }
}

#[test]
fn encode_record_length() {
    let record = Record {
        id: InstanceId::new(Ipv4Addr::new(10, 20, 30, 40), 7000),
        incarnation: Incarnation(300_000_000),
        role: Role::Agent,
        service: Some(ServiceId(4_800)),
        domain: DomainId(7),
        region: RegionId(3),
        control: SocketAddrV4::new(Ipv4Addr::new(10, 20, 30, 40), 7001),
        state: State::Serving,
        version: 300,
        weight: 100,
    };
    let delta = |count| Delta {
        records: vec![record.clone(); count],
        counters: Vec::new(),
    };
    let len = |count| {
        let message = Message::Delta(delta(count));
        encode(&MembershipWire::from(&message)).unwrap().len()
    };
    // The gossip budget assumes a record length of 40 octets.
    assert!(len(11) - len(10) <= 40, "{}", len(11) - len(10));
}
