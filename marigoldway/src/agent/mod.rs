//! The `agent` process: it stands beside a target and ends the flows to it.

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
use marigoldway_net::gate::SlotQueue;
use marigoldway_net::quic;
use marigoldway_net::quic::AgentSocket;

use crate::agent::flows::Flows;
use crate::agent::requests::Access;
use crate::agent::requests::Peers;
use crate::agent::requests::Requests;
use crate::errors::Error;
use crate::errors::Result;
use crate::lists;
use crate::lists::Catalogs;
use crate::membership;
use crate::membership::Membership;
use crate::membership::Seat;
use crate::membership::keep_directory;
use crate::platform;
use crate::process::Process;
use crate::roster_status;
use crate::settings::AgentSettings;
use crate::shares::Gatekeeper;
use crate::shutdown::Shutdown;
use crate::sockets::bind;

/// Time that the last packets to callers may take at the end.
const CLOSE_LIMIT: Duration = Duration::from_secs(1);

/// Runs an agent until it has left.
///
/// Fails where an address can't be bound or the certificate can't be used.
pub async fn run(settings: AgentSettings, process: Process) -> Result<()> {
    let clock = Clock::start();
    let seat = Seat::Agent(settings.target.service);
    let (membership, queues) = membership::start(
        &settings.process,
        &settings.network,
        &settings.keys,
        seat,
        process.incarnation,
        clock,
    )
    .await?;
    let catalogs = lists::start(&membership, queues.lists, &process, clock, None);
    let gatekeeper = Gatekeeper::start(
        membership.clone(),
        queues.shares,
        catalogs.clone(),
        clock,
        settings.target.service,
        process.incarnation,
    );
    let access = Access::new(settings.target.service, catalogs.clone(), gatekeeper);
    let agent = Agent::start(&settings, &process, clock, &membership, access)?;
    tokio::spawn(agent.requests.clone().listen(queues.relay));
    process
        .metrics
        .add_socket_counters(vec![settings.network.data.0]);
    process
        .metrics
        .add_control_counters(membership.control().clone());
    roster_status::publish(&process.status, membership.views());
    tokio::spawn(keep_directory(
        membership.clone(),
        platform::connect(&settings.platform),
        seat,
        settings.network.data,
        settings.process.domain,
    ));
    tokio::spawn(load::exchange(
        membership.clone(),
        agent.gate.clone(),
        agent.flows.clone(),
        agent.requests.clone(),
        process.status.clone(),
    ));
    tokio::select! {
        () = begin(&settings, &process, &membership, catalogs) => (),
        () = process.shutdown.leaving() => (),
    }

    membership.leaving(&process.shutdown).await?;
    agent.gate.leave();
    membership.leave().await;
    let cut = agent
        .drain(&process.shutdown, settings.process.drain_limit)
        .await;
    log::info!("event=drained cut-flows={cut}");
    membership.stop().await;
    Ok(())
}

/// Has the agent listed as serving once it can serve: it holds lists, without
/// which it could only refuse, and its target accepts connections.
async fn begin(
    settings: &AgentSettings,
    process: &Process,
    membership: &Membership,
    mut catalogs: Catalogs,
) {
    if catalogs.wait_for(Option::is_some).await.is_err() {
        return;
    }
    health::first(&settings.target).await;
    tokio::spawn(health::watch(settings.target.clone(), membership.clone()));
    membership.serve().await;
    process.status.set_ready(true);
}

/// `Agent` is the running packet path of an agent.
struct Agent {
    endpoint: Endpoint,
    gate: Arc<SlotQueue>,
    flows: Arc<Flows>,
    requests: Arc<Requests>,
}

impl Agent {
    /// Binds the socket of an agent and begins to accept flows.
    ///
    /// Fails where the address can't be bound or the certificate can't be used.
    fn start(
        settings: &AgentSettings,
        process: &Process,
        clock: Clock,
        membership: &Membership,
        access: Access,
    ) -> Result<Agent> {
        let own = Route {
            agent: settings.network.data,
            service: settings.target.service,
            incarnation: process.incarnation,
        };
        let options = AcceptanceOptions {
            max_flows: settings.target.connections,
            ..AcceptanceOptions::default()
        };
        let route = settings.keys.route.clone();
        let gate = Arc::new(SlotQueue::new(
            own,
            route,
            clock,
            membership.views(),
            options,
        ));
        let key = EnvelopeKey::new(settings.keys.envelope.halves().0);
        let udp = bind(settings.network.data.addr())?;
        let socket = Arc::new(AgentSocket::new(udp, key, gate.clone()));
        process
            .metrics
            .add_packet_counters(socket.counters().clone());

        let reset = ResetKey::new(&settings.keys.reset.0);
        let server = tls::server_config(&settings.tls)?;
        let endpoint = quic::agent_endpoint(socket, reset, server)
            .change_context_lazy(|| Error::Start("QUIC endpoint"))?;
        let control = membership.control().clone();
        let peers = Peers::new(own, control, clock, membership.views());
        let metrics = process.metrics.clone();
        let requests = Requests::new(settings, own, clock, access, peers, metrics);
        let flows = Arc::new(Flows::new(requests.clone(), process.shutdown.clone()));
        tokio::spawn(flows.clone().accept(endpoint.clone()));
        Ok(Agent {
            endpoint,
            gate,
            flows,
            requests,
        })
    }

    /// Waits until the flows have ended or `limit` has passed, and closes what
    /// is left. Gives back how many flows were cut.
    async fn drain(&self, shutdown: &Shutdown, limit: Duration) -> usize {
        self.requests.leave();
        let ended = async {
            self.flows.ended().await;
            // Requests with a key, and those of peers, run without a flow.
            self.requests.idle().await;
        };
        tokio::select! {
            () = ended => (),
            _ = timeout(limit, shutdown.ending()) => (),
        }
        let cut = self.flows.open();
        self.endpoint.close(0_u32.into(), b"leaving");
        let _ = timeout(CLOSE_LIMIT, self.endpoint.wait_idle()).await;
        cut
    }
}
