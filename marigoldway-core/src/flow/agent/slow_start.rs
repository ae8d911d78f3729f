//! Keeps the rate of opening packets to a target in slow start within the ramp.
//!
//! The ramp is the rate that a target can handle during its slow start, from the configuration of
//! the entry. A packet over it goes to another candidate. If none accepts it, it waits here, no
//! longer than its client does. A packet that would wait longer is rejected at once: its flow is
//! reset before it is open, so that the client ends the attempt. A packet of a flow that searches
//! wouldn't look for here waits in the same queue until the store has the own record with the reach
//! that the flow needs.

use std::num::NonZeroU32;
use std::time::Duration;

use crate::flow::agent::AgentFlows;
use crate::flow::agent::ResetReason;
use crate::flow::agent::actions::AgentAction;
use crate::flow::agent::actions::DropReason;
use crate::flow::agent::actions::ReleasedOpening;
use crate::flow::agent::guest;
use crate::flow::agent::open::Opening;
use crate::flow::agent::ramp::QueuedOpening;
use crate::flow::agent::redirect::MAX_REDIRECTS;
use crate::flow::key::FlowKey;
use crate::flow::message::Header;
use crate::flow::message::LoadLevel;
use crate::flow::message::PlacementHint;
use crate::flow::message::RefuseReason;
use crate::flow::message::Verdict;
use crate::flow::segment::Reset;
use crate::flow::segment::Segment;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Wait that counts as one further request for each slot. It is the slot queue's assumption of the
/// time of a request.
const WAIT_PER_LOAD: Duration = Duration::from_millis(30);

/// Interval between two checks for the reach of the own record in the store, while a flow waits for
/// it. A write takes a few milliseconds.
const REACH_POLL: Duration = Duration::from_millis(10);

impl AgentFlows {
    /// Whether sending a further opening packet now, after the queued ones, would exceed the ramp.
    pub(super) fn is_over_ramp(&self, now: Timestamp) -> bool {
        let queued = self.opening_queue.len();
        let ramp = self.active_ramp(now);
        ramp.is_some_and(|it| self.limiter.free_at(now, it, queued) > now)
    }

    /// The ramp, if the target is in slow start and a ramp is specified.
    fn active_ramp(&self, now: Timestamp) -> Option<NonZeroU32> {
        let in_slow_start = !self.target.slow_start(now).is_zero();
        self.limiter.ramp().filter(|_| in_slow_start)
    }

    /// Handles an opening packet over the ramp: forwards it to another candidate, queues it, or
    /// resets its flow. A copy of a packet that the target has received is never answered by a
    /// reset, since the flow may be open.
    pub(super) fn hold_opening(
        &mut self,
        now: Timestamp,
        header: &Header,
        segment: &Segment,
        packet: &[u8],
        actions: &mut Vec<AgentAction>,
    ) {
        let flow = segment.inbound_flow();
        let is_known = self.flows.peek(&flow).is_some() || self.opening_queue.contains(&flow);
        if !is_known && let Some((next, onward)) = self.onward(now, header, &flow) {
            self.report(now, header.entry, flow, Verdict::PassedOn, actions);
            actions.push(AgentAction::OpeningPassedOn);
            return actions.push(AgentAction::ToAgents(vec![next], onward));
        }
        self.queue_opening(now, header, segment, packet, actions);
    }

    /// Queues an opening packet until the ramp and the reach of the own record allow it. Resets its
    /// flow if it would wait for longer than its client does.
    pub(super) fn queue_opening(
        &mut self,
        now: Timestamp,
        header: &Header,
        segment: &Segment,
        packet: &[u8],
        actions: &mut Vec<AgentAction>,
    ) {
        let flow = segment.inbound_flow();
        if self.opening_queue.contains(&flow) {
            return actions.push(AgentAction::Drop(DropReason::Held));
        }
        let is_known = self.flows.peek(&flow).is_some();
        let opening = QueuedOpening {
            opening: Opening::new(now, header, segment),
            header: *header,
            packet: packet.to_vec(),
            since: now,
        };
        let position = self.opening_queue.position(&opening);
        let ready = self.ready_at(now, position);
        if self.opening_queue.is_full() || ready > opening.deadline() {
            return self.reject_opening(&opening, ResetReason::SlowStart, actions);
        }
        self.opening_queue.push(opening);
        actions.push(AgentAction::OpeningQueued(flow, ready.since(now)));
        if !is_known {
            // The entry sends the copies of the packet here too.
            self.report(now, header.entry, flow, Verdict::Holds, actions);
        }
    }

    /// When the queued packet at a position may be sent: within the ramp, or at the end of the slow
    /// start.
    fn ready_at(&self, now: Timestamp, position: usize) -> Timestamp {
        let Some(ramp) = self.active_ramp(now) else {
            return now;
        };
        let slow_start_end = now + self.target.slow_start(now);
        self.limiter
            .free_at(now, ramp, position)
            .min(slow_start_end)
    }

    /// The load that a new flow finds here. While the ramp is exceeded, it includes the wait, so that
    /// a packet isn't sent to the agent as the least loaded one.
    pub(super) fn offered_level(&self, now: Timestamp, header: &Header) -> LoadLevel {
        let level = self.load_level(now, header);
        let wait = self.ready_at(now, self.opening_queue.len()).since(now);
        if wait.is_zero() {
            return level;
        }
        let requests = wait.as_secs_f64() / WAIT_PER_LOAD.as_secs_f64();
        LoadLevel::from(f64::from(level.0) / 100.0 + requests)
    }

    /// The next agent for an opening packet over the ramp, with the header to send. After
    /// `MAX_REDIRECTS` agents, or if no other candidate is left, it is the least loaded one so far,
    /// which then keeps the packet. `None` if this agent keeps it.
    fn onward(
        &self,
        now: Timestamp,
        header: &Header,
        flow: &FlowKey,
    ) -> Option<(InstanceId, Header)> {
        let PlacementHint {
            threshold, best, ..
        } = header.placement_hint;
        // An entry sends the maximum threshold itself for a flow that it takes for known here.
        if threshold == LoadLevel::MAX && header.hops > 0 {
            return None;
        }
        let own = (self.options.own, self.offered_level(now, header));
        let best = best.filter(|it| it.1 <= own.1 && !self.agents.is_drained(it.0));
        let best = best.unwrap_or(own);
        let mut onward = Header {
            hops: header.hops.saturating_add(1),
            other: None,
            ..*header
        };
        onward.placement_hint.best = Some(best);
        let next = self.pick_peer(header, flow);
        if let Some(next) = next.filter(|_| header.hops < MAX_REDIRECTS) {
            return Some((next, onward));
        }
        onward.placement_hint.threshold = LoadLevel::MAX;
        (best.0 != own.0).then_some((best.0, onward))
    }

    /// Sends the queued opening packets that are within the ramp. The state of the target is checked
    /// again for each.
    pub fn release_openings(&mut self, now: Timestamp, actions: &mut Vec<AgentAction>) {
        while let Some(first) = self.opening_queue.first() {
            let (flow, header) = (first.opening.flow, first.header);
            if self.ready_at(now, 0) > now || self.awaits_reach(now, &flow, &header) {
                return;
            }
            let Some(opening) = self.opening_queue.remove(&flow) else {
                return;
            };
            if let Some(reason) = self.refusal(now, &opening.header) {
                self.move_opening(now, &opening, reason, actions);
            } else if now > opening.deadline() {
                self.reject_opening(&opening, ResetReason::SlowStart, actions);
            } else if self.health.is_silent(now) && self.other_candidate(&opening).is_some() {
                self.move_opening(now, &opening, RefuseReason::Silent, actions);
            } else {
                self.release_opening(now, opening, actions);
            }
        }
    }

    /// When [`release_openings`](AgentFlows::release_openings) next has a packet to send, or `None`
    /// if none is queued.
    pub fn next_opening(&self, now: Timestamp) -> Option<Timestamp> {
        let earliest = if self.reach.is_stored() {
            now
        } else {
            now + REACH_POLL
        };
        (!self.opening_queue.is_empty()).then(|| self.ready_at(now, 0).max(earliest))
    }

    /// Moves or rejects the queued opening packets that this agent no longer accepts, and rejects
    /// those that would wait for too long.
    pub(super) fn review_openings(&mut self, now: Timestamp, actions: &mut Vec<AgentAction>) {
        if self.opening_queue.is_empty() {
            return;
        }
        let refused = self.opening_queue.iter().filter_map(|it| {
            let reason = self.refusal(now, &it.header)?;
            Some((it.opening.flow, reason))
        });
        let refused: Vec<(FlowKey, RefuseReason)> = refused.collect();
        for (flow, reason) in refused {
            if let Some(opening) = self.opening_queue.remove(&flow) {
                self.move_opening(now, &opening, reason, actions);
            }
        }
        for flow in self.late_openings(now) {
            if let Some(opening) = self.opening_queue.remove(&flow) {
                self.reject_opening(&opening, ResetReason::SlowStart, actions);
            }
        }
    }

    /// The queued packets that can't be sent before their deadline: a packet that arrived later
    /// precedes them, or the ramp has become lower.
    fn late_openings(&self, now: Timestamp) -> Vec<FlowKey> {
        let count = self.opening_queue.len();
        let slow_start_end = now + self.target.slow_start(now);
        let times = match self.active_ramp(now) {
            Some(ramp) => self.limiter.free_times(now, ramp, count),
            None => vec![now; count],
        };
        let mut kept = 0;
        let mut late = Vec::new();
        for opening in self.opening_queue.iter() {
            // A packet that is removed leaves its place to the next one.
            if times[kept].min(slow_start_end.max(now)) > opening.deadline() {
                late.push(opening.opening.flow);
            } else {
                kept += 1;
            }
        }
        late
    }

    /// Sends a queued opening packet to the target.
    fn release_opening(
        &mut self,
        now: Timestamp,
        opening: QueuedOpening,
        actions: &mut Vec<AgentAction>,
    ) {
        self.accept(now, &opening.header, &opening.opening);
        actions.push(AgentAction::ReleaseOpening(ReleasedOpening {
            flow: opening.opening.flow,
            waited: now.since(opening.since),
            packet: opening.packet,
        }));
    }

    /// Forwards a queued opening packet that this agent no longer accepts to another candidate,
    /// which accepts, queues or rejects it. The client may have sent its last copy, so without
    /// another candidate the flow is reset.
    fn move_opening(
        &mut self,
        now: Timestamp,
        opening: &QueuedOpening,
        reason: RefuseReason,
        actions: &mut Vec<AgentAction>,
    ) {
        let header = &opening.header;
        self.report(
            now,
            header.entry,
            opening.opening.flow,
            Verdict::Refused(reason),
            actions,
        );
        // A packet of another service, or routed by an old version, has other candidates.
        let is_misrouted = matches!(reason, RefuseReason::Service | RefuseReason::Version);
        let next = self.other_candidate(opening).filter(|_| !is_misrouted);
        let Some(next) = next else {
            return self.reject_opening(opening, ResetReason::Refused(reason), actions);
        };
        let mut onward = guest::onward(header);
        onward.placement_hint.threshold = LoadLevel::MAX;
        onward.placement_hint.best = None;
        onward.waited = waited(now, opening);
        let packet = opening.packet.clone();
        actions.push(AgentAction::MoveOpening(
            next,
            onward,
            opening.opening.flow,
            packet,
        ));
    }

    /// Another serving candidate for a queued opening packet, or the agent to which a flow of another
    /// service returns. `None` for a copy of a packet that the target has received, since the flow
    /// may be open here.
    fn other_candidate(&self, opening: &QueuedOpening) -> Option<InstanceId> {
        let flow = opening.opening.flow;
        if self.flows.peek(&flow).is_some() {
            return None;
        }
        if opening.header.placement_hint.home.is_some() {
            return opening.header.other;
        }
        let header = Header {
            placement_hint: PlacementHint::default(),
            ..opening.header
        };
        self.pick_peer(&header, &flow)
    }

    /// Resets a flow whose opening packet no target has received. Drops a copy of a packet that the
    /// target has received.
    fn reject_opening(
        &self,
        opening: &QueuedOpening,
        reason: ResetReason,
        actions: &mut Vec<AgentAction>,
    ) {
        let flow = opening.opening.flow;
        if self.flows.peek(&flow).is_some() {
            return actions.push(AgentAction::OpeningDropped(flow));
        }
        // The client hasn't received a sequence number that the reset could repeat.
        actions.push(AgentAction::Reset(Reset { flow, seq: 0 }, reason));
    }
}

/// Time that an opening packet has spent in queues of agents so far.
fn waited(now: Timestamp, opening: &QueuedOpening) -> Duration {
    opening.header.waited + now.since(opening.since)
}
