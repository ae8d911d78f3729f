//! The record of moved routes and the routes beside it survive their encoding.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use indexmap::IndexMap;

use marigoldway_core::flow::key::NameKey;
use marigoldway_core::flow::route_moves::RouteBase;
use marigoldway_core::flow::route_moves::RouteMoves;
use marigoldway_core::replica::epoch::Epoch;
use marigoldway_net::wire::moves;

fn services() -> IndexMap<SocketAddrV4, Vec<NameKey>> {
    let addr = |port| SocketAddrV4::new(Ipv4Addr::new(198, 51, 100, 1), port);
    let (orders, papers) = (NameKey::from("orders"), NameKey::from("papers"));
    IndexMap::from([
        (addr(443), vec![orders]),
        (addr(444), vec![orders, papers]),
        (addr(445), vec![orders]),
    ])
}

#[test]
fn decode_moves_restores_the_record() {
    let record = RouteMoves {
        epoch: Epoch(2),
        version: 7,
        revision: 31,
        complete: true,
        moved: services(),
    };
    let value = moves::encode_moves(&record);
    assert_eq!(moves::decode_moves(&value).unwrap(), record);
}

#[test]
fn decode_moves_rejects_other_values() {
    assert!(moves::decode_moves(b"[1]").is_err());
}

#[test]
fn decode_base_restores_the_routes() {
    let base = RouteBase {
        version: 7,
        services: services(),
    };
    let value = moves::encode_base(&base);
    assert_eq!(moves::decode_base(&value).unwrap(), base);
}

#[test]
fn decode_base_rejects_other_values() {
    assert!(moves::decode_base(b"{}").is_err());
}
