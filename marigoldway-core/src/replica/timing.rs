//! This module derives the timing of reads from the time within which a change has to take effect.
//!
//! A change passes from the store to the leading follower, from there to the other followers, and
//! from a follower to its readers. What a process knows is confirmed along the same way. Each step
//! gets a part of the limit, so that a process notices that a step fails, and asks the store itself,
//! before a change is late.

use std::time::Duration;

/// Part of the limit for which the store may hold a call of the leading follower.
const HOLD_PART: f64 = 0.25;

/// Part of the limit between two reads of a follower from another one.
const RELAY_PART: f64 = 0.125;

/// Part of the limit after which a follower asks the store itself.
const FOLLOWER_PART: f64 = 0.5;

/// Part of the limit after which any other process asks the store itself. It is longer than all
/// steps of the usual way together.
const READER_PART: f64 = 0.72;

/// Minimum time between the starts of two demands of one process, and of two calls of the leading
/// follower that meet demands. With a call of 20 ms, a demand is met within 70 ms at 20 calls per
/// second.
pub const DEMAND_SPACING: Duration = Duration::from_millis(50);

/// Minimum time between the starts of two calls by which a process without a working follower meets
/// its own demands.
pub const DIRECT_SPACING: Duration = Duration::from_millis(100);

/// Maximum time for which a follower holds a demand until it has a confirmation. It is shorter than
/// the 400 ms after which the reader gives the follower up, so that a follower that the store
/// doesn't answer isn't taken for one that can't be reached.
pub const DEMAND_HOLD: Duration = Duration::from_millis(350);

/// Time for which a follower that refused a demand isn't asked again while one is outstanding. No
/// process listens at a follower that is about to start.
pub const REFUSAL_RETRY: Duration = Duration::from_millis(100);

/// Time without a working follower after which a process meets its own demands. Agents that start
/// with it are up by then. Before that they couldn't answer a search either, so that a confirmation
/// would be of no use.
pub const DIRECT_DELAY: Duration = Duration::from_millis(300);

/// `Timing` holds the times of reads for one limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Maximum time for which the store may hold a call while nothing changes. An answer then
    /// confirms what the caller knows.
    pub hold: Duration,
    /// Interval between two reads of a follower from another one.
    pub relay: Duration,
    /// Age of the last confirmation at which a follower asks the store itself.
    pub follower: Duration,
    /// Age of the last confirmation at which any other process asks the store itself.
    pub reader: Duration,
}

impl Timing {
    /// The timing by which a change takes effect within `limit` at each process that the store or a
    /// follower answers.
    pub fn new(limit: Duration) -> Timing {
        Timing {
            hold: limit.mul_f64(HOLD_PART),
            relay: limit.mul_f64(RELAY_PART),
            follower: limit.mul_f64(FOLLOWER_PART),
            reader: limit.mul_f64(READER_PART),
        }
    }

    /// Time after which a call to the store counts as lost, beyond the time for which the store may
    /// hold it.
    pub fn call_timeout(&self) -> Duration {
        self.hold
    }
}
