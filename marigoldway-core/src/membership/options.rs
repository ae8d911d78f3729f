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
    pub counter_interval: Duration,
    /// Time without a beat after which a domain is lost.
    pub domain_timeout: Duration,
    /// Time between two ticks from which on the process counts as having slept.
    pub pause_limit: Duration,
    /// Time that a process that slept waits for an answer before it goes on.
    pub inquiry_timeout: Duration,
    /// Least time between two computations of who monitors whom, for each
    /// record that is held.
    pub assign_pause: Duration,
    /// Time between two digests of an entry.
    pub repair_interval: Duration,
    /// Time between two attempts to join.
    pub join_interval: Duration,
    /// Time after which a record of an instance that is down is removed.
    pub removal_delay: Duration,
    /// Time after which an instance avoids a monitor that doesn't answer.
    pub monitor_timeout: Duration,
    /// Time for which it avoids it.
    pub avoid_time: Duration,
    /// Peers of its service that an agent tells its load at a time.
    pub load_peers: usize,
}

impl Default for MembershipOptions {
    fn default() -> MembershipOptions {
        MembershipOptions {
            tick: Duration::from_millis(200),
            monitor: MonitorOptions::default(),
            gossip: GossipOptions::default(),
            counter_interval: Duration::from_secs(1),
            domain_timeout: Duration::from_secs(4),
            pause_limit: Duration::from_millis(1_500),
            inquiry_timeout: Duration::from_secs(2),
            assign_pause: Duration::from_micros(70),
            repair_interval: Duration::from_secs(5),
            join_interval: Duration::from_secs(1),
            removal_delay: Duration::from_secs(600),
            monitor_timeout: Duration::from_millis(3_200),
            avoid_time: Duration::from_secs(10),
            load_peers: 3,
        }
    }
}
