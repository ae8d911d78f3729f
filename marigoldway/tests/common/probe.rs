//! Queries running processes over HTTP.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddrV4;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

/// Maximum wait for a condition; long, since the machine may be busy.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Polls `condition` every 20 ms until it holds; panics with `what` after
/// [`WAIT_LIMIT`].
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < WAIT_LIMIT, "timed out waiting for {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Sends an HTTP/1.1 request and returns the status and body of the response, or
/// status 0 and an empty body if the exchange fails.
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

/// Returns the `/status` page of a process, or `None` if it is not available.
pub fn status(operator: SocketAddrV4) -> Option<Value> {
    let (_, body) = http(operator, "GET", "/status", "");
    serde_json::from_str(&body).ok()
}

/// Returns whether `/ready` of a process responds with status 200.
pub fn ready(operator: SocketAddrV4) -> bool {
    http(operator, "GET", "/ready", "").0 == 200
}

/// Returns a number from the `facts` of the `/status` page, or `None` if the fact or the page
/// is missing or the fact is no number.
pub fn fact(operator: SocketAddrV4, name: &str) -> Option<u64> {
    status(operator)?["facts"][name].as_u64()
}

/// Returns a counter of the `/status` page, or 0 if the counter or the page is missing.
pub fn counter(operator: SocketAddrV4, name: &str) -> u64 {
    let count = status(operator).map(|it| it["counters"][name].as_u64().unwrap_or(0));
    count.unwrap_or(0)
}
