//! Intervals, timeouts and limits of the membership protocol.

use std::time::Duration;

use crate::gossip::GossipOptions;
use crate::monitor::MonitorOptions;

/// `MembershipOptions` holds the intervals, timeouts and limits of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct MembershipOptions {
    /// Time between two ticks.
    pub tick: Duration,
    /// Heartbeat interval and failure timeouts.
    pub monitor: MonitorOptions,
    /// Limits of the traffic among entries.
    pub gossip: GossipOptions,
    /// Time between two increments of a domain counter.
    pub counter_interval: Duration,
    /// Time without an increment after which a domain is lost.
    pub domain_timeout: Duration,
    /// Minimum time since the last tick that counts as a suspension of the process.
    pub pause_limit: Duration,
    /// Time that a process waits after a suspension for an answer to its inquiry
    /// before it resumes.
    pub inquiry_timeout: Duration,
    /// Minimum time between two assignments of monitors, per record in the
    /// roster.
    pub assign_pause: Duration,
    /// Time between two digests that an entry sends.
    pub repair_interval: Duration,
    /// Time between two attempts to join.
    pub join_interval: Duration,
    /// Time after which the record of an instance is removed that is down or
    /// whose domain is lost.
    pub removal_delay: Duration,
    /// Time without an answer after which an instance avoids a monitor.
    pub monitor_timeout: Duration,
    /// Time for which an instance avoids such a monitor.
    pub avoid_time: Duration,
    /// Number of peers of its service to which an agent sends its load at a time.
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
