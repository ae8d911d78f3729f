//! Starts the processes of a deployment, signals them and reads their output.

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

/// `Node` holds a child process or none. Dropping the node kills the process.
pub struct Node {
    child: Option<Child>,
    log: PathBuf,
}

impl Node {
    /// Returns a node without a process.
    pub fn not_started() -> Node {
        Node {
            child: None,
            log: PathBuf::new(),
        }
    }

    /// Starts the `standin` binary with `args`; panics if it is not built.
    pub fn start_standin(dir: &Path, name: &str, args: &[&str]) -> Node {
        let marigoldway = PathBuf::from(env!("CARGO_BIN_EXE_marigoldway"));
        let binary = marigoldway.with_file_name("standin");
        assert!(
            binary.exists(),
            "build the stand-ins first: cargo build --workspace --bins"
        );
        let mut command = Command::new(binary);
        command.args(args);
        Node::spawn(dir, name, command)
    }

    /// Starts the `marigoldway` binary in the given role, with a file of these settings.
    pub fn start_role(dir: &Path, name: &str, role: &str, settings: &str) -> Node {
        let file = dir.join(format!("{name}.ini"));
        fs::write(&file, settings).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_marigoldway"));
        command.arg(role).arg(file);
        Node::spawn(dir, name, command)
    }

    /// Starts a process whose output goes to `name`.log in `dir`.
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

    /// Waits until a stand-in has printed its listening address number `index`, counted
    /// from 0, and returns it.
    pub fn listening(&self, index: usize) -> SocketAddrV4 {
        let mut found = None;
        wait_for("a listening address of a stand-in", || {
            let log = self.log();
            let mut lines = log
                .lines()
                .filter_map(|line| line.strip_prefix("listening="));
            found = lines.nth(index).and_then(|addr| addr.parse().ok());
            found.is_some()
        });
        found.unwrap()
    }

    /// Returns the standard output and standard error of the process so far, or an empty text
    /// if they can't be read.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns whether the process was started, and neither killed nor waited for.
    pub fn is_live(&self) -> bool {
        self.child.is_some()
    }

    /// Sends a signal to the process, if there is one.
    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let pid = Pid::from_child(child);
            kill_process(pid, signal).unwrap();
        }
    }

    /// Sends SIGTERM, on which a process leaves gracefully.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Suspends the process with SIGSTOP.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Kills the process, if there is one, and reaps it.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for the process to exit and returns its exit status. Panics if there is no
    /// process, or after `WAIT_LIMIT`.
    pub fn wait(&mut self) -> ExitStatus {
        let mut child = self.child.take().unwrap();
        let mut status = None;
        wait_for("the process to exit", || {
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
