//! Packets that the target writes or gives back.

use std::time::Duration;

use crate::flow::agent::AgentFlows;
use crate::flow::agent::AgentStep;
use crate::flow::agent::DropReason;
use crate::flow::agent::ResetReason;
use crate::flow::agent::local::LocalFlow;
use crate::flow::agent::local::Phase;
use crate::flow::agent::locate;
use crate::flow::key::FlowKey;
use crate::flow::message::DirectoryEntry;
use crate::flow::message::Header;
use crate::flow::message::Intent;
use crate::flow::message::PlacementHint;
use crate::flow::message::RefuseReason;
use crate::flow::message::Verdict;
use crate::flow::routes::Work;
use crate::flow::routes::WorkClass;
use crate::flow::segment::Answer;
use crate::flow::segment::Reset;
use crate::flow::segment::Segment;
use crate::time::Timestamp;

impl AgentFlows {
    /// Takes a packet that the target wrote or gave back.
    pub fn on_target(&mut self, now: Timestamp, segment: &Segment, steps: &mut Vec<AgentStep>) {
        self.health.hear();
        if segment.flags.bounced {
            return self.on_bounced(now, segment, steps);
        }
        let flow = segment.outbound_flow();
        if segment.flags.rst {
            return self.on_target_reset(now, flow, steps);
        }
        steps.push(AgentStep::ToClient);
        let Some(local) = self.flows.touch(now, &flow) else {
            return self.learn(now, flow, segment, steps);
        };
        let before = local.phase;
        local.phase = match before {
            Phase::Opening | Phase::Answered if segment.flags.syn => Phase::Answered,
            Phase::Opening | Phase::Answered | Phase::Visiting | Phase::Open => Phase::Open,
        };
        if matches!(before, Phase::Opening | Phase::Visiting) {
            local.origin = segment.seq;
        }
        let answered = local.on_target(now, segment);
        if matches!(before, Phase::Opening | Phase::Visiting) {
            let entry = local.header.entry;
            self.announce(now, flow, steps);
            self.tell(now, entry, flow, Verdict::Holds, steps);
        }
        if answered {
            if let Some(took) = self.gate.finish(now, &flow) {
                let failed = match segment.answer {
                    Some(answer) => answer == Answer::Failed,
                    // The flow ends without an answer.
                    None => segment.len == 0,
                };
                self.health.finish(now, failed);
                steps.push(AgentStep::Answered(flow, took));
            }
            self.release(now, steps);
        }
    }

    /// The target breaks a flow off. Where no process listens at its address, the
    /// instance itself answers so, for flows that live elsewhere too: the client
    /// is told of those alone that the target has answered.
    fn on_target_reset(&mut self, now: Timestamp, flow: FlowKey, steps: &mut Vec<AgentStep>) {
        let phase = self.flows.remove(&flow).map(|it| it.phase);
        steps.push(AgentStep::TargetReset(flow, phase));
        let foreign = match phase {
            Some(Phase::Opening | Phase::Visiting) => true,
            Some(Phase::Answered | Phase::Open) => false,
            // Each of a visiting flow's packets is answered.
            None => self.searches.lacks(now, &flow),
        };
        if foreign {
            self.searches.lack(now, flow);
            steps.push(AgentStep::Drop(DropReason::Unknown));
        } else {
            steps.push(AgentStep::ToClient);
        }
        if self.gate.finish(now, &flow).is_some() {
            self.health.finish(now, true);
        }
        self.forget_request(&flow);
        self.release(now, steps);
    }

    /// A flow that the target holds and that this process hasn't seen yet.
    fn learn(
        &mut self,
        now: Timestamp,
        flow: FlowKey,
        segment: &Segment,
        steps: &mut Vec<AgentStep>,
    ) {
        let mut local = LocalFlow::new(Phase::Open, self.unknown_header(), now);
        local.learned = true;
        local.origin = segment.seq;
        local.on_target(now, segment);
        self.flows.insert(now, flow, local);
        self.announce(now, flow, steps);
    }

    /// Registers one flow at its homes.
    fn announce(&mut self, now: Timestamp, flow: FlowKey, steps: &mut Vec<AgentStep>) {
        self.searches.found(&flow);
        let Some(local) = self.flows.peek(&flow) else {
            return;
        };
        let registered = DirectoryEntry {
            flow,
            origin: local.origin,
        };
        for home in locate::homes(&self.agents, self.service, &flow) {
            if home == self.options.own {
                self.home(now, home, &registered);
            } else {
                let registration = self.registration(vec![registered]);
                steps.push(AgentStep::ToHome(home, registration));
            }
        }
    }

    /// A client's packet that the target doesn't take.
    fn on_bounced(&mut self, now: Timestamp, segment: &Segment, steps: &mut Vec<AgentStep>) {
        let flow = segment.inbound_flow();
        self.forget_request(&flow);
        self.release(now, steps);
        let Some(local) = self.flows.remove(&flow) else {
            return steps.push(AgentStep::Drop(DropReason::Unknown));
        };
        if segment.opens() {
            let reason = RefuseReason::Bounced;
            return self.turn_away(now, &local.header, flow, reason, steps);
        }
        self.disown(now, &flow, self.options.own);
        if local.closed.is_some() {
            return steps.push(AgentStep::Drop(DropReason::Closed));
        }
        if local.phase == Phase::Open && local.fits(segment) {
            let seq = segment.ack;
            let reset = Reset { flow, seq };
            return steps.push(AgentStep::Reset(reset, ResetReason::TargetForgot));
        }
        self.searches.lack(now, flow);
        self.find(now, &local.header, segment, steps);
    }

    /// The header of a flow of which no client's packet was seen.
    fn unknown_header(&self) -> Header {
        Header {
            intent: Intent::Owned,
            hops: 0,
            service: self.service,
            version: self.version,
            entry: self.options.own,
            other: None,
            single_service: false,
            work: Work {
                class: WorkClass::Unsafe,
                priority: u8::MAX,
                objective: Duration::ZERO,
                timeout: self.options.life,
            },
            placement_hint: PlacementHint::default(),
        }
    }
}
