//! Location of the agent whose target holds a flow.

use crate::flow::agent::AgentAction;
use crate::flow::agent::AgentFlows;
use crate::flow::agent::DropReason;
use crate::flow::agent::MAX_HOPS;
use crate::flow::agent::local;
use crate::flow::agent::local::LocalFlow;
use crate::flow::agent::local::Phase;
use crate::flow::agent::slot_queue::Arrival;
use crate::flow::agents::Agents;
use crate::flow::key::FlowKey;
use crate::flow::key::NameKey;
use crate::flow::message::DirectoryEntry;
use crate::flow::message::Header;
use crate::flow::message::Intent;
use crate::flow::message::Verdict;
use crate::flow::segment::Segment;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Maximum number of owners that a directory agent keeps for one flow: copies of an opening
/// packet may reach two targets.
const MAX_OWNERS: usize = 2;

impl AgentFlows {
    /// Handles a packet within a flow: delivers it to the target, or forwards it to the agent
    /// whose target holds the flow.
    pub(super) fn route_packet(
        &mut self,
        now: Timestamp,
        header: &Header,
        segment: &Segment,
        packet: &[u8],
        actions: &mut Vec<AgentAction>,
    ) {
        let flow = segment.inbound_flow();
        let held = self.flows.touch(now, &flow).filter(|it| it.fits(segment));
        if let Some(local) = held {
            // A sender that went through a directory agent doesn't know the owner yet.
            let sender_knows = header.intent == Intent::Owned && header.hops == 0;
            let holds = matches!(local.phase, Phase::Answered | Phase::Open);
            local.header = *header;
            let begun = local.client_end.is_some();
            let maybe_answered = local.phase == Phase::Visiting || (!begun && local.preexisting);
            let asked = if begun { now } else { local.asked };
            let fresh = local.on_client(now, segment);
            let arrival = Arrival {
                flow,
                packet,
                work: header.work,
                asked,
                first: !begun,
                maybe_answered,
            };
            self.deliver(now, segment, fresh, &arrival, actions);
            if holds && !sender_knows {
                self.report(now, header.entry, flow, Verdict::Holds, actions);
            }
            return;
        }
        if self.flows.peek(&flow).is_none() && self.may_try_target(now, header, segment) {
            return self.try_target(now, header, segment, actions);
        }
        self.locate(now, header, segment, actions);
    }

    /// Forwards a packet to the registered owner, to the other directory agent, or to every
    /// agent of the service.
    pub(super) fn locate(
        &mut self,
        now: Timestamp,
        header: &Header,
        segment: &Segment,
        actions: &mut Vec<AgentAction>,
    ) {
        if header.intent == Intent::Search {
            if let Some(searcher) = header.other {
                self.searches.add_reply(searcher, segment.inbound_flow());
                self.flush_searches(now, actions);
            }
            return actions.push(AgentAction::Drop(DropReason::Unknown));
        }
        if header.hops >= MAX_HOPS {
            return actions.push(AgentAction::Drop(DropReason::Hops));
        }
        let flow = segment.inbound_flow();
        let mut next = Header {
            hops: header.hops + 1,
            ..*header
        };
        if let Some(owner) = self.owner(&flow, segment.ack) {
            next.intent = Intent::Owned;
            return actions.push(AgentAction::ToAgents(vec![owner], next));
        }
        // The other directory agent may be dead although the store lists it. A further packet
        // of the flow therefore starts a search here.
        if header.hops == 0 && self.searches.may_forward(now, flow) {
            next.intent = Intent::Locate;
            let mut candidates = directory_agents(&self.agents, self.service, &flow);
            if let Some(directory_agent) = candidates.find(|id| *id != self.options.own) {
                return actions.push(AgentAction::ToAgents(vec![directory_agent], next));
            }
        }
        next.intent = Intent::Search;
        next.other = Some(self.options.own);
        self.search(now, &next, segment, actions);
    }

    /// Searches for a flow at every other agent of the service: sends a query to agents whose table
    /// is complete, and the packet itself to the others.
    fn search(
        &mut self,
        now: Timestamp,
        header: &Header,
        segment: &Segment,
        actions: &mut Vec<AgentAction>,
    ) {
        let flow = segment.inbound_flow();
        let peers: Vec<(InstanceId, bool)> = self.peers().map(|it| (it.id, it.complete)).collect();
        let asked: Vec<InstanceId> = peers.iter().map(|(id, _)| *id).collect();
        // A search among only some of the agents can't prove that a flow is gone.
        let sole = header.single_service && self.knows_every_agent(now);
        if asked.is_empty() {
            return actions.push(AgentAction::Drop(DropReason::Unknown));
        }
        if !self.searches.begin(now, flow, segment.ack, sole, &asked) {
            return actions.push(AgentAction::Drop(DropReason::Searched));
        }
        if peers.iter().any(|(_, complete)| *complete) {
            self.searches.add_query(flow);
            self.flush_searches(now, actions);
        }
        let incomplete = peers.iter().filter(|(_, complete)| !complete);
        let incomplete: Vec<InstanceId> = incomplete.map(|(id, _)| *id).collect();
        if incomplete.is_empty() {
            return actions.push(AgentAction::Drop(DropReason::Searched));
        }
        actions.push(AgentAction::ToAgents(incomplete, *header));
    }

    /// Stores in the directory that an agent holds a flow.
    pub(super) fn add_owner(&mut self, now: Timestamp, owner: InstanceId, held: &DirectoryEntry) {
        let entry = (owner, held.origin);
        let Some(owners) = self.directory.touch(now, &held.flow) else {
            self.directory.insert(now, held.flow, vec![entry]);
            return;
        };
        owners.retain(|(id, _)| *id != owner);
        owners.push(entry);
        if owners.len() > MAX_OWNERS {
            owners.remove(0);
        }
    }

    /// Removes an owner of a flow from the directory.
    pub(super) fn remove_owner(&mut self, now: Timestamp, flow: &FlowKey, owner: InstanceId) {
        if let Some(owners) = self.directory.touch(now, flow) {
            owners.retain(|(id, _)| *id != owner);
        }
    }

    /// Another agent that is registered as owner of the flow and still known.
    fn owner(&self, flow: &FlowKey, ack: u32) -> Option<InstanceId> {
        let owners = self.directory.peek(flow)?.iter();
        owners
            .filter(|(id, origin)| {
                *id != self.options.own
                    && self.agents.record(*id).is_some()
                    && local::ack_in_window(*origin, ack)
            })
            .min_by_key(|(_, origin)| ack.wrapping_sub(*origin))
            .map(|(id, _)| *id)
    }

    /// Whether the packet may go to the target although the flow isn't in the table: the sender
    /// takes this agent for the owner, or an earlier process of this agent may have known the
    /// flow.
    fn may_try_target(&self, now: Timestamp, header: &Header, segment: &Segment) -> bool {
        let flow = segment.inbound_flow();
        if self.searches.is_not_held(now, &flow) {
            return false;
        }
        let young = !self.is_complete(now);
        match header.intent {
            Intent::Owned => true,
            Intent::Search => young,
            Intent::Locate => young && self.owner(&flow, segment.ack).is_none(),
            Intent::Open => false,
        }
    }

    /// Handles a packet of a held flow. Acknowledgements go to the target at once; data is
    /// admitted or queued.
    fn deliver(
        &mut self,
        now: Timestamp,
        segment: &Segment,
        fresh: bool,
        arrival: &Arrival<'_>,
        actions: &mut Vec<AgentAction>,
    ) {
        if segment.flags.rst {
            self.forget_request(&arrival.flow);
            return actions.push(AgentAction::ToTarget);
        }
        if fresh {
            self.openings.end(&arrival.flow);
        }
        if fresh || (segment.flags.fin && self.slot_queue.is_queued(&arrival.flow)) {
            return self.admit(now, arrival, actions);
        }
        if segment.len > 0 && self.slot_queue.is_queued(&arrival.flow) {
            // The first copy is queued.
            return actions.push(AgentAction::Drop(DropReason::Held));
        }
        actions.push(AgentAction::ToTarget);
    }

    fn try_target(
        &mut self,
        now: Timestamp,
        header: &Header,
        segment: &Segment,
        actions: &mut Vec<AgentAction>,
    ) {
        let mut local = LocalFlow::new(Phase::Visiting, *header, now);
        local.preexisting = true;
        local.on_client(now, segment);
        self.flows.insert(now, segment.inbound_flow(), local);
        actions.push(AgentAction::ToTarget);
    }
}

/// The directory agents of a flow: up to two.
pub(super) fn directory_agents(
    agents: &Agents,
    service: NameKey,
    flow: &FlowKey,
) -> impl Iterator<Item = InstanceId> + use<> {
    let chosen = agents.directory_agents(service, flow);
    chosen
        .into_iter()
        .flat_map(|it| [Some(it.first), it.second])
        .flatten()
}
