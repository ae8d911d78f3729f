//! The health checks of a target determine its weight for new flows.

use marigoldway_core::roster::FULL_WEIGHT;
use marigoldway_core::slow_start::DOWN_WEIGHT;
use marigoldway_core::slow_start::HealthCheck;
use marigoldway_core::slow_start::HealthCheck::Down;
use marigoldway_core::slow_start::HealthCheck::Healthy;
use marigoldway_core::slow_start::HealthCheck::Unhealthy;
use marigoldway_core::slow_start::SlowStart;
use marigoldway_core::slow_start::UNHEALTHY_WEIGHT;
use marigoldway_core::slow_start::WEIGHT_STEP;

fn weights(checks: &[HealthCheck]) -> Vec<u16> {
    let mut slow_start = SlowStart::default();
    let mut weights = Vec::new();
    for check in checks {
        slow_start.on_check(*check);
        weights.push(slow_start.weight());
    }
    weights
}

#[test]
fn on_check_raises_the_weight_by_steps() {
    assert_eq!(SlowStart::default().weight(), WEIGHT_STEP);
    assert_eq!(weights(&[Healthy; 5]), [40, 60, 80, 100, FULL_WEIGHT]);
}

#[test]
fn on_check_keeps_a_failed_target_down_until_it_recovers() {
    let checks = [Healthy, Down, Healthy, Healthy, Healthy, Healthy];
    assert_eq!(weights(&checks), [40, DOWN_WEIGHT, 1, 1, 20, 40]);
}

#[test]
fn on_check_keeps_a_flapping_target_down() {
    let mut checks = vec![Down];
    for _ in 0..20 {
        checks.extend([Healthy, Healthy, Down]);
    }
    assert!(weights(&checks).iter().all(|it| *it == DOWN_WEIGHT));
}

#[test]
fn on_check_limits_the_weight_of_an_unhealthy_target() {
    let checks = [
        Healthy, Healthy, Healthy, Healthy, Unhealthy, Unhealthy, Healthy,
    ];
    assert_eq!(
        weights(&checks),
        [40, 60, 80, 100, UNHEALTHY_WEIGHT, 50, 70]
    );
    // A target that is always reported as unhealthy still receives flows.
    assert_eq!(weights(&[Unhealthy; 9]).last(), Some(&UNHEALTHY_WEIGHT));
}
