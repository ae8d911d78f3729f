//! Periodic actions of the membership state machine.

use std::net::SocketAddrV4;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::digest;
use crate::ids::InstanceId;
use crate::membership::Event;
use crate::membership::Membership;
use crate::membership::Phase;
use crate::message::Delta;
use crate::message::Digest;
use crate::message::Heartbeat;
use crate::message::Load;
use crate::message::Message;
use crate::message::Scope;
use crate::monitor::Finding;
use crate::monitor::MonitorCandidates;
use crate::monitor::heartbeat_stride;
use crate::roster::Record;
use crate::roster::Role;
use crate::roster::State;
use crate::time::Timestamp;

/// `Timers` holds the time of the last run of each periodic action, `None` if an
/// action hasn't run yet, and the number of runs of some.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timers {
    tick: Timestamp,
    heartbeat: Timestamp,
    counters: Timestamp,
    repair: Timestamp,
    join: Option<Timestamp>,
    /// Last assignment of monitors.
    assignment: Option<Timestamp>,
    heartbeat_count: u32,
    repair_count: u32,
}

impl Timers {
    pub(super) fn new(now: Timestamp) -> Timers {
        Timers {
            tick: now,
            heartbeat: now,
            counters: now,
            repair: now,
            join: None,
            assignment: None,
            heartbeat_count: 0,
            repair_count: 0,
        }
    }
}

/// Returns whether `interval` has passed since `last`, and if so sets `last` to `now`.
fn restart_if_due(last: &mut Timestamp, now: Timestamp, interval: Duration) -> bool {
    let is_due = now.since(*last) >= interval;
    if is_due {
        *last = now;
    }
    is_due
}

impl Membership {
    /// Enters the inquiring phase and sends an inquiry to the monitors if the time
    /// since the last tick reaches [`MembershipOptions::pause_limit`].
    ///
    /// [`MembershipOptions::pause_limit`]: crate::membership::MembershipOptions::pause_limit
    pub(super) fn detect_suspension(&mut self, now: Timestamp) {
        let gap = now.since(self.timers.tick);
        if gap < self.options.pause_limit {
            return;
        }
        self.timers.tick = now;
        self.event(Event::Slept { gap });
        self.monitor.reset(now);
        self.liveness.reset(now);
        self.gossip.clear();
        self.unanswered.clear();
        self.phase = Phase::Inquiring { since: now };
        self.inquiry += 1;
        let (id, number) = (self.own.id, self.inquiry);
        for to in self.monitor_addresses() {
            self.send(to, Message::Inquiry { id, number });
        }
    }

    /// Runs the periodic actions that are due. While an inquiry is unanswered, none run
    /// until the inquiry timeout has passed.
    pub(super) fn tick(&mut self, now: Timestamp, rng: &mut impl Rng) {
        self.timers.tick = now;
        if let Phase::Inquiring { since } = self.phase {
            if now.since(since) < self.options.inquiry_timeout {
                return;
            }
            // Without an answer, no process is known to hold a conflicting record.
            self.resume();
            self.renew_version(now);
        }

        self.assign_monitors(now);
        self.join(now, rng);
        if restart_if_due(
            &mut self.timers.heartbeat,
            now,
            self.options.monitor.heartbeat,
        ) {
            self.send_heartbeats(now);
            self.send_load(rng);
        }
        if self.own.role == Role::Entry {
            self.tick_entry(now, rng);
        }
        self.update_lost_domains(now);
        self.remove_expired(now);
    }

    /// Runs the periodic actions that only entries perform.
    fn tick_entry(&mut self, now: Timestamp, rng: &mut impl Rng) {
        for finding in self.monitor.check(now, &self.roster) {
            // The counter of a lost domain stands for a mark on each of its instances.
            // No instance is marked from the time when its domain's counter has been
            // silent for half of the domain timeout until the counter rises again.
            if finding.changes_roster() && self.is_domain_silent(now, finding.id()) {
                continue;
            }
            match finding {
                Finding::Probe(id) => self.probe(id),
                Finding::Suspect(id) => self.mark(now, id, State::Suspect),
                Finding::Down(id) => self.mark(now, id, State::Down),
            }
        }
        let entries = self.reachable_entries();
        self.gossip.draw(now, self.own.id, &entries, rng);
        self.flush(now);
        if restart_if_due(
            &mut self.timers.counters,
            now,
            self.options.counter_interval,
        ) {
            self.liveness.record_contact(now, self.own.domain);
            self.liveness.increment(now);
            self.send_domain_counters();
        }
        if restart_if_due(&mut self.timers.repair, now, self.options.repair_interval) {
            self.repair(rng);
        }
    }

    /// Raises the own version by one and announces the record.
    pub(super) fn renew_version(&mut self, now: Timestamp) {
        self.own.version += 1;
        self.announce(now);
    }

    /// Assigns monitors to instances again if an entry has changed, or an instance was
    /// added, removed, marked down or restored since the last assignment.
    fn assign_monitors(&mut self, now: Timestamp) {
        let avoid_time = self.options.avoid_time;
        self.avoided
            .retain(|_, since| now.since(*since) < avoid_time);
        // The pause combines many simultaneous changes, such as the loss of a
        // domain, into one computation.
        let records = u32::try_from(self.roster.len()).unwrap_or(u32::MAX);
        let pause = self.options.assign_pause.saturating_mul(records);
        let is_recent = |last| now.since(last) < pause;
        if !self.monitors_stale || self.timers.assignment.is_some_and(is_recent) {
            return;
        }
        self.timers.assignment = Some(now);
        self.monitors_stale = false;
        let candidates = MonitorCandidates::new(&self.roster, |_| true);
        if candidates != self.candidates {
            self.gossip.invalidate();
        }
        self.candidates = candidates;
        if self.own.role == Role::Entry {
            let own = self.own.id;
            self.monitor
                .assign(now, own, &self.roster, &self.candidates);
        }
    }

    /// Sends the own record and a digest to a random contact, at most once per join
    /// interval, while no peer has sent a record.
    fn join(&mut self, now: Timestamp, rng: &mut impl Rng) {
        if self.phase != Phase::Joining {
            return;
        }
        let is_recent = |last| now.since(last) < self.options.join_interval;
        if self.contacts.is_empty() || self.timers.join.is_some_and(is_recent) {
            return;
        }
        self.timers.join = Some(now);
        let to = self.contacts[rng.random_range(0..self.contacts.len())];
        let own = self.own.clone();
        self.send_records(to, vec![own]);
        let digest = digest::digest(&self.roster, self.scope());
        self.send(to, Message::Digest(digest));
    }

    /// Sends a heartbeat to the monitors whose turn it is, and avoids monitors that
    /// haven't answered for the monitor timeout.
    fn send_heartbeats(&mut self, now: Timestamp) {
        self.timers.heartbeat_count = self.timers.heartbeat_count.wrapping_add(1);
        let count = self.timers.heartbeat_count;
        let heartbeat = Message::Heartbeat(self.heartbeat());
        let is_turn = |rank: &usize| count.is_multiple_of(heartbeat_stride(*rank));

        let mut silent = Vec::new();
        let monitors = self.own_monitors().into_iter().enumerate();
        for (_, id) in monitors.filter(|(rank, _)| is_turn(rank)) {
            let since = *self.unanswered.entry(id).or_insert(now);
            if now.since(since) > self.options.monitor_timeout {
                silent.push(id);
            }
        }
        for id in silent {
            self.unanswered.swap_remove(&id);
            self.avoided.insert(id, now);
        }
        let monitors = self.monitor_addresses().into_iter().enumerate();
        for (_, to) in monitors.filter(|(rank, _)| is_turn(rank)) {
            self.send(to, heartbeat.clone());
        }
    }

    /// Builds a heartbeat of this process.
    pub(super) fn heartbeat(&self) -> Heartbeat {
        let sum = match self.scope() {
            Scope::All => None,
            scope => Some(digest::sum(&self.roster, scope)),
        };
        Heartbeat {
            id: self.own.id,
            incarnation: self.own.incarnation,
            version: self.own.version,
            sum,
            revision: self.revision,
        }
    }

    /// Sends the load of this agent to a few random peers of its service that serve.
    /// An entry sends none.
    fn send_load(&mut self, rng: &mut impl Rng) {
        let Some(service) = self.own.service else {
            return;
        };
        let load = Load {
            id: self.own.id,
            flows: self.flows,
        };
        let mut peers: Vec<SocketAddrV4> = self
            .roster
            .records()
            .filter(|it| it.service == Some(service) && it.state == State::Serving)
            .filter(|it| it.id != self.own.id)
            .map(|it| it.control)
            .collect();
        for _ in 0..self.options.load_peers.min(peers.len()) {
            let to = peers.swap_remove(rng.random_range(0..peers.len()));
            self.send(to, Message::Load(load));
        }
    }

    fn probe(&mut self, id: InstanceId) {
        if let Some(to) = self.roster.record(id).map(|it| it.control) {
            self.send(to, Message::Probe);
        }
    }

    /// Marks an instance suspect or down, at the version that this entry holds, and
    /// sends the marked record to the instance, which can refute it.
    fn mark(&mut self, now: Timestamp, id: InstanceId, state: State) {
        let Some(mut record) = self.roster.record(id).cloned() else {
            return;
        };
        record.state = state;
        let to = record.control;
        if self.merge(now, record.clone()) {
            self.queue_gossip(id, state);
            self.event(Event::Marked { id, state });
            self.send_records(to, vec![record]);
            self.flush(now);
        }
    }

    /// Sends queued records to the neighbours, and to each watched agent those records
    /// that are in its scope.
    pub(super) fn flush(&mut self, now: Timestamp) {
        let neighbours = self.control_addresses(self.gossip.neighbours());
        // Agents receive few records, so only the copies for neighbours are deducted
        // from the gossip budget.
        let copies = neighbours.len().max(1);
        let records = self.gossip.take(now, &self.roster, copies);
        if records.is_empty() {
            return;
        }
        for to in neighbours {
            self.send_records(to, records.clone());
        }
        for (to, scope) in self.watched_agents() {
            let is_in_scope = |record: &&Record| scope.covers(record);
            let records: Vec<Record> = records.iter().filter(is_in_scope).cloned().collect();
            if !records.is_empty() {
                self.send_records(to, records);
            }
        }
    }

    /// Control addresses and scopes of the agents that this entry watches, except those
    /// that are down.
    fn watched_agents(&self) -> Vec<(SocketAddrV4, Scope)> {
        self.monitor
            .watched()
            .filter_map(|id| self.roster.record(id))
            .filter(|record| record.state != State::Down)
            .filter_map(|record| Some((record.control, Scope::Service(record.service?))))
            .collect()
    }

    /// Sends the counters of all known domains to the neighbours.
    fn send_domain_counters(&mut self) {
        let counters = self.liveness.counters();
        for to in self.control_addresses(self.gossip.neighbours()) {
            let records = Vec::new();
            let counters = counters.clone();
            self.send(to, Message::Delta(Delta { records, counters }));
        }
    }

    /// Sends a digest to one random entry. The choice alternates between reachable
    /// entries on the one hand, and unreachable entries and contacts on the other, so
    /// that a network partition heals.
    fn repair(&mut self, rng: &mut impl Rng) {
        self.timers.repair_count += 1;
        let mut addresses = match self.timers.repair_count % 2 {
            0 => self.unreachable_addresses(),
            _ => self.control_addresses(&self.reachable_entries()),
        };
        addresses.retain(|to| *to != self.own.control);
        if addresses.is_empty() {
            return;
        }
        let to = addresses[rng.random_range(0..addresses.len())];
        let digest: Digest = digest::digest(&self.roster, Scope::All);
        self.send(to, Message::Digest(digest));
    }

    /// Other entries that forward packets, in domains that aren't lost, as of the last
    /// assignment of monitors.
    fn reachable_entries(&self) -> Vec<InstanceId> {
        self.candidates
            .all()
            .filter(|id| *id != self.own.id)
            .filter(|id| {
                let domain = self.roster.record(*id).map(|it| it.domain);
                domain.is_some_and(|it| !self.lost.contains_key(&it))
            })
            .collect()
    }

    /// Control addresses of the contacts, and of the entries that are suspect, down or
    /// in a lost domain.
    fn unreachable_addresses(&self) -> Vec<SocketAddrV4> {
        let unavailable = self
            .roster
            .records()
            .filter(|it| it.role == Role::Entry)
            .filter(|it| it.state >= State::Suspect || self.lost.contains_key(&it.domain))
            .map(|it| it.control);
        self.contacts.iter().copied().chain(unavailable).collect()
    }

    fn control_addresses(&self, ids: &[InstanceId]) -> Vec<SocketAddrV4> {
        ids.iter()
            .filter_map(|id| self.roster.record(*id))
            .map(|record| record.control)
            .collect()
    }
}
