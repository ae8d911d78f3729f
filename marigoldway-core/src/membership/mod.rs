//! Membership: the state machine that maintains a process's roster of instances.
//!
//! A process is an entry, a load balancer that forwards packets, or an agent, which
//! stands beside a target. The roster holds one record per known instance. The state
//! machine joins through its contacts, which are control addresses of entries. It
//! sends heartbeats to its monitors, the entries that detect its failure, and merges
//! the records that it receives into the roster. An entry also watches the instances
//! that it monitors, propagates changed records to other entries and to the agents
//! that it watches, and exchanges digests (checksums over rosters) with other entries
//! to repair differences. Call [`Membership::handle`] with [`Input::Tick`] every
//! [`MembershipOptions::tick`], and with every received message.
//!
//! A process detects its own suspension by a jump of its clock. It then sends an
//! inquiry to its monitors, and nothing else until a monitor has reported the
//! recorded state of the instance. It resumes with a version above the recorded one,
//! or above its own if [`MembershipOptions::inquiry_timeout`] passes without an
//! answer. Nothing that it had queued before the suspension overrides what happened
//! in between.

mod expiry;
mod interface;
mod options;
mod receive;
mod timers;

use std::mem;
use std::net::SocketAddrV4;

use indexmap::IndexMap;
use rand::Rng;

use crate::gossip::Gossip;
use crate::ids::DomainId;
use crate::ids::InstanceId;
use crate::liveness::DomainLiveness;
use crate::message::Message;
use crate::message::RecordSummary;
use crate::message::Scope;
use crate::monitor::MONITORS;
use crate::monitor::Monitor;
use crate::monitor::MonitorCandidates;
use crate::roster::Record;
use crate::roster::Role;
use crate::roster::Roster;
use crate::roster::RosterView;
use crate::roster::State;
use crate::time::Timestamp;

pub use crate::membership::interface::Event;
pub use crate::membership::interface::Input;
pub use crate::membership::interface::Output;
pub use crate::membership::options::MembershipOptions;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No peer has sent a record of another instance yet.
    Joining,
    /// The process takes part in the protocol.
    Joined,
    /// The process was suspended and waits for an answer to the inquiry that it sent
    /// at `since`.
    Inquiring { since: Timestamp },
    /// A later incarnation of the instance runs: this one sends nothing more.
    Replaced,
}

/// `Membership` is the membership state of one process.
pub struct Membership {
    options: MembershipOptions,
    /// Record of this process.
    own: Record,
    /// Control addresses of entries through which the process joins.
    contacts: Vec<SocketAddrV4>,
    phase: Phase,
    /// Sequence number of the last inquiry, zero before the first.
    inquiry: u32,
    roster: Roster,
    /// Instances of the roster by control address.
    addresses: IndexMap<SocketAddrV4, InstanceId>,
    /// Instances that are down, with the time when this process learned it.
    down_since: IndexMap<InstanceId, Timestamp>,
    liveness: DomainLiveness,
    /// Lost failure domains, with the time when this process learned it.
    lost: IndexMap<DomainId, Timestamp>,
    /// Entries that can be monitors, as of the last assignment.
    candidates: MonitorCandidates,
    /// Whether the roster has changed so that monitors must be assigned again.
    monitors_stale: bool,
    /// Failure detector for the instances that this entry monitors.
    monitor: Monitor,
    gossip: Gossip,
    /// Number of consecutive heartbeats of an instance whose checksum differed.
    mismatches: IndexMap<InstanceId, u32>,
    /// Monitors of this process, with the time of the first heartbeat since their
    /// last answer.
    unanswered: IndexMap<InstanceId, Timestamp>,
    /// Monitors that didn't answer, with the time since when they are avoided.
    avoided: IndexMap<InstanceId, Timestamp>,
    /// Number of flows that this agent holds.
    flows: u32,
    /// Revision of the lists of plans and allowances that this process holds.
    revision: u64,
    timers: timers::Timers,
    /// Actions collected during the current call of [`Membership::handle`].
    outputs: Vec<Output>,
}

impl Membership {
    /// Creates the state of a process that has just started, with the record
    /// `own`. `contacts` are control addresses of entries.
    pub fn new(
        now: Timestamp,
        own: Record,
        contacts: Vec<SocketAddrV4>,
        options: MembershipOptions,
    ) -> Membership {
        let mut membership = Membership {
            phase: Phase::Joining,
            inquiry: 0,
            roster: Roster::new(),
            addresses: IndexMap::new(),
            down_since: IndexMap::new(),
            liveness: DomainLiveness::new(options.domain_timeout),
            lost: IndexMap::new(),
            candidates: MonitorCandidates::default(),
            monitors_stale: true,
            monitor: Monitor::new(options.monitor),
            gossip: Gossip::new(now, options.gossip),
            mismatches: IndexMap::new(),
            unanswered: IndexMap::new(),
            avoided: IndexMap::new(),
            flows: 0,
            revision: 0,
            timers: timers::Timers::new(now),
            outputs: Vec::new(),
            contacts: Vec::new(),
            own,
            options,
        };
        membership.add_contacts(contacts);
        let own = membership.own.clone();
        membership.merge(now, own);
        membership
    }

    /// Processes one input and returns the actions to perform, in order. Returns none
    /// once a later incarnation of the instance has replaced this one.
    pub fn handle(&mut self, now: Timestamp, input: Input, rng: &mut impl Rng) -> Vec<Output> {
        if self.phase == Phase::Replaced {
            return Vec::new();
        }
        // The first input after a suspension must not be answered as if no
        // time had passed.
        self.detect_suspension(now);
        match input {
            Input::Tick => self.tick(now, rng),
            Input::Receive { from, message } => self.receive(now, from, message, rng),
            Input::State(state) => self.update_own(now, |own| own.state = state),
            Input::Weight(weight) => self.update_own(now, |own| own.weight = weight),
            Input::Contacts(contacts) => self.add_contacts(contacts),
            Input::Flows(flows) => self.flows = flows,
            Input::Revision(revision) => self.revision = revision,
        }
        mem::take(&mut self.outputs)
    }

    /// Builds the view of the roster for the packet path.
    pub fn view(&self) -> RosterView {
        self.roster.view(&self.lost.keys().copied().collect())
    }

    /// All records that this process holds, including its own.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// The record of this process.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// Returns whether a peer has sent a record of another instance, the process has
    /// resumed after any suspension, and no later incarnation has replaced it.
    pub fn is_joined(&self) -> bool {
        matches!(self.phase, Phase::Joined)
    }

    /// Leaves the inquiring phase after a suspension. A process that holds no record
    /// but its own must join again.
    fn resume(&mut self) {
        self.phase = match self.roster.len() {
            0 | 1 => Phase::Joining,
            _ => Phase::Joined,
        };
    }

    /// Records that this process holds: for an agent, the entries and the agents of
    /// its service.
    fn scope(&self) -> Scope {
        match self.own.service {
            Some(service) => Scope::Service(service),
            None => Scope::All,
        }
    }

    fn add_contacts(&mut self, contacts: Vec<SocketAddrV4>) {
        for contact in contacts {
            if contact != self.own.control && !self.contacts.contains(&contact) {
                self.contacts.push(contact);
            }
        }
    }

    /// Applies `change` to the own record. If that changes it, raises its version.
    fn update_own(&mut self, now: Timestamp, change: impl FnOnce(&mut Record)) {
        let mut changed = self.own.clone();
        change(&mut changed);
        if changed == self.own {
            return;
        }
        self.own = changed;
        self.own.version += 1;
        self.announce(now);
    }

    /// Raises the own version above the one in `known` and announces the record.
    fn refute(&mut self, now: Timestamp, known: RecordSummary) {
        self.own.version = self.own.version.max(known.version) + 1;
        self.event(Event::Refuted {
            version: self.own.version,
        });
        self.announce(now);
    }

    /// Merges the own record into the roster and sends it to the monitors at once; an
    /// entry also sends it to its neighbours.
    fn announce(&mut self, now: Timestamp) {
        let own = self.own.clone();
        self.merge(now, own.clone());
        self.queue_gossip(own.id, own.state);
        for to in self.monitor_addresses() {
            self.send_records(to, vec![own.clone()]);
        }
        if self.own.role == Role::Entry {
            self.flush(now);
        }
    }

    /// Queues a record for gossip; agents send none.
    fn queue_gossip(&mut self, id: InstanceId, state: State) {
        if self.own.role == Role::Entry {
            self.gossip.push(id, state);
        }
    }

    /// Merges a record and returns whether the roster changed. A record of this
    /// instance that differs from its own is refuted if it supersedes the own one.
    fn merge(&mut self, now: Timestamp, record: Record) -> bool {
        let id = record.id;
        if id == self.own.id && record != self.own {
            self.handle_own_record(now, &record);
            return false;
        }
        let before = self.roster.record(id).cloned();
        if !self.roster.merge(record.clone()).changed() {
            return false;
        }
        self.apply_change(now, before.as_ref(), &record);
        true
    }

    /// Updates the state derived from the roster after a record has changed.
    fn apply_change(&mut self, now: Timestamp, before: Option<&Record>, record: &Record) {
        let id = record.id;
        self.addresses.insert(record.control, id);
        self.liveness.add_domain(now, record.domain);
        let is_down = record.state == State::Down;
        if is_down {
            self.down_since.insert(id, now);
        } else {
            self.down_since.swap_remove(&id);
        }

        // Only the owner of a record raises its version, so the owner is alive.
        let is_raised = before.is_some_and(|before| {
            (before.incarnation, before.version) < (record.incarnation, record.version)
        });
        if is_raised && record.state < State::Suspect {
            let was_marked = before.is_some_and(|before| before.state >= State::Suspect);
            self.monitor.record_update(now, id, was_marked);
        }

        let is_down_unchanged = before.is_some_and(|it| (it.state == State::Down) == is_down);
        if !is_down_unchanged || record.role == Role::Entry {
            self.monitors_stale = true;
        }
        self.output_view();
    }

    /// Handles a record of this instance that differs from its own record. An older
    /// record is ignored.
    fn handle_own_record(&mut self, now: Timestamp, record: &Record) {
        if record.incarnation > self.own.incarnation {
            self.phase = Phase::Replaced;
            return self.event(Event::Replaced);
        }
        if record.incarnation == self.own.incarnation && record.supersedes(&self.own) {
            self.refute(now, summary_of(record));
        }
    }

    /// Control addresses of this process's monitors, or of the first [`MONITORS`]
    /// contacts while no monitor is known.
    fn monitor_addresses(&self) -> Vec<SocketAddrV4> {
        let monitors: Vec<SocketAddrV4> = self
            .own_monitors()
            .into_iter()
            .filter_map(|id| self.roster.record(id))
            .map(|record| record.control)
            .collect();
        if !monitors.is_empty() {
            return monitors;
        }
        self.contacts.iter().copied().take(MONITORS).collect()
    }

    /// Monitors of this process in order of rank, without those that it avoids.
    fn own_monitors(&self) -> Vec<InstanceId> {
        if self.avoided.is_empty() {
            return self.candidates.monitors(&self.own);
        }
        let is_usable = |record: &Record| !self.avoided.contains_key(&record.id);
        MonitorCandidates::new(&self.roster, is_usable).monitors(&self.own)
    }

    /// Sends a message to a peer. Drops a message to this process itself, and every
    /// message except inquiries after a suspension or a replacement.
    fn send(&mut self, to: SocketAddrV4, message: Message) {
        let is_inquiry = matches!(message, Message::Inquiry { .. });
        let is_suppressed = matches!(self.phase, Phase::Inquiring { .. } | Phase::Replaced);
        if to == self.own.control || (is_suppressed && !is_inquiry) {
            return;
        }
        self.outputs.push(Output::Send { to, message });
    }

    fn event(&mut self, event: Event) {
        self.outputs.push(Output::Event(event));
    }

    fn output_view(&mut self) {
        if !self.outputs.contains(&Output::View) {
            self.outputs.push(Output::View);
        }
    }
}

fn summary_of(record: &Record) -> RecordSummary {
    RecordSummary {
        incarnation: record.incarnation,
        version: record.version,
        state: record.state,
    }
}
