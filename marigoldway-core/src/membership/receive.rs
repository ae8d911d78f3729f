//! Handling of received messages.

use std::net::SocketAddrV4;

use rand::Rng;
use rand::RngExt;

use crate::digest;
use crate::gossip::RECORD_OCTETS;
use crate::ids::InstanceId;
use crate::membership::Event;
use crate::membership::Membership;
use crate::membership::Phase;
use crate::membership::summary_of;
use crate::message::Ack;
use crate::message::Delta;
use crate::message::Digest;
use crate::message::Heartbeat;
use crate::message::Message;
use crate::message::RecordSummary;
use crate::message::Scope;
use crate::roster::Record;
use crate::roster::Role;
use crate::roster::State;
use crate::time::Timestamp;

/// Maximum number of records in one answer to the digest of a joining process. A
/// process counts as joining if it lacks more than a tenth of the records. The gossip
/// budget doesn't limit this answer.
const BULK_RECORDS: usize = 2_000;

/// Number of consecutive heartbeats of an agent with a differing checksum after
/// which a monitor sends it a digest. One is too few: changes in transit make
/// checksums differ briefly.
const MISMATCH_LIMIT: u32 = 2;

impl Membership {
    /// Handles a message from the peer at the control address `from`.
    pub(super) fn receive(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        message: Message,
        rng: &mut impl Rng,
    ) {
        self.record_contact(now, from);
        match message {
            Message::Heartbeat(heartbeat) => self.on_heartbeat(now, from, &heartbeat),
            Message::Ack(ack) => self.on_ack(now, from, ack),
            Message::Probe => {
                let heartbeat = self.heartbeat();
                self.send(from, Message::Heartbeat(heartbeat));
            }
            Message::Inquiry { id, number } => self.send_ack(from, id, number),
            Message::Delta(delta) => self.on_delta(now, from, delta),
            Message::Digest(digest) => self.on_digest(now, from, &digest, rng),
            Message::Load(load) => self.event(Event::Peer(load)),
        }
    }

    /// Records a contact with the failure domain of the sender. Does nothing if the
    /// roster holds no record of the sender.
    fn record_contact(&mut self, now: Timestamp, from: SocketAddrV4) {
        let Some(id) = self.addresses.get(&from) else {
            return;
        };
        if let Some(domain) = self.roster.record(*id).map(|it| it.domain) {
            self.liveness.record_contact(now, domain);
        }
    }

    /// Records and answers a heartbeat. Only entries handle heartbeats.
    fn on_heartbeat(&mut self, now: Timestamp, from: SocketAddrV4, heartbeat: &Heartbeat) {
        if self.own.role != Role::Entry {
            return;
        }
        self.event(Event::Revision {
            from,
            revision: heartbeat.revision,
        });
        let id = heartbeat.id;
        let held = self.roster.record(id);
        // A heartbeat doesn't count while its sender is marked, or if it is older
        // than the record: the sender must first receive the mark and refute it.
        let is_current = held.is_some_and(|record| {
            record.state < State::Suspect
                && (record.incarnation, record.version)
                    <= (heartbeat.incarnation, heartbeat.version)
        });
        let scope = held.and_then(|it| it.service).map(Scope::Service);
        if is_current {
            self.monitor.record_heartbeat(now, id);
        }
        self.send_ack(from, id, 0);
        if let (Some(scope), Some(sum)) = (scope, heartbeat.sum) {
            self.compare_checksum(from, id, scope, sum);
        }
    }

    /// Compares the checksum in a heartbeat with that of the own roster. Sends a
    /// digest after [`MISMATCH_LIMIT`] consecutive heartbeats whose checksum differs.
    fn compare_checksum(&mut self, from: SocketAddrV4, id: InstanceId, scope: Scope, sum: u32) {
        if digest::sum(&self.roster, scope) == sum {
            self.mismatches.swap_remove(&id);
            return;
        }
        let count = self.mismatches.entry(id).or_insert(0);
        *count += 1;
        if *count < MISMATCH_LIMIT {
            return;
        }
        self.mismatches.swap_remove(&id);
        let digest = digest::digest(&self.roster, scope);
        self.send(from, Message::Digest(digest));
    }

    /// Answers a heartbeat or an inquiry of the instance `id`. `number` is the sequence
    /// number of the inquiry, zero for a heartbeat.
    fn send_ack(&mut self, to: SocketAddrV4, id: InstanceId, number: u32) {
        let ack = Ack {
            record: self.roster.record(id).map(summary_of),
            number,
            lost: self.lost.keys().copied().collect(),
            revision: self.revision,
        };
        self.send(to, Message::Ack(ack));
    }

    /// Compares the record that a monitor holds of this instance with the own one:
    /// stops if a later incarnation runs, refutes a record that overrides the own one,
    /// and sends the own record if the monitor's is older or missing.
    fn on_ack(&mut self, now: Timestamp, from: SocketAddrV4, ack: Ack) {
        if let Some(id) = self.addresses.get(&from) {
            self.unanswered.swap_remove(id);
        }
        self.event(Event::Revision {
            from,
            revision: ack.revision,
        });
        if self.own.role == Role::Agent {
            self.set_lost_domains(now, ack.lost.into_iter().collect());
        }
        let own = summary_of(&self.own);
        match ack.record {
            Some(known) if known.incarnation > own.incarnation => {
                self.phase = Phase::Replaced;
                self.event(Event::Replaced);
            }
            known if matches!(self.phase, Phase::Inquiring { .. }) => {
                // An answer from before or during the suspension is outdated.
                if ack.number != self.inquiry {
                    return;
                }
                self.resume();
                self.refute(now, known.unwrap_or(own));
            }
            Some(known) if known == own => {}
            Some(known) if overrides(known, own) => self.refute(now, known),
            // The peer holds no record of this incarnation, or an older one.
            _ => {
                let own = self.own.clone();
                self.send_records(from, vec![own]);
            }
        }
    }

    /// Merges records and domain counters and queues the changed records for gossip.
    fn on_delta(&mut self, now: Timestamp, from: SocketAddrV4, delta: Delta) {
        for counter in delta.counters {
            self.liveness.merge(now, counter);
        }
        let is_full_batch = delta.records.len() >= self.options.gossip.batch;
        let has_other_records = delta.records.iter().any(|it| it.id != self.own.id);
        let mut is_urgent = false;
        for record in delta.records {
            let (id, state) = (record.id, record.state);
            if !self.keeps(&record) || !self.merge(now, record) {
                continue;
            }
            // The records of a full batch aren't propagated: they are new to this
            // process only, or other processes receive them by their own digests.
            if !is_full_batch {
                self.queue_gossip(id, state);
                is_urgent |= state > State::Serving;
            }
        }
        if is_urgent && self.own.role == Role::Entry {
            self.flush(now);
        }
        if has_other_records && self.phase == Phase::Joining {
            self.phase = Phase::Joined;
            self.event(Event::Joined);
        }
        if is_full_batch {
            // A full batch means that more records follow: request them now
            // instead of waiting for the next digest.
            let digest = digest::digest(&self.roster, self.scope());
            self.send(from, Message::Digest(digest));
        }
    }

    /// Returns whether this process keeps `record` in its roster. An agent keeps
    /// only the entries and the agents of its own service.
    fn keeps(&self, record: &Record) -> bool {
        record.id == self.own.id || self.scope().covers(record)
    }

    /// Sends the records in buckets whose checksums differ, and answers a digest that
    /// isn't itself an answer with the own digest, so that the peer does the same.
    fn on_digest(
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
        let is_joining = u64::from(digest.count) * 10 < held as u64 * 9;
        let limit = match is_joining {
            true => BULK_RECORDS,
            false => self.gossip.repair_limit(now),
        };
        // A random start ensures progress even if every answer is truncated.
        if records.len() > limit {
            let start = rng.random_range(0..records.len());
            records.rotate_left(start);
            records.truncate(limit);
        }
        if !is_joining {
            self.gossip.spend(RECORD_OCTETS * records.len() as u64);
        }
        if !records.is_empty() {
            self.send_records(from, records);
        }
    }

    /// Sends records, without domain counters.
    pub(super) fn send_records(&mut self, to: SocketAddrV4, records: Vec<Record>) {
        let counters = Vec::new();
        self.send(to, Message::Delta(Delta { records, counters }));
    }
}

/// Returns whether `known`, the record of this instance at a peer, is of the same
/// incarnation as `own` and overrides it.
fn overrides(known: RecordSummary, own: RecordSummary) -> bool {
    known.incarnation == own.incarnation
        && (known.version > own.version
            || (known.version == own.version && known.state > own.state))
}
