//! Opening packets: taken, passed on, or refused.

use std::time::Duration;

use crate::flow::agent::AgentFlows;
use crate::flow::agent::local::LocalFlow;
use crate::flow::agent::local::Phase;
use crate::flow::agent::steps::AgentStep;
use crate::flow::agent::steps::DropReason;
use crate::flow::key::FlowKey;
use crate::flow::message::FlowReport;
use crate::flow::message::Header;
use crate::flow::message::RefuseReason;
use crate::flow::message::TargetState;
use crate::flow::message::Verdict;
use crate::flow::segment::Segment;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Time for which entries may still route by the version before: a part of the
/// seconds within which a configuration has to be in force.
const VERSION_GRACE: Duration = Duration::from_secs(1);

/// Time from a client's opening packet to its first copy.
const FIRST_COPY: Duration = Duration::from_millis(200);

/// Time from a client's opening packet to its second copy.
const SECOND_COPY: Duration = Duration::from_millis(600);

impl AgentFlows {
    /// A new flow: to the target, or on to the other candidate.
    pub(super) fn open(
        &mut self,
        now: Timestamp,
        header: &Header,
        segment: &Segment,
        steps: &mut Vec<AgentStep>,
    ) {
        let flow = segment.inbound_flow();
        // Entries learn of a version within a moment of each other.
        let settled = now.since(self.version_since) > VERSION_GRACE;
        if header.version < self.version && settled {
            return self.refuse(now, header, flow, RefuseReason::Version, steps);
        }
        self.see_version(now, header.version);
        let reason = match self.state(now) {
            TargetState::Serving => None,
            TargetState::Draining => Some(RefuseReason::Draining),
            TargetState::Absent => Some(RefuseReason::Absent),
        };
        if let Some(reason) = reason {
            return self.turn_away(now, header, flow, reason, steps);
        }
        if self.health.is_silent(now) && header.other.is_some() {
            self.turn_away(now, header, flow, RefuseReason::Silent, steps);
            if !self.health.try_again(now) {
                return;
            }
        } else if self.flows.peek(&flow).is_none()
            && let Some((next, onward)) = self.defer(now, header, &flow)
        {
            self.tell(now, header.entry, flow, Verdict::PassedOn, steps);
            return steps.push(AgentStep::ToAgents(vec![next], onward));
        }
        if let Some(local) = self.flows.touch(now, &flow) {
            local.header = *header;
        } else {
            let asked = opened(now, segment.ack);
            let local = LocalFlow::new(Phase::Opening, *header, asked);
            self.flows.insert(now, flow, local);
            self.openings.begin(now, flow);
            self.open += 1;
        }
        self.health.ask(now);
        steps.push(AgentStep::ToTarget);
    }

    /// Passes a new flow on to the other candidate, and tells the entry.
    pub(super) fn turn_away(
        &mut self,
        now: Timestamp,
        header: &Header,
        flow: FlowKey,
        reason: RefuseReason,
        steps: &mut Vec<AgentStep>,
    ) {
        let Some(other) = header.other.filter(|id| *id != self.options.own) else {
            return self.refuse(now, header, flow, reason, steps);
        };
        self.tell(now, header.entry, flow, Verdict::Refused(reason), steps);
        let header = Header {
            hops: header.hops + 1,
            other: None,
            ..*header
        };
        steps.push(AgentStep::ToAgents(vec![other], header));
    }

    pub(super) fn refuse(
        &mut self,
        now: Timestamp,
        header: &Header,
        flow: FlowKey,
        reason: RefuseReason,
        steps: &mut Vec<AgentStep>,
    ) {
        self.tell(now, header.entry, flow, Verdict::Refused(reason), steps);
        steps.push(AgentStep::Drop(DropReason::Refused(reason)));
    }

    /// Tells an entry what became of a flow.
    pub(super) fn tell(
        &self,
        now: Timestamp,
        entry: InstanceId,
        flow: FlowKey,
        verdict: Verdict,
        steps: &mut Vec<AgentStep>,
    ) {
        let receipt = FlowReport {
            flow,
            verdict,
            load: self.load(now),
            version: self.version,
        };
        steps.push(AgentStep::ToEntry(entry, receipt));
    }
}

/// When the client sent the first copy of an opening packet.
fn opened(now: Timestamp, copies: u32) -> Timestamp {
    let ago = match copies {
        0 => Duration::ZERO,
        1 => FIRST_COPY,
        _ => SECOND_COPY,
    };
    Timestamp::from_micros(now.as_micros().saturating_sub(ago.as_micros() as u64))
}
