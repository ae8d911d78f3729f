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

/// `Timers` holds the time of the last run of each periodic action, and how
/// often some have run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timers {
    tick: Timestamp,
    heartbeat: Timestamp,
    counters: Timestamp,
    repair: Timestamp,
    join: Option<Timestamp>,
    refresh: Option<Timestamp>,
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
            refresh: None,
            heartbeat_count: 0,
            repair_count: 0,
        }
    }
}

/// Returns whether `every` has passed since `last`, and if so sets `last` to `now`.
fn due(last: &mut Timestamp, now: Timestamp, every: Duration) -> bool {
    let due = now.since(*last) >= every;
    if due {
        *last = now;
    }
    due
}

impl Membership {
    /// Enters the inquiring phase if the time since the last tick reaches the
    /// pause limit.
    pub(super) fn detect_sleep(&mut self, now: Timestamp) {
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

        self.refresh(now);
        self.join(now, rng);
        if due(
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

    fn tick_entry(&mut self, now: Timestamp, rng: &mut impl Rng) {
        for finding in self.monitor.check(now, &self.roster) {
            // The counter of a lost domain says as much as a mark for each of its
            // instances, so marks are held back until the domain recovers.
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
        if due(
            &mut self.timers.counters,
            now,
            self.options.counter_interval,
        ) {
            self.liveness.record_contact(now, self.own.domain);
            self.liveness.increment(now);
            self.send_domain_counters();
        }
        if due(&mut self.timers.repair, now, self.options.repair_interval) {
            self.repair(rng);
        }
    }

    /// Raises the own version by one and announces the record.
    pub(super) fn renew_version(&mut self, now: Timestamp) {
        self.own.version += 1;
        self.announce(now);
    }

    /// Recomputes the assignment of monitors if a change of an entry, or an
    /// instance that was added, removed, marked down or restored, requires it.
    fn refresh(&mut self, now: Timestamp) {
        let limit = self.options.avoid_time;
        self.avoided.retain(|_, since| now.since(*since) < limit);
        // The pause combines many simultaneous changes, such as the loss of a
        // domain, into one computation.
        let records = u32::try_from(self.roster.len()).unwrap_or(u32::MAX);
        let pause = self.options.assign_pause.saturating_mul(records);
        let is_recent = |last| now.since(last) < pause;
        if !self.monitors_stale || self.timers.refresh.is_some_and(is_recent) {
            return;
        }
        self.timers.refresh = Some(now);
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

    fn send_heartbeats(&mut self, now: Timestamp) {
        self.timers.heartbeat_count = self.timers.heartbeat_count.wrapping_add(1);
        let count = self.timers.heartbeat_count;
        let heartbeat = Message::Heartbeat(self.heartbeat());
        let in_turn = |rank: &usize| count.is_multiple_of(heartbeat_stride(*rank));

        let mut silent = Vec::new();
        let monitors = self.own_monitors().into_iter().enumerate();
        for (_, id) in monitors.filter(|(rank, _)| in_turn(rank)) {
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
        for (_, to) in monitors.filter(|(rank, _)| in_turn(rank)) {
            self.send(to, heartbeat.clone());
        }
    }

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

    /// Sends the load of this agent to a few random peers of its service.
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

    /// Marks an instance at its known version and sends it the marked record.
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

    /// Sends changed records to the neighbours, and to each watched agent those
    /// records that are in its scope.
    pub(super) fn flush(&mut self, now: Timestamp) {
        let neighbours = self.control_addresses(self.gossip.neighbours());
        // Agents receive few records, so only the neighbours count as cost.
        let copies = neighbours.len().max(1);
        let records = self.gossip.take(now, &self.roster, copies);
        if records.is_empty() {
            return;
        }
        for to in neighbours {
            self.send_records(to, records.clone());
        }
        for (to, scope) in self.watched_agents() {
            let in_scope = |record: &&Record| scope.covers(record);
            let records: Vec<Record> = records.iter().filter(in_scope).cloned().collect();
            if !records.is_empty() {
                self.send_records(to, records);
            }
        }
    }

    fn watched_agents(&self) -> Vec<(SocketAddrV4, Scope)> {
        self.monitor
            .watched()
            .filter_map(|id| self.roster.record(id))
            .filter(|record| record.state != State::Down)
            .filter_map(|record| Some((record.control, Scope::Service(record.service?))))
            .collect()
    }

    fn send_domain_counters(&mut self) {
        let counters = self.liveness.counters();
        for to in self.control_addresses(self.gossip.neighbours()) {
            let records = Vec::new();
            let counters = counters.clone();
            self.send(to, Message::Delta(Delta { records, counters }));
        }
    }

    /// Sends a digest to one random entry: alternately to a reachable one, and
    /// to an unreachable one or a contact, so that a network partition heals.
    fn repair(&mut self, rng: &mut impl Rng) {
        self.timers.repair_count += 1;
        let mut targets = match self.timers.repair_count % 2 {
            0 => self.unreachable_entries(),
            _ => self.control_addresses(&self.reachable_entries()),
        };
        targets.retain(|to| *to != self.own.control);
        if targets.is_empty() {
            return;
        }
        let to = targets[rng.random_range(0..targets.len())];
        let digest: Digest = digest::digest(&self.roster, Scope::All);
        self.send(to, Message::Digest(digest));
    }

    /// Other entries that forward packets, in domains that aren't lost.
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

    fn unreachable_entries(&self) -> Vec<SocketAddrV4> {
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
