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
    /// When services were last asked that the address isn't known to have had.
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
            asked: None,
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
        let missing = self.missing(now, &flow, route, &state);
        self.flows.insert(now, flow, FlowState::Locating(state));
        let forwardings = match missing {
            None => return self.reset_lost(now, &flow),
            Some(Missing::Services(mut services)) => {
                // No target of another service receives a packet of the flow.
                let known = self.services(now, &flow, route);
                services.retain(|it| known.contains(it));
                if services.is_empty()
                    && let Some(search) = self.conclude(now, &flow)
                {
                    return search;
                }
                self.forward_to_directory(now, &flow, route, &services, queries)
            }
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
    fn forward_to_directory(
        &mut self,
        now: Timestamp,
        flow: &FlowKey,
        route: &Route,
        services: &[NameKey],
        queries: u32,
    ) -> Vec<Forwarding> {
        // The directory agents of the right service know the flow as a rule. A search in the
        // other services would be in vain, so the entry first waits for their reports.
        let is_only = self.services(now, flow, route).len() == 1;
        let search = queries > 0 || is_only;
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
        let known = self.services(now, flow, route);
        let mut suspects = self.suspects(now, flow, route, state);
        suspects.retain(|it| known.contains(it));
        let FlowState::Locating(state) = self.flows.touch(now, flow)? else {
            return None;
        };
        state.unknown.insert(service, from);
        let agents = suspects.iter().map(|it| state.unknown.get(it).copied());
        let agents: Vec<InstanceId> = agents.collect::<Option<_>>()?;
        state.unknown.clear();
        (!agents.is_empty()).then_some(EntryAction::Search(agents, class, *flow))
    }

    /// The services that may hold a flow, with the one that a new flow would go to first. Beside
    /// the services of the route, those without a known agent are left out: their targets are gone.
    pub(super) fn services(&self, now: Timestamp, flow: &FlowKey, route: &Route) -> Vec<NameKey> {
        let first = route.service(flow);
        let routed = route.shares.iter().map(|it| it.service);
        let mut services: Vec<NameKey> = std::iter::once(first).collect();
        services.extend(routed.filter(|it| *it != first));
        let mut former = self.former_services(now, flow, route);
        former.retain(|it| self.has_agents(*it));
        services.extend(former);
        services
    }

    /// Whether agents of a service may hold flows. One that isn't registered and doesn't answer isn't
    /// known any more, but has its presence record.
    pub(super) fn has_agents(&self, service: NameKey) -> bool {
        let is_known = !self.agents.of_service(service).is_empty();
        is_known || self.present.values().any(|it| *it == service)
    }

    /// The services that may hold a flow beside those of its route.
    pub(super) fn former_services(
        &self,
        now: Timestamp,
        flow: &FlowKey,
        route: &Route,
    ) -> Vec<NameKey> {
        let routed = route.shares.iter().map(|it| it.service);
        let mut services = self.addr_services.services(now, &flow.server, routed);
        services.retain(|it| !route.has_service(*it));
        services
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
