//! Handles packets that the target sends or returns.

use std::time::Duration;

use crate::flow::agent::AgentAction;
use crate::flow::agent::AgentFlows;
use crate::flow::agent::DropReason;
use crate::flow::agent::ResetReason;
use crate::flow::agent::local::LocalFlow;
use crate::flow::agent::local::Phase;
use crate::flow::agent::locate;
use crate::flow::capacity::observer::RequestEnd;
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
    /// Handles a packet that the target sent, or a client's packet that it returned.
    pub fn on_target(&mut self, now: Timestamp, segment: &Segment, actions: &mut Vec<AgentAction>) {
        self.on_packet(now, segment, actions);
        self.record_occupancy(now);
    }

    fn on_packet(&mut self, now: Timestamp, segment: &Segment, actions: &mut Vec<AgentAction>) {
        self.health.on_packet();
        if segment.flags.bounced {
            return self.on_bounced(now, segment, actions);
        }
        let flow = segment.outbound_flow();
        if segment.flags.rst {
            return self.on_target_reset(now, flow, actions);
        }
        actions.push(AgentAction::ToClient);
        let Some(local) = self.flows.touch(now, &flow) else {
            return self.add_preexisting(now, flow, segment, actions);
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
        let moved = local.advance_origin();
        if matches!(before, Phase::Opening | Phase::Visiting) {
            let entry = local.header.entry;
            self.register(now, flow, actions);
            self.report(now, entry, flow, Verdict::Holds, actions);
        } else if moved {
            self.register(now, flow, actions);
        }
        if answered {
            self.end_request(now, &flow, segment, actions);
            self.release(now, actions);
        }
    }

    /// Ends the running request of a flow, if there is one, which the target has answered.
    fn end_request(
        &mut self,
        now: Timestamp,
        flow: &FlowKey,
        segment: &Segment,
        actions: &mut Vec<AgentAction>,
    ) {
        let failed = match segment.answer {
            Some(answer) => answer == Answer::Failed,
            // The flow ends without an answer.
            None => segment.len == 0,
        };
        let end = if failed {
            RequestEnd::Discarded
        } else {
            RequestEnd::Answered
        };
        if let Some(took) = self.slot_queue.end(now, flow, end) {
            self.health.record_request(now, failed);
            actions.push(AgentAction::Answered(*flow, took));
        }
    }

    /// Handles a reset by the target. If no process listens at the target's address, the
    /// instance itself sends the reset, also for flows that other targets hold. The reset therefore
    /// goes to the client only if the target has answered the flow, or if the flow is unknown here
    /// and not recorded as not held by the target.
    fn on_target_reset(&mut self, now: Timestamp, flow: FlowKey, actions: &mut Vec<AgentAction>) {
        let local = self.flows.remove(&flow);
        let phase = local.as_ref().map(|it| it.phase);
        actions.push(AgentAction::TargetReset(flow, phase));
        let held_elsewhere = match phase {
            Some(Phase::Opening | Phase::Visiting) => true,
            Some(Phase::Answered | Phase::Open) => false,
            // Several packets of the flow were tried at the target, which resets each of them. The
            // first reset removed the flow and recorded it as not held.
            None => self.searches.is_not_held(now, &flow),
        };
        if held_elsewhere {
            self.searches.record_not_held(now, flow);
            if let Some(local) = local {
                self.reply_not_held(now, &local.header, flow, actions);
            }
            actions.push(AgentAction::Drop(DropReason::Unknown));
        } else {
            actions.push(AgentAction::ToClient);
        }
        let end = RequestEnd::Discarded;
        if self.slot_queue.end(now, &flow, end).is_some() {
            self.health.record_request(now, true);
        }
        self.forget_request(&flow);
        self.release(now, actions);
    }

    /// Adds a flow that the target holds and that this process hasn't seen before.
    fn add_preexisting(
        &mut self,
        now: Timestamp,
        flow: FlowKey,
        segment: &Segment,
        actions: &mut Vec<AgentAction>,
    ) {
        let mut local = LocalFlow::new(Phase::Open, self.unknown_header(), now);
        local.preexisting = true;
        local.origin = segment.seq;
        local.on_target(now, segment);
        self.flows.insert(now, flow, local);
        self.register(now, flow, actions);
    }

    /// Registers one flow at its directory agents, the agents that store the owner of a flow.
    fn register(&mut self, now: Timestamp, flow: FlowKey, actions: &mut Vec<AgentAction>) {
        self.searches.on_found(&flow);
        self.served_addrs.add(now, flow.server);
        let Some(local) = self.flows.peek(&flow) else {
            return;
        };
        let held = DirectoryEntry {
            flow,
            origin: local.origin,
        };
        for agent in locate::directory_agents(&self.agents, self.service, &flow) {
            if agent == self.options.own {
                self.add_owner(now, agent, &held);
            } else {
                let update = self.directory_update(vec![held]);
                actions.push(AgentAction::ToDirectory(agent, update));
            }
        }
    }

    /// Handles a client's packet that the target returned. An opening packet goes to the alternate
    /// agent, or is refused if there is none. A packet of an unknown or a closed flow is dropped. A
    /// flow that the target had held is reset. For any other flow, the owner is located.
    fn on_bounced(&mut self, now: Timestamp, segment: &Segment, actions: &mut Vec<AgentAction>) {
        let flow = segment.inbound_flow();
        self.forget_request(&flow);
        self.release(now, actions);
        let Some(local) = self.flows.remove(&flow) else {
            return actions.push(AgentAction::Drop(DropReason::Unknown));
        };
        if segment.opens() {
            let reason = RefuseReason::Bounced;
            return self.forward_or_refuse(now, &local.header, flow, reason, actions);
        }
        self.remove_owner(now, &flow, self.options.own);
        if local.closed.is_some() {
            return actions.push(AgentAction::Drop(DropReason::Closed));
        }
        if local.phase == Phase::Open && local.fits(segment) {
            let seq = segment.ack;
            let reset = Reset { flow, seq };
            return actions.push(AgentAction::Reset(reset, ResetReason::TargetForgot));
        }
        self.searches.record_not_held(now, flow);
        self.locate(now, &local.header, segment, actions);
    }

    /// Header for a flow of which this process has seen no packet of the client.
    fn unknown_header(&self) -> Header {
        Header {
            intent: Intent::Owned,
            hops: 0,
            service: self.service,
            version: self.version,
            entry: self.options.own,
            other: None,
            search: false,
            work: Work {
                class: WorkClass::Unsafe,
                priority: u8::MAX,
                objective: Duration::ZERO,
                timeout: self.options.idle_timeout,
            },
            placement_hint: PlacementHint::default(),
            ramp: None,
            waited: Duration::ZERO,
        }
    }
}
