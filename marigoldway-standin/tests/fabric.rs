//! The stand-in fabric sprays, answers and follows its control.

mod common;

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;
use std::time::Instant;

use common::Standin;
use common::ask;

/// Datagrams that are sent, enough for each of two entries to get some.
const COUNT: usize = 64;

fn entry() -> (UdpSocket, SocketAddr) {
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
    let counts = ask(fabric.addrs[1], "GET /counts HTTP/1.1", "");
    let words = counts.split_whitespace();
    let mut values = words.filter_map(|word| word.strip_prefix(name)?.strip_prefix('='));
    values.next().expect("the count").parse().expect("a number")
}

#[test]
fn spray_reaches_every_entry() {
    let (first, first_addr) = entry();
    let (second, second_addr) = entry();
    let fabric = fabric(&[first_addr, second_addr], "0");
    let (caller, _) = entry();
    for _ in 0..COUNT {
        caller.send_to(b"ping", fabric.addrs[0]).expect("sent");
    }

    let mut buf = [0; 16];
    let (_, seen) = first
        .recv_from(&mut buf)
        .expect("the first entry gets some");
    let (_, also) = second
        .recv_from(&mut buf)
        .expect("the second entry gets some");
    assert_eq!(seen, also, "entries see one stable caller address");

    second.send_to(b"pong", seen).expect("sent");
    let (len, from) = caller.recv_from(&mut buf).expect("the caller is answered");
    assert_eq!((&buf[..len], from), (&b"pong"[..], fabric.addrs[0]));
}

#[test]
fn entries_follow_control() {
    let (first, first_addr) = entry();
    let (second, second_addr) = entry();
    let fabric = fabric(&[first_addr], "0");
    let service = fabric.addrs[0];
    let head = format!("POST /entries?service={service}&entries={second_addr} HTTP/1.1");
    assert!(ask(fabric.addrs[1], &head, "").starts_with("HTTP/1.1 200"));

    let (caller, _) = entry();
    caller.send_to(b"ping", service).expect("sent");
    let mut buf = [0; 16];
    second.recv_from(&mut buf).expect("the new entry gets it");
    first.set_nonblocking(true).expect("set");
    let err = first
        .recv_from(&mut buf)
        .expect_err("the old entry gets none");
    assert_eq!(err.kind(), ErrorKind::WouldBlock);
}

#[test]
fn loss_drops_everything() {
    let (_first, first_addr) = entry();
    let fabric = fabric(&[first_addr], "1");
    let (caller, _) = entry();
    for _ in 0..COUNT {
        caller.send_to(b"ping", fabric.addrs[0]).expect("sent");
    }
    let until = Instant::now() + Duration::from_secs(20);
    while read_count(&fabric, "dropped") < COUNT && Instant::now() < until {
        std::thread::yield_now();
    }
    assert_eq!(read_count(&fabric, "dropped"), COUNT);
    assert_eq!(read_count(&fabric, "received"), COUNT);
}
