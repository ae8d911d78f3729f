//! Decides what the agent's own record says, and which agents may hold a flow.

use std::time::Duration;

use crate::flow::agent::AgentFlows;
use crate::flow::agent::local::Phase;
use crate::flow::key::FlowKey;
use crate::flow::key::NameKey;
use crate::flow::message::AgentRecord;
use crate::flow::message::Hello;
use crate::flow::message::Load;
use crate::flow::message::Reach;
use crate::flow::message::TargetState;
use crate::flow::routes::WorkClass;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Number of flow lifetimes after the start of a target from which on its exact age no longer
/// matters for which agents may hold a flow. More than one, since clocks differ.
const AGED_LIFETIMES: u32 = 2;

/// `PublishedState` is the part of an agent's record that depends on its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PublishedState {
    state: TargetState,
    slots: u16,
    service: NameKey,
    complete: bool,
    started_at: Option<u64>,
    listed_at: Option<u64>,
    held_at: Option<u64>,
    vacant: bool,
    reach: Reach,
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
                listed_at: self.listed_at,
                held_at: self.held_at,
                vacant: self.is_vacant(),
                reach: self.reach.at(now),
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
            listed_at: record.listed_at,
            held_at: record.held_at,
            vacant: record.vacant,
            reach: record.reach,
        };
        if self.published == Some(published) {
            return;
        }
        if published.complete {
            // The target doesn't hold the flows that it was only tried for.
            self.flows.retain(|_, flow| flow.phase != Phase::Visiting);
        }
        let previous = self.published.replace(published);
        self.number += 1;
        if previous.is_none_or(|it| it.reach < published.reach) {
            self.reach.on_raised(self.number);
        }
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
            self.reach.clear();
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
        self.unix_ms_before(now, self.options.idle_timeout * AGED_LIFETIMES)
    }

    /// The time `span` before now, in Unix milliseconds.
    pub(super) fn unix_ms_before(&self, now: Timestamp, span: Duration) -> u64 {
        let running = now.since(self.options.started);
        let unix_ms = self.options.started_at.saturating_add(millis(running));
        unix_ms.saturating_sub(millis(span))
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
            self.inherit(now, earlier);
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
