//! Runs the `agent` process. An agent stands beside each target (a back end). It
//! terminates the flows (HTTP/3 connections) of callers and forwards their requests to
//! the target.

mod flows;
mod health;
mod load;
mod requests;
mod tls;

use std::sync::Arc;
use std::time::Duration;

use error_stack::ResultExt;
use quinn::Endpoint;
use tokio::time::timeout;

use marigoldway_core::acceptance::AcceptanceOptions;
use marigoldway_core::reset::ResetKey;
use marigoldway_core::route::Route;
use marigoldway_net::clock::Clock;
use marigoldway_net::envelope::EnvelopeKey;
use marigoldway_net::filter::DatagramFilter;
use marigoldway_net::quic;
use marigoldway_net::quic::AgentSocket;

use crate::agent::flows::Flows;
use crate::agent::requests::AccessControl;
use crate::agent::requests::Peers;
use crate::agent::requests::Requests;
use crate::errors::Error;
use crate::errors::Result;
use crate::lists;
use crate::lists::Catalogs;
use crate::membership;
use crate::membership::Membership;
use crate::membership::ProcessRole;
use crate::membership::maintain_entry_directory;
use crate::platform;
use crate::process::Process;
use crate::roster_status;
use crate::settings::AgentSettings;
use crate::shares::CustomerLimiter;
use crate::shutdown::Shutdown;
use crate::sockets::bind;

/// Maximum time for sending the last packets to callers on shutdown.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs an agent until it has left the membership and drained its flows.
///
/// Fails if an address can't be bound, if the certificate can't be used, or once a
/// later incarnation of this instance is known. An incarnation is one run of the
/// process.
pub async fn run(settings: AgentSettings, process: Process) -> Result<()> {
    let clock = Clock::start();
    let role = ProcessRole::Agent(settings.target.service);
    let (membership, queues) = membership::start(
        &settings.process,
        &settings.network,
        &settings.keys,
        role,
        process.incarnation,
        clock,
    )
    .await?;
    let catalogs = lists::start(&membership, queues.lists, &process, clock, None);
    let limiter = CustomerLimiter::start(
        membership.clone(),
        queues.shares,
        catalogs.clone(),
        clock,
        settings.target.service,
        process.incarnation,
    );
    let access = AccessControl::new(settings.target.service, catalogs.clone(), limiter);
    let agent = Agent::start(&settings, &process, clock, &membership, access)?;
    tokio::spawn(agent.requests.clone().run_relay(queues.relay));
    process
        .metrics
        .add_socket_counters(vec![settings.network.data.0]);
    process
        .metrics
        .add_control_counters(membership.control().clone());
    roster_status::publish(&process.status, membership.views());
    tokio::spawn(maintain_entry_directory(
        membership.clone(),
        platform::new_client(&settings.platform),
        role,
        settings.network.data,
        settings.process.domain,
    ));
    tokio::spawn(load::exchange(
        membership.clone(),
        agent.filter.clone(),
        agent.flows.clone(),
        agent.requests.clone(),
        process.status.clone(),
    ));
    tokio::select! {
        () = start_serving(&settings, &process, &membership, catalogs) => (),
        () = process.shutdown.leaving() => (),
    }

    membership.wait_for_leave(&process.shutdown).await?;
    agent.filter.leave();
    membership.leave().await;
    let cut = agent
        .drain(&process.shutdown, settings.process.drain_limit)
        .await;
    log::info!("event=drained cut-flows={cut}");
    membership.stop().await;
    Ok(())
}

/// Announces the agent as serving once it holds the lists and its target accepts
/// connections. The lists hold the customers, their plans and the rules of the
/// services; without them, the agent refuses every request.
async fn start_serving(
    settings: &AgentSettings,
    process: &Process,
    membership: &Membership,
    mut catalogs: Catalogs,
) {
    if catalogs.wait_for(Option::is_some).await.is_err() {
        return;
    }
    health::wait_until_up(&settings.target).await;
    tokio::spawn(health::watch(settings.target.clone(), membership.clone()));
    membership.serve().await;
    process.status.set_ready(true);
}

/// `Agent` holds the running data plane of an agent.
struct Agent {
    endpoint: Endpoint,
    filter: Arc<DatagramFilter>,
    flows: Arc<Flows>,
    requests: Arc<Requests>,
}

impl Agent {
    /// Binds the socket of an agent and starts to accept flows.
    ///
    /// Fails if the address can't be bound or the certificate can't be used.
    fn start(
        settings: &AgentSettings,
        process: &Process,
        clock: Clock,
        membership: &Membership,
        access: AccessControl,
    ) -> Result<Agent> {
        let own_route = Route {
            agent: settings.network.data,
            service: settings.target.service,
            incarnation: process.incarnation,
        };
        let options = AcceptanceOptions {
            max_flows: settings.target.connections,
            ..AcceptanceOptions::default()
        };
        let route_keys = settings.keys.route.clone();
        let filter = Arc::new(DatagramFilter::new(
            own_route,
            route_keys,
            clock,
            membership.views(),
            options,
        ));
        let envelope_key = EnvelopeKey::new(settings.keys.envelope.halves().0);
        let udp = bind(settings.network.data.addr())?;
        let socket = Arc::new(AgentSocket::new(udp, envelope_key, filter.clone()));
        process
            .metrics
            .add_packet_counters(socket.counters().clone());

        let reset_key = ResetKey::new(&settings.keys.reset.0);
        let server_config = tls::server_config(&settings.tls)?;
        let endpoint = quic::agent_endpoint(socket, reset_key, server_config)
            .change_context_lazy(|| Error::Start("QUIC endpoint"))?;
        let control = membership.control().clone();
        let peers = Peers::new(own_route, control, clock, membership.views());
        let metrics = process.metrics.clone();
        let requests = Requests::new(settings, own_route, clock, access, peers, metrics);
        let flows = Arc::new(Flows::new(requests.clone(), process.shutdown.clone()));
        tokio::spawn(flows.clone().accept(endpoint.clone()));
        Ok(Agent {
            endpoint,
            filter,
            flows,
            requests,
        })
    }

    /// Refuses new requests and waits until all flows and requests have ended, `limit`
    /// has passed, or the process must end. Then closes the remaining flows and
    /// returns their number.
    async fn drain(&self, shutdown: &Shutdown, limit: Duration) -> usize {
        self.requests.leave();
        let ended = async {
            self.flows.wait_ended().await;
            // Requests with an idempotency key and requests of peers can run
            // without an open flow.
            self.requests.idle().await;
        };
        tokio::select! {
            () = ended => (),
            _ = timeout(limit, shutdown.ending()) => (),
        }
        let cut = self.flows.open();
        self.endpoint.close(0_u32.into(), b"leaving");
        let _ = timeout(CLOSE_TIMEOUT, self.endpoint.wait_idle()).await;
        cut
    }
}
