//! A standard output pipe that is full and never read doesn't block a process.

use std::io::ErrorKind;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use rustix::fs::OFlags;
use rustix::process::Pid;
use rustix::process::Signal;

/// Maximum time for the start of the process, and for its exit after SIGTERM.
const LIMIT: Duration = Duration::from_secs(30);

/// Returns loopback addresses with free ports.
fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    let listeners: [TcpListener; N] =
        std::array::from_fn(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap());
    std::array::from_fn(|n| listeners[n].local_addr().unwrap())
}

fn wait_for(event: &str, mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < LIMIT, "timed out waiting for {event}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn agent_runs_and_exits_with_full_stdout_pipe() {
    let [data, listen, ready, outbound, target, store] = free_addresses();
    let settings = format!(
        "[flows]\nname = a-1\ndomain = d\ndata = {data}\nlisten = {listen}\nready = {ready}\n\
         heartbeat = 1s\nlifetime = 60s\ngrace = 1s\nmemory-mb = 16\noutbound = {outbound}\n\
         target = {target}\nservice = s\n[platform]\naddress = {store}\n"
    );
    let dir = std::env::temp_dir().join(format!("marigoldway-logs-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("agent.ini");
    std::fs::write(&file, settings).unwrap();

    let (_reader, mut writer) = std::io::pipe().unwrap();
    let flags = rustix::fs::fcntl_getfl(&writer).unwrap();
    rustix::fs::fcntl_setfl(&writer, flags | OFlags::NONBLOCK).unwrap();
    let write_error = loop {
        if let Err(error) = writer.write(&[b'x'; 512]) {
            break error;
        }
    };
    assert_eq!(write_error.kind(), ErrorKind::WouldBlock);
    // The process gets the pipe in blocking mode, as is usual for a standard output.
    rustix::fs::fcntl_setfl(&writer, flags).unwrap();

    let mut process = Command::new(env!("CARGO_BIN_EXE_marigoldway"))
        .arg("agent")
        .arg(&file)
        .stdout(writer)
        .spawn()
        .unwrap();
    wait_for("readiness", || TcpStream::connect(ready).is_ok());
    let pid = Pid::from_child(&process);
    rustix::process::kill_process(pid, Signal::TERM).unwrap();
    wait_for("process exit", || process.try_wait().unwrap().is_some());
    assert!(process.wait().unwrap().success());
    std::fs::remove_dir_all(&dir).unwrap();
}
