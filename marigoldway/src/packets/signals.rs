//! The signals by which a process is told to leave or to read its settings again.

use std::path::PathBuf;
use std::time::Duration;

use error_stack::ResultExt;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time;

use crate::errors::Error;
use crate::errors::Result;

/// `Signals` receives the signals of a process from its creation on. A signal that arrives
/// earlier ends the process.
pub(crate) struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

impl Signals {
    /// Installs the handlers. Returns [`Error::Start`] if one can't be installed.
    pub(crate) fn register() -> Result<Signals> {
        let listen = |kind| signal(kind).change_context(Error::Start("signal handlers"));
        Ok(Signals {
            term: listen(SignalKind::terminate())?,
            int: listen(SignalKind::interrupt())?,
            hup: listen(SignalKind::hangup())?,
        })
    }
}

/// Waits for SIGTERM or SIGINT. Until then, calls `on_settings` on each SIGHUP and on each
/// change of the settings file. Never fails.
pub(crate) async fn wait_for_leave(
    mut signals: Signals,
    file: PathBuf,
    mut on_settings: impl FnMut(),
) -> Result<()> {
    /// Interval between two checks of the settings file for changes.
    const POLL_INTERVAL: Duration = Duration::from_secs(1);

    let mut content = std::fs::read(&file).unwrap_or_default();
    loop {
        let cause = tokio::select! {
            _ = signals.term.recv() => break,
            _ = signals.int.recv() => break,
            _ = signals.hup.recv() => "signal",
            () = time::sleep(POLL_INTERVAL) => "look",
        };
        let new_content = std::fs::read(&file).unwrap_or_default();
        let changed = new_content != content;
        content = new_content;
        if cause == "signal" || changed {
            log::info!("event=reload cause={cause} changed={changed}");
            on_settings();
        }
    }
    log::info!("event=leave cause=signal");
    Ok(())
}
