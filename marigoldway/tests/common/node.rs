//! One process of a deployment.

use std::fs;
use std::fs::File;
use std::net::SocketAddrV4;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;

use crate::common::wait_for;

/// `Node` is a process that a test started, or none.
pub struct Node {
    child: Option<Child>,
    log: PathBuf,
}

impl Node {
    /// No process.
    pub fn not_started() -> Node {
        Node {
            child: None,
            log: PathBuf::new(),
        }
    }

    /// Starts a stand-in.
    pub fn start_standin(dir: &Path, name: &str, args: &[&str]) -> Node {
        let shipped = PathBuf::from(env!("CARGO_BIN_EXE_marigoldway"));
        let binary = shipped.with_file_name("standin");
        assert!(
            binary.exists(),
            "build the stand-ins first: cargo build --workspace --bins"
        );
        let mut command = Command::new(binary);
        command.args(args);
        Node::spawn(dir, name, command)
    }

    /// Starts a process of the system with the given settings.
    pub fn start_role(dir: &Path, name: &str, role: &str, settings: &str) -> Node {
        let file = dir.join(format!("{name}.ini"));
        fs::write(&file, settings).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_marigoldway"));
        command.arg(role).arg(file);
        Node::spawn(dir, name, command)
    }

    fn spawn(dir: &Path, name: &str, mut command: Command) -> Node {
        let log = dir.join(format!("{name}.log"));
        let out = File::create(&log).unwrap();
        let child = command
            .stdin(Stdio::null())
            .stdout(out.try_clone().unwrap())
            .stderr(out)
            .spawn()
            .unwrap();
        Node {
            child: Some(child),
            log,
        }
    }

    /// The address that a stand-in said it listens at, counted from 0.
    pub fn listening(&self, index: usize) -> SocketAddrV4 {
        let mut found = None;
        wait_for("an address of a stand-in", || {
            let log = self.log();
            let mut lines = log
                .lines()
                .filter_map(|line| line.strip_prefix("listening="));
            found = lines.nth(index).and_then(|addr| addr.parse().ok());
            found.is_some()
        });
        found.unwrap()
    }

    /// What the process printed.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Whether the process was started and not ended by the test.
    pub fn is_live(&self) -> bool {
        self.child.is_some()
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let pid = Pid::from_child(child);
            kill_process(pid, signal).unwrap();
        }
    }

    /// Asks the process to leave gracefully.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Stops the process in its tracks.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for the process to end by itself, and gives its exit status.
    pub fn wait(&mut self) -> ExitStatus {
        let mut child = self.child.take().unwrap();
        let mut status = None;
        wait_for("a process that leaves", || {
            status = child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
