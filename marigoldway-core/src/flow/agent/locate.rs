//! How an agent finds who holds a flow.

use crate::flow::agent::AgentAction;
use crate::flow::agent::AgentFlows;
use crate::flow::agent::DropReason;
use crate::flow::agent::HOPS_MAX;
use crate::flow::agent::local;
use crate::flow::agent::local::LocalFlow;
use crate::flow::agent::local::Phase;
use crate::flow::agent::slot_queue::Arrival;
use crate::flow::agents::Agents;
use crate::flow::key::FlowKey;
use crate::flow::key::NameKey;
use crate::flow::message::Errand;
use crate::flow::message::Header;
use crate::flow::message::Registered;
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
        actions: &mut Vec<AgentAction>,
    ) {
        let flow = segment.inbound_flow();
        let held = self.flows.touch(now, &flow).filter(|it| it.fits(segment));
        if let Some(local) = held {
            // Whoever sent the packet by way of a home doesn't know it yet.
            let told = header.errand == Errand::Owned && header.hops == 0;
            let holds = matches!(local.phase, Phase::Answered | Phase::Open);
            local.header = *header;
            let begun = local.client_end.is_some();
            let maybe_answered = local.phase == Phase::Visiting || (!begun && local.learned);
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
            self.enter(now, segment, fresh, &arrival, actions);
            if holds && !told {
                self.tell(now, header.entry, flow, Verdict::Holds, actions);
            }
            return;
        }
        if self.flows.peek(&flow).is_none() && self.may_visit(now, header, segment) {
            return self.visit(now, header, segment, actions);
        }
        self.find(now, header, segment, actions);
    }

    /// Passes a packet on to the registered owner, to the other home, or to
    /// every agent of the service.
    pub(super) fn find(
        &mut self,
        now: Timestamp,
        header: &Header,
        segment: &Segment,
        actions: &mut Vec<AgentAction>,
    ) {
        if header.errand == Errand::Search {
            if let Some(searcher) = header.other {
                self.searches.answer(searcher, segment.inbound_flow());
                self.converse(now, actions);
            }
            return actions.push(AgentAction::Drop(DropReason::Unknown));
        }
        if header.hops >= HOPS_MAX {
            return actions.push(AgentAction::Drop(DropReason::Hops));
        }
        let flow = segment.inbound_flow();
        let mut next = Header {
            hops: header.hops + 1,
            ..*header
        };
        if let Some(owner) = self.owner(&flow, segment.ack) {
            next.errand = Errand::Owned;
            return actions.push(AgentAction::ToAgents(vec![owner], next));
        }
        // The other home may be dead, though the store lists it: whatever comes
        // again is searched here.
        if header.hops == 0 && self.searches.pass(now, flow) {
            next.errand = Errand::Locate;
            let mut homes = homes(&self.agents, self.service, &flow);
            if let Some(home) = homes.find(|home| *home != self.options.own) {
                return actions.push(AgentAction::ToAgents(vec![home], next));
            }
        }
        next.errand = Errand::Search;
        next.other = Some(self.options.own);
        self.search(now, &next, segment, actions);
    }

    /// Asks every other agent of the service for a flow: complete ones by name,
    /// the others by the packet.
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
        // Among some of the agents alone nothing is known to be gone.
        let sole = header.sole && self.knows_all(now);
        if asked.is_empty() {
            return actions.push(AgentAction::Drop(DropReason::Unknown));
        }
        if !self.searches.begin(now, flow, segment.ack, sole, &asked) {
            return actions.push(AgentAction::Drop(DropReason::Searched));
        }
        if peers.iter().any(|(_, complete)| *complete) {
            self.searches.ask(flow);
            self.converse(now, actions);
        }
        let unsure = peers.iter().filter(|(_, complete)| !complete);
        let unsure: Vec<InstanceId> = unsure.map(|(id, _)| *id).collect();
        if unsure.is_empty() {
            return actions.push(AgentAction::Drop(DropReason::Searched));
        }
        actions.push(AgentAction::ToAgents(unsure, *header));
    }

    /// Remembers who holds a flow.
    pub(super) fn home(&mut self, now: Timestamp, owner: InstanceId, registered: &Registered) {
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
        match header.errand {
            Errand::Owned => true,
            Errand::Search => young,
            Errand::Locate => young && self.owner(&flow, segment.ack).is_none(),
            Errand::Open => false,
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
            // The first copy is held.
            return actions.push(AgentAction::Drop(DropReason::Held));
        }
        actions.push(AgentAction::ToTarget);
    }

    fn visit(
        &mut self,
        now: Timestamp,
        header: &Header,
        segment: &Segment,
        actions: &mut Vec<AgentAction>,
    ) {
        let mut local = LocalFlow::new(Phase::Visiting, *header, now);
        local.learned = true;
        local.on_client(now, segment);
        self.flows.insert(now, segment.inbound_flow(), local);
        actions.push(AgentAction::ToTarget);
    }
}

/// The homes of a flow.
pub(super) fn homes(
    agents: &Agents,
    service: NameKey,
    flow: &FlowKey,
) -> impl Iterator<Item = InstanceId> + use<> {
    let homes = agents.homes(service, flow);
    homes
        .into_iter()
        .flat_map(|homes| [Some(homes.first), homes.second])
        .flatten()
}
