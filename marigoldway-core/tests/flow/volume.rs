//! Flows stay known however much they carry: sequence numbers are compared with those that the target
//! has reached, not with its first one.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::fleet::agent_id;
use crate::fleet::flow;

/// Four agents, each beside a target of the service `orders`.
const ORDERS: [(u16, &str); 4] = [(1, "orders"), (2, "orders"), (3, "orders"), (4, "orders")];

/// Number of octets in a transfer of a test.
const TRANSFER: u32 = 3 << 20;

/// Number of transfers: together they carry 120 MiB.
const TRANSFERS: usize = 40;

/// Guards against flows that fall silent after 31 MiB: their packets were taken for those of another
/// flow.
#[test]
fn flow_is_served_however_much_it_carries() {
    let mut fleet = Fleet::new(1, 2, &ORDERS);
    let key = flow(1_000, 443);
    fleet.open(0, key).unwrap();
    for n in 0..TRANSFERS {
        let base = fleet.transfer(key, TRANSFER);
        assert!(fleet.talk(0, key, base), "transfer {n}");
    }
    // Another entry asks the directory agents.
    let base = fleet.transfer(key, TRANSFER);
    assert!(fleet.talk(1, key, base));
    assert_eq!(fleet.resets(key), 0);
}

/// Guards against the reset of such a flow by an agent whose process is younger than the flow.
#[test]
fn flow_of_a_young_process_isnt_denied_however_much_it_carries() {
    let mut fleet = Fleet::new(2, 2, &ORDERS);
    let key = flow(1_000, 443);
    fleet.open(0, key).unwrap();
    let holder = fleet.holder(key).unwrap();
    for n in 1..=4 {
        fleet.start_agent(n, "orders");
        fleet.heartbeat(n);
        fleet.announce_again(n);
    }
    fleet.share_roster();
    for n in 0..TRANSFERS {
        let base = fleet.transfer(key, TRANSFER);
        assert!(fleet.talk(0, key, base), "transfer {n}");
    }
    for n in (1..=4).filter(|n| agent_id(*n) != holder) {
        fleet.start_agent(n, "orders");
        fleet.heartbeat(n);
        fleet.announce_again(n);
    }
    fleet.share_roster();
    let base = fleet.transfer(key, TRANSFER);
    for _ in 0..3 {
        fleet.talk(1, key, base);
        fleet.now = fleet.now + Duration::from_millis(400);
        fleet.tick();
    }
    assert_eq!(fleet.resets(key), 0);
    assert!(fleet.talk(1, key, base));
}
