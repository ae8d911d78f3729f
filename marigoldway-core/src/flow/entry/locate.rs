//! Locates the agent whose target holds a flow that this entry doesn't know.
//!
//! The flow may belong to any service that its address had within the lifetime of a flow, since a
//! new configuration leaves open flows where they are. The entry asks a directory agent of each of
//! these services. If none of them knows the flow, it asks them to search it among the agents that
//! may hold it. Once no target of any service holds the flow, it is gone, and its client receives
//! a reset at once instead of waiting for its timeout.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::flow::entry::EntryAction;
use crate::flow::entry::EntryFlows;
use crate::flow::entry::FlowState;
use crate::flow::entry::actions::DropReason;
use crate::flow::entry::actions::Forwarding;
use crate::flow::entry::proof::Missing;
use crate::flow::key::FlowKey;
use crate::flow::key::NameKey;
use crate::flow::message::Intent;
use crate::flow::routes::Route;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// `Locating` is what an entry knows about an open flow that no agent is known to hold.
#[derive(Clone, Debug)]
pub(super) struct Locating {
    /// Arrival of the first packet that was forwarded to a directory agent. The flow was open then.
    pub(super) since: Timestamp,
    /// Number of packets that were forwarded to directory agents.
    queries: u32,
    /// Acknowledgement number of the client's latest packet.
    pub(super) acked: u32,
    /// Directory agents that don't know the flow, by their service.
    unknown: IndexMap<NameKey, InstanceId>,
    /// Services that the flow doesn't belong to: none of their targets holds it.
    pub(super) not_held: Vec<NameKey>,
    /// Agents that have replied that their target doesn't hold the flow.
    pub(super) replied: IndexSet<InstanceId>,
    /// When services or agents were last asked that searches had left out.
    pub(super) asked: Option<Timestamp>,
}

impl Locating {
    fn new(since: Timestamp) -> Locating {
        Locating {
            since,
            queries: 0,
            acked: 0,
            unknown: IndexMap::new(),
            not_held: Vec::new(),
            replied: IndexSet::new(),
            asked: None,
        }
    }

    /// Notes that a directory agent has searched its service in vain, and who has replied to it.
    pub(super) fn on_denial(
        &mut self,
        service: NameKey,
        from: InstanceId,
        searched: &[InstanceId],
    ) {
        if !self.not_held.contains(&service) {
            self.not_held.push(service);
        }
        self.replied.insert(from);
        self.replied.extend(searched);
    }

    /// Notes that an agent has replied that its target doesn't hold the flow.
    pub(super) fn on_reply(&mut self, from: InstanceId) {
        self.replied.insert(from);
    }
}

impl EntryFlows {
    /// Forwards a packet, which arrived at `arrived`, to those that may know the flow: a directory
    /// agent of each service, or the agents that a search has left out. If the flow is already known
    /// to be gone, resets it.
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
        let missing = self.missing(now, &flow, route, &state);
        self.flows.insert(now, flow, FlowState::Locating(state));
        let forwardings = match missing {
            None => return self.reset_lost(now, &flow),
            Some(Missing::Services(services)) => {
                self.to_directory_agents(now, &flow, route, &services, queries)
            }
            Some(Missing::Agents(agents)) => self.to_holders(route, agents),
            Some(Missing::Confirmation) => {
                self.conclude(now, &flow);
                Vec::new()
            }
        };
        if forwardings.is_empty() {
            return EntryAction::Drop(DropReason::Unserved);
        }
        if queries == 0 {
            self.demands.on_unknown(since, flow);
        }
        EntryAction::Forward(forwardings)
    }

    /// Copies of a packet for a directory agent of each service, after `queries` earlier ones.
    fn to_directory_agents(
        &mut self,
        now: Timestamp,
        flow: &FlowKey,
        route: &Route,
        services: &[NameKey],
        queries: u32,
    ) -> Vec<Forwarding> {
        // The directory agents of the right service know the flow as a rule. A search in the
        // other services would be in vain, so the entry first waits for their reports.
        let search = queries > 0 || self.services(now, flow, route).len() == 1;
        let mut forwardings = Vec::new();
        for service in services {
            let Some(agent) = self.directory_agent(now, *service, flow, queries) else {
                continue;
            };
            self.views.expect_answer(now, agent);
            let mut header = self.header(Intent::Locate, *service, route, None);
            header.search = search;
            forwardings.push(Forwarding { agent, header });
        }
        forwardings
    }

    /// Copies of a packet for agents that may hold the flow and that no search has asked. They reply
    /// to this entry.
    fn to_holders(&self, route: &Route, agents: Vec<InstanceId>) -> Vec<Forwarding> {
        let records = agents.into_iter().filter_map(|id| self.agents.record(id));
        let copies = records.map(|record| Forwarding {
            agent: record.id,
            header: self.header(
                Intent::Search,
                record.service,
                route,
                Some(self.options.own),
            ),
        });
        copies.collect()
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
        let FlowState::Locating(state) = self.flows.peek(flow)? else {
            return None;
        };
        let suspects = self.suspects(now, flow, route, state);
        let FlowState::Locating(state) = self.flows.touch(now, flow)? else {
            return None;
        };
        state.unknown.insert(service, from);
        let agents = suspects.iter().map(|it| state.unknown.get(it).copied());
        let agents: Vec<InstanceId> = agents.collect::<Option<_>>()?;
        state.unknown.clear();
        (!agents.is_empty()).then(|| EntryAction::Search(agents, class, *flow))
    }

    /// The services that may hold a flow, with the one that a new flow would go to first. Beside
    /// the services of the route, those without a known agent are left out: their targets are gone.
    pub(super) fn services(&self, now: Timestamp, flow: &FlowKey, route: &Route) -> Vec<NameKey> {
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
    pub(super) fn directory_agent(
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
