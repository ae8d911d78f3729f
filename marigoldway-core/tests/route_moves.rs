//! The record of moved routes is complete only as far as every configuration was seen.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use marigoldway_core::flow::key::NameKey;
use marigoldway_core::flow::route_moves::Continuity;
use marigoldway_core::flow::route_moves::MoveRecorder;
use marigoldway_core::flow::route_moves::RouteBase;
use marigoldway_core::flow::route_moves::RouteMoves;
use marigoldway_core::flow::routes::Route;
use marigoldway_core::flow::routes::Routes;
use marigoldway_core::flow::routes::Share;
use marigoldway_core::flow::routes::Work;
use marigoldway_core::flow::routes::WorkClass;
use marigoldway_core::replica::epoch::Epoch;
use marigoldway_core::time::Timestamp;

const RETENTION: Duration = Duration::from_secs(60);

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(seconds * 1_000)
}

fn addr(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 51, 100, 1), port)
}

/// Configuration that assigns each port to a service.
fn routes(version: u64, ports: &[(u16, &str)]) -> Arc<Routes> {
    let work = Work {
        class: WorkClass::Safe,
        priority: 0,
        objective: Duration::from_millis(200),
        timeout: Duration::from_secs(2),
    };
    let by_addr = ports.iter().map(|(port, service)| {
        let service = NameKey::from(*service);
        let shares = vec![Share { service, weight: 1 }];
        (addr(*port), Route { work, shares })
    });
    Arc::new(Routes {
        version,
        by_addr: by_addr.collect(),
        ..Routes::default()
    })
}

/// A recorder that has seen the first configuration of all, and the record that it has written.
fn recorder_of_the_first() -> (MoveRecorder, RouteMoves) {
    let mut recorder = MoveRecorder::new(RETENTION);
    let first = routes(3, &[(443, "orders"), (444, "papers")]);
    recorder.on_routes(at(0), first, 0, Continuity::Unknown);
    recorder.set_stored(at(0), None);
    assert!(recorder.lacks_origin());
    recorder.on_oldest(3);
    assert!(!recorder.lacks_origin());
    let moves = recorder.due(at(0)).unwrap();
    recorder.set_stored(at(0), Some(moves.clone()));
    (recorder, moves)
}

#[test]
fn record_is_complete_from_the_first_configuration_on() {
    let (mut recorder, moves) = recorder_of_the_first();
    assert!(moves.complete && moves.moved.is_empty());
    assert_eq!(recorder.due(at(1)), None);
}

#[test]
fn record_has_a_service_that_a_route_has_lost_for_the_lifetime_of_a_flow() {
    let (mut recorder, _) = recorder_of_the_first();
    let next = routes(5, &[(443, "papers"), (444, "papers"), (445, "orders")]);
    recorder.on_routes(at(10), next, 0, Continuity::Next);
    let moves = recorder.due(at(10)).unwrap();
    let expected = IndexMap::from([(addr(443), vec![NameKey::from("orders")])]);
    assert_eq!((moves.version, moves.complete), (5, true));
    assert_eq!(moves.moved, expected);
    recorder.set_stored(at(10), Some(moves));
    assert_eq!(recorder.due(at(70)), None);
    let moves = recorder.due(at(71)).unwrap();
    assert!(moves.complete && moves.moved.is_empty());
}

#[test]
fn record_leaves_out_routes_that_were_dropped() {
    let (mut recorder, _) = recorder_of_the_first();
    recorder.on_routes(at(1), routes(4, &[(444, "papers")]), 0, Continuity::Next);
    let moves = recorder.due(at(1)).unwrap();
    assert!(moves.complete && moves.moved.is_empty());
}

/// Guards against evidence from a process that has missed configurations: flows may be at services
/// that only these named.
#[test]
fn record_is_incomplete_for_the_lifetime_of_a_flow_after_a_gap() {
    let (mut recorder, _) = recorder_of_the_first();
    let later = routes(9, &[(443, "orders"), (444, "papers")]);
    recorder.on_routes(at(10), later, 0, Continuity::Unknown);
    let moves = recorder.due(at(10)).unwrap();
    assert_eq!((moves.version, moves.complete), (9, false));
    recorder.set_stored(at(10), Some(moves));
    assert_eq!(recorder.due(at(70)), None);
    assert!(recorder.due(at(71)).unwrap().complete);
}

#[test]
fn record_of_another_follower_is_continued() {
    let (_, moves) = recorder_of_the_first();
    let mut second = MoveRecorder::new(RETENTION);
    let first = routes(3, &[(443, "orders"), (444, "papers")]);
    second.on_routes(at(20), first, 0, Continuity::Unknown);
    second.set_stored(at(20), Some(moves));
    assert_eq!(second.due(at(20)), None);
    let next = routes(4, &[(443, "papers"), (444, "papers")]);
    second.on_routes(at(21), next, 0, Continuity::Next);
    let moves = second.due(at(21)).unwrap();
    assert!(moves.complete && moves.moved.contains_key(&addr(443)));
}

/// Guards against a record that claims what no living process has seen.
#[test]
fn record_isnt_continued_by_a_follower_that_started_after_the_next_configuration() {
    let (_, moves) = recorder_of_the_first();
    let mut second = MoveRecorder::new(RETENTION);
    second.on_routes(
        at(20),
        routes(4, &[(443, "papers")]),
        0,
        Continuity::Unknown,
    );
    second.set_stored(at(20), Some(moves));
    assert!(!second.due(at(20)).unwrap().complete);
}

/// Guards against a record that stays incomplete after the loss of all processes if a configuration
/// was written meanwhile.
#[test]
fn record_is_resumed_by_the_configurations_that_no_process_has_seen() {
    let (_, moves) = recorder_of_the_first();
    let base = RouteBase::from(&*routes(3, &[(443, "orders"), (444, "papers")]));
    let unseen = routes(4, &[(443, "other"), (444, "papers")]);
    let present = routes(5, &[(443, "papers"), (444, "papers")]);
    let mut second = MoveRecorder::new(RETENTION);
    second.on_routes(at(20), present.clone(), 0, Continuity::Unknown);
    second.set_stored(at(20), Some(moves));
    assert_eq!(second.earlier_record().map(|it| it.version), Some(3));
    // Without the present one, configurations are missing.
    second.resume(at(20), base.clone(), std::slice::from_ref(&unseen));
    assert!(!second.due(at(20)).unwrap().complete);
    second.resume(at(20), base, &[unseen, present]);
    let moves = second.due(at(20)).unwrap();
    assert_eq!((moves.version, moves.complete), (5, true));
    assert_eq!(moves.moved[&addr(443)].len(), 2);
}

/// Guards against the use of a record after a restore of the store: it may lack configurations.
#[test]
fn record_of_an_earlier_epoch_is_incomplete() {
    let (_, moves) = recorder_of_the_first();
    let mut second = MoveRecorder::new(RETENTION);
    second.on_epoch(Epoch(2));
    let present = routes(3, &[(443, "orders"), (444, "papers")]);
    second.on_routes(at(20), present, 0, Continuity::Unknown);
    second.set_stored(at(20), Some(moves));
    assert_eq!(second.earlier_record(), None);
    assert!(!second.due(at(20)).unwrap().complete);
}

#[test]
fn record_of_too_many_moves_is_incomplete() {
    let mut recorder = MoveRecorder::new(RETENTION);
    let all = |service| (1..3_000).map(|port| (port, service)).collect::<Vec<_>>();
    recorder.on_routes(at(0), routes(1, &all("orders")), 0, Continuity::Unknown);
    recorder.set_stored(at(0), None);
    recorder.on_oldest(1);
    recorder.on_routes(at(1), routes(2, &all("papers")), 0, Continuity::Next);
    let moves = recorder.due(at(1)).unwrap();
    assert!(!moves.complete && moves.moved.is_empty());
}

#[test]
fn record_isnt_written_by_a_follower_with_an_older_configuration() {
    let (mut recorder, mut moves) = recorder_of_the_first();
    moves.version = 7;
    recorder.set_stored(at(1), Some(moves));
    assert_eq!(recorder.due(at(1)), None);
}
