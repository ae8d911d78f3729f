//! The path of a request through real processes, under random spray.

mod common;

use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use marigoldway_client::client::Client;
use marigoldway_client::request::Request;
use marigoldway_core::ids::Incarnation;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::ids::ServiceId;
use marigoldway_core::request::Outcome;
use marigoldway_core::route::Route;
use marigoldway_core::route::RouteKey;
use marigoldway_core::route::RouteKeys;
use marigoldway_net::envelope::MAX_DATAGRAM_LEN;

use crate::common::Deployment;
use crate::common::Plan;
use crate::common::counter;
use crate::common::wait_for;

/// Length of a body that takes many packets, in octets.
const LONG_BODY: usize = 300_000;

#[tokio::test]
async fn request_comes_back_whole_for_every_class() {
    let deployment = Deployment::start(&Plan::two_services());

    let ordering = Client::connect(deployment.client("ordering"))
        .await
        .unwrap();
    let answer = ordering
        .request(Request::post("/order", "order-1"))
        .await
        .unwrap();
    assert_eq!(answer.outcome, Outcome::Done, "{answer:?}");
    assert!(answer.is_success(), "{answer:?}");
    let named = answer.target.unwrap();
    let agents = deployment.targets.iter();
    assert!(
        agents
            .filter(|it| it.service == "ordering")
            .any(|it| { InstanceId::new(it.plan.ip, it.plan.data) == named })
    );

    let mut feed = ordering.feed("/feed").await.unwrap();
    let first = feed.next().await.unwrap().id.unwrap();
    for step in 1..40 {
        assert_eq!(feed.next().await.unwrap().id, Some(first + step));
    }

    let intake = Client::connect(deployment.client("intake")).await.unwrap();
    let body = vec![7_u8; LONG_BODY];
    let answer = intake
        .request(Request::post("/upload?ms=300", body))
        .await
        .unwrap();
    assert_eq!(answer.outcome, Outcome::Done, "{answer:?}");
    let text = String::from_utf8(answer.body.to_vec()).unwrap();
    assert!(text.contains(&LONG_BODY.to_string()), "{text}");
}

/// A short-header packet with the given connection ID.
fn short_packet(id: &[u8], rng: &mut impl Rng) -> Vec<u8> {
    let mut packet = vec![0x40];
    packet.extend_from_slice(id);
    let mut rest = [0; 60];
    rng.fill_bytes(&mut rest);
    packet.extend_from_slice(&rest);
    packet
}

fn sum(deployment: &Deployment, name: &str) -> u64 {
    let operators = deployment.entries.iter().map(|it| it.plan.operator);
    operators.map(|it| counter(it, name)).sum()
}

fn taken(deployment: &Deployment) -> u64 {
    let operators = deployment.targets.iter().map(|it| it.plan.operator);
    operators.map(|it| counter(it, "packet.taken")).sum()
}

/// The fleet's route keys, as written to the keys file.
fn fleet_keys(deployment: &Deployment) -> RouteKeys {
    let text = std::fs::read_to_string(deployment.dir.join("keys.ini")).unwrap();
    let value = |name: &str| -> [u8; 16] {
        let line = text.lines().find(|it| it.starts_with(name)).unwrap();
        let hex = line.split_once('=').unwrap().1.trim();
        std::array::from_fn(|at| u8::from_str_radix(&hex[2 * at..2 * at + 2], 16).unwrap())
    };
    RouteKeys::new(
        RouteKey::new(0, &value("route-cipher"), &value("route-tag")),
        None,
    )
}

fn route_to(deployment: &Deployment, service: &str) -> Route {
    let target = deployment
        .targets
        .iter()
        .find(|it| it.service == service)
        .unwrap();
    Route {
        agent: InstanceId::new(target.plan.ip, target.plan.data),
        service: ServiceId(target.plan.service),
        incarnation: Incarnation(1),
    }
}

#[tokio::test]
async fn flow_of_another_service_reaches_no_target() {
    let deployment = Deployment::start(&Plan::two_services());
    let keys = fleet_keys(&deployment);
    let intake = deployment.client("intake").servers[0];
    let mut rng = SmallRng::seed_from_u64(1);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let before = taken(&deployment);

    // A genuine ID of the ordering service, sent to the intake address.
    let genuine = keys.encode(&route_to(&deployment, "ordering"), 1);
    // The same made with another fleet's keys.
    let foreign = RouteKeys::new(RouteKey::new(0, &[9; 16], &[9; 16]), None);
    let forged = foreign.encode(&route_to(&deployment, "intake"), 1);
    const EACH: u64 = 50;
    for _ in 0..EACH {
        socket
            .send_to(&short_packet(&genuine, &mut rng), intake)
            .unwrap();
        socket
            .send_to(&short_packet(&forged, &mut rng), intake)
            .unwrap();
    }

    wait_for("every foreign packet to be counted", || {
        sum(&deployment, "drop.foreign-service") == EACH
            && sum(&deployment, "drop.unknown-route") == EACH
    });
    assert_eq!(sum(&deployment, "packet.routed"), 0);
    assert_eq!(taken(&deployment), before);
}

#[tokio::test]
async fn forged_envelope_reaches_no_target() {
    let deployment = Deployment::start(&Plan::small());
    let mut rng = SmallRng::seed_from_u64(2);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let agent = &deployment.targets[0];
    let data = SocketAddr::from((agent.plan.ip, agent.plan.data));
    for _ in 0..20 {
        let mut packet = [0; 1_300];
        rng.fill_bytes(&mut packet);
        packet[0] = 0xd1;
        socket.send_to(&packet, data).unwrap();
    }
    wait_for("every forged envelope to be counted", || {
        counter(agent.plan.operator, "drop.forged-envelope") == 20
    });
    assert_eq!(counter(agent.plan.operator, "packet.taken"), 0);
}

#[tokio::test]
async fn garbage_stops_nothing() {
    let deployment = Deployment::start(&Plan::small());
    let addr = deployment.client("ordering").servers[0];
    let mut rng = SmallRng::seed_from_u64(3);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut sent = 0;
    for _ in 0..300 {
        let len = match rng.random_range(0..3) {
            0 => rng.random_range(1..40),
            1 => rng.random_range(40..MAX_DATAGRAM_LEN),
            _ => rng.random_range(MAX_DATAGRAM_LEN + 1..9_000),
        };
        let mut packet = vec![0; len];
        rng.fill_bytes(&mut packet);
        socket.send_to(&packet, addr).unwrap();
        sent += 1;
    }
    let handled = |it: &Deployment| {
        let drops = ["malformed", "oversized", "unknown-route", "no-target"];
        let drops = drops.map(|name| sum(it, &format!("drop.{name}")));
        drops.iter().sum::<u64>() + sum(it, "packet.placed")
    };
    wait_for("all garbage to be handled", || handled(&deployment) >= sent);
    assert!(sum(&deployment, "drop.oversized") > 0);
    assert!(sum(&deployment, "drop.malformed") > 0);

    let client = Client::connect(deployment.client("ordering"))
        .await
        .unwrap();
    let request = Request {
        deadline: Some(Duration::from_secs(30)),
        ..Request::post("/order", "after-garbage")
    };
    let answer = client.request(request).await.unwrap();
    assert_eq!(answer.outcome, Outcome::Done, "{answer:?}");
}
