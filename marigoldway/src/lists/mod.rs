//! The operators' two lists: the tasks that bring them to a process, and
//! `marigoldway lists`, by which operators change them.
//!
//! Start with [`start`].

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
use marigoldway_net::clock::Clock;
use marigoldway_net::control::Received;
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

/// Lists that wait for the task at most.
const QUEUE: usize = 16;

/// Shortest time limit of a watcher's calls: a platform that takes seconds for
/// an answer must still be read.
const WATCHER_LIMIT: Duration = Duration::from_secs(5);

/// `Catalogs` yields the lists in force, `None` until there are both.
pub type Catalogs = watch::Receiver<Option<Arc<Catalog>>>;

/// `WatcherOptions` is what an entry needs to watch the platform.
pub struct WatcherOptions<'a> {
    /// Where the platform is.
    pub platform: &'a PlatformSettings,
    /// Name of the entry.
    pub own: InstanceId,
    /// Failure domain of the entry.
    pub domain: DomainId,
}

/// Starts the tasks that keep the lists of a process. An entry names what it
/// watches; an agent gets the lists from entries only.
pub fn start(
    membership: &Membership,
    messages: Received<ListsWire>,
    process: &Process,
    clock: Clock,
    watching: Option<WatcherOptions<'_>>,
) -> Catalogs {
    let (catalogs, receiver) = watch::channel(None);
    let (seen, seen_queue) = mpsc::channel(QUEUE);
    let (repairs, repair_queue) = mpsc::channel(QUEUE);
    let platform = watching.as_ref().map(|it| Arc::new(connect(it.platform)));
    let task = Task::new(
        platform.clone(),
        membership.clone(),
        clock,
        process.status.clone(),
        catalogs,
        repairs,
    );
    tokio::spawn(task.run(messages, seen_queue));

    if let (Some(watching), Some(platform)) = (watching, platform) {
        let watcher = Watcher {
            platform,
            own: watching.own,
            domain: watching.domain,
            views: membership.views(),
            seen,
            repairs: repair_queue,
            metrics: process.metrics.clone(),
        };
        tokio::spawn(watcher.run());
    }
    receiver
}

fn connect(settings: &PlatformSettings) -> EtcdPlatform {
    EtcdPlatform::new(EtcdOptions {
        address: settings.address.into(),
        timeout: settings.timeout.max(WATCHER_LIMIT),
    })
}
