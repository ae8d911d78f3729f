//! Redirection of new flows to a less loaded agent.
//!
//! It handles two kinds of load. In an overload that nearly fills all targets, choices among
//! reports that are half a second old make some queues long and leave others empty. After many
//! processes have ended together, no report is correct. The entry therefore sends the average
//! load of its agents. An agent above that load forwards the opening packet, with its own load
//! if that is the least so far; the last agent in the chain forwards it to the least loaded
//! one.

use crate::flow::agent::AgentFlows;
use crate::flow::key::FlowKey;
use crate::flow::message::Header;
use crate::flow::message::LoadLevel;
use crate::flow::message::PlacementHint;
use crate::flow::message::TargetState;
use crate::flow::routes::WorkClass;
use crate::flow::selection;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Maximum number of agents that forward a new flow to another one. Each costs a trip between
/// domains; more than a few choices gain little.
const MAX_REDIRECTS: u8 = 3;

impl AgentFlows {
    /// Returns the agent to forward a new flow to, or `None` if this agent accepts it.
    pub(super) fn redirect(
        &self,
        now: Timestamp,
        header: &Header,
        flow: &FlowKey,
    ) -> Option<(InstanceId, Header)> {
        let PlacementHint { threshold, best } = header.placement_hint;
        // An upload loses more by the extra trip than by waiting.
        if header.work.class == WorkClass::Upload {
            return None;
        }
        let own = (
            self.options.own,
            selection::load_level(&self.load(now), header.work.class),
        );
        if own.1 <= threshold {
            return None;
        }
        let best = best.filter(|it| it.1 <= own.1).unwrap_or(own);
        let mut onward = Header {
            hops: header.hops + 1,
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

    /// Selects another serving agent: the entry's second choice, else one by the flow's hash.
    fn pick_peer(&self, header: &Header, flow: &FlowKey) -> Option<InstanceId> {
        let best = header.placement_hint.best.map(|it| it.0);
        let serves = |id: InstanceId| {
            let record = self.agents.record(id);
            record.is_some_and(|it| it.state == TargetState::Serving)
        };
        let fits = |id: &InstanceId| *id != self.options.own && Some(*id) != best && serves(*id);
        if let Some(other) = header.other.filter(fits) {
            return Some(other);
        }
        let ids = self.agents.of_service(self.service);
        let start = flow.hash() >> (8 * u32::from(header.hops));
        let start = start as usize % ids.len().max(1);
        let mut rotation = ids.iter().cycle().skip(start).take(ids.len());
        rotation.find(|id| fits(id)).copied()
    }
}
