//! One process of the system under test.

use std::fs;
use std::fs::File;
use std::io;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tokio::time;

/// Time between the signal to leave and the end (`grace_s` of the users' sites).
pub(crate) const GRACE: Duration = Duration::from_secs(6);

/// Time that a process may take from its start to the moment when it catches
/// signals, on a busy machine.
const SIGNAL_SETUP_TIME: Duration = Duration::from_millis(200);

/// Time between two looks whether a process has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// `Process` is started, signalled and ended from outside.
pub(crate) struct Process {
    pub(crate) name: String,
    role: &'static str,
    binary: PathBuf,
    dir: PathBuf,
    child: Option<Child>,
    started: Instant,
}

impl Process {
    /// Describes a process with its settings; nothing is started.
    pub(crate) fn new(
        binary: PathBuf,
        dir: PathBuf,
        role: &'static str,
        name: String,
        settings: &str,
    ) -> io::Result<Process> {
        fs::write(dir.join(format!("{name}.ini")), settings)?;
        Ok(Process {
            name,
            role,
            binary,
            dir,
            child: None,
            started: Instant::now(),
        })
    }

    /// Changes its settings file.
    pub(crate) fn set_settings(&self, settings: &str) -> io::Result<()> {
        fs::write(self.path("ini"), settings)
    }

    fn path(&self, extension: &str) -> PathBuf {
        self.dir.join(format!("{}.{extension}", self.name))
    }

    /// Starts it, if it doesn't run.
    pub(crate) fn start(&mut self) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.path("log"))?;
        let child = Command::new(&self.binary)
            .arg(self.role)
            .arg(self.path("ini"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        self.started = Instant::now();
        Ok(())
    }

    /// Tells it that its settings have changed, unless it is so young that no
    /// program could have caught the signal.
    pub(crate) fn hang_up(&self) {
        if self.started.elapsed() >= SIGNAL_SETUP_TIME {
            self.signal(Signal::HUP);
        }
    }

    /// Sends a signal, if it runs.
    pub(crate) fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child
            && let Err(err) = kill_process(Pid::from_child(child), signal)
        {
            println!("event=signal-failed process={} error={err}", self.name);
        }
    }

    /// Ends it at once.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // One that has ended by itself needs no signal.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether it has ended by itself since it was started.
    pub(crate) fn has_ended(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return false;
        };
        let ended = matches!(child.try_wait(), Ok(Some(_)));
        if ended {
            self.child = None;
        }
        ended
    }

    /// Takes the child out, so that only the taker waits for its end.
    pub(crate) fn take_child(&mut self) -> Option<Child> {
        self.child.take()
    }
}

/// Asks a process to leave, and tells whether it left with success in time.
pub(crate) async fn terminate(mut child: Child) -> bool {
    // One that has ended already takes no signal.
    let _ = kill_process(Pid::from_child(&child), Signal::TERM);
    let end = time::Instant::now() + GRACE;
    while time::Instant::now() < end {
        if let Ok(Some(status)) = child.try_wait() {
            return status.success();
        }
        time::sleep(EXIT_POLL_INTERVAL).await;
    }
    let _ = child.kill();
    let _ = child.wait();
    false
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
