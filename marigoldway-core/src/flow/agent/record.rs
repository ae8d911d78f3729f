//! Decides what the agent's own record says, and which flows of its target other processes can
//! find by computing who may hold them.

use std::time::Duration;

use crate::flow::agent::AgentAction;
use crate::flow::agent::AgentFlows;
use crate::flow::agent::local::LocalFlow;
use crate::flow::agent::local::Phase;
use crate::flow::key::FlowKey;
use crate::flow::key::NameKey;
use crate::flow::message::AgentRecord;
use crate::flow::message::Header;
use crate::flow::message::Hello;
use crate::flow::message::Load;
use crate::flow::message::TargetState;
use crate::flow::routes::WorkClass;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Number of flow lifetimes after the start of a target from which on its exact age no longer
/// matters for which agents may hold a flow. More than one, since clocks differ.
const AGED_LIFETIMES: u32 = 2;

/// Time from the first suspicion of a stray to the announcement. It is long enough to ask an entry
/// which domains are drained.
const STRAY_GRACE: Duration = Duration::from_millis(300);

/// `PublishedState` is the part of an agent's record that depends on its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PublishedState {
    state: TargetState,
    slots: u16,
    service: NameKey,
    complete: bool,
    started_at: Option<u64>,
    vacant: bool,
    strays: bool,
}

impl AgentFlows {
    /// The agent's current announcement: its record, load and configuration version.
    pub fn hello(&self, now: Timestamp) -> Hello {
        let load = self.load(now);
        Hello {
            record: AgentRecord {
                id: self.options.own,
                incarnation: self.options.incarnation,
                number: self.number,
                service: self.service,
                domain: self.options.domain,
                state: load.state,
                slots: load.slots,
                complete: self.is_complete(now),
                started_at: self.target_start(),
                vacant: self.is_vacant(),
                strays: self.has_strays(now),
            },
            load,
            version: self.version,
        }
    }

    /// Current load and state of the target.
    pub fn load(&self, now: Timestamp) -> Load {
        Load {
            state: self.state(now),
            slots: self.slots(),
            running: saturate(self.slot_queue.running()),
            waiting: saturate(self.slot_queue.waiting()),
            opening: saturate(self.openings.len() + self.opening_queue.len()),
            flows: self.open_flows,
            failing: self.health.failing(now),
            slow_start: self.target.slow_start(now),
            capacity: self.slot_queue.observer().capacity(now, self.slots()),
        }
    }

    /// State of the target, which accepts no new flows if the process is about to end.
    pub(super) fn state(&self, now: Timestamp) -> TargetState {
        match self.target.state(now) {
            TargetState::Serving if self.leaving => TargetState::Draining,
            state => state,
        }
    }

    /// Number of requests that the target runs at a time, or 1 before its first heartbeat.
    pub(super) fn slots(&self) -> u16 {
        self.target.current().map_or(1, |it| it.slots)
    }

    /// Raises the record's number if the part of the record that depends on the target has
    /// changed.
    pub(super) fn update_number(&mut self, now: Timestamp) {
        let record = self.hello(now).record;
        let published = PublishedState {
            state: record.state,
            slots: record.slots,
            service: record.service,
            complete: record.complete,
            started_at: record.started_at,
            vacant: record.vacant,
            strays: record.strays,
        };
        if self.published == Some(published) {
            return;
        }
        if published.complete {
            // The target doesn't hold the flows that it was only tried for.
            self.flows.retain(|_, flow| flow.phase != Phase::Visiting);
        }
        self.published = Some(published);
        self.number += 1;
        // The list of agents tells which flows other processes look for here.
        if self.agents.record(self.options.own).is_some() {
            let record = self.hello(now).record;
            self.agents.on_record(now, record);
        }
    }

    /// Whether the table contains every flow that the target holds: the process started with the
    /// target, before the agent's first announcement or without a target, or has run for at least
    /// the idle timeout.
    pub(super) fn is_complete(&self, now: Timestamp) -> bool {
        self.same_start
            || self.unannounced
            || self.found_no_target
            || now.since(self.options.started) >= self.options.idle_timeout
    }

    /// Applies the finding that no target was running when this process started: nothing listened
    /// at its address. No flow of earlier processes of this agent lives. Has no effect once a
    /// target has sent a heartbeat.
    pub fn on_no_target(&mut self, now: Timestamp) {
        if self.target.incarnations() == 0 {
            self.found_no_target = true;
            self.stray_until = None;
            self.update_number(now);
        }
    }

    /// Whether there is no target that holds a flow: it has announced its end, or none was running
    /// when this process started, and no other one has started since.
    pub fn is_vacant(&self) -> bool {
        let has_left = self.target.incarnations() > 0;
        self.target.current().is_none() && (has_left || self.found_no_target)
    }

    /// Start time of the target, in Unix milliseconds. Before its first heartbeat, that of the target
    /// that an earlier process of this agent served.
    fn target_start(&self) -> Option<u64> {
        match self.target.current() {
            Some(target) => Some(target.started_at),
            None if self.target.incarnations() == 0 => self.inherited_start,
            None => None,
        }
    }

    /// The other agents that may hold a flow of the service, as far as they are known.
    pub(super) fn other_holders(
        &self,
        now: Timestamp,
        flow: &FlowKey,
        class: WorkClass,
    ) -> Vec<InstanceId> {
        let horizon = self.horizon(now);
        let agents = self
            .agents
            .may_hold(self.service, flow.hash(), class, horizon);
        let others = agents.into_iter().filter(|id| *id != self.options.own);
        others.collect()
    }

    /// Unix milliseconds before which all targets count as equally old.
    fn horizon(&self, now: Timestamp) -> u64 {
        let aged = self.options.idle_timeout * AGED_LIFETIMES;
        let running = now.since(self.options.started);
        let unix_ms = self.options.started_at.saturating_add(millis(running));
        unix_ms.saturating_sub(millis(aged))
    }

    /// Whether the target may hold flows that other processes don't look for here.
    fn has_strays(&self, now: Timestamp) -> bool {
        self.stray_until.is_some_and(|until| now < until)
    }

    /// Announces from now on that the target may hold strays if a flow that an entry has placed
    /// here is one that other processes don't look for here. They aren't told of an agent that
    /// isn't listed.
    pub(super) fn note_stray(
        &mut self,
        now: Timestamp,
        flow: &FlowKey,
        header: &Header,
        actions: &mut Vec<AgentAction>,
    ) {
        if !self.is_stray(now, flow, header.work.class) {
            return;
        }
        if self.awaits_drains && !self.has_strays(now) {
            return self.suspect_stray(now, header.entry, actions);
        }
        self.announce_strays(now);
    }

    /// Checks for strays among all flows of the target, after a change of the known agents and
    /// [`STRAY_GRACE`] after the first suspicion.
    pub(super) fn note_strays(&mut self, now: Timestamp, actions: &mut Vec<AgentAction>) {
        let is_due = self.stray_check.is_some_and(|at| now >= at);
        if !is_due && self.checked_revision == self.agents.revision() {
            return;
        }
        self.checked_revision = self.agents.revision();
        if is_due {
            self.stray_check = None;
        }
        let entry = self.stray_entry(now).filter(|_| !self.has_strays(now));
        let Some(entry) = entry else {
            return;
        };
        if self.awaits_drains && !is_due {
            return self.suspect_stray(now, entry, actions);
        }
        self.announce_strays(now);
    }

    /// The entry of any stray among the flows of the target, or `None` if there is none.
    fn stray_entry(&self, now: Timestamp) -> Option<InstanceId> {
        let is_open = |flow: &LocalFlow| flow.phase != Phase::Visiting && flow.closed.is_none();
        let mut open = self.flows.iter().filter(|(_, flow)| is_open(flow));
        let stray = open.find(|(key, flow)| self.is_stray(now, key, flow.header.work.class));
        stray.map(|(_, flow)| flow.header.entry)
    }

    /// Whether other processes don't look here for a flow that the target holds, by what this one
    /// knows.
    fn is_stray(&self, now: Timestamp, flow: &FlowKey, class: WorkClass) -> bool {
        let own = self.options.own;
        let is_listed = self.agents.record(own).is_some();
        let (hash, horizon) = (flow.hash(), self.horizon(now));
        is_listed && !self.agents.may_be_held_by(own, hash, class, horizon)
    }

    /// Asks an entry for the drained domains before a flow counts as a stray. Entries learn of a
    /// drain sooner than agents. Without this, most agents of a service would announce strays at
    /// each drain, and every search would ask all of them.
    fn suspect_stray(&mut self, now: Timestamp, entry: InstanceId, actions: &mut Vec<AgentAction>) {
        if self.stray_check.is_none() {
            self.stray_check = Some(now + STRAY_GRACE);
            actions.push(AgentAction::AskDrains(entry));
        }
    }

    fn announce_strays(&mut self, now: Timestamp) {
        self.stray_until = Some(now + self.options.idle_timeout);
        self.update_number(now);
    }

    /// Takes over what a record of an earlier process of this agent says of the target.
    fn inherit(&mut self, now: Timestamp, earlier: &AgentRecord) {
        self.inherited_start = self.inherited_start.or(earlier.started_at);
        if earlier.strays && !self.found_no_target {
            self.stray_until = Some(now + self.options.idle_timeout);
        }
    }

    /// Takes over what the store's lists of records and of presence records say of the target, if an
    /// earlier process of this agent left a record.
    pub(super) fn inherit_listed(
        &mut self,
        now: Timestamp,
        records: &[AgentRecord],
        presence: &[AgentRecord],
    ) {
        for earlier in records.iter().chain(presence) {
            if earlier.id == self.options.own {
                self.inherit(now, earlier);
            }
        }
    }
}

fn saturate(count: usize) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}

/// Whole milliseconds of a time span.
fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
