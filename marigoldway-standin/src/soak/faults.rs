//! Random faults of a soak, which may overlap.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use tokio::time;

use crate::packets::proxy::ProxyMode;
use crate::packets::router::Router;
use crate::packets::store::Fault as StoreFault;
use crate::soak::fleet::Fleet;
use crate::soak::fleet::Instance;

/// Time for which a draining target continues to serve after its agent has received the state
/// `draining` in a heartbeat.
const LEAVE_DELAY: Duration = Duration::from_millis(3_500);

/// Minimum time before an address is reused (`addr_reuse_s` of the users' sites).
const ADDRESS_REUSE_DELAY: Duration = Duration::from_secs(2);

/// Time after a restore of the store until the operator repeats the configuration.
const REPEAT_DELAY: Duration = Duration::from_millis(500);

/// `Fault` is a failure or a change that the soak injects. Each `usize` is the index of an
/// instance: entries first, then agents.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// Kills a process and restarts it.
    Kill(usize),
    /// Kills every process that no other fault has reserved and restarts them.
    KillAll,
    /// Sends SIGTERM to a process, so that it leaves, and restarts it.
    Terminate(usize),
    /// Stops a process with SIGSTOP for a time.
    Freeze(usize, Duration),
    /// Sends SIGHUP to a process. The signal tells the process that its settings have changed.
    HangUp(usize),
    /// Puts the proxy between a process and the store into a mode for a time.
    Cut(usize, ProxyMode, Duration),
    /// Puts the store into a fault mode for a time.
    Store(StoreFault, Duration),
    /// Compacts the store, which discards its history.
    Compact,
    /// Makes the store silent for a time, then lets all leases expire.
    Lapse(Duration),
    /// Lets the store go on for the first time, then be silent for the second one, then restores it
    /// from a backup that was taken at the beginning. The operator repeats the configuration.
    Restore(Duration, Duration),
    /// Crashes a target and starts another in its place after a time, with the same ID if the flag
    /// is set.
    Crash(usize, bool, Duration),
    /// Drains a target and ends it and its agent, then starts a new target and the agent at the
    /// same address. The new target belongs to the named service, or to the former service if fewer
    /// than two other targets of the former service run.
    Replace(usize, &'static str),
    /// Drops the given ratio of the clients' packets for a time.
    Loss(f64, Duration),
    /// Writes a new configuration.
    Configure,
}

impl Fault {
    /// Returns a random fault for a deployment of `entries` entries and `agents` agents.
    pub(crate) fn random(rng: &mut StdRng, entries: usize, agents: usize) -> Fault {
        let any = rng.random_range(0..entries + agents);
        let agent = entries + rng.random_range(0..agents);
        let span = Duration::from_millis(rng.random_range(300..4_000));
        match rng.random_range(0..20) {
            0..=2 => Fault::Kill(any),
            3 => Fault::KillAll,
            4 | 5 => Fault::Terminate(any),
            6 | 7 => Fault::Freeze(any, span),
            8 => Fault::HangUp(any),
            9 | 10 => Fault::Cut(any, random_proxy_mode(rng), span),
            11 | 12 => Fault::Store(random_store_fault(rng), span),
            13 => Fault::Compact,
            14 => Fault::Lapse(span),
            15 | 16 => Fault::Crash(agent, rng.random(), span / 2),
            17 => Fault::Replace(agent, ["orders", "papers"][rng.random_range(0..2)]),
            18 => Fault::Loss(rng.random_range(0.01..0.2), span),
            _ => Fault::Configure,
        }
    }

    /// Returns a restore of the store in place of a compaction, with the same effect on the history.
    pub(crate) fn with_restore(self, rng: &mut StdRng) -> Fault {
        let mut span = |max_ms| Duration::from_millis(rng.random_range(300..max_ms));
        match self {
            Fault::Compact => Fault::Restore(span(5_000), span(3_000)),
            other => other,
        }
    }

    /// Returns the index of the instance that the fault reserves while it runs, `None` if it
    /// reserves none in advance.
    pub(crate) fn instance(&self) -> Option<usize> {
        match self {
            Fault::Kill(n)
            | Fault::Terminate(n)
            | Fault::Freeze(n, _)
            | Fault::Crash(n, ..)
            | Fault::Replace(n, _) => Some(*n),
            Fault::KillAll
            | Fault::HangUp(_)
            | Fault::Cut(..)
            | Fault::Store(..)
            | Fault::Compact
            | Fault::Lapse(_)
            | Fault::Restore(..)
            | Fault::Loss(..)
            | Fault::Configure => None,
        }
    }

    /// Injects the fault and undoes it at its end.
    pub(crate) async fn inject(self, fleet: &Fleet, router: &Router) -> io::Result<()> {
        let instances: Vec<&Rc<Instance>> = fleet.instances().collect();
        match self {
            Fault::Kill(n) => fleet.kill(instances[n]).await?,
            Fault::KillAll => fleet.kill_all().await?,
            Fault::Terminate(n) => fleet.terminate(instances[n], true).await?,
            Fault::Freeze(n, span) => fleet.freeze(instances[n], span).await,
            Fault::HangUp(n) => instances[n].process.borrow().hang_up(),
            Fault::Cut(n, mode, span) => {
                instances[n].proxy_mode.set(mode);
                time::sleep(span).await;
                instances[n].proxy_mode.set(ProxyMode::Forward);
            }
            Fault::Store(fault, span) => {
                fleet.store.set_fault(fault);
                time::sleep(span).await;
                fleet.store.set_fault(StoreFault::None);
            }
            Fault::Compact => fleet.store.compact(),
            Fault::Lapse(span) => {
                fleet.store.set_fault(StoreFault::Silent);
                time::sleep(span).await;
                fleet.store.expire_leases();
                fleet.store.set_fault(StoreFault::None);
            }
            Fault::Restore(age, span) => restore(fleet, age, span).await,
            Fault::Crash(n, same_id, span) => crash(fleet, instances[n], same_id, span).await?,
            Fault::Replace(n, service) => replace(fleet, instances[n], service).await?,
            Fault::Loss(ratio, span) => {
                router.loss.set(ratio);
                time::sleep(span).await;
                router.loss.set(0.0);
            }
            Fault::Configure => fleet.configure(&[]),
        }
        Ok(())
    }
}

fn random_proxy_mode(rng: &mut StdRng) -> ProxyMode {
    match rng.random_range(0..4) {
        0 => ProxyMode::Silent,
        1 => ProxyMode::OneWay,
        2 => ProxyMode::Reset,
        _ => ProxyMode::Slow(Duration::from_millis(rng.random_range(50..800))),
    }
}

fn random_store_fault(rng: &mut StdRng) -> StoreFault {
    match rng.random_range(0..4) {
        0 => StoreFault::Silent,
        1 => StoreFault::Busy,
        2 => StoreFault::Lost(rng.random_range(0.2..0.8)),
        _ => StoreFault::Slow(Duration::from_millis(rng.random_range(50..900))),
    }
}

async fn restore(fleet: &Fleet, age: Duration, span: Duration) {
    fleet.store.back_up();
    time::sleep(age).await;
    fleet.store.set_fault(StoreFault::Silent);
    time::sleep(span).await;
    fleet.store.restore();
    fleet.store.set_fault(StoreFault::None);
    time::sleep(REPEAT_DELAY).await;
    fleet.configure(&[]);
}

async fn crash(
    fleet: &Fleet,
    instance: &Instance,
    same_id: bool,
    span: Duration,
) -> io::Result<()> {
    let Some(target) = instance.target.borrow_mut().take() else {
        return Ok(());
    };
    target.crash();
    time::sleep(span.max(Duration::from_millis(100))).await;
    let id = same_id.then(|| target.options.id.clone());
    fleet
        .start_target(instance, &target.options.service, id)
        .await
}

async fn replace(fleet: &Fleet, instance: &Instance, service: &str) -> io::Result<()> {
    let Some(target) = instance.target.borrow_mut().take() else {
        return Ok(());
    };
    target.drain();
    time::sleep(LEAVE_DELAY + Duration::from_millis(1_500)).await;
    target.leave().await;
    fleet.terminate(instance, false).await?;
    time::sleep(ADDRESS_REUSE_DELAY).await;
    let own = target.options.service.as_str();
    let service = if fleet.count_targets(own) < 2 {
        own
    } else {
        service
    };
    fleet.start_target(instance, service, None).await?;
    instance.process.borrow_mut().start()
}
