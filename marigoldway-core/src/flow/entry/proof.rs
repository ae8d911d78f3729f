//! Decides whether it is proved that no target holds an open flow.
//!
//! The proof is a chain, and a flow is reset only if each link has evidence as of a time at which the
//! flow was open:
//!
//! 1. the services at which the flow may be: confirmed routes, and a complete record of moved routes;
//!    without one, all services;
//! 2. the agents of each service whose target may hold it: the confirmed list of the directory agent
//!    that searches;
//! 3. the replies of these agents to the directory agent.
//!
//! While evidence is missing, the client gets no reset.

use std::time::Duration;

use crate::flow::entry::EntryAction;
use crate::flow::entry::EntryFlows;
use crate::flow::entry::FlowState;
use crate::flow::entry::ResetReason;
use crate::flow::entry::locate::Locating;
use crate::flow::key::FlowKey;
use crate::flow::key::NameKey;
use crate::flow::routes::Route;
use crate::flow::segment::Reset;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Time after which services that the address isn't known to have had are asked again.
const ASK_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of flows that are reset as soon as the routes are confirmed. Others are reset at
/// the client's next packet.
const MAX_UNCONFIRMED: usize = 4_096;

/// `Missing` is what the proof lacks that no target holds a flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Missing {
    /// These services haven't reported that they don't hold the flow.
    Services(Vec<NameKey>),
    /// The routes or the agents may not be the newest ones as of a time at which the flow was open.
    Confirmation,
}

impl EntryFlows {
    /// Processes a directory agent's report that no target of its service holds the flow. Returns an
    /// action if the flow is gone, or if other services have to be asked.
    pub(super) fn on_not_held(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        flow: &FlowKey,
    ) -> Option<EntryAction> {
        let service = self.agents.record(from)?.service;
        let FlowState::Locating(state) = self.flows.touch(now, flow)? else {
            return None;
        };
        if !state.not_held.contains(&service) {
            state.not_held.push(service);
        }
        self.conclude(now, flow)
    }

    /// Removes a flow that no target holds, and returns the reset for its client. If other services
    /// have to be asked before, returns the request. Returns `None` if the flow has to wait.
    pub(super) fn conclude(&mut self, now: Timestamp, flow: &FlowKey) -> Option<EntryAction> {
        let routes = self.routes.clone()?;
        let route = routes.by_addr.get(&flow.server)?;
        let FlowState::Locating(state) = self.flows.peek(flow)? else {
            return None;
        };
        let since = state.since;
        match self.missing(now, flow, route, state) {
            None => Some(self.reset_lost(now, flow)),
            Some(Missing::Services(services)) => {
                // Services of the address are searched as their directory agents reply. Others are only
                // asked by messages, which agents answer by their tables.
                let known = self.services(now, flow, route);
                if services.iter().any(|it| known.contains(it)) {
                    return None;
                }
                let agents = services.into_iter();
                let agents = agents.filter_map(|it| self.directory_agent(now, it, flow, 0));
                let agents: Vec<InstanceId> = agents.collect();
                let may_ask = !agents.is_empty() && self.may_ask(now, flow);
                may_ask.then_some(EntryAction::Search(agents, route.work.class, *flow))
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

    /// What the proof lacks that no target holds the flow, or `None` if it is complete.
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
        let is_confirmed = self.agents.is_loaded()
            && self.is_confirmed_since(state.since)
            && (self.knows_services(now, flow, route) || self.are_agents_confirmed(state.since));
        (!is_confirmed).then_some(Missing::Confirmation)
    }

    /// The services that may hold the flow and haven't reported that they don't: those that the
    /// address is known to have had, and every other one if the entry may not know of each move of the
    /// address.
    pub(super) fn suspects(
        &self,
        now: Timestamp,
        flow: &FlowKey,
        route: &Route,
        state: &Locating,
    ) -> Vec<NameKey> {
        let mut services = self.services(now, flow, route);
        if !self.knows_moves() {
            let others = self.agents.service_keys();
            let others: Vec<NameKey> = others.filter(|it| !services.contains(it)).collect();
            services.extend(others);
        }
        services.retain(|it| !state.not_held.contains(it));
        services
    }

    /// Whether the services that may hold the flow are known without the list of agents, which leaves
    /// out those that have none.
    fn knows_services(&self, now: Timestamp, flow: &FlowKey, route: &Route) -> bool {
        let has_agents = |it: &NameKey| self.has_agents(*it);
        let former = self.former_services(now, flow, route);
        self.knows_moves() && former.iter().all(has_agents)
    }

    /// Whether every move of an address is known up to the routes in use.
    pub(super) fn knows_moves(&self) -> bool {
        self.addr_services.is_complete(self.version())
    }

    /// Whether services may be asked that the address isn't known to have had, since none was within
    /// [`ASK_INTERVAL`]. If so, notes that they are asked now.
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
