//! HTTP/1.1 requests and responses that flows carry.

/// Request header with the id of the request.
const REQUEST_ID: &str = "X-Attempt-Id";

/// Response header that only targets set; the system's own responses lack it.
const SIGNATURE: &str = "X-Server-Signature";

/// Response header that marks a request as rejected without running it.
const NOT_RUN: &str = "X-Not-Executed";

/// `Message` is a complete request or response.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Message {
    start_line: String,
    headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key == name);
        found.next().map(|(_, value)| value.as_str())
    }

    /// The id of a request, `None` without the header.
    pub(crate) fn id(&self) -> Option<&str> {
        self.header(REQUEST_ID)
    }

    /// The status code of a response, `None` if the status line isn't valid.
    pub(crate) fn status(&self) -> Option<u16> {
        self.start_line.split(' ').nth(1)?.parse().ok()
    }

    /// Whether the response rejects the request without running it.
    pub(crate) fn is_not_run(&self) -> bool {
        self.header(NOT_RUN).is_some()
    }

    /// Whether the response comes from a target.
    pub(crate) fn is_signed(&self) -> bool {
        self.header(SIGNATURE).is_some()
    }
}

/// Removes the first message from `received`, or returns `None` while it is
/// incomplete. A message without `Content-Length` has no body.
pub(crate) fn take_message(received: &mut Vec<u8>) -> Option<Message> {
    let end = received.windows(4).position(|it| it == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&received[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let start_line = lines.next()?.to_owned();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(key, value)| (key.to_owned(), value.to_owned()))
        .collect();
    let len = headers.iter().find(|(key, _)| key == "Content-Length");
    let len: usize = len.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    if received.len() < end + len {
        return None;
    }
    let body = received[end..end + len].to_vec();
    received.drain(..end + len);
    Some(Message {
        start_line,
        headers,
        body,
    })
}

/// Encodes a request: `GET` without a body, `POST` with a body of `len` octets.
pub(crate) fn request(id: &str, len: usize) -> Vec<u8> {
    let method = if len == 0 { "GET" } else { "POST" };
    let head = format!("{method} /{id} HTTP/1.1\r\n{REQUEST_ID}: {id}\r\nContent-Length: {len}");
    message(&head, body(id, len))
}

/// Encodes the response to a request that ran, with a body of `len` octets.
pub(crate) fn response(id: &str, len: usize) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\n{SIGNATURE}: target\r\nContent-Length: {len}");
    message(&head, body(id, len))
}

/// Encodes the response to a request that is rejected without running it.
pub(crate) fn rejection() -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 503 Service Unavailable\r\n{SIGNATURE}: target\r\n{NOT_RUN}: 1\r\n\
         Content-Length: 0"
    );
    message(&head, Vec::new())
}

/// Body of `len` octets that repeats the id of its request, so that a response
/// to another request is detected.
pub(crate) fn body(id: &str, len: usize) -> Vec<u8> {
    id.bytes().cycle().take(len).collect()
}

fn message(head: &str, body: Vec<u8>) -> Vec<u8> {
    let mut octets = format!("{head}\r\n\r\n").into_bytes();
    octets.extend(body);
    octets
}
