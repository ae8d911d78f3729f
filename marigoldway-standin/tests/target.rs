//! The stand-in target counts runs, injects faults, cancels requests and resumes
//! feeds.

mod common;

use std::io::BufRead;
use std::io::BufReader;
use std::thread;

use common::Standin;
use common::request;
use common::send;

fn target() -> Standin {
    let args = [
        "target",
        "--listen",
        "127.0.0.1:0",
        "--service",
        "ordering",
        "--slots",
        "2",
    ];
    Standin::start(&args, 1)
}

#[test]
fn order_counts_runs() {
    let target = target();
    let addr = target.addrs[0];
    assert!(request(addr, "GET /runs?id=a HTTP/1.1", "").ends_with("\r\n0"));
    assert!(request(addr, "POST /order HTTP/1.1", "a").ends_with("id=a runs=1\n"));
    assert!(request(addr, "POST /transfer HTTP/1.1", "a").ends_with("id=a runs=2\n"));
    assert!(request(addr, "GET /runs?id=a HTTP/1.1", "").ends_with("\r\n2"));
}

#[test]
fn upload_echoes_checksum() {
    let target = target();
    let answer = request(target.addrs[0], "POST /upload?ms=1 HTTP/1.1", "abc");
    let sum = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert!(
        answer.ends_with(&format!("length=3 sha256={sum}\n")),
        "{answer}"
    );
    assert!(answer.contains("standin-service: ordering"), "{answer}");
}

#[test]
fn fault_shed_does_not_run() {
    let target = target();
    let addr = target.addrs[0];
    request(addr, "POST /fault?kind=shed HTTP/1.1", "");
    let answer = request(addr, "POST /order HTTP/1.1", "a");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("marigoldway-not-started: 1"), "{answer}");
    assert!(request(addr, "GET /runs?id=a HTTP/1.1", "").ends_with("\r\n0"));
}

#[test]
fn fault_close_runs_without_answer() {
    let target = target();
    let addr = target.addrs[0];
    request(addr, "POST /fault?kind=close HTTP/1.1", "");
    assert_eq!(request(addr, "POST /order HTTP/1.1", "a"), "");
    assert!(request(addr, "GET /runs?id=a HTTP/1.1", "").ends_with("\r\n1"));
}

#[test]
fn cancel_stops_upload() {
    let target = target();
    let addr = target.addrs[0];
    let head = "POST /upload?ms=60000 HTTP/1.1\r\nmarigoldway-request-id: r1";
    let upload = thread::spawn(move || request(addr, head, "abc"));
    let cancel = || request(addr, "POST /.marigoldway/cancel?id=r1 HTTP/1.1", "");
    while !cancel().starts_with("HTTP/1.1 202") {
        thread::yield_now();
    }
    let answer = upload.join().expect("the upload thread succeeds");
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(cancel().starts_with("HTTP/1.1 409"));
}

#[test]
fn feed_resumes_without_gap() {
    let target = target();
    let first = feed_ids(&target, "", 3);
    let last = first[0];
    let head = format!("\r\nlast-event-id: {last}");
    let again = feed_ids(&target, &head, 6);
    let wanted: Vec<u64> = (last + 1..=last + 6).collect();
    assert_eq!(again, wanted);
    assert_eq!(first[1..], wanted[..2]);
}

fn feed_ids(target: &Standin, extra: &str, count: usize) -> Vec<u64> {
    let head = format!("GET /feed HTTP/1.1{extra}");
    let lines = BufReader::new(send(target.addrs[0], &head, "")).lines();
    let ids = lines.map_while(Result::ok).filter_map(|line| {
        let id = line.strip_prefix("id: ")?;
        id.parse().ok()
    });
    ids.take(count).collect()
}
