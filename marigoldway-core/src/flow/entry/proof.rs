//! Decides whether it is proved that no target holds an open flow.
//!
//! The proof is a chain, and a flow is reset only if each link has evidence as of a time at which the
//! flow was open:
//!
//! 1. the services at which the flow may be: the route, and its former services;
//! 2. the agents of each service whose target may hold it: the entry's own list of agents;
//! 3. the reply of each of these agents, directly or through a directory agent.
//!
//! Directory agents search on behalf of the entry, but their lists of agents may be old. An agent
//! that a search has left out is asked by the entry itself. While evidence is missing, the client
//! gets no reset.

use std::time::Duration;

use crate::flow::entry::EntryAction;
use crate::flow::entry::EntryFlows;
use crate::flow::entry::FlowState;
use crate::flow::entry::ResetReason;
use crate::flow::entry::locate::Locating;
use crate::flow::key::FlowKey;
use crate::flow::key::NameKey;
use crate::flow::message::Denial;
use crate::flow::routes::Route;
use crate::flow::segment::Reset;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Number of flow lifetimes after the start of a target from which on its exact age no longer
/// matters for which agents may hold a flow. The same as at agents.
const AGED_LIFETIMES: u32 = 2;

/// Time after which missing services or agents are asked again.
const ASK_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of flows that are reset as soon as the routes and the agents are confirmed. Others
/// are reset at the client's next packet.
const MAX_UNCONFIRMED: usize = 4_096;

/// `Missing` is what the proof lacks that no target holds a flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Missing {
    /// None of these services has reported that it doesn't hold the flow.
    Services(Vec<NameKey>),
    /// These agents may hold the flow and haven't replied.
    Agents(Vec<InstanceId>),
    /// The routes or the agents may not be the newest ones as of a time at which the flow was open.
    Confirmation,
}

impl EntryFlows {
    /// Processes a directory agent's report that no target of its service holds the flow. Returns an
    /// action if the flow is gone, or if others have to be asked.
    pub fn on_denial(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        denial: &Denial,
    ) -> Option<EntryAction> {
        let report = &denial.report;
        self.agents.on_message(now, from);
        self.update_load(now, from, report.load);
        let service = self.agents.record(from)?.service;
        let FlowState::Locating(state) = self.flows.touch(now, &report.flow)? else {
            return None;
        };
        state.on_denial(service, from, &denial.searched);
        self.conclude(now, &report.flow)
    }

    /// Processes an agent's reply to this entry that its target doesn't hold these flows.
    pub fn on_not_held(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        flows: &[FlowKey],
    ) -> Vec<EntryAction> {
        self.agents.on_message(now, from);
        let mut actions = Vec::new();
        for flow in flows {
            if let Some(FlowState::Locating(state)) = self.flows.touch(now, flow) {
                state.on_reply(from);
                actions.extend(self.conclude(now, flow));
            }
        }
        actions
    }

    /// Removes a flow that no target holds, and returns the reset for its client. If a service or an
    /// agent has to be asked before, returns the request. Returns `None` if the flow has to wait.
    pub(super) fn conclude(&mut self, now: Timestamp, flow: &FlowKey) -> Option<EntryAction> {
        let routes = self.routes.clone()?;
        let route = routes.by_addr.get(&flow.server)?;
        let FlowState::Locating(state) = self.flows.peek(flow)? else {
            return None;
        };
        let since = state.since;
        match self.missing(now, flow, route, state) {
            None => Some(self.reset_lost(now, flow)),
            // The services are searched as their directory agents reply.
            Some(Missing::Services(_)) => None,
            Some(Missing::Agents(agents)) => {
                let may_ask = self.may_ask(now, flow);
                may_ask.then(|| EntryAction::Query(agents, *flow))
            }
            Some(Missing::Confirmation) => {
                self.demands.on_unconfirmed(since);
                if self.unconfirmed.len() < MAX_UNCONFIRMED {
                    self.unconfirmed.insert(*flow);
                }
                None
            }
        }
    }

    /// What the proof lacks that no target holds the flow, or `None` if it is complete. Agents are
    /// named before the confirmation: both are awaited at the same time.
    pub(super) fn missing(
        &self,
        now: Timestamp,
        flow: &FlowKey,
        route: &Route,
        state: &Locating,
    ) -> Option<Missing> {
        let services = self.suspects(now, flow, route, state);
        if !services.is_empty() {
            return Some(Missing::Services(services));
        }
        let agents = self.unasked(now, flow, route, state);
        if !agents.is_empty() {
            return Some(Missing::Agents(agents));
        }
        let is_loaded = self.agents.is_loaded();
        let is_confirmed = is_loaded && self.is_confirmed_since(state.since);
        (!is_confirmed).then_some(Missing::Confirmation)
    }

    /// The services that may hold the flow and haven't reported that they don't: those that the
    /// address is known to have had.
    pub(super) fn suspects(
        &self,
        now: Timestamp,
        flow: &FlowKey,
        route: &Route,
        state: &Locating,
    ) -> Vec<NameKey> {
        let is_suspect = |it: &NameKey| !state.not_held.contains(it);
        let mut services = self.services(now, flow, route);
        services.retain(is_suspect);
        services
    }

    /// The agents of the services that have been searched which may hold the flow, by this entry's
    /// list, and haven't replied.
    fn unasked(
        &self,
        now: Timestamp,
        flow: &FlowKey,
        route: &Route,
        state: &Locating,
    ) -> Vec<InstanceId> {
        let horizon = self.horizon(now);
        let class = route.work.class;
        let holders =
            |service: &NameKey| self.agents.may_hold(*service, flow.hash(), class, horizon);
        let holders = state.not_held.iter().flat_map(holders);
        holders.filter(|id| !state.replied.contains(id)).collect()
    }

    /// Unix milliseconds before which all targets count as equally old.
    fn horizon(&self, now: Timestamp) -> u64 {
        let aged = self.options.idle_timeout * AGED_LIFETIMES;
        let running = now.since(self.options.started);
        let unix_ms = self.options.started_at.saturating_add(millis(running));
        unix_ms.saturating_sub(millis(aged))
    }

    /// Whether others may be asked for the flow, since nobody was asked within [`ASK_INTERVAL`]. If
    /// so, notes that they are asked now.
    fn may_ask(&mut self, now: Timestamp, flow: &FlowKey) -> bool {
        let Some(FlowState::Locating(state)) = self.flows.touch(now, flow) else {
            return false;
        };
        let may_ask = state.asked.is_none_or(|at| now.since(at) >= ASK_INTERVAL);
        if may_ask {
            state.asked = Some(now);
        }
        may_ask
    }

    /// Removes a flow that no target holds, and returns the reset for its client.
    pub(super) fn reset_lost(&mut self, now: Timestamp, flow: &FlowKey) -> EntryAction {
        let mut seq = 0;
        if let Some(FlowState::Locating(state)) = self.flows.remove(flow) {
            self.reset_times.push(now.since(state.since));
            seq = state.acked;
        }
        EntryAction::Reset(Reset { flow: *flow, seq }, ResetReason::NotHeld)
    }
}

/// Whole milliseconds of a time span.
fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
