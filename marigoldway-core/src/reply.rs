//! An agent chooses the entry that forwards a reply to its caller.
//!
//! An agent is the process beside a target. Entries are the processes that forward
//! packets between callers and agents; any of them can forward a reply.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::ids::InstanceId;
use crate::placement::mix;
use crate::time::Timestamp;

/// Time for which one entry forwards the replies to one caller.
///
/// Within this time the replies stay in order. After it they take another entry, if
/// there is one. If an entry has failed, a retransmission therefore does not go to
/// the entry at which the packet was lost.
pub const REPLY_INTERVAL: Duration = Duration::from_millis(20);

/// Chooses one of the live `entries` for a reply to `caller` at `now`. Returns
/// `None` if `entries` is empty.
pub fn choose(entries: &[InstanceId], caller: SocketAddrV4, now: Timestamp) -> Option<InstanceId> {
    if entries.is_empty() {
        return None;
    }
    let interval = u128::from(now.as_micros()) / REPLY_INTERVAL.as_micros();
    let caller = InstanceId(caller).to_u64();
    // The intervals of one caller rotate through the entries. If there are several,
    // two successive intervals never use the same one.
    let start = mix(caller) as u128;
    let index = (start + interval) % entries.len() as u128;
    Some(entries[index as usize])
}
