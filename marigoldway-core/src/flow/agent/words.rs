//! What an agent and the others of its service tell each other of searches and
//! of themselves.

use std::time::Duration;

use crate::flow::agent::AgentFlows;
use crate::flow::agent::register::REGISTRATION_LEN;
use crate::flow::agent::steps::AgentStep;
use crate::flow::agent::steps::ResetReason;
use crate::flow::key::FlowKey;
use crate::flow::message::AgentRecord;
use crate::flow::message::DirectoryEntry;
use crate::flow::segment::Reset;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Time between two rounds of questions and answers of searches.
const CONVERSE_INTERVAL: Duration = Duration::from_millis(20);

/// Time from an agent's first greeting to the second, should the first be lost.
const GREETING_REPEAT: Duration = Duration::from_millis(100);

/// Time between later greetings: less than an agent without a listing is known.
const GREETING_INTERVAL: Duration = Duration::from_secs(1);

/// Greetings of a new process: the store has told its peers long before.
const GREETINGS_MAX: u32 = 12;

impl AgentFlows {
    /// Takes another agent's word that its target lacks flows that are searched
    /// here.
    pub fn on_lack(&mut self, from: InstanceId, flows: &[FlowKey], steps: &mut Vec<AgentStep>) {
        for flow in flows {
            let Some(seq) = self.searches.on_lack(from, flow) else {
                continue;
            };
            if self.flows.peek(flow).is_none() {
                let reset = Reset { flow: *flow, seq };
                steps.push(AgentStep::Reset(reset, ResetReason::NobodyHolds));
            }
        }
    }

    /// Takes another agent's question which flows the target holds. Whoever
    /// doesn't know says nothing.
    pub fn on_inquiry(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        flows: &[FlowKey],
        steps: &mut Vec<AgentStep>,
    ) {
        let complete = self.is_complete(now);
        let mut held = Vec::new();
        for flow in flows {
            if let Some(local) = self.flows.peek(flow) {
                held.push(DirectoryEntry {
                    flow: *flow,
                    origin: local.origin,
                });
            } else if self.has_other_owner(flow) {
                // Another agent holds it, whether or not the asker knows it.
            } else if complete || self.searches.lacks(now, flow) {
                self.searches.answer(from, *flow);
            }
        }
        if !held.is_empty() {
            steps.push(AgentStep::ToHome(from, self.registration(held)));
        }
        self.converse(now, steps);
    }

    /// Whether the known agents of the service were told of this one. Only then
    /// may it be listed: a flow that is searched among agents that don't know
    /// of a newcomer would be taken for gone.
    pub fn is_introduced(&self) -> bool {
        self.greetings.0 > 0 || self.peers().next().is_none()
    }

    /// Tells the known agents of the service of this one, again and again while
    /// the store may not have told them yet.
    pub(super) fn greet(&mut self, now: Timestamp, steps: &mut Vec<AgentStep>) {
        let (count, last) = self.greetings;
        let interval = match count {
            0 => Duration::ZERO,
            1 => GREETING_REPEAT,
            _ => GREETING_INTERVAL,
        };
        if count >= GREETINGS_MAX || now.since(last) < interval {
            return;
        }
        let peers: Vec<InstanceId> = self.peers().map(|record| record.id).collect();
        if peers.is_empty() {
            return;
        }
        self.greetings = (count + 1, now);
        steps.push(AgentStep::Greet(peers));
    }

    /// Whether another agent registered a flow here.
    fn has_other_owner(&self, flow: &FlowKey) -> bool {
        let owners = self.homed.peek(flow).into_iter().flatten();
        owners.into_iter().any(|(id, _)| *id != self.options.own)
    }

    /// Sends the questions and answers of searches that have gathered, not too
    /// often.
    pub(super) fn converse(&mut self, now: Timestamp, steps: &mut Vec<AgentStep>) {
        if now.since(self.asked) < CONVERSE_INTERVAL {
            return;
        }
        self.asked = now;
        let (questions, answers) = self.searches.take();
        let complete = self.peers().filter(|record| record.complete);
        let complete: Vec<InstanceId> = complete.map(|record| record.id).collect();
        for part in questions.chunks(REGISTRATION_LEN) {
            steps.push(AgentStep::Inquire(complete.clone(), part.to_vec()));
        }
        for (searcher, flows) in answers {
            for part in flows.chunks(REGISTRATION_LEN) {
                steps.push(AgentStep::ToSearcher(searcher, part.to_vec()));
            }
        }
    }

    /// The records of the other agents of the service.
    pub(super) fn peers(&self) -> impl Iterator<Item = &AgentRecord> {
        let ids = self.agents.of_service(self.service).iter();
        ids.filter(|id| **id != self.options.own)
            .filter_map(|id| self.agents.record(*id))
    }
}
