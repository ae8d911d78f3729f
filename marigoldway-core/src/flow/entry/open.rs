//! Places new flows: forwards opening packets to one of the flow's candidates.

use crate::flow::capacity;
use crate::flow::capacity::LogTime;
use crate::flow::entry::EntryAction;
use crate::flow::entry::EntryFlows;
use crate::flow::entry::FlowState;
use crate::flow::entry::actions::DropReason;
use crate::flow::entry::actions::Forwarding;
use crate::flow::entry::actions::ResetReason;
use crate::flow::key::FlowKey;
use crate::flow::key::NameKey;
use crate::flow::message::FlowReport;
use crate::flow::message::Intent;
use crate::flow::message::PlacementHint;
use crate::flow::message::RefuseReason;
use crate::flow::routes::Route;
use crate::flow::routes::Work;
use crate::flow::segment::Reset;
use crate::flow::selection;
use crate::flow::selection::Candidate;
use crate::flow::selection::Selection;
use crate::ids::InstanceId;
use crate::time::Timestamp;

impl EntryFlows {
    /// Forwards an opening packet, of which the client sent `copies` before: to the agent that is
    /// known to hold the flow, or to a newly selected agent that wasn't tried yet if possible.
    pub(super) fn open(
        &mut self,
        now: Timestamp,
        flow: FlowKey,
        route: &Route,
        copies: u32,
    ) -> EntryAction {
        let tried = match self.flows.touch(now, &flow) {
            // The agent answers each copy of the opening packet, or has queued the
            // first copy.
            Some(FlowState::Located { agent, service }) => {
                let (agent, service) = (*agent, *service);
                // The present route applies to each copy of the opening packet.
                let is_routed = route.has_service(service) && self.is_of_service(agent, service);
                if is_routed && self.may_stay(agent, copies) {
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
        if self.agents.is_service_drained(service) {
            return self.on_drained_service(flow, copies);
        }
        let (all, reference) = self.known_candidates(now, service, &flow, route.work);
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
        header.placement_hint = PlacementHint {
            threshold: selection::threshold(&all, route.work.class),
            best: None,
            reference,
            home: overflow.map(|_| service),
        };
        if let Some((_, other_service)) = overflow {
            header.service = other_service;
            header.other = Some(selected.agent);
        }
        EntryAction::Forward(vec![Forwarding { agent, header }])
    }

    /// Whether an opening packet may go to the agent that holds its flow. A flow that is open stays
    /// in a drained domain; a first copy opens another flow.
    fn may_stay(&self, agent: InstanceId, copies: u32) -> bool {
        copies > 0 || !self.agents.is_drained(agent)
    }

    /// Decides on an opening packet for a service whose serving targets are all in drained domains.
    /// The first copy of a flow that this entry doesn't know is reset, which rejects the flow. An
    /// earlier copy may have opened the flow, and an open flow is never reset, so any other copy is
    /// dropped. The packet is kept until the list of agents is complete: it may have other targets.
    fn on_drained_service(&mut self, flow: FlowKey, copies: u32) -> EntryAction {
        if copies > 0 || self.flows.peek(&flow).is_some() {
            return EntryAction::Drop(DropReason::Drained);
        }
        if !self.agents.is_loaded() {
            return EntryAction::Keep;
        }
        EntryAction::Reset(Reset { flow, seq: 0 }, ResetReason::Drained)
    }

    /// What the entry knows about the candidates of a new flow in a service, and the mean service
    /// time with which they are compared.
    fn known_candidates(
        &self,
        now: Timestamp,
        service: NameKey,
        flow: &FlowKey,
        work: Work,
    ) -> (Vec<Candidate>, LogTime) {
        let domain = self.options.domain;
        let ids = self
            .agents
            .candidates(service, flow.hash(), work.class, domain);
        let mut all = self.views.candidates(now, &self.agents, &ids, domain);
        let reference = capacity::compare(&mut all, work.class, self.options.capacity);
        (all, reference)
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
    /// the amount of data limits them rather than the slots.
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
            let (mut candidates, _) = self.known_candidates(now, share.service, flow, route.work);
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

    /// Prefers other agents for new flows after a refusal, and for the refused flow.
    /// Removes the agent if its target belongs to another service.
    pub(super) fn on_refusal(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        report: &FlowReport,
        reason: RefuseReason,
    ) {
        match reason {
            RefuseReason::Service => self.remove_agent(from),
            // The agent has reset the flow, and its load report shows the overload.
            RefuseReason::Overloaded => {
                self.flows.remove(&report.flow);
                return;
            }
            RefuseReason::Version
            | RefuseReason::Draining
            | RefuseReason::Absent
            | RefuseReason::Silent
            | RefuseReason::Bounced
            | RefuseReason::Drained => self.views.on_refusal(now, from),
        }
        match self.flows.touch(now, &report.flow) {
            Some(state @ FlowState::Located { .. }) => {
                if matches!(state, FlowState::Located { agent, .. } if *agent == from) {
                    *state = FlowState::Opening { tried: vec![from] };
                }
            }
            Some(FlowState::Opening { tried }) if !tried.contains(&from) => tried.push(from),
            Some(FlowState::Opening { .. } | FlowState::Locating(_) | FlowState::Unrouted(_))
            | None => {}
        }
    }

    /// Returns the services that became (true) or ceased to be (false) saturated since the last
    /// call, for the log.
    pub fn take_overflow_changes(&mut self) -> Vec<(NameKey, bool)> {
        self.overflow.take_changes()
    }
}
