//! The agent: ends callers' connections beside a target.

use crate::errors::Result;
use crate::process::Process;
use crate::settings::AgentSettings;

/// Runs an agent until it has left.
pub async fn run(settings: AgentSettings, process: Process) -> Result<()> {
    let target = settings.target.address;
    log::warn!("event=not-built role=agent target={target}");
    process.shutdown.leaving().await;
    Ok(())
}
