//! HTTP/1.1, one exchange a connection.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: String,
}

impl Request {
    /// The decoded value of a query parameter, empty without one.
    pub fn param(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|it| it.split_once('='));
        let raw = pairs.filter(|it| it.0 == name).map(|it| it.1).next();
        decode(raw.unwrap_or(""))
    }

    pub fn number(&self, name: &str) -> u64 {
        self.param(name).parse().unwrap_or(0)
    }
}

fn decode(raw: &str) -> String {
    let bytes = raw.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = raw
            .get(at + 1..at + 3)
            .and_then(|it| u8::from_str_radix(it, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Serves each connection in a thread of its own. The handler returns a status and a JSON body.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(&Request) -> (u16, String) + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = answer(stream, &*handler);
            });
        }
    });
}

fn answer(
    mut stream: TcpStream,
    handler: &(dyn Fn(&Request) -> (u16, String) + Send + Sync),
) -> std::io::Result<()> {
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let Some((head, body)) = read_message(&mut stream)? else {
        return Ok(());
    };
    let mut words = head.lines().next().unwrap_or("").split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let request = Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        body: String::from_utf8_lossy(&body).into_owned(),
    };
    let (status, text) = handler(&request);
    let response = format!(
        "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n{text}",
        text.len()
    );
    stream.write_all(response.as_bytes())
}

fn read_message(stream: &mut TcpStream) -> std::io::Result<Option<(String, Vec<u8>)>> {
    let mut received = Vec::new();
    let mut buffer = [0; 16_384];
    loop {
        let end = received.windows(4).position(|it| it == b"\r\n\r\n");
        if let Some(end) = end {
            let head = String::from_utf8_lossy(&received[..end]).into_owned();
            let len = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                let is_len = name.eq_ignore_ascii_case("content-length");
                is_len.then(|| value.trim().parse::<usize>().ok()).flatten()
            });
            let total = end + 4 + len.unwrap_or(0);
            if received.len() >= total {
                return Ok(Some((head, received[end + 4..total].to_vec())));
            }
        }
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Ok(None);
        }
        received.extend_from_slice(&buffer[..count]);
    }
}

/// Makes a call. `None` if there is no answer in time.
pub fn call(
    addr: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&addr.into(), limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let (head, body) = read_message(&mut stream).ok()??;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
