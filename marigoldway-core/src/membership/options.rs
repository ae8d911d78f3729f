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
    /// Time without an increment of its counter after which a domain is lost.
    pub domain_timeout: Duration,
    /// Time since the last tick from which on the process counts as suspended.
    pub pause_limit: Duration,
    /// Time that a process waits after a suspension for an answer to its inquiry
    /// before it resumes.
    pub inquiry_timeout: Duration,
    /// Minimum time between two assignments of monitors, for each record in the
    /// roster: it is multiplied by the number of records.
    pub assign_pause: Duration,
    /// Time between two digests that an entry sends to other entries unasked.
    pub repair_interval: Duration,
    /// Time between two attempts to join.
    pub join_interval: Duration,
    /// Time for which an instance must be down, or its domain lost, before its record
    /// is removed.
    pub removal_delay: Duration,
    /// Time without an answer after which an instance avoids a monitor.
    pub monitor_timeout: Duration,
    /// Time for which an instance avoids a monitor that didn't answer.
    pub avoid_time: Duration,
    /// Maximum number of peers of its service to which an agent sends its load with
    /// each heartbeat.
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
