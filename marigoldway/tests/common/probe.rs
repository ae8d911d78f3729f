//! Looks at running processes from outside.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

/// Longest wait for a condition. Generous, since the machine may be busy.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Polls `condition` until it holds.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_LIMIT, "waited in vain for {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// One HTTP/1.1 exchange: the status and the body, status 0 where none came.
pub fn http(addr: SocketAddrV4, method: &str, path: &str, body: &str) -> (u16, String) {
    exchange(addr, method, path, body).unwrap_or_default()
}

fn exchange(addr: SocketAddrV4, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(WAIT_LIMIT)).ok()?;
    let len = body.len();
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\ncontent-length: {len}\r\n\r\n{body}"
    )
    .ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, body.to_owned()))
}

/// The `/status` page of a process.
pub fn status(operator: SocketAddrV4) -> Option<Value> {
    let (_, body) = http(operator, "GET", "/status", "");
    serde_json::from_str(&body).ok()
}

/// Whether a process says that it is ready.
pub fn ready(operator: SocketAddrV4) -> bool {
    http(operator, "GET", "/ready", "").0 == 200
}

/// A number among the facts of a process.
pub fn fact(operator: SocketAddrV4, name: &str) -> Option<u64> {
    status(operator)?["facts"][name].as_u64()
}

/// A counter of a process.
pub fn counter(operator: SocketAddrV4, name: &str) -> u64 {
    let count = status(operator).map(|it| it["counters"][name].as_u64().unwrap_or(0));
    count.unwrap_or(0)
}
