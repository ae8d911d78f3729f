//! Times and bounds of the membership protocol.

use std::time::Duration;

use crate::gossip::GossipOptions;
use crate::monitor::MonitorOptions;

/// `MembershipOptions` holds the times of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct MembershipOptions {
    /// Time between two ticks.
    pub tick: Duration,
    /// Limits of silence.
    pub monitor: MonitorOptions,
    /// Bounds of the traffic among entries.
    pub gossip: GossipOptions,
    /// Time between two beats of a domain.
    pub beat: Duration,
    /// Time without a beat after which a domain is lost.
    pub lost: Duration,
    /// Time between two ticks from which on the process counts as having slept.
    pub sleep: Duration,
    /// Time that a process that slept waits for an answer before it goes on.
    pub ask: Duration,
    /// Time between two digests of an entry.
    pub repair: Duration,
    /// Time between two attempts to join.
    pub join: Duration,
    /// Time after which a record of an instance that is down is removed.
    pub forget: Duration,
    /// Time after which an instance avoids a monitor that doesn't answer.
    pub silent: Duration,
    /// Time for which it avoids it.
    pub avoid: Duration,
    /// Peers of its service that an agent tells its load at a time.
    pub peers: usize,
}

impl Default for MembershipOptions {
    fn default() -> MembershipOptions {
        MembershipOptions {
            tick: Duration::from_millis(200),
            monitor: MonitorOptions::default(),
            gossip: GossipOptions::default(),
            beat: Duration::from_secs(1),
            lost: Duration::from_secs(5),
            sleep: Duration::from_millis(1_500),
            ask: Duration::from_secs(2),
            repair: Duration::from_secs(5),
            join: Duration::from_secs(1),
            forget: Duration::from_secs(600),
            silent: Duration::from_millis(3_200),
            avoid: Duration::from_secs(10),
            peers: 3,
        }
    }
}
