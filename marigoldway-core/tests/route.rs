//! Route IDs decode only with the keys that encoded them.

use std::net::Ipv4Addr;

use proptest::prelude::*;

use marigoldway_core::ids::Incarnation;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::ids::ServiceId;
use marigoldway_core::route::Route;
use marigoldway_core::route::RouteKey;
use marigoldway_core::route::RouteKeys;

fn key(epoch: u8, seed: u8) -> RouteKey {
    RouteKey::new(epoch, &[seed; 16], &[seed ^ 0x5a; 16])
}

fn arb_route() -> impl Strategy<Value = Route> {
    (any::<u32>(), any::<u16>(), any::<u16>(), any::<u32>()).prop_map(
        |(ip, port, service, incarnation)| Route {
            agent: InstanceId::new(Ipv4Addr::from_bits(ip), port),
            service: ServiceId(service),
            incarnation: Incarnation(incarnation),
        },
    )
}

proptest! {
    #[test]
    fn decode_reverses_encode(route in arb_route(), nonce: u32) {
        let keys = RouteKeys::new(key(1, 7), None);
        prop_assert_eq!(keys.decode(&keys.encode(&route, nonce)), Some(route));
    }

    #[test]
    fn decode_rejects_another_key(route in arb_route(), nonce: u32) {
        let keys = RouteKeys::new(key(1, 7), None);
        let foreign = RouteKeys::new(key(1, 8), None);
        prop_assert_eq!(foreign.decode(&keys.encode(&route, nonce)), None);
    }

    #[test]
    fn decode_rejects_a_flipped_bit(route in arb_route(), nonce: u32, bit in 0..160_usize) {
        let keys = RouteKeys::new(key(1, 7), None);
        let mut id = keys.encode(&route, nonce);
        id[bit / 8] ^= 1 << (bit % 8);
        prop_assert_eq!(keys.decode(&id), None);
    }

    #[test]
    fn decode_accepts_both_epochs_while_keys_rotate(route in arb_route(), nonce: u32) {
        let before = RouteKeys::new(key(1, 7), None);
        let after = RouteKeys::new(key(2, 9), Some(key(1, 7)));
        prop_assert_eq!(after.decode(&before.encode(&route, nonce)), Some(route));
        prop_assert_eq!(after.decode(&after.encode(&route, nonce)), Some(route));
    }
}
