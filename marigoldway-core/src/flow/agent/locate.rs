//! Locates the owner of a flow, the agent whose target holds it.
//!
//! Directory agents store the owner of a flow. They are up to two agents of the service, selected
//! by the flow's hash, and owners register flows with them. If no directory agent knows the
//! owner, the few agents that may hold the flow are searched.

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
    /// Handles a packet within a flow: delivers it if the target holds or may hold the flow, or
    /// else locates the owner. Reports to the entry that the target holds the flow, unless the
    /// entry already sent the packet to this agent as the owner.
    pub(super) fn route_packet(
        &mut self,
        now: Timestamp,
        header: &Header,
        segment: &Segment,
        packet: &[u8],
        actions: &mut Vec<AgentAction>,
    ) {
        let flow = segment.inbound_flow();
        let known = self.flows.touch(now, &flow).filter(|it| it.fits(segment));
        if let Some(local) = known {
            // An entry whose packet came through a directory agent doesn't know the owner yet.
            let sender_knows = header.intent == Intent::Owned && header.hops == 0;
            let holds = matches!(local.phase, Phase::Answered | Phase::Open);
            local.header = *header;
            let has_sent_data = local.client_end.is_some();
            let maybe_answered =
                local.phase == Phase::Visiting || (!has_sent_data && local.preexisting);
            let waiting_since = if has_sent_data {
                now
            } else {
                local.waiting_since
            };
            let fresh = local.on_client(now, segment);
            if local.is_abandoned(segment, fresh) {
                return actions.push(AgentAction::Drop(DropReason::Abandoned));
            }
            let guest = local.guest;
            let arrival = Arrival {
                flow,
                packet,
                work: header.work,
                waiting_since,
                first: !has_sent_data,
                guest,
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

    /// Forwards a packet to the registered owner or to the other directory agent. If neither knows
    /// the owner, starts a search among the agents that may hold the flow, or reports to the entry
    /// that the flow is unknown if the header doesn't ask for a search. If the packet is itself
    /// part of a search, replies that the target doesn't hold the flow. Drops a packet that has
    /// passed `MAX_HOPS` agents.
    pub(super) fn locate(
        &mut self,
        now: Timestamp,
        header: &Header,
        segment: &Segment,
        actions: &mut Vec<AgentAction>,
    ) {
        if header.intent == Intent::Search {
            // A flow in the table isn't denied by its sequence numbers alone.
            let known = self.flows.peek(&segment.inbound_flow());
            if known.is_none_or(|it| !it.is_held()) {
                self.reply_not_held(now, header, segment.inbound_flow(), actions);
            }
            return actions.push(AgentAction::Drop(DropReason::Unknown));
        }
        if header.hops >= MAX_HOPS {
            return actions.push(AgentAction::Drop(DropReason::Hops));
        }
        let flow = segment.inbound_flow();
        let mut next = Header {
            hops: header.hops.saturating_add(1),
            ..*header
        };
        if let Some(owner) = self.owner(&flow, segment.ack) {
            next.intent = Intent::Owned;
            return actions.push(AgentAction::ToAgents(vec![owner], next));
        }
        // The other directory agent may be dead although the store still has its record. Only one
        // packet goes there; a further packet of the flow starts a search here.
        if header.hops == 0 && self.searches.may_forward(now, flow) {
            next.intent = Intent::Locate;
            let mut candidates = directory_agents(&self.agents, self.service, &flow);
            if let Some(directory_agent) = candidates.find(|id| *id != self.options.own) {
                return actions.push(AgentAction::ToAgents(vec![directory_agent], next));
            }
        }
        if !header.search {
            self.report(now, header.entry, flow, Verdict::Unknown, actions);
            return actions.push(AgentAction::Drop(DropReason::Unknown));
        }
        next.intent = Intent::Search;
        next.other = Some(self.options.own);
        self.search(now, &next, segment, actions);
    }

    /// Stores in the directory that an agent holds a flow. If the flow has more than `MAX_OWNERS`
    /// owners, the one that registered longest ago is removed.
    pub(super) fn add_owner(&mut self, now: Timestamp, owner: InstanceId, held: &DirectoryEntry) {
        self.searches.end(&held.flow);
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

    /// Another known agent that is registered as owner of the flow and whose origin fits the
    /// acknowledgement number. Of several, the one whose origin is the closest before it.
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
    /// takes this agent for the owner, or the table is incomplete, so that an earlier process of
    /// this agent may have known the flow. False if the target recently turned out not to hold the
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
            Intent::Locate => young && header.search && self.owner(&flow, segment.ack).is_none(),
            Intent::Open => false,
        }
    }

    /// Handles a packet of a flow in the table. New data is admitted or queued. A copy of a queued
    /// packet is dropped. Everything else, such as an acknowledgement, goes to the target at once.
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
        if fresh {
            return self.admit(now, arrival, actions);
        }
        if segment.flags.fin && self.slot_queue.is_queued(&arrival.flow) {
            self.abandon(now, &arrival.flow);
            actions.push(AgentAction::ClientGone(arrival.flow));
            return actions.push(AgentAction::Drop(DropReason::Abandoned));
        }
        if segment.len > 0 && self.slot_queue.is_queued(&arrival.flow) {
            // The first copy is queued.
            return actions.push(AgentAction::Drop(DropReason::Held));
        }
        actions.push(AgentAction::ToTarget);
    }

    /// Adds a flow that the target may hold, and sends the packet to the target as a trial.
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

/// The directory agents of a flow, up to two. None if no agent of the service is known.
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
