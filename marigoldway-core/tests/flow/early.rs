//! The load of the moment after a loss of all processes: packets of all clients reach entries that
//! have just started.

use std::time::Duration;

use marigoldway_core::flow::entry::EarlyPackets;
use marigoldway_core::flow::entry::EntryAction;
use marigoldway_core::time::Timestamp;

use crate::fleet::Fleet;
use crate::fleet::data;
use crate::fleet::flow;
use crate::fleet::syn;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

#[test]
fn packet_is_kept_until_the_entry_has_agents() {
    let mut fleet = Fleet::new(41, 1, &[(1, "orders"), (2, "orders")]);
    let records = fleet.records();
    fleet.restart_entry_without_agents(0);
    assert_eq!(fleet.send(0, syn(flow(1, 443), 0)), EntryAction::Keep);
    assert!(fleet.entries[0].is_starting());
    fleet.entries[0].replace_agents(fleet.now, &records);
    assert!(!fleet.entries[0].is_starting());
    assert!(fleet.open(0, flow(1, 443)).is_some());
}

#[test]
fn push_keeps_one_of_several_copies() {
    let mut early = EarlyPackets::default();
    for copy in 0..3 {
        early.push(
            at(200 * copy),
            &syn(flow(1, 443), copy as u32),
            &[copy as u8],
        );
    }
    early.push(at(500), &data(flow(2, 443), 7, 100), &[7]);
    let expected = [(at(400), vec![2]), (at(500), vec![7])];
    assert_eq!(early.take(at(600)), expected);
    assert!(early.is_empty());
}

#[test]
fn take_leaves_out_packets_that_the_client_has_repeated() {
    let mut early = EarlyPackets::default();
    early.push(at(0), &syn(flow(1, 443), 0), &[1]);
    early.push(at(900), &syn(flow(2, 443), 0), &[2]);
    assert_eq!(early.take(at(1_100)), [(at(900), vec![2])]);
}

#[test]
fn push_is_bounded() {
    let mut early = EarlyPackets::default();
    for client in 0..2_000 {
        early.push(at(0), &syn(flow(client, 443), 0), &[0; 1_200]);
    }
    let kept: usize = early.take(at(0)).iter().map(|it| it.1.len()).sum();
    assert!(kept < 1 << 20, "{kept} octets");
    let last = Duration::from_millis(1);
    early.push(at(0) + last, &syn(flow(1, 443), 0), &[1]);
    assert_eq!(early.take(at(1)).len(), 1);
}
