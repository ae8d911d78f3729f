//! What the agent sees of its target, as its share of new flows.

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

/// Time between two looks at the target.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two looks at a target that hasn't answered yet.
const START_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time that a target may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time that the health endpoint may take to answer.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

/// Waits until the target accepts a connection.
pub(super) async fn wait_until_up(target: &TargetSettings) {
    while !is_up(target.address).await {
        sleep(START_INTERVAL).await;
    }
}

/// Keeps the share of new flows in step with the target until the process ends.
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

async fn check(target: &TargetSettings) -> HealthCheck {
    if !is_up(target.address).await {
        return HealthCheck::Down;
    }
    let answer = timeout(HEALTH_TIMEOUT, fetch::get(target.address, &target.health)).await;
    match answer {
        Ok(Ok(response)) if response.status().is_success() => HealthCheck::Healthy,
        Ok(Ok(_)) | Ok(Err(_)) | Err(_) => HealthCheck::Unhealthy,
    }
}

async fn is_up(target: SocketAddrV4) -> bool {
    let connect = TcpStream::connect(target);
    matches!(timeout(CONNECT_TIMEOUT, connect).await, Ok(Ok(_)))
}
