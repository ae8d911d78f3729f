//! Exchanges searches and hellos with the other agents of the service.
//!
//! A search finds the agent whose target holds a flow. A hello is the message by which an agent
//! announces itself.

use std::time::Duration;

use crate::flow::agent::AgentFlows;
use crate::flow::agent::actions::AgentAction;
use crate::flow::agent::local::Phase;
use crate::flow::agent::register::MAX_FLOWS_PER_MESSAGE;
use crate::flow::key::FlowKey;
use crate::flow::message::AgentRecord;
use crate::flow::message::DirectoryEntry;
use crate::flow::message::Verdict;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Minimum time between two rounds of queries and replies of searches.
pub const FLUSH_INTERVAL: Duration = Duration::from_millis(20);

/// Time from an agent's first hello to the second, in case the first is lost.
const HELLO_REPEAT: Duration = Duration::from_millis(100);

/// Time between later hellos. It is shorter than the time for which an agent without a record in
/// the store stays known to its peers.
const HELLO_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of rounds of hellos of an agent that is new or registered again. The store has told
/// its peers of it long before the last one.
const MAX_HELLOS: u32 = 12;

impl AgentFlows {
    /// Handles another agent's query, on behalf of `entry`, for flows that the target may hold.
    /// Tells both which flows it holds. Flows on which this agent has no knowledge get no reply.
    pub fn on_query(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        entry: InstanceId,
        flows: &[FlowKey],
        actions: &mut Vec<AgentAction>,
    ) {
        let complete = self.is_complete(now);
        let mut held = Vec::new();
        for flow in flows {
            if let Some(local) = self.flows.peek(flow) {
                // The target may not hold a flow that it is only tried for.
                if local.phase != Phase::Visiting {
                    held.push(DirectoryEntry {
                        flow: *flow,
                        origin: local.origin,
                    });
                    self.report(now, entry, *flow, Verdict::Holds, actions);
                }
            } else if self.has_other_owner(flow) {
                // Another agent holds it, whether or not the searching agent knows.
            } else if complete || self.searches.is_not_held(now, flow) {
                self.searches.add_reply(from, *flow);
            }
        }
        if !held.is_empty() {
            actions.push(AgentAction::ToDirectory(from, self.directory_update(held)));
        }
        self.flush_searches(now, actions);
    }

    /// Whether this agent has announced itself to the agents that may search for its flows, or knows
    /// no other one. Only then may the agent be registered: a search by agents that don't know a
    /// joining agent would report its flows as gone.
    pub fn is_announced(&self) -> bool {
        self.hellos.0 > 0 || self.peers().next().is_none()
    }

    /// Starts the rounds of hellos anew: the agent's record was gone, or it has another target. Peers
    /// that don't hear from the store may not know the agent any more.
    pub fn announce_again(&mut self) {
        self.hellos = (0, Timestamp::ZERO);
    }

    /// Announces this agent to the agents that may search for its flows if the next round of hellos
    /// is due. The rounds repeat while the store may not have told them yet.
    pub(super) fn send_hello(&mut self, now: Timestamp, actions: &mut Vec<AgentAction>) {
        let (count, last) = self.hellos;
        let interval = match count {
            0 => Duration::ZERO,
            1 => HELLO_REPEAT,
            _ => HELLO_INTERVAL,
        };
        if count >= MAX_HELLOS || now.since(last) < interval || self.is_idle() {
            return;
        }
        let own = self.hello(now).record;
        let peers: Vec<InstanceId> = self.agents.searchers(&own).into_iter().collect();
        if peers.is_empty() {
            return;
        }
        self.hellos = (count + 1, now);
        actions.push(AgentAction::SendHello(peers));
    }

    /// Whether another agent registered the flow here.
    fn has_other_owner(&self, flow: &FlowKey) -> bool {
        let owners = self.directory.peek(flow).into_iter().flatten();
        owners.into_iter().any(|(id, _)| *id != self.options.own)
    }

    /// Whether queries or replies of searches are collected for the next round. The caller calls
    /// [`AgentFlows::flush_searches`] after [`FLUSH_INTERVAL`].
    pub fn has_queued_searches(&self) -> bool {
        self.searches.has_queued()
    }

    /// Sends the collected queries and replies of searches, unless the last round was less than
    /// [`FLUSH_INTERVAL`] ago.
    pub fn flush_searches(&mut self, now: Timestamp, actions: &mut Vec<AgentAction>) {
        if now.since(self.last_flush) < FLUSH_INTERVAL {
            return;
        }
        self.last_flush = now;
        for ((agent, entry), flows) in self.searches.take_queries() {
            for part in flows.chunks(MAX_FLOWS_PER_MESSAGE) {
                actions.push(AgentAction::Query(agent, entry, part.to_vec()));
            }
        }
        for (searcher, flows) in self.searches.take_replies() {
            for part in flows.chunks(MAX_FLOWS_PER_MESSAGE) {
                actions.push(AgentAction::ToSearcher(searcher, part.to_vec()));
            }
        }
    }

    /// Records of the other known agents of the service.
    pub(super) fn peers(&self) -> impl Iterator<Item = &AgentRecord> {
        let ids = self.agents.of_service(self.service).iter();
        ids.filter(|id| **id != self.options.own)
            .filter_map(|id| self.agents.record(*id))
    }
}
