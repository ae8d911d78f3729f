//! The roles that forward flows of packets: the loops around the core's
//! decisions.
//!
//! Each process is one thread with a `tokio` runtime, since it is given a small
//! part of one core. `node` holds what both roles share.

pub mod agent;
mod budget;
pub mod entry;
mod listing;
mod node;
mod peers;
mod registrar;
mod server;
mod store;
mod times;

use std::path::Path;

use error_stack::ResultExt;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::errors::Error;
use crate::errors::Result;
use crate::logging;
use crate::process::refuse;
use crate::settings::FlowAgentSettings;
use crate::settings::FlowSettings;

/// Runs an entry for packets until it has left.
pub fn entry(file: &Path) -> Result<()> {
    let settings = FlowSettings::load(file).map_err(refuse)?;
    let shared = settings.clone();
    let file = file.to_owned();
    start("entry", &shared, entry::run(settings, file))
}

/// Runs an agent for packets until it has left.
pub fn agent(file: &Path) -> Result<()> {
    let settings = FlowAgentSettings::load(file).map_err(refuse)?;
    let shared = settings.shared.clone();
    let file = file.to_owned();
    start("agent", &shared, agent::run(settings, file))
}

fn start(
    role: &'static str,
    settings: &FlowSettings,
    run: impl Future<Output = Result<()>>,
) -> Result<()> {
    let logs = logging::init_stdout(settings.log_level, &settings.name);
    logs.change_context(Error::Start("logs"))?;
    let data = settings.data;
    let version = env!("CARGO_PKG_VERSION");
    log::info!("event=start role={role} data={data} version={version}");

    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.change_context(Error::Start("runtime"))?;
    let result = LocalSet::new().block_on(&runtime, run);
    runtime.shutdown_background();
    match &result {
        Ok(()) => log::info!("event=stop role={role}"),
        Err(report) => {
            let error = crate::errors::describe(report);
            log::error!("event=stop role={role} error={error:?}");
        }
    }
    result
}
