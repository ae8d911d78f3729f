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

/// Time for which a leaving target continues to serve after its agent has learned of the drain.
const LEAVE_DELAY: Duration = Duration::from_millis(3_500);

/// Minimum time before an address is reused (`addr_reuse_s` of the users' sites).
const ADDRESS_REUSE_DELAY: Duration = Duration::from_secs(2);

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
    /// Sends SIGHUP to a process, which announces changed settings.
    HangUp(usize),
    /// Disturbs a process' link to the store for a time.
    Cut(usize, ProxyMode, Duration),
    /// Puts the store into a fault mode for a time.
    Store(StoreFault, Duration),
    /// Compacts the store, which discards its history.
    Compact,
    /// Makes the store silent for a time; then all leases lapse.
    Lapse(Duration),
    /// Crashes a target and starts another in its place after a time, with the same ID if the flag
    /// is set.
    Crash(usize, bool, Duration),
    /// Drains a target and ends it with its agent, then reuses the address for a target of the
    /// service, or of the former service if that has fewer than two targets left.
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
            9 | 10 => Fault::Cut(any, random_link(rng), span),
            11 | 12 => Fault::Store(random_store_fault(rng), span),
            13 => Fault::Compact,
            14 => Fault::Lapse(span),
            15 | 16 => Fault::Crash(agent, rng.random(), span / 2),
            17 => Fault::Replace(agent, ["orders", "papers"][rng.random_range(0..2)]),
            18 => Fault::Loss(rng.random_range(0.01..0.2), span),
            _ => Fault::Configure,
        }
    }

    /// Returns the index of the instance that no other fault may use meanwhile.
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
            Fault::Cut(n, link, span) => {
                instances[n].link.set(link);
                time::sleep(span).await;
                instances[n].link.set(ProxyMode::Forward);
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

fn random_link(rng: &mut StdRng) -> ProxyMode {
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
    fleet.assign(instance, &target.options.service, id).await
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
    fleet.assign(instance, service, None).await?;
    instance.process.borrow_mut().start()
}
