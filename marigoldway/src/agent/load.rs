//! The loads that agents of a service tell each other.

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

/// Time between two looks at the number of flows.
const PERIOD: Duration = Duration::from_millis(250);

/// Tells peers how many flows the agent holds, and the gate what they tell.
/// Runs until the process ends.
pub(super) async fn exchange(
    membership: Membership,
    gate: Arc<DatagramFilter>,
    flows: Arc<Flows>,
    requests: Arc<Requests>,
    status: Arc<Status>,
) {
    let mut events = membership.events();
    let mut tick = interval(PERIOD);
    loop {
        tokio::select! {
            _ = tick.tick() => {
                let open = u32::try_from(flows.open()).unwrap_or(u32::MAX);
                gate.set_flows(open);
                membership.set_flows(open);
                status.set_fact("flows", open);
                let held = requests.load();
                status.set_fact("slots", held.limit);
                status.set_fact("running", held.short + held.bulk);
                status.set_fact("feeds", held.feeds);
                status.set_fact("waiting", held.waiting);
            }
            event = events.recv() => match event {
                Ok(Event::Peer(load)) => gate.observe(load),
                Ok(_) | Err(RecvError::Lagged(_)) => (),
                Err(RecvError::Closed) => return,
            },
        }
    }
}
