//! Places new flows: forwards opening packets to one of the flow's candidates.

use crate::flow::entry::EntryAction;
use crate::flow::entry::EntryFlows;
use crate::flow::entry::FlowState;
use crate::flow::entry::actions::DropReason;
use crate::flow::entry::actions::Forwarding;
use crate::flow::key::FlowKey;
use crate::flow::key::NameKey;
use crate::flow::message::Intent;
use crate::flow::routes::Route;
use crate::flow::routes::Work;
use crate::flow::selection;
use crate::flow::selection::Candidate;
use crate::flow::selection::Selection;
use crate::ids::InstanceId;
use crate::time::Timestamp;

impl EntryFlows {
    /// Forwards an opening packet: to the agent that is known to hold the flow, or to
    /// a newly selected agent that wasn't tried yet if possible.
    pub(super) fn open(&mut self, now: Timestamp, flow: FlowKey, route: &Route) -> EntryAction {
        let tried = match self.flows.touch(now, &flow) {
            // The agent answers each copy of the opening packet, or has queued the
            // first copy.
            Some(FlowState::Located { agent, service }) => {
                let (agent, service) = (*agent, *service);
                // The present route applies to each copy of the opening packet.
                if route.has_service(service) && self.is_of_service(agent, service) {
                    self.views.expect_answer(now, agent);
                    let header = self.header(Intent::Open, service, route, None);
                    return EntryAction::Forward(vec![Forwarding { agent, header }]);
                }
                vec![agent]
            }
            Some(FlowState::Opening { tried }) => tried.clone(),
            Some(FlowState::Locating(_) | FlowState::Unrouted(_)) | None => Vec::new(),
        };
        let service = route.service(&flow);
        let all = self.known_candidates(now, service, &flow, route.work);
        let Some(selected) = self.select(&all, route.work, &tried) else {
            return EntryAction::Drop(DropReason::Unserved);
        };
        let overflow = self.overflow(now, &flow, route, &all, &tried);
        let agent = overflow.map_or(selected.agent, |it| it.0);
        self.views.expect_answer(now, agent);
        self.views.on_open(agent);
        let mut tried = tried;
        tried.push(agent);
        self.flows.insert(now, flow, FlowState::Opening { tried });
        let mut header = self.header(Intent::Open, service, route, selected.alternate);
        header.placement_hint.threshold = selection::threshold(&all, route.work.class);
        if let Some((_, other_service)) = overflow {
            header.service = other_service;
            header.other = Some(selected.agent);
            header.placement_hint.home = Some(service);
        }
        EntryAction::Forward(vec![Forwarding { agent, header }])
    }

    /// What the entry knows about the candidates of a new flow in a service.
    fn known_candidates(
        &self,
        now: Timestamp,
        service: NameKey,
        flow: &FlowKey,
        work: Work,
    ) -> Vec<Candidate> {
        let domain = self.options.domain;
        let ids = self
            .agents
            .candidates(service, flow.hash(), work.class, domain);
        self.views.candidates(now, &self.agents, &ids, domain)
    }

    /// Selects one of the candidates of a new flow. Agents in `tried` are considered only if there
    /// are no other ones. Returns `None` if the service has no known agent.
    fn select(&mut self, all: &[Candidate], work: Work, tried: &[InstanceId]) -> Option<Selection> {
        let untried: Vec<Candidate> = all
            .iter()
            .filter(|it| !tried.contains(&it.id))
            .copied()
            .collect();
        let candidates = if untried.is_empty() { all } else { &untried };
        selection::choose(candidates, work.class, &mut self.rng)
    }

    /// Selects an agent with room, and its service, for a flow whose own service is saturated:
    /// `own` are the candidates there. Considers the other services of the route that have a
    /// weight. Returns `None` if the flow stays in its service. Uploads and downloads stay, since
    /// the amount of data binds them rather than the slots.
    fn overflow(
        &mut self,
        now: Timestamp,
        flow: &FlowKey,
        route: &Route,
        own: &[Candidate],
        tried: &[InstanceId],
    ) -> Option<(InstanceId, NameKey)> {
        if !self.options.overflow || route.shares.len() < 2 || route.work.class.is_bulk() {
            return None;
        }
        let service = route.service(flow);
        if !self.overflow.is_saturated(service, own) {
            return None;
        }
        let others = route.shares.iter().filter(|it| it.weight > 0);
        for share in others.filter(|it| it.service != service) {
            let mut candidates = self.known_candidates(now, share.service, flow, route.work);
            candidates.retain(|it| !tried.contains(&it.id) && self.overflow.has_room(now, it));
            if let Some(selected) = self.select(&candidates, route.work, &[]) {
                return Some((selected.agent, share.service));
            }
        }
        None
    }

    /// Processes the report of an agent that forwarded a new flow. If it belongs to another service
    /// than the flow, the flow had overflowed to it, and it has no room.
    pub(super) fn on_passed_on(&mut self, now: Timestamp, from: InstanceId, flow: &FlowKey) {
        let service = self.agents.record(from).map(|it| it.service);
        let route = self.routes.as_ref();
        let route = route.and_then(|it| it.by_addr.get(&flow.server));
        let home = route.map(|it| it.service(flow));
        if service.is_some() && home.is_some() && service != home {
            self.overflow.on_returned(now, from);
        }
    }

    /// Returns the services that became (true) or ceased to be (false) saturated since the last
    /// call, for the log.
    pub fn take_overflow_changes(&mut self) -> Vec<(NameKey, bool)> {
        self.overflow.take_changes()
    }
}
