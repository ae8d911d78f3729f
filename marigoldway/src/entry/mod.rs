//! The entry: takes callers' packets and hands them to agents.

use crate::errors::Result;
use crate::process::Process;
use crate::settings::EntrySettings;

/// Runs an entry until it has left.
pub async fn run(settings: EntrySettings, process: Process) -> Result<()> {
    let services = settings.services.len();
    log::warn!("event=not-built role=entry services={services}");
    process.shutdown.leaving().await;
    Ok(())
}
