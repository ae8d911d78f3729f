//! Startup and shutdown common to entries and agents: settings, logs, counters, operator endpoints
//! and signals.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use error_stack::Report;
use error_stack::ResultExt;
use tokio::runtime::Runtime;

use marigoldway_core::ids::Incarnation;
use marigoldway_core::ids::InstanceId;

use crate::agent;
use crate::entry;
use crate::errors::Error;
use crate::errors::Result;
use crate::errors::describe;
use crate::logging;
use crate::membership;
use crate::metrics;
use crate::metrics::Metrics;
use crate::operator::Operator;
use crate::operator::Status;
use crate::settings::AgentSettings;
use crate::settings::EntrySettings;
use crate::settings::Faults;
use crate::settings::ProcessSettings;
use crate::shutdown;
use crate::shutdown::Phase;
use crate::shutdown::Shutdown;

/// Time limit of each of the two steps in which a process ends. In the first, the role (entry or
/// agent) aborts its open work and counts it. In the second, the last report of the counters is
/// sent and the operator endpoints stop.
const END_GRACE: Duration = Duration::from_secs(3);

/// Resources of a process that its role, entry or agent, receives in addition to the settings.
#[derive(Clone)]
pub struct Process {
    /// Receiver of the phase of the process.
    pub shutdown: Shutdown,
    /// Counters of the process.
    pub metrics: Arc<Metrics>,
    /// State that the operator endpoints expose.
    pub status: Arc<Status>,
    /// Distinguishes this run of the process from earlier ones of the same instance.
    pub incarnation: Incarnation,
}

/// Runs an entry until it has left gracefully or is terminated.
pub fn entry(file: &Path) -> Result<()> {
    let settings = EntrySettings::load(file).map_err(settings_error)?;
    let shared = settings.process.clone();
    let data = settings.network.data;
    start("entry", &shared, data, |process| {
        entry::run(settings, process)
    })
}

/// Runs an agent until it has left gracefully or is terminated.
pub fn agent(file: &Path) -> Result<()> {
    let settings = AgentSettings::load(file).map_err(settings_error)?;
    let shared = settings.process.clone();
    let data = settings.network.data;
    start("agent", &shared, data, |process| {
        agent::run(settings, process)
    })
}

/// Converts the faults of a settings file into a report.
pub(crate) fn settings_error(faults: Faults) -> Report<Error> {
    Report::new(faults).change_context(Error::Settings)
}

/// Starts logging, serves the role until the process ends, and logs the start and the stop.
fn start<F>(
    role: &'static str,
    settings: &ProcessSettings,
    data: InstanceId,
    run: impl FnOnce(Process) -> F,
) -> Result<()>
where
    F: Future<Output = Result<()>>,
{
    logging::init(settings.log_level).change_context(Error::Start("logs"))?;
    let version = env!("CARGO_PKG_VERSION");
    log::info!("event=start role={role} instance={data} version={version}");

    let runtime = Runtime::new().change_context(Error::Start("runtime"))?;
    let result = runtime.block_on(serve(role, settings, data, run));
    // Doesn't wait for tasks that still run, which would delay the exit.
    runtime.shutdown_background();

    match &result {
        Ok(()) => log::info!("event=stop role={role} instance={data}"),
        Err(report) => {
            let error = describe(report);
            log::error!("event=stop role={role} instance={data} error={error:?}");
        }
    }
    result
}

/// Creates the resources that the role receives. Fails if no socket for StatsD is available.
fn prepare(
    role: &'static str,
    settings: &ProcessSettings,
    data: InstanceId,
    shutdown: Shutdown,
) -> Result<Process> {
    let metrics = Metrics::new(settings.statsd).change_context(Error::Start("metrics"))?;
    let metrics = Arc::new(metrics);
    let status = Status::new(role, data.to_string(), metrics.clone(), shutdown.clone());
    Ok(Process {
        shutdown,
        metrics,
        status: Arc::new(status),
        incarnation: membership::incarnation(SystemTime::now()),
    })
}

/// Runs the role together with the signal handlers, the reports of the counters and the operator
/// endpoints. Returns the result of the role, or `Ok` if it exceeds [`END_GRACE`] while ending.
async fn serve<F>(
    role: &'static str,
    settings: &ProcessSettings,
    data: InstanceId,
    run: impl FnOnce(Process) -> F,
) -> Result<()>
where
    F: Future<Output = Result<()>>,
{
    let (trigger, shutdown) = shutdown::channel();
    let trigger = Arc::new(trigger);
    let process = prepare(role, settings, data, shutdown.clone())?;
    let operator = Operator::bind(settings.operator, process.status.clone());
    let operator = operator.change_context(Error::Start("operator endpoints"))?;
    let signals = shutdown::listen(trigger.clone(), settings.drain_limit);
    let signals = signals.change_context(Error::Start("signal handlers"))?;

    tokio::spawn(signals);
    let reports = tokio::spawn(metrics::run(process.metrics.clone(), shutdown.clone()));
    let endpoints = tokio::spawn(operator.run(shutdown.clone()));

    let result = tokio::select! {
        result = run(process) => result,
        () = wait_for_grace(&shutdown) => Ok(()),
    };

    // Waits until the last counters are sent and the endpoints have stopped their threads.
    trigger.advance(Phase::Ending);
    let finish = async { tokio::join!(reports, endpoints) };
    if tokio::time::timeout(END_GRACE, finish).await.is_err() {
        log::warn!("event=end-grace-over role={role}");
    }
    result
}

/// Waits until the process is ending and [`END_GRACE`] has passed.
async fn wait_for_grace(shutdown: &Shutdown) {
    shutdown.ending().await;
    tokio::time::sleep(END_GRACE).await;
}
