//! Fault-injection soak test of the shipped binary.
//!
//! A soak runs a deployment as separate processes on loopback addresses: entries, which receive the
//! clients' packets, and agents, each beside one target. It injects external faults that derive
//! from a seed, and checks the system's guarantees by what clients and targets observe.
//!
//! A soak can't change the clock of a process. It can't block the datagrams between two processes
//! of the system either, because these datagrams carry the processes' own addresses.

pub(crate) mod checker;
pub(crate) mod faults;
pub(crate) mod fleet;
pub(crate) mod process;
mod users;

use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::task;
use tokio::task::JoinHandle;
use tokio::time;

use crate::packets::router::Router;
use crate::soak::checker::Checker;
use crate::soak::faults::Fault;
use crate::soak::fleet::Fleet;
use crate::soak::users::Users;

/// Time between the start of the processes and the first request.
const STARTUP_DELAY: Duration = Duration::from_secs(3);

/// Time after the last fault within which the system serves requests again (`recovery_s` of the
/// users' sites).
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Time within which a new configuration takes effect (`config_apply_ms` of the users' sites).
const CONFIG_APPLY_TIME: Duration = Duration::from_secs(3);

/// Period after recovery over which the ratio of served requests is measured.
const MEASUREMENT_PERIOD: Duration = Duration::from_secs(3);

/// Minimum ratio of requests served in [`MEASUREMENT_PERIOD`].
const MIN_SERVED_RATIO: f64 = 0.9;

/// Port of the route that is added after the last fault and that [`check_routes`] drops.
const DROPPED_PORT: u16 = 9_001;
/// Port of the route that [`check_routes`] adds.
const ADDED_PORT: u16 = 9_002;

/// `SoakOptions` sets the size, the duration and the seed of a soak.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Path of the `marigoldway` binary under test.
    pub binary: PathBuf,
    /// Directory of the processes' settings and logs.
    pub dir: PathBuf,
    /// Seed of the faults and of the router.
    pub seed: u64,
    /// Period in which faults start; default 20 s.
    pub duration: Duration,
    /// Number of entries; default 4.
    pub entries: u8,
    /// Number of targets, each with its own agent; default 8.
    pub targets: u8,
    /// Whether the store is restored from a backup where it would be compacted; default false, so
    /// that the faults of a seed stay the same.
    pub restores: bool,
}

impl SoakOptions {
    /// Creates the default options and a directory for settings and logs.
    pub fn new(binary: PathBuf, seed: u64) -> io::Result<SoakOptions> {
        Ok(SoakOptions {
            binary,
            dir: fleet::create_run_dir(seed)?,
            seed,
            duration: Duration::from_secs(20),
            entries: 4,
            targets: 8,
            restores: false,
        })
    }
}

/// Runs a soak and returns the number of violations.
///
/// # Errors
///
/// The error of a socket, file or process that the soak itself uses.
pub async fn run(options: &SoakOptions) -> io::Result<usize> {
    let checker = Checker::new();
    let fleet = Rc::new(Fleet::start(options, checker.clone()).await?);
    let router = Router::start(&fleet.entry_addresses(), options.seed);
    time::sleep(STARTUP_DELAY).await;
    let users = Users::start(&fleet, &router).await?;

    let counts = inject_faults(options, &fleet, &router).await?;
    fleet.configure(&[DROPPED_PORT]);
    time::sleep(RECOVERY_TIME).await;
    check_service(&checker).await;
    check_routes(&fleet, &users).await;
    fleet.check_processes()?;
    users.stop();

    let (served, failed) = (checker.served.get(), checker.failed.get());
    let violations = checker.violation_count();
    let kinds: Vec<String> = counts.iter().map(|(it, n)| format!("{it}:{n}")).collect();
    println!(
        "event=soak seed={} faults={} served={served} failed={failed} broken={violations} dir={}",
        options.seed,
        kinds.join(","),
        options.dir.display(),
    );
    Ok(violations)
}

/// Starts faults for the duration of the soak, then waits until each has ended. A fault is skipped
/// if another fault has reserved its instance. Returns the number of started faults of each kind.
async fn inject_faults(
    options: &SoakOptions,
    fleet: &Rc<Fleet>,
    router: &Rc<Router>,
) -> io::Result<IndexMap<String, u32>> {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let mut counts = IndexMap::new();
    let mut tasks: Vec<JoinHandle<io::Result<()>>> = Vec::new();
    let end = time::Instant::now() + options.duration;
    while time::Instant::now() < end {
        time::sleep(Duration::from_millis(rng.random_range(100..900))).await;
        fleet.check_processes()?;
        let mut fault = Fault::random(&mut rng, fleet.entries.len(), fleet.agents.len());
        if options.restores {
            fault = fault.with_restore(&mut rng);
        }
        let instance = fault.instance().and_then(|n| fleet.instances().nth(n));
        if instance.is_some_and(|it| it.reserved.get()) {
            continue;
        }
        let name = format!("{fault:?}");
        let name = name.split(['(', ' ']).next().unwrap_or_default().to_owned();
        println!(
            "event=fault at={:.3} fault=\"{fault:?}\"",
            fleet.checker.elapsed().as_secs_f64()
        );
        *counts.entry(name).or_insert(0) += 1;
        if let Some(instance) = instance {
            instance.reserved.set(true);
        }
        let instance = instance.cloned();
        let (fleet, router) = (fleet.clone(), router.clone());
        tasks.push(task::spawn_local(async move {
            let result = fault.inject(&fleet, &router).await;
            if let Some(instance) = instance {
                instance.reserved.set(false);
            }
            result
        }));
    }
    for task in tasks {
        task.await.map_err(io::Error::other)??;
    }
    Ok(counts)
}

/// Checks that at least [`MIN_SERVED_RATIO`] of the requests are served after recovery.
async fn check_service(checker: &Checker) {
    let before = (checker.served.get(), checker.failed.get());
    time::sleep(MEASUREMENT_PERIOD).await;
    let served = (checker.served.get() - before.0) as f64;
    let all = served + (checker.failed.get() - before.1) as f64;
    if all == 0.0 || served / all < MIN_SERVED_RATIO {
        checker.record_violation("RECOVER", &format!("{served} of {all} served"));
    }
}

/// Checks that a new configuration takes effect in time: the dropped route no longer serves
/// requests and the added one does.
async fn check_routes(fleet: &Fleet, users: &Users) {
    if !users.probe(DROPPED_PORT).await {
        fleet
            .checker
            .record_violation("CONFIG", "an established route isn't served");
    }
    fleet.checker.drop_route(DROPPED_PORT);
    fleet.configure(&[ADDED_PORT]);
    time::sleep(CONFIG_APPLY_TIME).await;
    if users.probe(DROPPED_PORT).await {
        fleet
            .checker
            .record_violation("CONFIG", "a dropped route is served");
    }
    if !users.probe(ADDED_PORT).await {
        fleet
            .checker
            .record_violation("CONFIG", "a new route isn't served");
    }
}
