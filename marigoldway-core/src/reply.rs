//! Which entry carries a reply to its caller.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::ids::InstanceId;
use crate::placement::mix;
use crate::time::Timestamp;

/// Time for which one entry carries the replies to one caller.
///
/// Within it the replies stay in order. After it they take another entry, so a
/// retransmission does not follow the lost packet to an entry that is gone.
pub const REPLY_INTERVAL: Duration = Duration::from_millis(20);

/// Chooses one of the live `entries` for a reply to `caller` at `now`, or gives
/// `None` if there is none.
pub fn choose(entries: &[InstanceId], caller: SocketAddrV4, now: Timestamp) -> Option<InstanceId> {
    if entries.is_empty() {
        return None;
    }
    let turn = u128::from(now.as_micros()) / REPLY_INTERVAL.as_micros();
    let caller = InstanceId(caller).to_u64();
    // The turns of one caller go round the entries, so that two turns in
    // succession never take the same one of several.
    let start = mix(caller) as u128;
    let index = (start + turn) % entries.len() as u128;
    Some(entries[index as usize])
}
