//! What a process does as time passes.

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
use crate::monitor::Entries;
use crate::monitor::Finding;
use crate::monitor::spacing;
use crate::roster::Record;
use crate::roster::Role;
use crate::roster::State;
use crate::time::Timestamp;

/// `Timers` holds when each regular action was last done.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timers {
    tick: Timestamp,
    heartbeat: Timestamp,
    beat: Timestamp,
    repair: Timestamp,
    join: Option<Timestamp>,
    refresh: Option<Timestamp>,
    heartbeats: u32,
    rounds: u32,
}

impl Timers {
    pub(super) fn new(now: Timestamp) -> Timers {
        Timers {
            tick: now,
            heartbeat: now,
            beat: now,
            repair: now,
            join: None,
            refresh: None,
            heartbeats: 0,
            rounds: 0,
        }
    }
}

/// Tells whether `every` has passed since `last`, and if so sets it to `now`.
fn due(last: &mut Timestamp, now: Timestamp, every: Duration) -> bool {
    let due = now.since(*last) >= every;
    if due {
        *last = now;
    }
    due
}

impl Membership {
    /// Enters the asking phase if the clock jumped since the last tick.
    pub(super) fn notice_sleep(&mut self, now: Timestamp) {
        let gap = now.since(self.timers.tick);
        if gap < self.options.sleep {
            return;
        }
        self.timers.tick = now;
        self.event(Event::Slept { gap });
        self.monitor.rest(now);
        self.beats.rest(now);
        self.gossip.clear();
        self.waiting.clear();
        self.phase = Phase::Asking { since: now };
        self.question += 1;
        let (id, number) = (self.own.id, self.question);
        for to in self.monitors() {
            self.send(to, Message::Inquiry { id, number });
        }
    }

    pub(super) fn tick(&mut self, now: Timestamp, rng: &mut impl Rng) {
        self.timers.tick = now;
        if let Phase::Asking { since } = self.phase {
            if now.since(since) < self.options.ask {
                return;
            }
            // Nobody answers, so nobody is there to be contradicted.
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
        self.update_lost(now);
        self.forget(now);
    }

    fn tick_entry(&mut self, now: Timestamp, rng: &mut impl Rng) {
        for finding in self.monitor.check(now, &self.roster) {
            // The beat tells of a lost domain what a mark for each of its
            // instances would, so marks wait until the domain is heard from.
            if finding.is_mark() && self.is_silent(now, finding.id()) {
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
        if due(&mut self.timers.beat, now, self.options.beat) {
            self.beats.hear(now, self.own.domain);
            self.beats.raise(now);
            self.send_beats();
        }
        if due(&mut self.timers.repair, now, self.options.repair) {
            self.repair(rng);
        }
    }

    /// Goes on under a higher version.
    pub(super) fn renew_version(&mut self, now: Timestamp) {
        self.own.version += 1;
        self.announce(now);
    }

    /// Recomputes who monitors whom, if an entry or a new instance changed it.
    fn refresh(&mut self, now: Timestamp) {
        let limit = self.options.avoid;
        self.avoided.retain(|_, since| now.since(*since) < limit);
        // Many changes at once, as at the loss of a domain, cost one pass.
        let records = u32::try_from(self.roster.len()).unwrap_or(u32::MAX);
        let pause = self.options.assign.saturating_mul(records);
        let recent = |last| now.since(last) < pause;
        if !self.dirty || self.timers.refresh.is_some_and(recent) {
            return;
        }
        self.timers.refresh = Some(now);
        self.dirty = false;
        let entries = Entries::new(&self.roster, |_| true);
        if entries != self.entries {
            self.gossip.invalidate();
        }
        self.entries = entries;
        if self.own.role == Role::Entry {
            let own = self.own.id;
            self.monitor.assign(now, own, &self.roster, &self.entries);
        }
    }

    fn join(&mut self, now: Timestamp, rng: &mut impl Rng) {
        if self.phase != Phase::Joining {
            return;
        }
        let fresh = |last| now.since(last) < self.options.join;
        if self.contacts.is_empty() || self.timers.join.is_some_and(fresh) {
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
        self.timers.heartbeats = self.timers.heartbeats.wrapping_add(1);
        let turn = self.timers.heartbeats;
        let heartbeat = Message::Heartbeat(self.heartbeat());
        let in_turn = |place: &usize| turn.is_multiple_of(spacing(*place));

        let mut silent = Vec::new();
        let monitors = self.own_monitors().into_iter().enumerate();
        for (_, id) in monitors.filter(|(place, _)| in_turn(place)) {
            let since = *self.waiting.entry(id).or_insert(now);
            if now.since(since) > self.options.silent {
                silent.push(id);
            }
        }
        for id in silent {
            self.waiting.swap_remove(&id);
            self.avoided.insert(id, now);
        }
        let monitors = self.monitors().into_iter().enumerate();
        for (_, to) in monitors.filter(|(place, _)| in_turn(place)) {
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

    /// Tells a few random peers of the service how loaded this agent is.
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
        for _ in 0..self.options.peers.min(peers.len()) {
            let to = peers.swap_remove(rng.random_range(0..peers.len()));
            self.send(to, Message::Load(load));
        }
    }

    fn probe(&mut self, id: InstanceId) {
        if let Some(to) = self.roster.record(id).map(|it| it.control) {
            self.send(to, Message::Probe);
        }
    }

    /// Marks an instance at the version that is known, and tells it so.
    fn mark(&mut self, now: Timestamp, id: InstanceId, state: State) {
        let Some(mut record) = self.roster.record(id).cloned() else {
            return;
        };
        record.state = state;
        let to = record.control;
        if self.merge(now, record.clone()) {
            self.spread(id, state);
            self.event(Event::Marked { id, state });
            self.send_records(to, vec![record]);
            self.flush(now);
        }
    }

    /// Sends changed records to the neighbours, and to the agents that this
    /// entry watches what concerns them.
    pub(super) fn flush(&mut self, now: Timestamp) {
        let neighbours = self.controls(self.gossip.neighbours());
        // An agent hears of few records, so the neighbours make up the cost.
        let copies = neighbours.len().max(1);
        let records = self.gossip.take(now, &self.roster, copies);
        if records.is_empty() {
            return;
        }
        for to in neighbours {
            self.send_records(to, records.clone());
        }
        for (to, scope) in self.watched_agents() {
            let relevant = |record: &&Record| scope.covers(record);
            let records: Vec<Record> = records.iter().filter(relevant).cloned().collect();
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

    fn send_beats(&mut self) {
        let beats = self.beats.all();
        for to in self.controls(self.gossip.neighbours()) {
            let records = Vec::new();
            let beats = beats.clone();
            self.send(to, Message::Delta(Delta { records, beats }));
        }
    }

    /// Sends a digest to one entry: by turns to any that is reachable, and to
    /// one that is not, or a contact, so that a cut heals.
    fn repair(&mut self, rng: &mut impl Rng) {
        self.timers.rounds += 1;
        let mut targets = match self.timers.rounds % 2 {
            0 => self.unreachable_entries(),
            _ => self.controls(&self.reachable_entries()),
        };
        targets.retain(|to| *to != self.own.control);
        if targets.is_empty() {
            return;
        }
        let to = targets[rng.random_range(0..targets.len())];
        let digest: Digest = digest::digest(&self.roster, Scope::All);
        self.send(to, Message::Digest(digest));
    }

    /// Other entries that forward packets in domains that are heard from.
    fn reachable_entries(&self) -> Vec<InstanceId> {
        self.entries
            .all()
            .filter(|id| *id != self.own.id)
            .filter(|id| {
                let domain = self.roster.record(*id).map(|it| it.domain);
                domain.is_some_and(|it| !self.lost.contains_key(&it))
            })
            .collect()
    }

    fn unreachable_entries(&self) -> Vec<SocketAddrV4> {
        let timed_out = self
            .roster
            .records()
            .filter(|it| it.role == Role::Entry)
            .filter(|it| it.state >= State::Suspect || self.lost.contains_key(&it.domain))
            .map(|it| it.control);
        self.contacts.iter().copied().chain(timed_out).collect()
    }

    fn controls(&self, ids: &[InstanceId]) -> Vec<SocketAddrV4> {
        ids.iter()
            .filter_map(|id| self.roster.record(*id))
            .map(|record| record.control)
            .collect()
    }
}
