//! Requests and packets pass through real processes.
//!
//! The fabric sends each packet to a random entry. An entry, a load balancer process, forwards
//! the packet in an envelope (an authenticated header) to an agent, the process beside a
//! target. A route ID is a QUIC connection ID that names the agent.

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
const LONG_BODY_LEN: usize = 300_000;

#[tokio::test]
async fn response_is_complete_for_every_class() {
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
    let target = answer.target.unwrap();
    let agents = deployment.targets.iter();
    assert!(
        agents
            .filter(|it| it.service == "ordering")
            .any(|it| { InstanceId::new(it.plan.ip, it.plan.data) == target })
    );

    let mut feed = ordering.feed("/feed").await.unwrap();
    let first = feed.next().await.unwrap().id.unwrap();
    for offset in 1..40 {
        assert_eq!(feed.next().await.unwrap().id, Some(first + offset));
    }

    let intake = Client::connect(deployment.client("intake")).await.unwrap();
    let body = vec![7_u8; LONG_BODY_LEN];
    let answer = intake
        .request(Request::post("/upload?ms=300", body))
        .await
        .unwrap();
    assert_eq!(answer.outcome, Outcome::Done, "{answer:?}");
    let text = String::from_utf8(answer.body.to_vec()).unwrap();
    assert!(text.contains(&LONG_BODY_LEN.to_string()), "{text}");
}

/// Returns a short-header QUIC packet with the given connection ID and 60 random
/// octets.
fn short_packet(id: &[u8], rng: &mut impl Rng) -> Vec<u8> {
    let mut packet = vec![0x40];
    packet.extend_from_slice(id);
    let mut rest = [0; 60];
    rng.fill_bytes(&mut rest);
    packet.extend_from_slice(&rest);
    packet
}

/// Returns the sum of a counter over all entries.
fn sum_entry_counters(deployment: &Deployment, name: &str) -> u64 {
    let operators = deployment.entries.iter().map(|it| it.plan.operator);
    operators.map(|it| counter(it, name)).sum()
}

/// Returns the number of packets that all agents have accepted.
fn accepted_packets(deployment: &Deployment) -> u64 {
    let operators = deployment.targets.iter().map(|it| it.plan.operator);
    operators.map(|it| counter(it, "packet.taken")).sum()
}

/// Reads the deployment's route keys from its keys file.
fn read_route_keys(deployment: &Deployment) -> RouteKeys {
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

/// Returns the route to the first target of a service.
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
    let keys = read_route_keys(&deployment);
    let intake = deployment.client("intake").servers[0];
    let mut rng = SmallRng::seed_from_u64(1);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let before = accepted_packets(&deployment);

    // A valid route ID of the ordering service, sent to the intake address.
    let valid_id = keys.encode(&route_to(&deployment, "ordering"), 1);
    // A route ID of the intake service, made with the keys of another deployment.
    let other_keys = RouteKeys::new(RouteKey::new(0, &[9; 16], &[9; 16]), None);
    let forged_id = other_keys.encode(&route_to(&deployment, "intake"), 1);
    const PACKETS_PER_ID: u64 = 50;
    for _ in 0..PACKETS_PER_ID {
        socket
            .send_to(&short_packet(&valid_id, &mut rng), intake)
            .unwrap();
        socket
            .send_to(&short_packet(&forged_id, &mut rng), intake)
            .unwrap();
    }

    wait_for("every foreign or forged packet to be counted", || {
        sum_entry_counters(&deployment, "drop.foreign-service") == PACKETS_PER_ID
            && sum_entry_counters(&deployment, "drop.unknown-route") == PACKETS_PER_ID
    });
    assert_eq!(sum_entry_counters(&deployment, "packet.routed"), 0);
    assert_eq!(accepted_packets(&deployment), before);
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
        // The first octet of an envelope.
        packet[0] = 0xd1;
        socket.send_to(&packet, data).unwrap();
    }
    wait_for("every forged envelope to be counted", || {
        counter(agent.plan.operator, "drop.forged-envelope") == 20
    });
    assert_eq!(counter(agent.plan.operator, "packet.taken"), 0);
}

#[tokio::test]
async fn requests_succeed_after_garbage() {
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
        let drops = drops.map(|name| sum_entry_counters(it, &format!("drop.{name}")));
        drops.iter().sum::<u64>() + sum_entry_counters(it, "packet.placed")
    };
    wait_for("every garbage packet to be counted", || {
        handled(&deployment) >= sent
    });
    assert!(sum_entry_counters(&deployment, "drop.oversized") > 0);
    assert!(sum_entry_counters(&deployment, "drop.malformed") > 0);

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
