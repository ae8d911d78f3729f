//! Relay passes a request on once, and only from a saturated target.

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
fn choose_free_own_slot_stays() {
    let mut rng = StdRng::seed_from_u64(1);
    let free = Load { short: 2, ..FULL };
    assert_eq!(relay().choose(&free, Hops::None, NOW, &mut rng), None);
}

#[test]
fn choose_second_hop_stays() {
    let mut rng = StdRng::seed_from_u64(1);
    assert_eq!(relay().choose(&FULL, Hops::One, NOW, &mut rng), None);
}

#[test]
fn choose_saturated_peers_are_left_alone() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut relay = relay();
    let none = PeerLoad {
        free: 0,
        waiting: 1,
    };
    relay.report(peer(1), none, NOW);
    relay.report(peer(2), none, NOW);
    assert_eq!(relay.choose(&FULL, Hops::None, NOW, &mut rng), None);

    // A report is forgotten after a while, so that a peer is tried again.
    let later = Timestamp::from_millis(2_000);
    assert!(relay.choose(&FULL, Hops::None, later, &mut rng).is_some());
}

#[test]
fn choose_reported_slots_are_used_up() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut relay = Relay::default();
    relay.update([peer(1)]);
    let two = PeerLoad {
        free: 2,
        waiting: 0,
    };
    relay.report(peer(1), two, NOW);
    let chosen = (0..9).filter_map(|_| relay.choose(&FULL, Hops::None, NOW, &mut rng));
    assert_eq!(chosen.count(), 2);
}
