//! Places new flows: forwards opening packets to one of the flow's candidates.

use crate::flow::capacity;
use crate::flow::entry::EntryAction;
use crate::flow::entry::EntryFlows;
use crate::flow::entry::FlowState;
use crate::flow::entry::actions::DropReason;
use crate::flow::entry::actions::Forwarding;
use crate::flow::entry::actions::ResetReason;
use crate::flow::key::FlowKey;
use crate::flow::key::NameKey;
use crate::flow::message::Intent;
use crate::flow::message::PlacementHint;
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
        let Some((selected, hint)) = self.select(now, service, &flow, route.work, &tried) else {
            return EntryAction::Drop(DropReason::Unserved);
        };
        let agent = selected.agent;
        self.views.expect_answer(now, agent);
        self.views.on_open(agent);
        let mut tried = tried;
        tried.push(agent);
        self.flows.insert(now, flow, FlowState::Opening { tried });
        let mut header = self.header(Intent::Open, service, route, selected.alternate);
        header.placement_hint = hint;
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

    /// Selects one of the candidates of a new flow, and returns it with what the agents need
    /// to decide whether to accept the flow. Agents in `tried` are considered only if
    /// there are no other ones. Returns `None` if the service has no known agent.
    fn select(
        &mut self,
        now: Timestamp,
        service: NameKey,
        flow: &FlowKey,
        work: Work,
        tried: &[InstanceId],
    ) -> Option<(Selection, PlacementHint)> {
        let domain = self.options.domain;
        let ids = self
            .agents
            .candidates(service, flow.hash(), work.class, domain);
        let mut all = self.views.candidates(now, &self.agents, &ids, domain);
        let reference = capacity::compare(&mut all, work.class, self.options.capacity);
        let untried: Vec<Candidate> = all
            .iter()
            .filter(|it| !tried.contains(&it.id))
            .copied()
            .collect();
        let candidates = if untried.is_empty() { &all } else { &untried };
        let selected = selection::choose(candidates, work.class, &mut self.rng)?;
        let hint = PlacementHint {
            threshold: selection::threshold(&all, work.class),
            best: None,
            reference,
        };
        Some((selected, hint))
    }
}
