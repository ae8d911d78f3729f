//! Tests the operator endpoints and the metrics of a process, from its start to its end.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use marigoldway_core::request::Refusal;
use tokio::task;
use tokio::time::timeout;

use marigoldway::metrics;
use marigoldway::metrics::Counter;
use marigoldway::metrics::Metrics;
use marigoldway::metrics::Retry;
use marigoldway::operator::Operator;
use marigoldway::operator::Status;
use marigoldway::shutdown;
use marigoldway::shutdown::Phase;

/// Time limit of each operation.
const LIMIT: Duration = Duration::from_secs(20);

/// Returns an address whose TCP port was free during the call.
fn free_address() -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    match listener.local_addr().expect("an address") {
        SocketAddr::V4(addr) => addr,
        SocketAddr::V6(addr) => panic!("{addr} is not IPv4"),
    }
}

/// Sends a GET request to an operator endpoint and returns the whole response, with its
/// head.
async fn get(addr: SocketAddrV4, path: &'static str) -> String {
    let response = task::spawn_blocking(move || {
        let mut stream = TcpStream::connect(addr).expect("a connection to the endpoints");
        let head = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("a sent request");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        answer
    });
    timeout(LIMIT, response)
        .await
        .expect("in time")
        .expect("an answer")
}

#[tokio::test]
async fn operator_endpoints_follow_the_phases() {
    let (trigger, shutdown) = shutdown::channel();
    let metrics = Arc::new(Metrics::new(None).expect("metrics"));
    let status = Status::new(
        "entry",
        "127.0.0.1:1".to_owned(),
        metrics.clone(),
        shutdown.clone(),
    );
    let status = Arc::new(status);
    let addr = free_address();
    let operator = Operator::bind(addr, status.clone()).expect("bound");
    let endpoints = tokio::spawn(operator.run(shutdown));

    assert!(get(addr, "/health").await.starts_with("HTTP/1.1 200"));
    assert!(get(addr, "/ready").await.starts_with("HTTP/1.1 503"));
    status.set_ready(true);
    assert!(get(addr, "/ready").await.starts_with("HTTP/1.1 200"));
    metrics.count(Counter::Refusal(Refusal::QueueFull));
    status.set_fact("roster", 7);
    let answer = get(addr, "/status").await;
    assert!(answer.contains("\"refusal.queue-full\": 1"), "{answer}");
    assert!(answer.contains("\"roster\": 7"), "{answer}");

    trigger.advance(Phase::Leaving);
    assert!(get(addr, "/health").await.starts_with("HTTP/1.1 200"));
    assert!(get(addr, "/ready").await.starts_with("HTTP/1.1 503"));
    trigger.advance(Phase::Ending);
    let ended = timeout(LIMIT, endpoints)
        .await
        .expect("in time")
        .expect("no panic");
    ended.expect("the endpoints end");
    assert!(TcpStream::connect(addr).is_err());
}

#[tokio::test]
async fn phase_never_goes_back() {
    let (trigger, shutdown) = shutdown::channel();
    trigger.advance(Phase::Ending);
    trigger.advance(Phase::Leaving);
    assert_eq!(shutdown.phase(), Phase::Ending);
    timeout(LIMIT, shutdown.leaving())
        .await
        .expect("the ending phase includes the leaving phase");
}

#[tokio::test]
async fn metrics_report_added_counts() {
    let statsd = UdpSocket::bind("127.0.0.1:0").expect("a port");
    statsd.set_read_timeout(Some(LIMIT)).expect("a timeout");
    let SocketAddr::V4(addr) = statsd.local_addr().expect("an address") else {
        panic!("the socket is IPv4");
    };
    let metrics = Arc::new(Metrics::new(Some(addr)).expect("metrics"));
    metrics.add(Counter::Retry(Retry::RelayKey), 3);
    let (trigger, shutdown) = shutdown::channel();
    let reporter = tokio::spawn(metrics::run(metrics.clone(), shutdown));
    trigger.advance(Phase::Ending);
    timeout(LIMIT, reporter)
        .await
        .expect("in time")
        .expect("no panic");

    let mut buf = [0; 2048];
    let len = statsd.recv(&mut buf).expect("a report");
    let report = String::from_utf8_lossy(&buf[..len]);
    assert!(
        report.contains("marigoldway.retry.relay-key:3|c"),
        "{report}"
    );
}

#[test]
fn metrics_snapshot_starts_with_every_reason() {
    let metrics = Metrics::new(None).expect("metrics");
    let counters = metrics.snapshot();
    for refusal in Refusal::ALL {
        assert_eq!(counters.get(&format!("refusal.{refusal}")), Some(&0));
    }
    for retry in Retry::ALL {
        assert_eq!(counters.get(&format!("retry.{}", retry.as_str())), Some(&0));
    }
}
