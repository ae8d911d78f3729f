//! Raises the reach in the agent's own record, so that searches ask the agent for every flow that its
//! target holds.
//!
//! A search computes who may hold a flow from the store's list of agents. A flow outside the windows
//! of this agent is accepted only once the store has the record with the reach that the flow needs:
//! a search after the loss of all processes knows nothing else of it.

use std::time::Duration;

use crate::flow::agent::AgentFlows;
use crate::flow::agent::local::LocalFlow;
use crate::flow::agent::local::Phase;
use crate::flow::key::FlowKey;
use crate::flow::message::AgentRecord;
use crate::flow::message::Header;
use crate::flow::message::Reach;
use crate::flow::routes::WorkClass;
use crate::time::Timestamp;

/// Time beyond a flow's lifetime for which a raised reach lasts. The table has dropped the flows that
/// needed it by then.
const REACH_SLACK: Duration = Duration::from_secs(1);

/// `OwnReach` is the reach that the own record states, and whether the store has that record.
#[derive(Debug, Default)]
pub(super) struct OwnReach {
    /// Until when the reach is at least [`Reach::Wide`].
    wide_until: Option<Timestamp>,
    /// Until when the reach is [`Reach::Any`].
    any_until: Option<Timestamp>,
    /// Number of the own record that first stated the present reach.
    raised: u64,
    /// Highest number of the own record that the store is known to have had.
    stored: u64,
}

impl OwnReach {
    /// The reach at a time.
    pub(super) fn at(&self, now: Timestamp) -> Reach {
        let holds = |until: Option<Timestamp>| until.is_some_and(|it| now < it);
        if holds(self.any_until) {
            Reach::Any
        } else if holds(self.wide_until) {
            Reach::Wide
        } else {
            Reach::Window
        }
    }

    /// Extends a reach to `until`.
    fn extend(&mut self, reach: Reach, until: Timestamp) {
        match reach {
            Reach::Window => {}
            Reach::Wide => self.wide_until = self.wide_until.max(Some(until)),
            Reach::Any => self.any_until = self.any_until.max(Some(until)),
        }
    }

    /// Ends every higher reach than [`Reach::Window`].
    pub(super) fn clear(&mut self) {
        self.wide_until = None;
        self.any_until = None;
    }

    /// Notes that the record of this number is the first one that states a higher reach than before.
    pub(super) fn on_raised(&mut self, number: u64) {
        self.raised = number;
    }

    /// Whether the store has a record that states the present reach.
    pub(super) fn is_stored(&self) -> bool {
        self.stored >= self.raised
    }
}

impl AgentFlows {
    /// Notes that the store has a record of this process, with this number.
    pub fn on_record_stored(&mut self, number: u64) {
        self.reach.stored = self.reach.stored.max(number);
    }

    /// Takes over what a record of an earlier process of this agent says of the target.
    pub fn inherit(&mut self, now: Timestamp, earlier: &AgentRecord) {
        if earlier.id != self.options.own || earlier.incarnation == self.options.incarnation {
            return;
        }
        self.inherited_start = self.inherited_start.or(earlier.started_at);
        if let Some(started_at) = earlier.started_at.filter(|_| !earlier.vacant) {
            self.target.expect(started_at);
        }
        self.inherit_record(earlier);
        if !self.found_no_target {
            self.raise_reach(now, earlier.reach);
        }
    }

    /// Whether a new flow has to wait until the store has a record with the reach that the flow
    /// needs. Raises the reach of the record if so.
    pub(super) fn awaits_reach(&mut self, now: Timestamp, flow: &FlowKey, header: &Header) -> bool {
        let needed = self.reach_for(now, flow, header.work.class);
        if needed == Reach::Window || self.flows.peek(flow).is_some() {
            return false;
        }
        self.raise_reach(now, needed);
        !self.reach.is_stored()
    }

    /// Raises the reach after a change of the known agents, if a flow of the target needs it.
    pub(super) fn review_reach(&mut self, now: Timestamp) {
        if self.checked_revision == self.agents.revision() {
            return;
        }
        self.checked_revision = self.agents.revision();
        let is_open = |flow: &LocalFlow| flow.phase != Phase::Visiting && flow.closed.is_none();
        let open = self.flows.iter().filter(|(_, flow)| is_open(flow));
        let needed = open.map(|(key, flow)| self.reach_for(now, key, flow.header.work.class));
        let needed = needed.max().unwrap_or_default();
        if needed > self.reach.at(now) {
            self.raise_reach(now, needed);
        }
    }

    /// The reach that this agent needs for searches to ask it for a flow that is open now, by the
    /// agents known here. Other processes aren't told of an agent that isn't listed.
    fn reach_for(&self, now: Timestamp, flow: &FlowKey, class: WorkClass) -> Reach {
        let Some(own) = self.agents.record(self.options.own) else {
            return Reach::Window;
        };
        // Searches for the flow end by their horizon after the flow's lifetime.
        let horizon = self.unix_ms_before(now, self.options.idle_timeout);
        self.agents.needed_reach(own, flow.hash(), class, horizon)
    }

    /// States a reach in the own record for as long as a flow lives that is open now.
    fn raise_reach(&mut self, now: Timestamp, reach: Reach) {
        let span = self.options.idle_timeout + REACH_SLACK;
        self.reach.extend(reach, now + span);
        self.update_number(now);
    }
}
