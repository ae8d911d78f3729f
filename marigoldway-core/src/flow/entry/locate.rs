//! Locates the agent whose target holds a flow that this entry doesn't know.
//!
//! The flow may belong to any service that its address had within the lifetime of a flow, since a
//! new configuration leaves open flows where they are. The entry asks a directory agent of each of
//! these services. If none of them knows the flow, it asks them to search it among the agents that
//! may hold it. Once no target of any service holds the flow, it is gone, and its client receives
//! a reset at once instead of waiting for its timeout.

use indexmap::IndexMap;

use crate::flow::entry::EntryAction;
use crate::flow::entry::EntryFlows;
use crate::flow::entry::FlowState;
use crate::flow::entry::actions::DropReason;
use crate::flow::entry::actions::Forwarding;
use crate::flow::entry::actions::ResetReason;
use crate::flow::key::FlowKey;
use crate::flow::key::NameKey;
use crate::flow::message::Intent;
use crate::flow::routes::Route;
use crate::flow::segment::Reset;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Maximum number of flows that are reset as soon as the routes are confirmed. Others are reset at
/// the client's next packet.
const MAX_UNCONFIRMED: usize = 4_096;

/// `Locating` is what an entry knows about an open flow that no agent is known to hold.
#[derive(Clone, Debug)]
pub(super) struct Locating {
    /// Arrival of the first packet that was forwarded to a directory agent. The flow was open then.
    since: Timestamp,
    /// Number of packets that were forwarded to directory agents.
    queries: u32,
    /// Acknowledgement number of the client's latest packet.
    acked: u32,
    /// Directory agents that don't know the flow, by their service.
    unknown: IndexMap<NameKey, InstanceId>,
    /// Services that the flow doesn't belong to: none of their targets holds it.
    not_held: Vec<NameKey>,
}

impl Locating {
    fn new(since: Timestamp) -> Locating {
        Locating {
            since,
            queries: 0,
            acked: 0,
            unknown: IndexMap::new(),
            not_held: Vec::new(),
        }
    }
}

impl EntryFlows {
    /// Forwards a packet, which arrived at `arrived`, to a directory agent of each service that may
    /// hold the flow. If the flow is already known to be gone, resets it.
    pub(super) fn locate(
        &mut self,
        now: Timestamp,
        arrived: Timestamp,
        flow: FlowKey,
        route: &Route,
        acked: u32,
    ) -> EntryAction {
        let mut state = match self.flows.touch(now, &flow) {
            Some(FlowState::Locating(state)) => state.clone(),
            Some(FlowState::Unrouted(since)) => Locating::new(*since),
            Some(FlowState::Located { .. } | FlowState::Opening { .. }) | None => {
                Locating::new(arrived)
            }
        };
        let (since, queries) = (state.since, state.queries);
        state.queries += 1;
        state.acked = acked;
        let services = self.services(now, &flow, route);
        let asked: Vec<NameKey> = services
            .iter()
            .filter(|it| !state.not_held.contains(it))
            .copied()
            .collect();
        self.flows.insert(now, flow, FlowState::Locating(state));
        if let Some(reset) = self.conclude(now, &flow) {
            return EntryAction::Reset(reset, ResetReason::NotHeld);
        }
        // The directory agents of the right service know the flow as a rule. A search in the
        // other services would be in vain, so the entry first waits for their reports.
        let search = services.len() == 1 || queries > 0;
        let mut forwardings = Vec::new();
        for service in asked {
            let Some(agent) = self.directory_agent(now, service, &flow, queries) else {
                continue;
            };
            self.views.expect_answer(now, agent);
            let mut header = self.header(Intent::Locate, service, route, None);
            header.search = search;
            forwardings.push(Forwarding { agent, header });
        }
        if forwardings.is_empty() {
            return EntryAction::Drop(DropReason::Unserved);
        }
        if queries == 0 {
            self.demands.on_unknown(since, flow);
        }
        EntryAction::Forward(forwardings)
    }

    /// Processes a directory agent's report that it doesn't know the flow. Returns the request for a
    /// search if no directory agent of any service knows it.
    pub(super) fn on_unknown(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        flow: &FlowKey,
    ) -> Option<EntryAction> {
        let service = self.agents.record(from)?.service;
        let routes = self.routes.clone()?;
        let route = routes.by_addr.get(&flow.server)?;
        let class = route.work.class;
        let services = self.services(now, flow, route);
        let FlowState::Locating(state) = self.flows.touch(now, flow)? else {
            return None;
        };
        state.unknown.insert(service, from);
        let remaining = services.iter().filter(|it| !state.not_held.contains(it));
        let agents: Option<Vec<InstanceId>> =
            remaining.map(|it| state.unknown.get(it).copied()).collect();
        let agents = agents?;
        state.unknown.clear();
        Some(EntryAction::Search(agents, class, *flow))
    }

    /// Processes an agent's report that no target of its service holds the flow. Returns the reset
    /// to send if the flow is gone.
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
        let reset = self.conclude(now, flow)?;
        Some(EntryAction::Reset(reset, ResetReason::NotHeld))
    }

    /// Removes a flow that no target holds, and returns the reset for its client. Returns `None` if
    /// a target may hold it: a service hasn't been searched, or this entry may not know all
    /// services of the address. A newer configuration may have assigned the address to another
    /// service, at which the flow was opened, so the routes must be confirmed for a time at which
    /// the flow was open.
    pub(super) fn conclude(&mut self, now: Timestamp, flow: &FlowKey) -> Option<Reset> {
        if !self.agents.is_loaded() {
            return None;
        }
        let routes = self.routes.clone()?;
        let route = routes.by_addr.get(&flow.server)?;
        let FlowState::Locating(state) = self.flows.peek(flow)? else {
            return None;
        };
        let services = self.services(now, flow, route);
        if !services.iter().all(|it| state.not_held.contains(it)) {
            return None;
        }
        if !self.is_confirmed_since(state.since) {
            self.demands.on_unconfirmed(state.since);
            if self.unconfirmed.len() < MAX_UNCONFIRMED {
                self.unconfirmed.insert(*flow);
            }
            return None;
        }
        let seq = state.acked;
        self.reset_times.push(now.since(state.since));
        self.flows.remove(flow);
        Some(Reset { flow: *flow, seq })
    }

    /// The services that may hold a flow, with the one that a new flow would go to first. Beside
    /// the services of the route, those without a known agent are left out: their targets are gone.
    fn services(&self, now: Timestamp, flow: &FlowKey, route: &Route) -> Vec<NameKey> {
        let first = route.service(flow);
        let routed = route.shares.iter().map(|it| it.service);
        let routed = std::iter::once(first).chain(routed);
        let services = self.addr_services.services(now, &flow.server, routed);
        let is_routed = |it: &NameKey| route.shares.iter().any(|share| share.service == *it);
        services
            .into_iter()
            .filter(|it| is_routed(it) || !self.agents.of_service(*it).is_empty())
            .collect()
    }

    /// The directory agent to which the next packet goes after `queries` earlier
    /// ones, or `None` if the service has no known agent. The two directory agents
    /// take turns, but one whose answer is overdue is skipped unless the other's
    /// answer is overdue too.
    fn directory_agent(
        &self,
        now: Timestamp,
        service: NameKey,
        flow: &FlowKey,
        queries: u32,
    ) -> Option<InstanceId> {
        let agents = self.agents.directory_agents(service, flow)?;
        let second = agents.second.unwrap_or(agents.first);
        let (next, other) = if queries.is_multiple_of(2) {
            (agents.first, second)
        } else {
            (second, agents.first)
        };
        if self.views.is_overdue(now, next) && !self.views.is_overdue(now, other) {
            return Some(other);
        }
        Some(next)
    }
}
