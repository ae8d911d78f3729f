//! Starts stand-ins as processes and sends HTTP/1.1 requests to them.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

/// A running stand-in, killed when dropped.
pub struct Standin {
    child: Child,
    /// Listening addresses that it printed, in order.
    pub addrs: Vec<SocketAddr>,
}

impl Standin {
    /// Starts a stand-in and waits until it has printed `count` addresses.
    pub fn start(args: &[&str], count: usize) -> Standin {
        let mut child = Command::new(env!("CARGO_BIN_EXE_standin"))
            .args(args)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the stand-in starts");
        let out = BufReader::new(child.stdout.take().expect("a pipe"));
        let addrs = out
            .lines()
            .take(count)
            .map(|line| {
                let line = line.expect("a line");
                line.strip_prefix("listening=")
                    .expect("an address")
                    .parse()
                    .expect("an address")
            })
            .collect();
        Standin { child, addrs }
    }
}

impl Drop for Standin {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Opens a connection and sends one request, given by its head without the last
/// line break, and its body.
pub fn send(addr: SocketAddr, head: &str, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(addr).expect("the stand-in listens");
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("a timeout");
    let len = body.len();
    let text =
        format!("{head}\r\nhost: a\r\nconnection: close\r\ncontent-length: {len}\r\n\r\n{body}");
    stream
        .write_all(text.as_bytes())
        .expect("the request is sent");
    stream
}

/// Sends one request and reads the response with its head, as far as it arrives.
pub fn request(addr: SocketAddr, head: &str, body: &str) -> String {
    let mut text = String::new();
    let _ = send(addr, head, body).read_to_string(&mut text);
    text
}
