//! A target's share of new flows follows what its agent sees.

use marigoldway_core::roster::FULL_WEIGHT;
use marigoldway_core::warmth::DOWN_WEIGHT;
use marigoldway_core::warmth::WARM_STEP;
use marigoldway_core::warmth::Warmth;

fn weights(looks: &[bool]) -> Vec<u16> {
    let mut warmth = Warmth::default();
    let mut weights = Vec::new();
    for up in looks {
        warmth.look(*up);
        weights.push(warmth.weight());
    }
    weights
}

#[test]
fn look_warms_a_target_up_by_steps() {
    assert_eq!(Warmth::default().weight(), WARM_STEP);
    assert_eq!(weights(&[true; 5]), [40, 60, 80, 100, FULL_WEIGHT]);
}

#[test]
fn look_keeps_a_failed_target_down_until_it_is_steady() {
    let looks = [true, false, true, true, true, true];
    assert_eq!(weights(&looks), [40, DOWN_WEIGHT, 1, 1, 20, 40]);
}

#[test]
fn look_changes_nothing_while_a_target_comes_and_goes() {
    let mut looks = vec![false];
    for _ in 0..20 {
        looks.extend([true, true, false]);
    }
    assert!(weights(&looks).iter().all(|it| *it == DOWN_WEIGHT));
}
