//! The operators' two lists: plans (the plan of each customer) and allowances (the
//! limits of each plan).
//!
//! Operators change the lists with the command `marigoldway lists`, which writes them
//! to the platform, a key-value store. Some entries (the load balancers) read them
//! there. Every process runs a task that holds the lists and exchanges them with the
//! other processes; agents, the processes beside the targets, don't call the platform
//! for lists.
//!
//! A process calls [`start`], and the command calls [`run`].

mod cli;
mod diff;
mod put;
mod store;
mod task;
mod wait;
mod watcher;

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::watch;

use marigoldway_core::ids::DomainId;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::lists::catalog::Catalog;
use marigoldway_core::lists::rollback::RollbackDetector;
use marigoldway_net::clock::Clock;
use marigoldway_net::control::MessageReceiver;
use marigoldway_net::platform::etcd::EtcdOptions;
use marigoldway_net::platform::etcd::EtcdPlatform;
use marigoldway_net::wire::lists::ListsWire;

use crate::lists::task::Task;
use crate::lists::watcher::Watcher;
use crate::membership::Membership;
use crate::process::Process;
use crate::settings::PlatformSettings;

pub use crate::lists::cli::ListsArgs;
pub use crate::lists::cli::run;

/// Capacity of the queue of lists to the list task, and of the queue of repairs to the
/// watcher.
const QUEUE_LEN: usize = 16;

/// Minimum timeout of a watcher's calls to the platform. It raises a shorter timeout
/// of the settings, so that a watcher can read a platform that takes seconds to respond.
const MIN_WATCHER_TIMEOUT: Duration = Duration::from_secs(5);

/// `Catalogs` receives the lists in force. The value is `None` until the process has a
/// consistent pair of both lists.
pub type Catalogs = watch::Receiver<Option<Arc<Catalog>>>;

/// `WatcherOptions` holds the settings with which an entry watches the lists in the
/// platform.
pub struct WatcherOptions<'a> {
    /// Address of the platform and timeout of calls to it.
    pub platform: &'a PlatformSettings,
    /// Instance id of the entry.
    pub own: InstanceId,
    /// Failure domain of the entry.
    pub domain: DomainId,
}

/// Starts the tasks that maintain the lists of a process. An entry passes its options
/// as `watcher`. An agent passes `None`, since it receives the lists only from entries.
pub fn start(
    membership: &Membership,
    messages: MessageReceiver<ListsWire>,
    process: &Process,
    clock: Clock,
    watcher: Option<WatcherOptions<'_>>,
) -> Catalogs {
    let (catalogs, receiver) = watch::channel(None);
    let (snapshots, snapshot_queue) = mpsc::channel(QUEUE_LEN);
    let (repairs, repair_queue) = mpsc::channel(QUEUE_LEN);
    let platform = watcher.as_ref().map(|it| Arc::new(connect(it.platform)));
    let task = Task::new(
        platform.clone(),
        membership.clone(),
        clock,
        process.status.clone(),
        catalogs,
        repairs,
    );
    tokio::spawn(task.run(messages, snapshot_queue));

    if let (Some(options), Some(platform)) = (watcher, platform) {
        let watcher = Watcher {
            platform,
            own: options.own,
            domain: options.domain,
            views: membership.views(),
            snapshots,
            repairs: repair_queue,
            metrics: process.metrics.clone(),
            rollbacks: RollbackDetector::default(),
        };
        tokio::spawn(watcher.run());
    }
    receiver
}

fn connect(settings: &PlatformSettings) -> EtcdPlatform {
    EtcdPlatform::new(EtcdOptions {
        address: settings.address.into(),
        timeout: settings.timeout.max(MIN_WATCHER_TIMEOUT),
    })
}
