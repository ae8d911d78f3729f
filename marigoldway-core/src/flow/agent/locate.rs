//! How an agent finds who holds a flow.

use crate::flow::agent::AgentFlows;
use crate::flow::agent::AgentStep;
use crate::flow::agent::DropReason;
use crate::flow::agent::HOPS_MAX;
use crate::flow::agent::gate::Arrival;
use crate::flow::agent::local;
use crate::flow::agent::local::LocalFlow;
use crate::flow::agent::local::Phase;
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

/// Owners that a home remembers for one flow: copies of an opening packet may
/// reach two targets.
const OWNERS_LEN: usize = 2;

impl AgentFlows {
    /// A packet within a flow: to the target, or to who holds the flow.
    pub(super) fn pass(
        &mut self,
        now: Timestamp,
        header: &Header,
        segment: &Segment,
        packet: &[u8],
        steps: &mut Vec<AgentStep>,
    ) {
        let flow = segment.inbound_flow();
        let held = self.flows.touch(now, &flow).filter(|it| it.fits(segment));
        if let Some(local) = held {
            // Whoever sent the packet by way of a home doesn't know it yet.
            let told = header.intent == Intent::Owned && header.hops == 0;
            let holds = matches!(local.phase, Phase::Answered | Phase::Open);
            local.header = *header;
            let begun = local.client_end.is_some();
            let doubtful = local.phase == Phase::Visiting || (!begun && local.learned);
            let asked = if begun { now } else { local.asked };
            let fresh = local.on_client(now, segment);
            let arrival = Arrival {
                flow,
                packet,
                work: header.work,
                asked,
                first: !begun,
                doubtful,
            };
            self.enter(now, segment, fresh, &arrival, steps);
            if holds && !told {
                self.tell(now, header.entry, flow, Verdict::Holds, steps);
            }
            return;
        }
        if self.flows.peek(&flow).is_none() && self.may_visit(now, header, segment) {
            return self.visit(now, header, segment, steps);
        }
        self.find(now, header, segment, steps);
    }

    /// Passes a packet on to the registered owner, to the other home, or to
    /// every agent of the service.
    pub(super) fn find(
        &mut self,
        now: Timestamp,
        header: &Header,
        segment: &Segment,
        steps: &mut Vec<AgentStep>,
    ) {
        if header.intent == Intent::Search {
            if let Some(searcher) = header.other {
                self.searches.answer(searcher, segment.inbound_flow());
                self.converse(now, steps);
            }
            return steps.push(AgentStep::Drop(DropReason::Unknown));
        }
        if header.hops >= HOPS_MAX {
            return steps.push(AgentStep::Drop(DropReason::Hops));
        }
        let flow = segment.inbound_flow();
        let mut next = Header {
            hops: header.hops + 1,
            ..*header
        };
        if let Some(owner) = self.owner(&flow, segment.ack) {
            next.intent = Intent::Owned;
            return steps.push(AgentStep::ToAgents(vec![owner], next));
        }
        // The other home may be dead, though the store lists it: whatever comes
        // again is searched here.
        if header.hops == 0 && self.searches.pass(now, flow) {
            next.intent = Intent::Locate;
            let mut homes = homes(&self.agents, self.service, &flow);
            if let Some(home) = homes.find(|home| *home != self.options.own) {
                return steps.push(AgentStep::ToAgents(vec![home], next));
            }
        }
        next.intent = Intent::Search;
        next.other = Some(self.options.own);
        self.search(now, &next, segment, steps);
    }

    /// Asks every other agent of the service for a flow: complete ones by name,
    /// the others by the packet.
    fn search(
        &mut self,
        now: Timestamp,
        header: &Header,
        segment: &Segment,
        steps: &mut Vec<AgentStep>,
    ) {
        let flow = segment.inbound_flow();
        let peers: Vec<(InstanceId, bool)> = self.peers().map(|it| (it.id, it.complete)).collect();
        let asked: Vec<InstanceId> = peers.iter().map(|(id, _)| *id).collect();
        // Among some of the agents alone nothing is known to be gone.
        let sole = header.single_service && self.knows_all(now);
        if asked.is_empty() {
            return steps.push(AgentStep::Drop(DropReason::Unknown));
        }
        if !self.searches.begin(now, flow, segment.ack, sole, &asked) {
            return steps.push(AgentStep::Drop(DropReason::Searched));
        }
        if peers.iter().any(|(_, complete)| *complete) {
            self.searches.ask(flow);
            self.converse(now, steps);
        }
        let unsure = peers.iter().filter(|(_, complete)| !complete);
        let unsure: Vec<InstanceId> = unsure.map(|(id, _)| *id).collect();
        if unsure.is_empty() {
            return steps.push(AgentStep::Drop(DropReason::Searched));
        }
        steps.push(AgentStep::ToAgents(unsure, *header));
    }

    /// Remembers who holds a flow.
    pub(super) fn home(&mut self, now: Timestamp, owner: InstanceId, registered: &DirectoryEntry) {
        let entry = (owner, registered.origin);
        let Some(owners) = self.homed.touch(now, &registered.flow) else {
            self.homed.insert(now, registered.flow, vec![entry]);
            return;
        };
        owners.retain(|(id, _)| *id != owner);
        owners.push(entry);
        if owners.len() > OWNERS_LEN {
            owners.remove(0);
        }
    }

    /// Forgets that an agent holds a flow.
    pub(super) fn disown(&mut self, now: Timestamp, flow: &FlowKey, owner: InstanceId) {
        if let Some(owners) = self.homed.touch(now, flow) {
            owners.retain(|(id, _)| *id != owner);
        }
    }

    /// Another agent that is registered for a flow and still known.
    fn owner(&self, flow: &FlowKey, ack: u32) -> Option<InstanceId> {
        let owners = self.homed.peek(flow)?.iter();
        owners
            .filter(|(id, origin)| {
                *id != self.options.own
                    && self.agents.record(*id).is_some()
                    && local::fits(*origin, ack)
            })
            .min_by_key(|(_, origin)| ack.wrapping_sub(*origin))
            .map(|(id, _)| *id)
    }

    /// Whether the target is asked by the packet itself: the sender thinks that
    /// it holds the flow, or the agent may have forgotten it with its former
    /// process.
    fn may_visit(&self, now: Timestamp, header: &Header, segment: &Segment) -> bool {
        let flow = segment.inbound_flow();
        if self.searches.lacks(now, &flow) {
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

    /// A packet of a held flow: acknowledgements go on at once, data takes its
    /// turn.
    fn enter(
        &mut self,
        now: Timestamp,
        segment: &Segment,
        fresh: bool,
        arrival: &Arrival<'_>,
        steps: &mut Vec<AgentStep>,
    ) {
        if segment.flags.rst {
            self.forget_request(&arrival.flow);
            return steps.push(AgentStep::ToTarget);
        }
        if fresh {
            self.openings.end(&arrival.flow);
        }
        if fresh || (segment.flags.fin && self.gate.holds(&arrival.flow)) {
            return self.admit(now, arrival, steps);
        }
        if segment.len > 0 && self.gate.holds(&arrival.flow) {
            // The first copy is held.
            return steps.push(AgentStep::Drop(DropReason::Held));
        }
        steps.push(AgentStep::ToTarget);
    }

    fn visit(
        &mut self,
        now: Timestamp,
        header: &Header,
        segment: &Segment,
        steps: &mut Vec<AgentStep>,
    ) {
        let mut local = LocalFlow::new(Phase::Visiting, *header, now);
        local.learned = true;
        local.on_client(now, segment);
        self.flows.insert(now, segment.inbound_flow(), local);
        steps.push(AgentStep::ToTarget);
    }
}

/// The homes of a flow.
pub(super) fn homes(
    agents: &Agents,
    service: NameKey,
    flow: &FlowKey,
) -> impl Iterator<Item = InstanceId> + use<> {
    let homes = agents.directory_agents(service, flow);
    homes
        .into_iter()
        .flat_map(|homes| [Some(homes.first), homes.second])
        .flatten()
}
