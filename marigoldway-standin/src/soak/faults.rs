//! Faults in series that overlap, drawn from a seed.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use tokio::time;

use crate::packets::proxy::Link;
use crate::packets::router::Router;
use crate::packets::store::Fault as StoreFault;
use crate::soak::fleet::Fleet;
use crate::soak::fleet::Instance;

/// Time for which a target that leaves serves on after its agent knows.
const LEAVE_DELAY: Duration = Duration::from_millis(3_500);

/// Time after which an address is used again at the earliest (`addr_reuse_s` of
/// the users' sites).
const ADDRESS_REUSE_DELAY: Duration = Duration::from_secs(2);

/// `Fault` is one thing that goes wrong or is changed.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// A process is killed.
    Kill(usize),
    /// Every process is killed.
    KillAll,
    /// A process is asked to leave, and started again.
    Terminate(usize),
    /// A process stands still.
    Freeze(usize, Duration),
    /// A process is told that its settings have changed.
    HangUp(usize),
    /// A process' link to the store is broken.
    Cut(usize, Link, Duration),
    /// The store misbehaves.
    Store(StoreFault, Duration),
    /// The store forgets its history.
    Compact,
    /// The store is silent, and all leases lapse.
    Lapse(Duration),
    /// A target dies, and another comes to its place under the same name or not.
    Crash(usize, bool, Duration),
    /// A target leaves, and its address passes to a service.
    Replace(usize, &'static str),
    /// Clients' packets are lost.
    Loss(f64, Duration),
    /// The configuration changes.
    Configure,
}

impl Fault {
    /// Draws a fault of a deployment with so many entries and agents.
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

    /// The instance that it holds for itself, by its number.
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

    /// Lets it happen, and undoes it in the end.
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
                instances[n].link.set(Link::Whole);
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
                fleet.store.lapse();
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

fn random_link(rng: &mut StdRng) -> Link {
    match rng.random_range(0..4) {
        0 => Link::Silent,
        1 => Link::OneWay,
        2 => Link::Reset,
        _ => Link::Slow(Duration::from_millis(rng.random_range(50..800))),
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
