//! What an entry and an agent share: settings, logs, counters, operator
//! endpoints, signals, and the way to the end.

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

/// Time that a process has to count what it cuts, once it is to end.
const END_GRACE: Duration = Duration::from_secs(3);

/// `Process` is what a role is given beside its settings.
#[derive(Clone)]
pub struct Process {
    /// Tells of the phase that the process is in.
    pub shutdown: Shutdown,
    /// Counters of the process.
    pub metrics: Arc<Metrics>,
    /// What operators are told.
    pub status: Arc<Status>,
    /// This life of the process.
    pub incarnation: Incarnation,
}

/// Runs an entry until it has left or is ended.
pub fn entry(file: &Path) -> Result<()> {
    let settings = EntrySettings::load(file).map_err(refuse)?;
    let shared = settings.process.clone();
    let data = settings.network.data;
    start("entry", &shared, data, |process| {
        entry::run(settings, process)
    })
}

/// Runs an agent until it has left or is ended.
pub fn agent(file: &Path) -> Result<()> {
    let settings = AgentSettings::load(file).map_err(refuse)?;
    let shared = settings.process.clone();
    let data = settings.network.data;
    start("agent", &shared, data, |process| {
        agent::run(settings, process)
    })
}

/// Makes a report of the faults of a settings file.
pub(crate) fn refuse(faults: Faults) -> Report<Error> {
    Report::new(faults).change_context(Error::Settings)
}

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
    // Tasks that are still open would hold up the end.
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
        () = cut(&shutdown) => Ok(()),
    };

    // The last counters go out, and the endpoints close their threads.
    trigger.advance(Phase::Ending);
    let rest = async { tokio::join!(reports, endpoints) };
    if tokio::time::timeout(END_GRACE, rest).await.is_err() {
        log::warn!("event=end-grace-over role={role}");
    }
    result
}

/// Waits until the process is to end and its grace is over.
async fn cut(shutdown: &Shutdown) {
    shutdown.ending().await;
    tokio::time::sleep(END_GRACE).await;
}
