//! An entry receives a newer configuration after the platform has closed its watch,
//! although the next watch reports no change.

mod common;

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;

use crate::common::Node;
use crate::common::free_port;
use crate::common::wait_for;

/// Numbers of reads and watches of the configuration that the platform has received.
#[derive(Default)]
struct Counts {
    reads: AtomicUsize,
    watches: AtomicUsize,
}

/// Returns the answer to a read of the configuration: version 4 for the first read,
/// version 7 for later ones. `read` counts from 0.
fn range_answer(read: usize) -> String {
    let version = if read == 0 { 4 } else { 7 };
    let document = format!("{{\"version\":{version},\"routes\":[]}}");
    let value = STANDARD.encode(document);
    let revision = 5 + read;
    format!(
        "{{\"items\":[{{\"key\":\"op/config\",\"value\":\"{value}\",\"revision\":{revision},\
         \"created\":5,\"lease\":0}}],\"has_more\":false,\"as_of\":{revision}}}"
    )
}

fn write_answer(stream: &mut TcpStream, body: &str) {
    let len = body.len();
    // A write fails if the entry has closed the connection: it needs no answer then.
    let _ = write!(
        stream,
        "HTTP/1.1 200 OK\r\nContent-Length: {len}\r\nConnection: close\r\n\r\n{body}"
    );
}

/// Answers one call. Closes the first watch of the configuration at once; keeps the
/// other watches open and sends nothing on them.
fn serve(mut stream: TcpStream, counts: &Counts) {
    let mut line = String::new();
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    if reader.read_line(&mut line).is_err() {
        return;
    }
    // The entry reads the configuration with the operators' other keys.
    let is_config = line.contains("op/");
    if line.contains("/v1/kv-range") {
        let body = if is_config {
            range_answer(counts.reads.fetch_add(1, Ordering::SeqCst))
        } else {
            "{\"items\":[],\"has_more\":false,\"as_of\":5}".to_owned()
        };
        return write_answer(&mut stream, &body);
    }
    if is_config && counts.watches.fetch_add(1, Ordering::SeqCst) == 0 {
        return;
    }
    // Holds the call open until the caller closes it.
    while reader.read_line(&mut line).is_ok_and(|len| len > 0) {}
    thread::park();
}

/// Starts a platform on a free port and returns its address.
fn start_platform() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let counts = Arc::new(Counts::default());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let counts = counts.clone();
            thread::spawn(move || serve(stream, &counts));
        }
    });
    addr
}

#[test]
fn configuration_is_read_again_after_a_closed_watch() {
    let platform = start_platform();
    let dir = std::env::temp_dir().join(format!("marigoldway-config-watch-{}", std::process::id()));
    fs::create_dir_all(&dir).unwrap();
    let ip = Ipv4Addr::LOCALHOST;
    let [data, listen, ready] = [free_port(ip), free_port(ip), free_port(ip)];
    let settings = format!(
        "[flows]\nname = e\ndomain = a\ndata = 127.0.0.1:{data}\nlisten = 127.0.0.1:{listen}\n\
         ready = 127.0.0.1:{ready}\nheartbeat = 1200ms\nlifetime = 60s\ngrace = 6s\n\
         memory-mb = 64\n[platform]\naddress = {platform}\ntimeout = 1s\n"
    );
    let mut node = Node::start_role(&dir, "entry", "entry", &settings);
    wait_for("the newer configuration", || {
        node.log().contains("event=config version=7 held=4")
    });
    node.kill();
    fs::remove_dir_all(&dir).unwrap();
}
