//! Exchanges load reports with the other agents of the service (the peers).

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::broadcast::error::RecvError;
use tokio::time::interval;

use marigoldway_core::membership::Event;
use marigoldway_net::filter::DatagramFilter;

use crate::agent::flows::Flows;
use crate::agent::requests::Requests;
use crate::membership::Membership;
use crate::operator::Status;

/// Interval at which the agent's own load is passed on.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Passes the agent's number of flows to its peers, the datagram filter and the
/// status, and passes the load of the target's slots to the status. Passes the loads
/// that peers report to the filter, which accepts or forwards new flows by them. Runs
/// until the process ends.
pub(super) async fn exchange(
    membership: Membership,
    filter: Arc<DatagramFilter>,
    flows: Arc<Flows>,
    requests: Arc<Requests>,
    status: Arc<Status>,
) {
    let mut events = membership.events();
    let mut tick = interval(UPDATE_INTERVAL);
    loop {
        tokio::select! {
            _ = tick.tick() => {
                let open = u32::try_from(flows.open()).unwrap_or(u32::MAX);
                filter.set_flows(open);
                membership.set_flows(open);
                status.set_fact("flows", open);
                let load = requests.load();
                status.set_fact("slots", load.limit);
                status.set_fact("running", load.short + load.bulk);
                status.set_fact("feeds", load.feeds);
                status.set_fact("waiting", load.waiting);
            }
            event = events.recv() => match event {
                Ok(Event::Peer(load)) => filter.observe(load),
                Ok(_) | Err(RecvError::Lagged(_)) => (),
                Err(RecvError::Closed) => return,
            },
        }
    }
}
