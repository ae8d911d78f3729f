//! The `entry` process: a load balancer that keeps no per-flow state.
//!
//! An entry forwards the packets of callers to agents, the processes beside the
//! targets, and the replies of agents to callers. It also takes part in the
//! membership protocol, holds the operators' lists of plans and allowances, and lends
//! agents shares of the customers' allowances.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::watch;
use tokio::time::sleep;

use marigoldway_core::forward::Forwarder;
use marigoldway_core::reset::ResetKey;
use marigoldway_core::roster::RosterView;
use marigoldway_net::clock::Clock;
use marigoldway_net::counters::PacketCounters;
use marigoldway_net::envelope::EnvelopeKey;
use marigoldway_net::envelope::MAX_DATAGRAM_LEN;
use marigoldway_net::forward::EntryDataPlane;
use marigoldway_net::forward::EntryKeys;

use crate::errors::Result;
use crate::lists;
use crate::lists::WatcherOptions;
use crate::membership;
use crate::membership::Membership;
use crate::membership::MessageQueues;
use crate::membership::ProcessRole;
use crate::membership::maintain_entry_directory;
use crate::platform;
use crate::process::Process;
use crate::roster_status;
use crate::scope::AgentNetworks;
use crate::settings::EntrySettings;
use crate::shares;
use crate::shutdown::Shutdown;
use crate::sockets::bind;

/// Time for which a leaving entry continues to forward packets. Meanwhile agents
/// learn to send replies through other entries, and packets in flight arrive.
pub const LEAVING_PERIOD: Duration = Duration::from_secs(3);

/// Delay between a failed receive and the next one, so that a permanent fault doesn't
/// flood the log.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Runs an entry until it has left the roster (the list of all instances).
///
/// # Errors
///
/// [`Bind`](crate::errors::Error::Bind) if an address can't be
/// bound, [`Replaced`](crate::errors::Error::Replaced) if a later incarnation of
/// the instance has joined.
pub async fn run(settings: EntrySettings, process: Process) -> Result<()> {
    let clock = Clock::start();
    let (membership, queues) = membership::start(
        &settings.process,
        &settings.network,
        &settings.keys,
        ProcessRole::Entry,
        process.incarnation,
        clock,
    )
    .await?;
    let counters = start_forwarding(&settings, membership.views())?;
    process.metrics.add_packet_counters(counters);
    process
        .metrics
        .add_socket_counters(udp_addresses(&settings));
    process
        .metrics
        .add_control_counters(membership.control().clone());
    roster_status::publish(&process.status, membership.views());
    start_list_tasks(&settings, &process, &membership, queues, clock);
    tokio::spawn(maintain_entry_directory(
        membership.clone(),
        platform::new_client(&settings.platform),
        ProcessRole::Entry,
        settings.network.data,
        settings.process.domain,
    ));
    membership.serve().await;
    process.status.set_ready(true);

    membership.wait_for_leave(&process.shutdown).await?;
    membership.leave().await;
    wait_leaving_period(&process.shutdown).await;
    membership.stop().await;
    Ok(())
}

/// Binds the sockets of an entry and starts its packet loops, one for each service
/// and one for the replies of agents. The loops run until the process ends. Returns
/// the counters of the packet path, or an error if an address can't be bound.
fn start_forwarding(
    settings: &EntrySettings,
    views: watch::Receiver<Arc<RosterView>>,
) -> Result<Arc<PacketCounters>> {
    let data = bind(settings.network.data.addr())?;
    let mut services = IndexMap::new();
    for service in &settings.services {
        services.insert(service.id, bind(SocketAddr::V4(service.listen))?);
    }
    let ids: Vec<_> = services.keys().copied().collect();
    let scope = AgentNetworks(settings.network.agent_networks.clone());
    let plane = Arc::new(EntryDataPlane::new(
        entry_keys(settings),
        scope,
        views,
        data,
        services,
    ));

    for id in ids {
        let plane = plane.clone();
        tokio::spawn(async move {
            loop {
                let end = plane.serve(id).await;
                log::warn!("event=receive-failed service={id} result={end:?}");
                sleep(RECEIVE_RETRY_DELAY).await;
            }
        });
    }
    let counters = plane.counters().clone();
    tokio::spawn(async move {
        loop {
            let end = plane.serve_replies().await;
            log::warn!("event=receive-failed socket=data result={end:?}");
            sleep(RECEIVE_RETRY_DELAY).await;
        }
    });
    Ok(counters)
}

/// Waits for [`LEAVING_PERIOD`], or until the process is ending if that comes first.
async fn wait_leaving_period(shutdown: &Shutdown) {
    tokio::select! {
        () = sleep(LEAVING_PERIOD) => (),
        () = shutdown.ending() => (),
    }
}

/// Starts the tasks that maintain the lists, and the task that lends shares of the
/// allowances to agents.
fn start_list_tasks(
    settings: &EntrySettings,
    process: &Process,
    membership: &Membership,
    queues: MessageQueues,
    clock: Clock,
) {
    let watcher = WatcherOptions {
        platform: &settings.platform,
        own: settings.network.data,
        domain: settings.process.domain,
    };
    let catalogs = lists::start(membership, queues.lists, process, clock, Some(watcher));
    tokio::spawn(shares::lend(
        membership.clone(),
        queues.shares,
        catalogs,
        process.status.clone(),
        clock,
        settings.network.data,
    ));
}

/// The UDP addresses that an entry is bound to: those of its services, then its
/// data address.
fn udp_addresses(settings: &EntrySettings) -> Vec<SocketAddrV4> {
    let services = settings.services.iter().map(|service| service.listen);
    services.chain([settings.network.data.0]).collect()
}

/// Derives the keys of the packet path from the fleet's keys in the settings.
fn entry_keys(settings: &EntrySettings) -> EntryKeys {
    let (envelope, hash) = settings.keys.envelope.halves();
    EntryKeys {
        forwarder: Forwarder::new(settings.keys.route.clone(), hash, MAX_DATAGRAM_LEN),
        envelope: EnvelopeKey::new(envelope),
        reset: ResetKey::new(&settings.keys.reset.0),
    }
}
