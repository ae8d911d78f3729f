//! The roles that forward packet flows: sockets, timers and tasks around the
//! decisions of `marigoldway_core::flow`.
//!
//! An entry receives clients' packets from routers and forwards each to an agent. An
//! agent forwards packets between entries and the target beside it.
//!
//! Each process runs on one thread with a `tokio` runtime, because it gets only a
//! small part of one core. `node` holds what both roles share.

pub mod agent;
mod agent_records;
mod demand;
mod drains;
pub mod entry;
mod feed;
mod histograms;
mod in_flight;
mod log_limit;
mod moves;
mod node;
mod peers;
mod presence;
mod registrar;
mod replicas;
mod replicate;
mod server;
mod signals;
mod store;
mod unreadable;

use std::path::Path;
use std::time::Duration;

use error_stack::ResultExt;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::errors::Error;
use crate::errors::Result;
use crate::logging;
use crate::packets::signals::Signals;
use crate::process::settings_error;
use crate::settings::FlowAgentSettings;
use crate::settings::FlowSettings;

/// Runs a packet entry with the settings in `file`, until it has left after SIGTERM or SIGINT.
/// `apply_limit`, if given, replaces the setting of that name. Fails if the settings are invalid or
/// the entry can't start.
pub fn entry(file: &Path, apply_limit: Option<Duration>) -> Result<()> {
    run_role("entry", async |signals| {
        let mut settings = FlowSettings::load(file).map_err(settings_error)?;
        settings.apply_limit = apply_limit.unwrap_or(settings.apply_limit);
        log_start("entry", &settings)?;
        entry::run(settings, file.to_owned(), signals).await
    })
}

/// Runs a packet agent with the settings in `file`, until it has left after SIGTERM or SIGINT.
/// `apply_limit`, if given, replaces the setting of that name. Fails if the settings are invalid or
/// the agent can't start.
pub fn agent(file: &Path, apply_limit: Option<Duration>) -> Result<()> {
    run_role("agent", async |signals| {
        let mut settings = FlowAgentSettings::load(file).map_err(settings_error)?;
        let limit = &mut settings.shared.apply_limit;
        *limit = apply_limit.unwrap_or(*limit);
        log_start("agent", &settings.shared)?;
        agent::run(settings, file.to_owned(), signals).await
    })
}

fn log_start(role: &str, settings: &FlowSettings) -> Result<()> {
    let logs = logging::init_stdout(settings.log_level, &settings.name);
    logs.change_context(Error::Start("logs"))?;
    let data = settings.data;
    let version = env!("CARGO_PKG_VERSION");
    log::info!("event=start role={role} data={data} version={version}");
    Ok(())
}

fn run_role(role: &'static str, run: impl AsyncFnOnce(Signals) -> Result<()>) -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.change_context(Error::Start("runtime"))?;
    let signals = {
        let _context = runtime.enter();
        Signals::register()?
    };
    let result = LocalSet::new().block_on(&runtime, run(signals));
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
