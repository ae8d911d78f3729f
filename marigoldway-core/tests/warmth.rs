//! A target's share of new flows follows what its agent sees.

use marigoldway_core::roster::FULL_WEIGHT;
use marigoldway_core::warmth::DOWN_WEIGHT;
use marigoldway_core::warmth::Look;
use marigoldway_core::warmth::Look::Down;
use marigoldway_core::warmth::Look::Unwell;
use marigoldway_core::warmth::Look::Well;
use marigoldway_core::warmth::UNWELL_WEIGHT;
use marigoldway_core::warmth::WARM_STEP;
use marigoldway_core::warmth::Warmth;

fn weights(looks: &[Look]) -> Vec<u16> {
    let mut warmth = Warmth::default();
    let mut weights = Vec::new();
    for look in looks {
        warmth.look(*look);
        weights.push(warmth.weight());
    }
    weights
}

#[test]
fn look_warms_a_target_up_by_steps() {
    assert_eq!(Warmth::default().weight(), WARM_STEP);
    assert_eq!(weights(&[Well; 5]), [40, 60, 80, 100, FULL_WEIGHT]);
}

#[test]
fn look_keeps_a_failed_target_down_until_it_is_steady() {
    let looks = [Well, Down, Well, Well, Well, Well];
    assert_eq!(weights(&looks), [40, DOWN_WEIGHT, 1, 1, 20, 40]);
}

#[test]
fn look_changes_nothing_while_a_target_comes_and_goes() {
    let mut looks = vec![Down];
    for _ in 0..20 {
        looks.extend([Well, Well, Down]);
    }
    assert!(weights(&looks).iter().all(|it| *it == DOWN_WEIGHT));
}

#[test]
fn look_takes_a_health_endpoint_for_a_hint() {
    let looks = [Well, Well, Well, Well, Unwell, Unwell, Well];
    assert_eq!(weights(&looks), [40, 60, 80, 100, UNWELL_WEIGHT, 50, 70]);
    // A target that always says so still serves.
    assert_eq!(weights(&[Unwell; 9]).last(), Some(&UNWELL_WEIGHT));
}
