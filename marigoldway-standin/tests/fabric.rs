//! The stand-in fabric distributes datagrams, returns replies, and applies changes
//! from its control interface.

mod common;

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;
use std::time::Instant;

use common::Standin;
use common::request;

/// Number of datagrams sent, enough for each of two entries to receive some.
const DATAGRAM_COUNT: usize = 64;

/// Binds a socket that acts as an entry or a caller.
fn bind_socket() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("a timeout");
    let addr = socket.local_addr().expect("an address");
    (socket, addr)
}

fn fabric(entries: &[SocketAddr], loss: &str) -> Standin {
    let entries: Vec<String> = entries.iter().map(ToString::to_string).collect();
    let service = format!("127.0.0.1:0={}", entries.join(","));
    let args = [
        "fabric",
        "--service",
        &service,
        "--loss",
        loss,
        "--control",
        "127.0.0.1:0",
    ];
    Standin::start(&args, 2)
}

fn read_count(fabric: &Standin, name: &str) -> usize {
    let counts = request(fabric.addrs[1], "GET /counts HTTP/1.1", "");
    let words = counts.split_whitespace();
    let mut values = words.filter_map(|word| word.strip_prefix(name)?.strip_prefix('='));
    values.next().expect("the count").parse().expect("a number")
}

#[test]
fn datagrams_reach_every_entry() {
    let (first, first_addr) = bind_socket();
    let (second, second_addr) = bind_socket();
    let fabric = fabric(&[first_addr, second_addr], "0");
    let (caller, _) = bind_socket();
    for _ in 0..DATAGRAM_COUNT {
        caller.send_to(b"ping", fabric.addrs[0]).expect("sent");
    }

    let mut buf = [0; 16];
    let (_, seen) = first
        .recv_from(&mut buf)
        .expect("the first entry receives a datagram");
    let (_, also) = second
        .recv_from(&mut buf)
        .expect("the second entry receives a datagram");
    assert_eq!(seen, also, "entries see different addresses of one caller");

    second.send_to(b"pong", seen).expect("sent");
    let (len, from) = caller
        .recv_from(&mut buf)
        .expect("the caller receives the reply");
    assert_eq!((&buf[..len], from), (&b"pong"[..], fabric.addrs[0]));
}

#[test]
fn control_replaces_entries() {
    let (first, first_addr) = bind_socket();
    let (second, second_addr) = bind_socket();
    let fabric = fabric(&[first_addr], "0");
    let service = fabric.addrs[0];
    let head = format!("POST /entries?service={service}&entries={second_addr} HTTP/1.1");
    assert!(request(fabric.addrs[1], &head, "").starts_with("HTTP/1.1 200"));

    let (caller, _) = bind_socket();
    caller.send_to(b"ping", service).expect("sent");
    let mut buf = [0; 16];
    second
        .recv_from(&mut buf)
        .expect("the new entry receives the datagram");
    first.set_nonblocking(true).expect("set");
    let err = first
        .recv_from(&mut buf)
        .expect_err("the old entry receives nothing");
    assert_eq!(err.kind(), ErrorKind::WouldBlock);
}

#[test]
fn full_loss_drops_every_datagram() {
    let (_first, first_addr) = bind_socket();
    let fabric = fabric(&[first_addr], "1");
    let (caller, _) = bind_socket();
    for _ in 0..DATAGRAM_COUNT {
        caller.send_to(b"ping", fabric.addrs[0]).expect("sent");
    }
    let until = Instant::now() + Duration::from_secs(20);
    while read_count(&fabric, "dropped") < DATAGRAM_COUNT && Instant::now() < until {
        std::thread::yield_now();
    }
    assert_eq!(read_count(&fabric, "dropped"), DATAGRAM_COUNT);
    assert_eq!(read_count(&fabric, "received"), DATAGRAM_COUNT);
}
