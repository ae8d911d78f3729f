//! Start, signals and end of a process of the system under test.

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

/// Maximum time between SIGTERM and the end of a process (`grace_s` of the users' sites).
pub(crate) const GRACE_PERIOD: Duration = Duration::from_secs(6);

/// Maximum time between the start of a process and its installation of signal handlers, on a busy
/// machine.
const SIGNAL_SETUP_TIME: Duration = Duration::from_millis(200);

/// Time between two checks whether a process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// `Process` controls a child process, which is killed on drop. It may be restarted.
pub(crate) struct Process {
    pub(crate) name: String,
    role: &'static str,
    binary: PathBuf,
    dir: PathBuf,
    child: Option<Child>,
    started: Instant,
}

impl Process {
    /// Writes the settings file of a process without starting the process.
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

    /// Overwrites the settings file.
    pub(crate) fn set_settings(&self, settings: &str) -> io::Result<()> {
        fs::write(self.path("ini"), settings)
    }

    fn path(&self, extension: &str) -> PathBuf {
        self.dir.join(format!("{}.{extension}", self.name))
    }

    /// Starts the process unless it runs already. Its output is appended to the log file.
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

    /// Sends SIGHUP, which tells the process that its settings have changed. Sends nothing during
    /// the first [`SIGNAL_SETUP_TIME`], since the process might not have installed its signal
    /// handlers.
    pub(crate) fn hang_up(&self) {
        if self.started.elapsed() >= SIGNAL_SETUP_TIME {
            self.signal(Signal::HUP);
        }
    }

    /// Sends a signal if the process runs. A failure is printed.
    pub(crate) fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child
            && let Err(err) = kill_process(Pid::from_child(child), signal)
        {
            println!("event=signal-failed process={} error={err}", self.name);
        }
    }

    /// Kills the process and waits for its exit.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Errors are ignored: the process may have exited by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Reports whether the process has exited by itself since its start. Reports an exit only once.
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

    /// Removes the child from this process, so that only the caller waits for its exit.
    pub(crate) fn take_child(&mut self) -> Option<Child> {
        self.child.take()
    }
}

/// Sends SIGTERM to a process and reports whether it exits with success within [`GRACE_PERIOD`].
/// Kills the process otherwise.
pub(crate) async fn terminate(mut child: Child) -> bool {
    // An error is ignored: the process may have exited already.
    let _ = kill_process(Pid::from_child(&child), Signal::TERM);
    let end = time::Instant::now() + GRACE_PERIOD;
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
