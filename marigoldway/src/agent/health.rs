//! Checks the health of the target and sets the agent's weight accordingly. The
//! weight determines the agent's share of new flows.

use std::net::SocketAddrV4;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use marigoldway_core::roster::FULL_WEIGHT;
use marigoldway_core::slow_start::HealthCheck;
use marigoldway_core::slow_start::SlowStart;

use crate::fetch;
use crate::membership::Membership;
use crate::settings::TargetSettings;

/// Interval between health checks of a running target.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between connection attempts to a target that hasn't accepted one yet.
const START_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time to connect to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum time to wait for the response of the target's health endpoint.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

/// Waits until the target accepts a connection.
pub(super) async fn wait_until_up(target: &TargetSettings) {
    while !is_up(target.address).await {
        sleep(START_INTERVAL).await;
    }
}

/// Checks the target and updates the agent's weight until the process ends.
pub(super) async fn watch(target: TargetSettings, membership: Membership) {
    let mut slow_start = SlowStart::default();
    let mut announced = FULL_WEIGHT;
    loop {
        let weight = slow_start.weight();
        if weight != announced {
            membership.set_weight(weight).await;
            log::info!("event=weight target={} weight={weight}", target.address);
            announced = weight;
        }
        sleep(CHECK_INTERVAL).await;
        slow_start.on_check(check(&target).await);
    }
}

/// Connects to the target and queries its health endpoint. The target is unhealthy if
/// the endpoint responds without a success status, or doesn't respond within
/// [`HEALTH_TIMEOUT`].
async fn check(target: &TargetSettings) -> HealthCheck {
    if !is_up(target.address).await {
        return HealthCheck::Down;
    }
    let response = timeout(HEALTH_TIMEOUT, fetch::get(target.address, &target.health)).await;
    match response {
        Ok(Ok(response)) if response.status().is_success() => HealthCheck::Healthy,
        Ok(Ok(_)) | Ok(Err(_)) | Err(_) => HealthCheck::Unhealthy,
    }
}

async fn is_up(target: SocketAddrV4) -> bool {
    let connect = TcpStream::connect(target);
    matches!(timeout(CONNECT_TIMEOUT, connect).await, Ok(Ok(_)))
}
