//! Relayed requests and their answers are unchanged by encoding and decoding.

use bytes::Bytes;
use proptest::prelude::*;

use marigoldway_core::request::Class;
use marigoldway_core::request::Refusal;
use marigoldway_core::request::UnknownReason;
use marigoldway_net::wire;
use marigoldway_net::wire::Frame;
use marigoldway_net::wire::octets::Octets;
use marigoldway_net::wire::relay::AnswerWire;
use marigoldway_net::wire::relay::EndingWire;
use marigoldway_net::wire::relay::GrantWire;
use marigoldway_net::wire::relay::RelayWire;
use marigoldway_net::wire::relay::RequestWire;

fn octets() -> impl Strategy<Value = Octets> {
    prop::collection::vec(any::<u8>(), 0..300).prop_map(|octets| Octets(octets.into()))
}

fn headers() -> impl Strategy<Value = Vec<(String, Octets)>> {
    prop::collection::vec(("[a-z-]{1,20}", octets()), 0..5)
}

fn access() -> impl Strategy<Value = Result<GrantWire, Refusal>> {
    let class = prop::sample::select(vec![Class::Feed, Class::Short, Class::Bulk]);
    let grant = (".{0,20}", any::<u64>(), class, any::<bool>());
    let grant = grant.prop_map(|(name, customer, class, repeatable)| GrantWire {
        name,
        customer,
        class,
        repeatable,
    });
    prop_oneof![
        grant.prop_map(Ok),
        prop::sample::select(Refusal::ALL.to_vec()).prop_map(Err),
    ]
}

fn ask() -> impl Strategy<Value = RelayWire> {
    let head = ("[A-Z]{1,8}", "/[a-z]{0,20}", headers(), octets());
    let rest = (any::<Option<u64>>(), any::<Option<String>>(), access());
    (any::<u64>(), any::<u16>(), head, any::<[u8; 32]>(), rest).prop_map(
        |(number, service, (method, path, headers, body), digest, (left, key, access))| {
            RelayWire::Ask(Box::new(RequestWire {
                number,
                service,
                method,
                path,
                headers,
                body,
                left,
                key,
                digest,
                access,
            }))
        },
    )
}

fn answer() -> impl Strategy<Value = RelayWire> {
    let done =
        (any::<u16>(), headers(), octets()).prop_map(|(status, headers, body)| EndingWire::Done {
            status,
            headers,
            body,
        });
    let ending = prop_oneof![
        done,
        prop::sample::select(Refusal::ALL.to_vec()).prop_map(EndingWire::NotRun),
        prop::sample::select(UnknownReason::ALL.to_vec()).prop_map(EndingWire::Unknown),
    ];
    (any::<u64>(), ending, any::<u32>(), any::<u32>()).prop_map(
        |(number, ending, free, waiting)| {
            RelayWire::Answer(Box::new(AnswerWire {
                number,
                ending,
                free,
                waiting,
            }))
        },
    )
}

proptest! {
    #[test]
    fn decode_returns_encoded_message(message in prop_oneof![ask(), answer()]) {
        let frame = Frame::Relay(message);
        let octets = wire::encode(&frame).unwrap();
        prop_assert_eq!(wire::decode::<Frame>(&octets).unwrap(), frame);
    }

    #[test]
    fn decode_arbitrary_octets(octets in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = wire::decode::<RelayWire>(&octets);
    }
}

#[test]
fn encode_body_as_byte_string() {
    let body = Octets(Bytes::from(vec![200; 10_000]));
    let octets = wire::encode(&body).unwrap();
    assert!(octets.len() < 10_010, "{}", octets.len());
}
