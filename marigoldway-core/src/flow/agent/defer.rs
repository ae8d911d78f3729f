//! New flows that an agent leaves to a less loaded one.
//!
//! The load that this answers: a crest that nearly fills all targets, where each
//! draw among reports that are half a second old makes some queues long and
//! leaves others empty; and the moment after many processes ended together, when
//! no report is true. The entry says how loaded its agents are on the average. An
//! agent above that passes the opening packet on, with its own load if that is
//! the least so far; the last one asked gives it to the least loaded.

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

/// Agents that pass a new flow on at most. Each costs a way between domains;
/// more than a few draws gain little.
const DEFERRALS_MAX: u8 = 3;

impl AgentFlows {
    /// The agent that a new flow is passed on to, or `None` if this one takes
    /// it.
    pub(super) fn defer(
        &self,
        now: Timestamp,
        header: &Header,
        flow: &FlowKey,
    ) -> Option<(InstanceId, Header)> {
        let PlacementHint { threshold, best } = header.placement_hint;
        // An upload costs more on its way than it waits.
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
        if header.hops < DEFERRALS_MAX {
            let next = self.draw(header, flow)?;
            return Some((next, onward));
        }
        onward.placement_hint.threshold = LoadLevel::MAX;
        (best.0 != self.options.own).then_some((best.0, onward))
    }

    /// Another agent that serves: the entry's second choice, then one by the
    /// flow's hash.
    fn draw(&self, header: &Header, flow: &FlowKey) -> Option<InstanceId> {
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
        let mut turn = ids.iter().cycle().skip(start).take(ids.len());
        turn.find(|id| fits(id)).copied()
    }
}
