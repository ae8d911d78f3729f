//! What a process does with a message.

use std::net::SocketAddrV4;

use rand::Rng;
use rand::RngExt;

use crate::digest;
use crate::gossip::RECORD_OCTETS;
use crate::ids::InstanceId;
use crate::membership::Event;
use crate::membership::Membership;
use crate::membership::Phase;
use crate::membership::mark_of;
use crate::message::Ack;
use crate::message::Delta;
use crate::message::Digest;
use crate::message::Heartbeat;
use crate::message::Mark;
use crate::message::Message;
use crate::message::Scope;
use crate::roster::Record;
use crate::roster::Role;
use crate::roster::State;
use crate::time::Timestamp;

/// Records in one answer to a newcomer, which lacks a tenth of the records and
/// which the budget doesn't bound.
const BULK_RECORDS: usize = 2_000;

/// Heartbeats with a differing sum before a monitor repairs: changes that are
/// under way make sums differ for a moment.
const MISMATCHES: u32 = 2;

impl Membership {
    pub(super) fn receive(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        message: Message,
        rng: &mut impl Rng,
    ) {
        self.hear_domain(now, from);
        match message {
            Message::Heartbeat(heartbeat) => self.take_heartbeat(now, from, &heartbeat),
            Message::Ack(ack) => self.take_ack(now, from, ack),
            Message::Probe => {
                let heartbeat = self.heartbeat();
                self.send(from, Message::Heartbeat(heartbeat));
            }
            Message::Inquiry { id, number } => self.send_ack(from, id, number),
            Message::Delta(delta) => self.take_delta(now, from, delta),
            Message::Digest(digest) => self.take_digest(now, from, &digest, rng),
            Message::Load(load) => self.event(Event::Peer(load)),
        }
    }

    /// Takes note that the failure domain of the peer is heard from.
    fn hear_domain(&mut self, now: Timestamp, from: SocketAddrV4) {
        let Some(id) = self.addresses.get(&from) else {
            return;
        };
        if let Some(domain) = self.roster.record(*id).map(|it| it.domain) {
            self.beats.hear(now, domain);
        }
    }

    fn take_heartbeat(&mut self, now: Timestamp, from: SocketAddrV4, heartbeat: &Heartbeat) {
        if self.own.role != Role::Entry {
            return;
        }
        self.event(Event::Revision {
            from,
            revision: heartbeat.revision,
        });
        let id = heartbeat.id;
        let held = self.roster.record(id);
        // A heartbeat from before a mark says nothing: its sender has to learn
        // of the mark and refute it.
        let current = held.is_some_and(|record| {
            record.state < State::Suspect
                && (record.incarnation, record.version)
                    <= (heartbeat.incarnation, heartbeat.version)
        });
        let scope = held.and_then(|it| it.service).map(Scope::Service);
        if current {
            self.monitor.hear(now, id);
        }
        self.send_ack(from, id, 0);
        if let (Some(scope), Some(sum)) = (scope, heartbeat.sum) {
            self.compare(from, id, scope, sum);
        }
    }

    /// Starts a repair if an agent's records differ for some time.
    fn compare(&mut self, from: SocketAddrV4, id: InstanceId, scope: Scope, sum: u32) {
        if digest::sum(&self.roster, scope) == sum {
            self.mismatches.swap_remove(&id);
            return;
        }
        let count = self.mismatches.entry(id).or_insert(0);
        *count += 1;
        if *count < MISMATCHES {
            return;
        }
        self.mismatches.swap_remove(&id);
        let digest = digest::digest(&self.roster, scope);
        self.send(from, Message::Digest(digest));
    }

    fn send_ack(&mut self, to: SocketAddrV4, id: InstanceId, number: u32) {
        let ack = Ack {
            mark: self.roster.record(id).map(mark_of),
            number,
            lost: self.lost.keys().copied().collect(),
            revision: self.revision,
        };
        self.send(to, Message::Ack(ack));
    }

    fn take_ack(&mut self, now: Timestamp, from: SocketAddrV4, ack: Ack) {
        if let Some(id) = self.addresses.get(&from) {
            self.waiting.swap_remove(id);
        }
        self.event(Event::Revision {
            from,
            revision: ack.revision,
        });
        if self.own.role == Role::Agent {
            self.set_lost(now, ack.lost.into_iter().collect());
        }
        let own = mark_of(&self.own);
        match ack.mark {
            Some(mark) if mark.incarnation > own.incarnation => {
                self.phase = Phase::Replaced;
                self.event(Event::Replaced);
            }
            mark if matches!(self.phase, Phase::Asking { .. }) => {
                // An answer from before or during the sleep proves nothing.
                if ack.number != self.question {
                    return;
                }
                self.resume();
                self.refute(now, mark.unwrap_or(own));
            }
            Some(mark) if mark == own => {}
            Some(mark) if overrides(mark, own) => self.refute(now, mark),
            // The peer knows nothing of this life, or an old version.
            _ => {
                let own = self.own.clone();
                self.send_records(from, vec![own]);
            }
        }
    }

    fn take_delta(&mut self, now: Timestamp, from: SocketAddrV4, delta: Delta) {
        for beat in delta.beats {
            self.beats.merge(now, beat);
        }
        let is_part = delta.records.len() >= self.options.gossip.batch;
        let others = delta.records.iter().any(|it| it.id != self.own.id);
        let mut urgent = false;
        for record in delta.records {
            let (id, state) = (record.id, record.state);
            if !self.keeps(&record) || !self.merge(now, record) {
                continue;
            }
            // What comes in such numbers is news to this process alone, or
            // comes to others by their own repairs.
            if !is_part {
                self.spread(id, state);
                urgent |= state > State::Serving;
            }
        }
        if urgent && self.own.role == Role::Entry {
            self.flush(now);
        }
        if others && self.phase == Phase::Joining {
            self.phase = Phase::Joined;
            self.event(Event::Joined);
        }
        if is_part {
            // More is to come, and need not wait for the next repair.
            let digest = digest::digest(&self.roster, self.scope());
            self.send(from, Message::Digest(digest));
        }
    }

    /// An agent holds the entries and the agents of its own service only.
    fn keeps(&self, record: &Record) -> bool {
        record.id == self.own.id || self.scope().covers(record)
    }

    fn take_digest(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        digest: &Digest,
        rng: &mut impl Rng,
    ) {
        if digest::agrees(&self.roster, digest) {
            return;
        }
        if !digest.reply {
            let mut own = digest::digest_with(&self.roster, digest.scope, digest.sums.len());
            own.reply = true;
            self.send(from, Message::Digest(own));
        }

        let differing = digest::differing(&self.roster, digest);
        let mut records: Vec<Record> = differing.into_iter().cloned().collect();
        let held = digest::count(&self.roster, digest.scope);
        let newcomer = u64::from(digest.count) * 10 < held as u64 * 9;
        let limit = match newcomer {
            true => BULK_RECORDS,
            false => self.gossip.room(now),
        };
        // A random start makes progress even if every answer is cut short.
        if records.len() > limit {
            let start = rng.random_range(0..records.len());
            records.rotate_left(start);
            records.truncate(limit);
        }
        if !newcomer {
            self.gossip.spend(RECORD_OCTETS * records.len() as u64);
        }
        if !records.is_empty() {
            self.send_records(from, records);
        }
    }

    pub(super) fn send_records(&mut self, to: SocketAddrV4, records: Vec<Record>) {
        let beats = Vec::new();
        self.send(to, Message::Delta(Delta { records, beats }));
    }
}

/// Tells whether a mark at the current life overrides what its owner says.
fn overrides(mark: Mark, own: Mark) -> bool {
    mark.incarnation == own.incarnation
        && (mark.version > own.version || (mark.version == own.version && mark.state > own.state))
}
