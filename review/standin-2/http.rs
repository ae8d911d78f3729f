//! HTTP/1.1 as far as the platform's interfaces need it: a server with a thread for each
//! connection, and a client call.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// A request as a server receives it.
pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    query: String,
    pub body: String,
}

impl Request {
    /// The decoded value of a query parameter, empty if it is missing.
    pub fn query(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|it| it.split_once('='));
        let found = pairs
            .filter(|(key, _)| *key == name)
            .map(|(_, value)| value);
        decode(found.last().unwrap_or_default())
    }
}

fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let mut octets = text.bytes();
    while let Some(c) = octets.next() {
        if c != b'%' {
            out.push(c);
            continue;
        }
        let hex: Vec<u8> = octets.by_ref().take(2).collect();
        let hex = String::from_utf8(hex).unwrap_or_default();
        out.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Serves an address until the process ends or `open` is cleared.
pub fn serve(
    listener: TcpListener,
    open: Arc<AtomicBool>,
    handler: impl Fn(&Request) -> (u16, String) + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    listener
        .set_nonblocking(true)
        .expect("a listener can be set to non-blocking");
    thread::spawn(move || {
        while open.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let handler = handler.clone();
            thread::spawn(move || answer(stream, &*handler));
        }
    });
}

fn answer(mut stream: TcpStream, handler: &dyn Fn(&Request) -> (u16, String)) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let _ = stream.set_nodelay(true);
    let Some((head, body)) = read_message(&mut stream) else {
        return;
    };
    let mut words = head.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let request = Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        body,
    };
    let (status, text) = handler(&request);
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        text.len()
    );
    let _ = stream.write_all((head + &text).as_bytes());
}

/// Reads a message: its head, and as much body as the head announces.
fn read_message(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut octets = Vec::new();
    let mut buffer = [0; 16_384];
    loop {
        if let Some(end) = octets.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&octets[..end]).into_owned();
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length")
                    .then(|| value.trim().parse().ok())?
            });
            let length: usize = length.unwrap_or(0);
            if octets.len() >= end + 4 + length {
                let body = &octets[end + 4..end + 4 + length];
                return Some((head, String::from_utf8_lossy(body).into_owned()));
            }
        }
        let len = stream.read(&mut buffer).ok()?;
        if len == 0 {
            return None;
        }
        octets.extend_from_slice(&buffer[..len]);
    }
}

/// Makes a call and returns the status of the response, or `None` without one within a second.
pub fn call(to: SocketAddrV4, method: &str, path: &str, body: &str) -> Option<u16> {
    let limit = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&to.into(), limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_write_timeout(Some(limit)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let (head, _) = read_message(&mut stream)?;
    head.split_whitespace().nth(1)?.parse().ok()
}
