//! Handles opening packets: accepts, forwards or refuses them.
//!
//! An entry, the process that receives clients' packets, sends each opening packet to an agent
//! and names an alternate agent in the packet's header.

use std::time::Duration;

use crate::flow::agent::AgentFlows;
use crate::flow::agent::actions::AgentAction;
use crate::flow::agent::actions::DropReason;
use crate::flow::agent::actions::ResetReason;
use crate::flow::agent::guest;
use crate::flow::agent::local::LocalFlow;
use crate::flow::agent::local::Phase;
use crate::flow::key::FlowKey;
use crate::flow::message::FlowReport;
use crate::flow::message::Header;
use crate::flow::message::RefuseReason;
use crate::flow::message::TargetState;
use crate::flow::message::Verdict;
use crate::flow::overload::shedding::NewFlow;
use crate::flow::routes::WorkClass;
use crate::flow::segment::Reset;
use crate::flow::segment::Segment;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Time after the first sight of a new configuration version for which entries may still route by
/// an older one. It is a part of the seconds within which a configuration must be in force.
const VERSION_GRACE: Duration = Duration::from_secs(1);

/// Time from a client's opening packet to its first retransmission.
const FIRST_RETRANSMIT: Duration = Duration::from_millis(200);

/// Time from a client's opening packet to its second retransmission.
const SECOND_RETRANSMIT: Duration = Duration::from_millis(600);

/// `Opening` identifies an opening packet of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Opening {
    /// Flow that the packet opens.
    pub flow: FlowKey,
    /// Sequence number of the packet, which tells flows between the same addresses apart.
    pub seq: u32,
    /// When the client sent the first copy of the packet.
    pub first_sent: Timestamp,
}

impl Opening {
    /// Describes a packet that arrives now.
    pub fn new(now: Timestamp, header: &Header, segment: &Segment) -> Opening {
        Opening {
            flow: segment.inbound_flow(),
            seq: segment.seq,
            first_sent: first_sent_at(now, segment.ack).before(header.waited),
        }
    }
}

impl AgentFlows {
    /// Handles an opening packet: sends it to the target, forwards it to another agent, refuses it,
    /// or resets it.
    pub(super) fn open(
        &mut self,
        now: Timestamp,
        header: &Header,
        segment: &Segment,
        packet: &[u8],
        actions: &mut Vec<AgentAction>,
    ) {
        let flow = segment.inbound_flow();
        self.see_version(now, header.version);
        let refusal = self.refusal(now, header).filter(|reason| {
            *reason != RefuseReason::Drained || !self.is_answered_copy(&flow, segment)
        });
        if let Some(reason) = refusal {
            self.opening_queue.remove(&flow);
            return self.decline(now, header, flow, reason, actions);
        }
        if self.return_guest(now, header, flow, actions) {
            return;
        }
        self.replace_flow(segment, actions);
        // A flow of another service carries the ramp of that service.
        if header.placement_hint.home.is_none() {
            self.limiter.set_ramp(header.version, header.ramp);
        }
        if !self.accepts(now, header, segment, actions) {
            return;
        }
        if self.awaits_reach(now, &flow, header) {
            return self.queue_opening(now, header, segment, packet, actions);
        }
        if self.is_over_ramp(now) {
            return self.hold_opening(now, header, segment, packet, actions);
        }
        self.opening_queue.remove(&flow);
        let opening = Opening::new(now, header, segment);
        self.accept(now, header, &opening);
        actions.push(AgentAction::ToTarget);
    }

    /// Whether an opening packet goes to the target or into the queue of the ramp. If not, it has
    /// been forwarded or reset. If the target is silent and there is another agent, the packet is
    /// forwarded, and from time to time also goes to the target, to find out whether it answers
    /// again. A flow that is known here is never redirected or reset.
    fn accepts(
        &mut self,
        now: Timestamp,
        header: &Header,
        segment: &Segment,
        actions: &mut Vec<AgentAction>,
    ) -> bool {
        let flow = segment.inbound_flow();
        if self.health.is_silent(now)
            && let Some(header) = self.to_other_agent(header, &flow)
        {
            self.forward_or_refuse(now, &header, flow, RefuseReason::Silent, actions);
            return !self.is_over_ramp(now) && self.health.take_trial(now);
        }
        if self.flows.peek(&flow).is_some() || self.opening_queue.contains(&flow) {
            return true;
        }
        let hopeless = self.is_hopeless(now, header, segment);
        if let Some((next, onward)) = self.redirect(now, header, &flow, hopeless) {
            self.report(now, header.entry, flow, Verdict::PassedOn, actions);
            actions.push(AgentAction::ToAgents(vec![next], onward));
            return false;
        }
        if hopeless {
            self.shed(now, header, flow, actions);
        }
        !hopeless
    }

    /// Why an opening packet isn't accepted, or `None` if it may go to the target.
    pub(super) fn refusal(&self, now: Timestamp, header: &Header) -> Option<RefuseReason> {
        if header.service != self.service {
            return Some(RefuseReason::Service);
        }
        // Entries receive a new version at slightly different times.
        let grace_over = now.since(self.version_since) > VERSION_GRACE;
        if header.version < self.version && grace_over {
            return Some(RefuseReason::Version);
        }
        if self.is_domain_drained() {
            return Some(RefuseReason::Drained);
        }
        match self.state(now) {
            TargetState::Serving => None,
            TargetState::Draining => Some(RefuseReason::Draining),
            TargetState::Absent => Some(RefuseReason::Absent),
        }
    }

    /// Refuses an opening packet, or forwards it to another agent if one may accept it.
    fn decline(
        &mut self,
        now: Timestamp,
        header: &Header,
        flow: FlowKey,
        reason: RefuseReason,
        actions: &mut Vec<AgentAction>,
    ) {
        match reason {
            RefuseReason::Version => self.refuse(now, header, flow, reason, actions),
            RefuseReason::Drained => self.refuse_drained(now, header, flow, actions),
            _ => self.forward_or_refuse(now, header, flow, reason, actions),
        }
    }

    /// Records that an opening packet goes to the target. Adds its flow if it is new.
    pub(super) fn accept(&mut self, now: Timestamp, header: &Header, opening: &Opening) {
        let flow = opening.flow;
        if let Some(local) = self.flows.touch(now, &flow) {
            local.header = *header;
        } else {
            let mut local = LocalFlow::new(Phase::Opening, *header, opening.first_sent);
            local.guest = header.placement_hint.home.is_some();
            local.opening_seq = Some(opening.seq);
            self.flows.insert(now, flow, local);
            self.openings.begin(now, flow);
            self.open_flows += 1;
        }
        self.health.on_open(now);
        self.limiter.record(now);
    }

    /// Whether new flows must not go to the own target, since its failure domain is drained.
    pub(super) fn is_domain_drained(&self) -> bool {
        self.agents.drains().is_drained(self.options.domain)
    }

    /// Whether the packet is a copy of the opening packet of a flow that the target has answered,
    /// and so holds open.
    fn is_answered_copy(&self, flow: &FlowKey, segment: &Segment) -> bool {
        let is_open = |it: &LocalFlow| {
            matches!(it.phase, Phase::Answered | Phase::Open) && it.closed.is_none()
        };
        // The `ack` of an opening packet counts its earlier copies.
        segment.ack > 0 && self.flows.peek(flow).is_some_and(is_open)
    }

    /// Refuses an opening packet since the own failure domain is drained, and forwards it to an agent
    /// in another domain if one is known.
    fn refuse_drained(
        &mut self,
        now: Timestamp,
        header: &Header,
        flow: FlowKey,
        actions: &mut Vec<AgentAction>,
    ) {
        let onward = self.to_other_agent(header, &flow);
        let onward = onward.unwrap_or(Header {
            other: None,
            ..*header
        });
        self.forward_or_refuse(now, &onward, flow, RefuseReason::Drained, actions);
    }

    /// Removes a flow with a queued request if its client has repeated the opening packet of
    /// another flow between the same addresses, which replaces it.
    fn replace_flow(&mut self, segment: &Segment, actions: &mut Vec<AgentAction>) {
        let flow = segment.inbound_flow();
        let known = self.flows.peek(&flow).and_then(|it| it.opening_seq);
        // The first copy may be an old packet that was delayed.
        let replaces = segment.ack > 0 && known.is_some_and(|it| it != segment.seq);
        if replaces && self.slot_queue.is_queued(&flow) {
            self.forget_request(&flow);
            self.flows.remove(&flow);
            actions.push(AgentAction::ClientGone(flow));
        }
    }

    /// Whether the request of a new flow can't be answered before its client times out. Uploads
    /// don't wait for slots.
    fn is_hopeless(&self, now: Timestamp, header: &Header, segment: &Segment) -> bool {
        let new = NewFlow {
            flow: segment.inbound_flow(),
            work: header.work,
            waited: now.since(Opening::new(now, header, segment).first_sent),
            opening: self.openings.len(),
            slow_start: self.target.slow_start(now),
        };
        let is_upload = header.work.class == WorkClass::Upload;
        let slots = self.slot_queue.observer().limit(self.slots());
        !is_upload && self.slot_queue.is_hopeless(now, slots, &new)
    }

    /// Resets a flow that isn't open yet and whose request can't be served in time, and reports
    /// that to the entry.
    fn shed(&self, now: Timestamp, header: &Header, flow: FlowKey, actions: &mut Vec<AgentAction>) {
        let verdict = Verdict::Refused(RefuseReason::Overloaded);
        self.report(now, header.entry, flow, verdict, actions);
        // The client has received nothing that the reset could follow.
        let reset = Reset { flow, seq: 0 };
        actions.push(AgentAction::Reset(reset, ResetReason::Overloaded));
    }

    /// Forwards an opening packet to the alternate agent, or drops it if the header names no other
    /// agent. Reports the refusal and its reason to the entry in both cases.
    pub(super) fn forward_or_refuse(
        &mut self,
        now: Timestamp,
        header: &Header,
        flow: FlowKey,
        reason: RefuseReason,
        actions: &mut Vec<AgentAction>,
    ) {
        let Some(other) = self.alternate(header, &flow) else {
            return self.refuse(now, header, flow, reason, actions);
        };
        self.report(now, header.entry, flow, Verdict::Refused(reason), actions);
        actions.push(AgentAction::ToAgents(vec![other], guest::onward(header)));
    }

    /// Drops a packet and reports the refusal and its reason to the entry.
    pub(super) fn refuse(
        &mut self,
        now: Timestamp,
        header: &Header,
        flow: FlowKey,
        reason: RefuseReason,
        actions: &mut Vec<AgentAction>,
    ) {
        self.report(now, header.entry, flow, Verdict::Refused(reason), actions);
        actions.push(AgentAction::Drop(DropReason::Refused(reason)));
    }

    /// Reports the state of a flow to an entry.
    pub(super) fn report(
        &self,
        now: Timestamp,
        entry: InstanceId,
        flow: FlowKey,
        verdict: Verdict,
        actions: &mut Vec<AgentAction>,
    ) {
        let report = FlowReport {
            flow,
            verdict,
            load: self.load(now),
            version: self.version,
        };
        actions.push(AgentAction::ToEntry(entry, report));
    }
}

/// When the client sent its first opening packet, estimated from the number of retransmissions.
/// More than two count as two.
pub(super) fn first_sent_at(now: Timestamp, retransmissions: u32) -> Timestamp {
    let ago = match retransmissions {
        0 => Duration::ZERO,
        1 => FIRST_RETRANSMIT,
        _ => SECOND_RETRANSMIT,
    };
    Timestamp::from_micros(now.as_micros().saturating_sub(ago.as_micros() as u64))
}
