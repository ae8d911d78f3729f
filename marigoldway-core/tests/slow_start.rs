//! A target's share of new flows follows what its agent sees.

use marigoldway_core::roster::FULL_WEIGHT;
use marigoldway_core::slow_start::DOWN_WEIGHT;
use marigoldway_core::slow_start::HealthCheck;
use marigoldway_core::slow_start::HealthCheck::Down;
use marigoldway_core::slow_start::HealthCheck::Healthy;
use marigoldway_core::slow_start::HealthCheck::Unhealthy;
use marigoldway_core::slow_start::SlowStart;
use marigoldway_core::slow_start::UNHEALTHY_WEIGHT;
use marigoldway_core::slow_start::WEIGHT_STEP;

fn weights(looks: &[HealthCheck]) -> Vec<u16> {
    let mut slow_start = SlowStart::default();
    let mut weights = Vec::new();
    for look in looks {
        slow_start.on_check(*look);
        weights.push(slow_start.weight());
    }
    weights
}

#[test]
fn look_warms_a_target_up_by_steps() {
    assert_eq!(SlowStart::default().weight(), WEIGHT_STEP);
    assert_eq!(weights(&[Healthy; 5]), [40, 60, 80, 100, FULL_WEIGHT]);
}

#[test]
fn look_keeps_a_failed_target_down_until_it_is_steady() {
    let looks = [Healthy, Down, Healthy, Healthy, Healthy, Healthy];
    assert_eq!(weights(&looks), [40, DOWN_WEIGHT, 1, 1, 20, 40]);
}

#[test]
fn look_changes_nothing_while_a_target_comes_and_goes() {
    let mut looks = vec![Down];
    for _ in 0..20 {
        looks.extend([Healthy, Healthy, Down]);
    }
    assert!(weights(&looks).iter().all(|it| *it == DOWN_WEIGHT));
}

#[test]
fn look_takes_a_health_endpoint_for_a_hint() {
    let looks = [
        Healthy, Healthy, Healthy, Healthy, Unhealthy, Unhealthy, Healthy,
    ];
    assert_eq!(weights(&looks), [40, 60, 80, 100, UNHEALTHY_WEIGHT, 50, 70]);
    // A target that always says so still serves.
    assert_eq!(weights(&[Unhealthy; 9]).last(), Some(&UNHEALTHY_WEIGHT));
}
