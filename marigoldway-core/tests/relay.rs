//! A request is relayed at most once, and only while the own target is saturated.

use rand::SeedableRng;
use rand::rngs::StdRng;

use marigoldway_core::admission::Load;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::relay::Hops;
use marigoldway_core::relay::PeerLoad;
use marigoldway_core::relay::Relay;
use marigoldway_core::time::Timestamp;

const NOW: Timestamp = Timestamp::from_millis(1_000);

const FULL: Load = Load {
    limit: 4,
    short: 3,
    bulk: 1,
    feeds: 0,
    waiting: 2,
};

fn peer(port: u16) -> InstanceId {
    InstanceId::new([127, 0, 0, 1].into(), port)
}

fn relay() -> Relay {
    let mut relay = Relay::default();
    relay.update([peer(1), peer(2)]);
    relay
}

#[test]
fn choose_with_free_own_slot_returns_none() {
    let mut rng = StdRng::seed_from_u64(1);
    let free = Load { short: 2, ..FULL };
    assert_eq!(relay().choose(&free, Hops::None, NOW, &mut rng), None);
}

#[test]
fn choose_after_one_hop_returns_none() {
    let mut rng = StdRng::seed_from_u64(1);
    assert_eq!(relay().choose(&FULL, Hops::One, NOW, &mut rng), None);
}

#[test]
fn choose_skips_saturated_peers_until_reports_expire() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut relay = relay();
    let saturated = PeerLoad {
        free: 0,
        waiting: 1,
    };
    relay.report(peer(1), saturated, NOW);
    relay.report(peer(2), saturated, NOW);
    assert_eq!(relay.choose(&FULL, Hops::None, NOW, &mut rng), None);

    // After its report has expired, a peer is chosen again.
    let later = Timestamp::from_millis(2_000);
    assert!(relay.choose(&FULL, Hops::None, later, &mut rng).is_some());
}

#[test]
fn choose_counts_down_reported_slots() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut relay = Relay::default();
    relay.update([peer(1)]);
    let load = PeerLoad {
        free: 2,
        waiting: 0,
    };
    relay.report(peer(1), load, NOW);
    let chosen = (0..9).filter_map(|_| relay.choose(&FULL, Hops::None, NOW, &mut rng));
    assert_eq!(chosen.count(), 2);
}
