//! An entry learns of a drained domain from the store, together with the configuration, and a
//! starting agent from the entry.

mod common;

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;

use crate::common::Node;
use crate::common::free_port;
use crate::common::wait_for;

/// Answers one call: a read of the operators' keys with a configuration and a drain, any other
/// read with no keys. Holds every other call open.
fn serve(mut stream: TcpStream) {
    let mut line = String::new();
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    if reader.read_line(&mut line).is_err() {
        return;
    }
    if !line.contains("/v1/kv-range") {
        // Holds the call open until the caller closes it.
        while reader.read_line(&mut line).is_ok_and(|len| len > 0) {}
        thread::park();
    }
    let mut items = String::new();
    if line.contains("op/") {
        let document = STANDARD.encode("{\"version\":4,\"routes\":[]}");
        let item = |key, value: &str| {
            format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":5,\"created\":5,\"lease\":0}}"
            )
        };
        items = [item("op/config", &document), item("op/evacuate/lhr-b", "")].join(",");
    }
    let body = format!("{{\"items\":[{items}],\"has_more\":false,\"as_of\":5}}");
    let len = body.len();
    // A write fails if the caller has closed the connection: it needs no answer then.
    let _ = write!(
        stream,
        "HTTP/1.1 200 OK\r\nContent-Length: {len}\r\nConnection: close\r\n\r\n{body}"
    );
}

/// Starts a platform on a free port and returns its address.
fn start_platform() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream));
        }
    });
    addr
}

/// Settings of a role. All processes have the same port for data.
fn settings(ip: &str, data: u16, platform: SocketAddr, other: &str) -> String {
    let listen = free_port(ip.parse::<Ipv4Addr>().unwrap());
    let ready = free_port(ip.parse::<Ipv4Addr>().unwrap());
    format!(
        "[flows]\nname = {ip}\ndomain = lhr-a\ndata = {ip}:{data}\nlisten = {ip}:{listen}\n\
         ready = {ip}:{ready}\nheartbeat = 1200ms\nlifetime = 60s\ngrace = 6s\n\
         memory-mb = 64\n{other}[platform]\naddress = {platform}\ntimeout = 1s\n"
    )
}

/// Guards against an entry that reads the configuration without the drains, and against a starting
/// agent that isn't told of them by the entries.
#[test]
fn drained_domain_is_learned_by_entry_and_agent() {
    let platform = start_platform();
    let dir = std::env::temp_dir().join(format!("marigoldway-drained-{}", std::process::id()));
    fs::create_dir_all(&dir).unwrap();
    let data = free_port(Ipv4Addr::LOCALHOST);
    let text = settings("127.0.0.1", data, platform, "");
    let mut entry = Node::start_role(&dir, "entry", "entry", &text);
    wait_for("the drain at the entry", || {
        entry
            .log()
            .contains("event=domain-drained domain=\"lhr-b\" source=store drained=1")
    });
    wait_for("the configuration", || {
        entry.log().contains("event=config version=4")
    });
    wait_for("the line on the domain without agents", || {
        entry
            .log()
            .contains("event=drain-unserved domain=\"lhr-b\"")
    });
    let outbound = free_port(Ipv4Addr::new(127, 0, 0, 2));
    let other = format!(
        "outbound = 127.0.0.2:{outbound}\ntarget = 127.0.0.2:9\nservice = orders\n\
         contacts = 127.0.0.1:{data}\n"
    );
    let text = settings("127.0.0.2", data, platform, &other);
    let mut agent = Node::start_role(&dir, "agent", "agent", &text);
    wait_for("the drain at the agent", || {
        agent
            .log()
            .contains("event=domain-drained domain=\"lhr-b\" source=peer drained=1")
    });
    agent.kill();
    entry.kill();
    fs::remove_dir_all(&dir).unwrap();
}
