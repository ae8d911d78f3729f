//! Redirects new flows to a less loaded agent.
//!
//! An entry, the process that receives clients' packets, selects an agent by the loads that the
//! agents last reported. These reports mislead in two cases. In an overload that nearly fills all
//! targets, reports that are half a second old make some queues long and leave others empty.
//! After many processes have ended together, no report is correct.
//!
//! The entry therefore sends a threshold with each opening packet: the mean load of the serving
//! agents plus a margin. An agent whose load is above the threshold forwards the packet. If its
//! load is the least so far, it enters itself in the packet's header. The last agent of the
//! chain forwards the packet to the agent entered there.

use crate::flow::agent::AgentFlows;
use crate::flow::capacity;
use crate::flow::key::FlowKey;
use crate::flow::message::Header;
use crate::flow::message::LoadLevel;
use crate::flow::message::TargetState;
use crate::flow::selection;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Number of forwardings of a new flow after which the next agent above the threshold no longer
/// forwards it to a further peer but to the least loaded agent so far. Each forwarding costs a
/// trip between domains, and comparing more than a few agents gains little.
pub(super) const MAX_REDIRECTS: u8 = 3;

impl AgentFlows {
    /// Returns the agent to forward a new flow to, with the header to send. Returns `None` if this
    /// agent accepts or rejects the flow: a bulk flow, a load within the threshold, no other agent
    /// that fits, or this agent being the least loaded one. A flow whose request is `hopeless` here
    /// is forwarded whatever the threshold is.
    pub(super) fn redirect(
        &self,
        now: Timestamp,
        header: &Header,
        flow: &FlowKey,
        hopeless: bool,
    ) -> Option<(InstanceId, Header)> {
        let hint = header.placement_hint;
        // Bulk data loses more by crossing failure domains than by waiting.
        // The agents of a service can't return a flow of another one to it.
        if header.work.class.is_bulk() || hint.home.is_some() {
            return None;
        }
        let own = (self.options.own, self.offered_level(now, header));
        if own.1 <= hint.threshold && !hopeless {
            return None;
        }
        let best = hint
            .best
            .filter(|it| it.1 <= own.1 && !self.agents.is_drained(it.0));
        let best = best.unwrap_or(own);
        let mut onward = Header {
            hops: header.hops.saturating_add(1),
            other: None,
            ..*header
        };
        onward.placement_hint.best = Some(best);
        if header.hops < MAX_REDIRECTS {
            let next = self.pick_peer(header, flow)?;
            return Some((next, onward));
        }
        onward.placement_hint.threshold = LoadLevel::MAX;
        (best.0 != self.options.own).then_some((best.0, onward))
    }

    /// The own load as it counts for a new flow, by the same reference as the threshold in the
    /// flow's header.
    pub(super) fn load_level(&self, now: Timestamp, header: &Header) -> LoadLevel {
        let load = self.load(now);
        let class = header.work.class;
        let reference = header.placement_hint.reference;
        let time = load.capacity.time(class);
        let slowness = capacity::slowness(time, reference, self.options.capacity);
        selection::load_level(&load, class, slowness)
    }

    /// The header that names another agent for a flow that this agent shouldn't accept: the entry's
    /// alternate, any other that fits, or, once the flow was forwarded often enough, the least
    /// loaded agent so far, which then accepts it. Returns `None` if there is none.
    pub(super) fn to_other_agent(&self, header: &Header, flow: &FlowKey) -> Option<Header> {
        let mut onward = *header;
        if header.hops >= MAX_REDIRECTS {
            onward.placement_hint.threshold = LoadLevel::MAX;
            onward.other = header.placement_hint.best.map(|it| it.0);
        } else if header.other.is_none_or(|id| self.agents.is_drained(id)) {
            onward.other = self.pick_peer(header, flow);
        }
        let is_usable = |id| id != self.options.own && !self.agents.is_drained(id);
        let is_other = onward.other.is_some_and(is_usable);
        is_other.then_some(onward)
    }

    /// The agent to which a refused opening packet is forwarded: the alternate in its header, or
    /// another candidate if the alternate is in a drained domain, which the sender didn't know.
    /// Returns `None` if the header names no other agent.
    pub(super) fn alternate(&self, header: &Header, flow: &FlowKey) -> Option<InstanceId> {
        let other = header.other.filter(|id| *id != self.options.own)?;
        if !self.agents.is_drained(other) {
            return Some(other);
        }
        if header.hops >= MAX_REDIRECTS {
            return None;
        }
        self.pick_peer(header, flow)
    }

    /// Selects a serving agent other than this one and the least loaded one so far: the entry's
    /// alternate, else a registered one of the flow's candidates. Returns `None` if there is none.
    pub(super) fn pick_peer(&self, header: &Header, flow: &FlowKey) -> Option<InstanceId> {
        let best = header.placement_hint.best.map(|it| it.0);
        let serves = |id: InstanceId| {
            let record = self.agents.record(id);
            record.is_some_and(|it| it.state == TargetState::Serving) && !self.agents.is_drained(id)
        };
        let fits = |id: &InstanceId| *id != self.options.own && Some(*id) != best && serves(*id);
        if let Some(other) = header.other.filter(fits) {
            return Some(other);
        }
        if header.placement_hint.home.is_some() {
            // The candidates known here are of another service than the flow.
            return None;
        }
        let class = header.work.class;
        let ids = self
            .agents
            .candidates(self.service, flow.hash(), class, self.options.domain);
        let start = flow.hash() >> (8 * u32::from(header.hops));
        let start = start as usize % ids.len().max(1);
        let mut rotation = ids.iter().cycle().skip(start).take(ids.len());
        // A joining agent takes no flow before the store has its presence record.
        rotation
            .find(|id| fits(id) && self.agents.is_registered(**id))
            .copied()
    }
}
