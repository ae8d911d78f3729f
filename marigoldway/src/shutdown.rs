//! How a process ends.
//!
//! The first SIGTERM or SIGINT makes the process leave gracefully. A second
//! one ends it, and so does the drain limit.

use std::fmt;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

/// `Phase` is a stage in the life of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The process takes new work.
    Running,
    /// The process takes no new work and finishes what is open.
    Leaving,
    /// The process ends, whatever is open.
    Ending,
}

impl Phase {
    /// The phase as it stands in logs and in `/status`.
    pub fn as_str(self) -> &'static str {
        match self {
            Phase::Running => "running",
            Phase::Leaving => "leaving",
            Phase::Ending => "ending",
        }
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// `Trigger` moves a process to its next phase.
#[derive(Debug)]
pub struct Trigger(watch::Sender<Phase>);

impl Trigger {
    /// Moves to `phase`, never back to an earlier one.
    pub fn advance(&self, phase: Phase) {
        self.0.send_if_modified(|current| {
            let later = phase > *current;
            if later {
                *current = phase;
            }
            later
        });
    }
}

/// `Shutdown` tells a task which phase its process is in.
#[derive(Clone, Debug)]
pub struct Shutdown(watch::Receiver<Phase>);

impl Shutdown {
    /// The phase now.
    pub fn phase(&self) -> Phase {
        *self.0.borrow()
    }

    /// Waits until the process leaves or ends.
    pub async fn leaving(&self) {
        self.reached(Phase::Leaving).await;
    }

    /// Waits until the process ends.
    pub async fn ending(&self) {
        self.reached(Phase::Ending).await;
    }

    async fn reached(&self, phase: Phase) {
        // A trigger that is gone can't be pulled, which ends the process too.
        let _ = self.0.clone().wait_for(|current| *current >= phase).await;
    }
}

/// Makes a trigger and what it moves.
pub fn channel() -> (Trigger, Shutdown) {
    let (sender, receiver) = watch::channel(Phase::Running);
    (Trigger(sender), Shutdown(receiver))
}

/// Starts to listen for signals, and gives a future that pulls the trigger and
/// is done once the process is to end.
///
/// Errors are the system's, where it refuses a signal handler.
pub fn listen(
    trigger: Arc<Trigger>,
    drain_limit: Duration,
) -> io::Result<impl Future<Output = ()> + Send> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;

    Ok(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        let limit = drain_limit.as_millis();
        log::info!("event=leave cause=signal limit-ms={limit}");
        trigger.advance(Phase::Leaving);

        let cause = tokio::select! {
            _ = term.recv() => "signal",
            _ = int.recv() => "signal",
            () = tokio::time::sleep(drain_limit) => "drain-limit",
        };
        log::warn!("event=end cause={cause}");
        trigger.advance(Phase::Ending);
    })
}
