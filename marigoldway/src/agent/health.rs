//! What the agent sees of its target, as its share of new flows.

use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::interval;
use tokio::time::sleep;
use tokio::time::timeout;

use marigoldway_core::roster::FULL_WEIGHT;

use crate::membership::Membership;
use crate::settings::TargetSettings;

/// Time between two looks at the target.
const PERIOD: Duration = Duration::from_secs(1);

/// Time between two looks at a target that hasn't answered yet.
const FIRST_PERIOD: Duration = Duration::from_millis(100);

/// Longest time that a target may take to accept a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Share of new flows of a target that can't be reached. It is not zero, so
/// that a wrong signal at every agent can't empty a service.
const DOWN_WEIGHT: u16 = 1;

/// Share of new flows that a cold target gains in each period.
const RAMP_STEP: u16 = 20;

/// Waits until the target accepts a connection.
pub(super) async fn first(target: &TargetSettings) {
    while !is_up(target.address).await {
        sleep(FIRST_PERIOD).await;
    }
}

/// Keeps the share of new flows in step with the target until the process ends.
pub(super) async fn watch(target: TargetSettings, membership: Membership) {
    let mut weight = RAMP_STEP;
    let mut told = FULL_WEIGHT;
    let mut tick = interval(PERIOD);
    loop {
        if weight != told {
            membership.set_weight(weight).await;
            log::info!("event=weight target={} weight={weight}", target.address);
            told = weight;
        }
        tick.tick().await;
        weight = if is_up(target.address).await {
            (weight + RAMP_STEP).min(FULL_WEIGHT)
        } else {
            DOWN_WEIGHT
        };
    }
}

async fn is_up(target: SocketAddrV4) -> bool {
    let connect = TcpStream::connect(target);
    matches!(timeout(CONNECT_LIMIT, connect).await, Ok(Ok(_)))
}
