//! The `entry` process: a balancer that holds no state for any flow.

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
use marigoldway_net::forward::EntryKeys;
use marigoldway_net::forward::EntryPlane;

use crate::errors::Result;
use crate::lists;
use crate::lists::Watching;
use crate::membership;
use crate::membership::Membership;
use crate::membership::Queues;
use crate::membership::Seat;
use crate::membership::keep_directory;
use crate::platform;
use crate::process::Process;
use crate::roster_status;
use crate::scope::AgentNetworks;
use crate::settings::EntrySettings;
use crate::shares;
use crate::shutdown::Shutdown;
use crate::sockets::bind;

/// Time for which a leaving entry still forwards: agents learn within it that
/// replies shall take another way, and packets on their way arrive.
pub const LINGER: Duration = Duration::from_secs(3);

/// Pause after a failed receipt, so that a lasting fault doesn't fill the log.
const RECEIVE_PAUSE: Duration = Duration::from_millis(100);

/// Runs an entry until it has left.
///
/// Fails where an address can't be bound.
pub async fn run(settings: EntrySettings, process: Process) -> Result<()> {
    let clock = Clock::start();
    let (membership, queues) = membership::start(
        &settings.process,
        &settings.network,
        &settings.keys,
        Seat::Entry,
        process.incarnation,
        clock,
    )
    .await?;
    let counters = start(&settings, membership.views())?;
    process.metrics.add_packet_counters(counters);
    process.metrics.add_socket_counters(addresses(&settings));
    process
        .metrics
        .add_control_counters(membership.control().clone());
    roster_status::publish(&process.status, membership.views());
    start_lists(&settings, &process, &membership, queues, clock);
    tokio::spawn(keep_directory(
        membership.clone(),
        platform::connect(&settings.platform),
        Seat::Entry,
        settings.network.data,
        settings.process.domain,
    ));
    membership.serve().await;
    process.status.set_ready(true);

    membership.leaving(&process.shutdown).await?;
    membership.leave().await;
    linger(&process.shutdown).await;
    membership.stop().await;
    Ok(())
}

/// Binds the sockets of an entry and starts its packet loops. Gives back the
/// counters of the packet path.
///
/// Fails where an address can't be bound. The loops run until the process ends.
fn start(
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
    let plane = Arc::new(EntryPlane::new(
        keys(settings),
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
                sleep(RECEIVE_PAUSE).await;
            }
        });
    }
    let counters = plane.counters().clone();
    tokio::spawn(async move {
        loop {
            let end = plane.serve_replies().await;
            log::warn!("event=receive-failed socket=data result={end:?}");
            sleep(RECEIVE_PAUSE).await;
        }
    });
    Ok(counters)
}

/// Waits while a leaving entry still forwards.
async fn linger(shutdown: &Shutdown) {
    tokio::select! {
        () = sleep(LINGER) => (),
        () = shutdown.ending() => (),
    }
}

/// Starts to keep the lists, and to lend shares of the allowances.
fn start_lists(
    settings: &EntrySettings,
    process: &Process,
    membership: &Membership,
    queues: Queues,
    clock: Clock,
) {
    let watching = Watching {
        platform: &settings.platform,
        own: settings.network.data,
        domain: settings.process.domain,
    };
    let catalogs = lists::start(membership, queues.lists, process, clock, Some(watching));
    tokio::spawn(shares::lend(
        membership.clone(),
        queues.shares,
        catalogs,
        process.status.clone(),
        clock,
        settings.network.data,
    ));
}

/// The UDP addresses of an entry.
fn addresses(settings: &EntrySettings) -> Vec<SocketAddrV4> {
    let services = settings.services.iter().map(|service| service.listen);
    services.chain([settings.network.data.0]).collect()
}

fn keys(settings: &EntrySettings) -> EntryKeys {
    let (envelope, hash) = settings.keys.envelope.halves();
    EntryKeys {
        forwarder: Forwarder::new(settings.keys.route.clone(), hash, MAX_DATAGRAM_LEN),
        envelope: EnvelopeKey::new(envelope),
        reset: ResetKey::new(&settings.keys.reset.0),
    }
}
