//! A small HTTP/1.1 server and client: one request on each connection.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// `Request` is a request with its whole body.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    /// The decoded value of a query field, or an empty text.
    pub fn field(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }
}

/// Answers each connection of `listener` in a thread of its own.
pub fn serve(
    listener: TcpListener,
    handler: Arc<dyn Fn(&Request) -> (u16, String) + Send + Sync>,
) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || answer(stream, &*handler));
        }
    });
}

fn answer(stream: TcpStream, handler: &dyn Fn(&Request) -> (u16, String)) {
    let Ok(copy) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(copy);
    let Ok(request) = read_request(&mut reader) else {
        return;
    };
    let (status, body) = handler(&request);
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n",
        body.len()
    );
    let mut stream = stream;
    // The caller may have gone.
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.write_all(body.as_bytes());
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Request> {
    let (start, body) = read_message(reader)?;
    let mut words = start.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|part| part.split_once('='));
    Ok(Request {
        method,
        path: path.to_owned(),
        query: query.map(|(key, it)| (key.to_owned(), decode(it))).collect(),
        body,
    })
}

/// Reads the start line and the body of a message.
fn read_message(reader: &mut impl BufRead) -> io::Result<(String, String)> {
    let mut start = String::new();
    reader.read_line(&mut start)?;
    if start.is_empty() {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut len = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        if line.trim().is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').unwrap_or_default();
        if name.eq_ignore_ascii_case("content-length") {
            len = value.trim().parse().unwrap_or(0);
        }
    }
    let mut body = vec![0; len];
    reader.read_exact(&mut body)?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok((start.trim().to_owned(), body))
}

/// Decodes percent escapes.
fn decode(text: &str) -> String {
    let mut parts = text.split('%');
    let mut out = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let code = part.get(..2).and_then(|it| u8::from_str_radix(it, 16).ok());
        out.push(code.map_or('?', char::from));
        out.push_str(part.get(2..).unwrap_or_default());
    }
    out
}

/// Sends a request and returns the status of the answer, or `None` without an answer in time.
pub fn call(
    address: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(address), limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let (start, _) = read_message(&mut BufReader::new(stream)).ok()?;
    start.split(' ').nth(1)?.parse().ok()
}
