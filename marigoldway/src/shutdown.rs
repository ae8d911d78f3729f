//! Graceful shutdown.
//!
//! The first SIGTERM or SIGINT makes the process leave gracefully. A second one ends it at once, as
//! does the expiry of the drain limit.

use std::fmt;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;

/// Lifecycle phase of a process, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The process accepts new work.
    Running,
    /// The process accepts no new work and finishes open work.
    Leaving,
    /// The process ends and aborts open work.
    Ending,
}

impl Phase {
    /// Returns the phase as written in logs and in `/status`.
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

/// Advances the phase of a process.
#[derive(Debug)]
pub struct Trigger(watch::Sender<Phase>);

impl Trigger {
    /// Moves to `phase` if it is later than the current one, else does nothing.
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

/// Receiver of the phase of a process. Each task has its own clone.
#[derive(Clone, Debug)]
pub struct Shutdown(watch::Receiver<Phase>);

impl Shutdown {
    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.0.borrow()
    }

    /// Waits until the process is leaving or ending.
    pub async fn leaving(&self) {
        self.wait_for(Phase::Leaving).await;
    }

    /// Waits until the process is ending.
    pub async fn ending(&self) {
        self.wait_for(Phase::Ending).await;
    }

    async fn wait_for(&self, phase: Phase) {
        // Also returns if the trigger is dropped: the phase can't advance then, and the process
        // ends.
        let _ = self.0.clone().wait_for(|current| *current >= phase).await;
    }
}

/// Creates a trigger and a receiver of its phase, initially [`Phase::Running`].
pub fn channel() -> (Trigger, Shutdown) {
    let (sender, receiver) = watch::channel(Phase::Running);
    (Trigger(sender), Shutdown(receiver))
}

/// Registers handlers of SIGTERM and SIGINT. Returns a future that advances `trigger` to
/// [`Phase::Leaving`] on the first signal, and to [`Phase::Ending`] on the second one or after
/// `drain_limit`. Then it completes.
///
/// Fails if the system refuses a signal handler.
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
