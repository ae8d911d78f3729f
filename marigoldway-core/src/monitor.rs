//! Monitors: assignment of instances to entries, and failure detection.
//!
//! An entry is a load balancer process that forwards packets. Each instance sends
//! heartbeats to [`MONITORS`] entries, chosen by rendezvous hashing among those of its
//! own failure domain. An instance that is itself an entry has one of its monitors in
//! another domain, so that the loss of all entries of a domain is detected. Where a
//! domain has too few entries, entries of other domains are added, those of the same
//! region first.
//!
//! The first monitor receives every heartbeat. The others receive every second
//! heartbeat and have timeouts twice as long: they matter only when the first monitor
//! has failed too.

use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::DomainId;
use crate::ids::InstanceId;
use crate::ids::RegionId;
use crate::placement::mix;
use crate::placement::rank;
use crate::roster::Record;
use crate::roster::Role;
use crate::roster::Roster;
use crate::roster::State;
use crate::time::Timestamp;

/// Number of monitors per instance.
pub const MONITORS: usize = 3;

/// Number of heartbeats that an instance sends for each one that the monitor at
/// `rank` receives. The first monitor has rank 0.
pub fn heartbeat_stride(rank: usize) -> u32 {
    match rank {
        0 => 1,
        _ => 2,
    }
}

/// `MonitorOptions` holds the heartbeat interval and the failure timeouts.
///
/// The timeouts are those of the first monitor. Another one multiplies them by its
/// [`heartbeat_stride`].
#[derive(Clone, Copy, Debug)]
pub struct MonitorOptions {
    /// Time between two heartbeats of an instance, and minimum time between two probes.
    pub heartbeat: Duration,
    /// Silence after which a monitor probes an instance.
    pub probe: Duration,
    /// Silence after which a monitor marks an instance suspect.
    pub suspect: Duration,
    /// Silence after which a monitor marks a suspect instance down.
    pub down: Duration,
    /// Maximum factor by which a monitor extends the suspect and down timeouts
    /// of an instance whose updates it receives only through other processes.
    pub max_backoff: u32,
}

impl Default for MonitorOptions {
    fn default() -> MonitorOptions {
        MonitorOptions {
            heartbeat: Duration::from_secs(1),
            probe: Duration::from_millis(1_300),
            suspect: Duration::from_millis(2_250),
            down: Duration::from_secs(8),
            max_backoff: 16,
        }
    }
}

/// `MonitorCandidates` holds the entries that can be monitors, by failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MonitorCandidates {
    domains: IndexMap<DomainId, (RegionId, Vec<InstanceId>)>,
}

impl MonitorCandidates {
    /// Collects the entries of `roster` that forward packets and for which
    /// `keep` returns true.
    pub fn new(roster: &Roster, keep: impl Fn(&Record) -> bool) -> MonitorCandidates {
        let mut domains: IndexMap<DomainId, (RegionId, Vec<InstanceId>)> = IndexMap::new();
        let usable = roster
            .records()
            .filter(|it| it.role == Role::Entry && it.state <= State::Serving && keep(it));
        for record in usable {
            let group = domains.entry(record.domain);
            let (_, ids) = group.or_insert_with(|| (record.region, Vec::new()));
            ids.push(record.id);
        }
        domains.sort_unstable_keys();
        for (_, ids) in domains.values_mut() {
            ids.sort_unstable();
        }
        MonitorCandidates { domains }
    }

    /// Ids of all candidates, grouped by failure domain.
    pub fn all(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.domains.values().flat_map(|(_, ids)| ids).copied()
    }

    /// Monitors of an instance, in order of rank. There are fewer than [`MONITORS`] only
    /// if there are too few candidates.
    pub fn monitors(&self, record: &Record) -> Vec<InstanceId> {
        let count_in_domain = match record.role {
            Role::Entry => MONITORS - 1,
            Role::Agent => MONITORS,
        };
        let key = mix(record.id.to_u64());
        let pick = |members: &mut dyn Iterator<Item = InstanceId>, count| {
            rank(key, members.filter(|id| *id != record.id), count)
        };
        let own = self.domains.get(&record.domain);
        let mut monitors = pick(
            &mut own.into_iter().flat_map(|(_, ids)| ids).copied(),
            count_in_domain,
        );
        if monitors.len() == MONITORS {
            return monitors;
        }

        let in_other_domains = |same_region: bool| {
            self.domains
                .iter()
                .filter(|(domain, _)| **domain != record.domain)
                .filter(move |(_, (region, _))| (*region == record.region) == same_region)
                .flat_map(|(_, (_, ids))| ids)
                .copied()
        };
        for same_region in [true, false] {
            let missing = MONITORS - monitors.len();
            monitors.extend(pick(&mut in_other_domains(same_region), missing));
        }
        monitors
    }
}

/// `Finding` is the result of a timeout at a monitor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// Send a probe to the instance.
    Probe(InstanceId),
    /// Mark the instance suspect.
    Suspect(InstanceId),
    /// Mark the instance down.
    Down(InstanceId),
}

impl Finding {
    /// Id of the silent instance.
    pub fn id(self) -> InstanceId {
        match self {
            Finding::Probe(id) | Finding::Suspect(id) | Finding::Down(id) => id,
        }
    }

    /// Returns whether the finding marks the instance suspect or down.
    pub fn changes_roster(self) -> bool {
        !matches!(self, Finding::Probe(_))
    }
}

/// `Monitor` tracks the heartbeats of the instances that this entry monitors.
#[derive(Clone, Debug)]
pub struct Monitor {
    watches: IndexMap<InstanceId, Watch>,
    options: MonitorOptions,
}

#[derive(Clone, Copy, Debug)]
struct Watch {
    /// Last heartbeat or update, or start of the timeouts if that is later.
    last_seen: Timestamp,
    last_probed: Timestamp,
    /// Factor by which the suspect and down timeouts are extended.
    backoff: u32,
    /// [`heartbeat_stride`] of this monitor for the instance.
    stride: u32,
}

impl Monitor {
    /// Creates a monitor that watches no instances.
    pub fn new(options: MonitorOptions) -> Monitor {
        Monitor {
            watches: IndexMap::new(),
            options,
        }
    }

    /// Watches exactly the instances of `roster` whose monitors include `own`,
    /// except those that are down. The timeouts of a new watch start at `now`.
    pub fn assign(
        &mut self,
        now: Timestamp,
        own: InstanceId,
        roster: &Roster,
        candidates: &MonitorCandidates,
    ) {
        let mut watches = IndexMap::new();
        for record in roster.records().filter(|it| it.state != State::Down) {
            let monitors = candidates.monitors(record);
            let Some(rank) = monitors.iter().position(|id| *id == own) else {
                continue;
            };
            let stride = heartbeat_stride(rank);
            let new_watch = Watch {
                last_seen: now,
                last_probed: now,
                backoff: 1,
                stride,
            };
            let watch = self.watches.get(&record.id).copied().unwrap_or(new_watch);
            watches.insert(record.id, Watch { stride, ..watch });
        }
        self.watches = watches;
    }

    /// Ids of the watched instances.
    pub fn watched(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.watches.keys().copied()
    }

    /// Records a heartbeat and resets the backoff of the instance.
    pub fn record_heartbeat(&mut self, now: Timestamp, id: InstanceId) {
        if let Some(watch) = self.watches.get_mut(&id) {
            watch.last_seen = now;
            watch.backoff = 1;
        }
    }

    /// Records that an instance raised its version. This entry may have learned that
    /// from other processes. `refuted` is true if the instance refuted a mark: then the
    /// path between the instance and this entry may be faulty. Each time, this entry
    /// doubles its suspect and down timeouts for the instance, up to the maximum
    /// backoff. Other monitors keep theirs.
    pub fn record_update(&mut self, now: Timestamp, id: InstanceId, refuted: bool) {
        let max_backoff = self.options.max_backoff;
        let Some(watch) = self.watches.get_mut(&id) else {
            return;
        };
        watch.last_seen = now;
        if refuted {
            watch.backoff = watch.backoff.saturating_mul(2).min(max_backoff);
        }
    }

    /// Restarts the timeouts of all watches after this process was suspended:
    /// silence during the suspension is no evidence that instances failed.
    pub fn reset(&mut self, now: Timestamp) {
        for watch in self.watches.values_mut() {
            watch.last_seen = now;
        }
    }

    /// Returns the probes and marks that are due at `now`, judged by the state of the
    /// instances in `roster`.
    pub fn check(&mut self, now: Timestamp, roster: &Roster) -> Vec<Finding> {
        let options = self.options;
        let mut findings = Vec::new();
        for (id, watch) in &mut self.watches {
            let Some(record) = roster.record(*id) else {
                continue;
            };
            let silence = now.since(watch.last_seen);
            let factor = watch.backoff * watch.stride;
            let (suspect, down) = (options.suspect * factor, options.down * factor);
            if silence >= down && record.state == State::Suspect {
                findings.push(Finding::Down(*id));
            } else if silence >= suspect && record.state < State::Suspect {
                findings.push(Finding::Suspect(*id));
            }
            if silence >= options.probe * watch.stride
                && now.since(watch.last_probed) >= options.heartbeat
            {
                watch.last_probed = now;
                findings.push(Finding::Probe(*id));
            }
        }
        findings
    }
}
