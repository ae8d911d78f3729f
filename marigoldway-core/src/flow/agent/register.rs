//! Registers flows at their directory agents, the agents that store which agent's target holds a
//! flow.

use indexmap::IndexMap;

use crate::flow::agent::AgentFlows;
use crate::flow::agent::actions::AgentAction;
use crate::flow::agent::local::Phase;
use crate::flow::agent::locate;
use crate::flow::message::DirectoryEntry;
use crate::flow::message::DirectoryUpdate;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Maximum number of flows in one message between agents, so that it fits a datagram.
pub const MAX_FLOWS_PER_MESSAGE: usize = 64;

impl AgentFlows {
    /// Registers every flow in the table at its directory agents, except flows that are closed or
    /// that the target is only tried for.
    pub(super) fn register_all(&mut self, now: Timestamp, actions: &mut Vec<AgentAction>) {
        let mut by_agent: IndexMap<InstanceId, Vec<DirectoryEntry>> = IndexMap::new();
        for (key, flow) in self.flows.iter() {
            if flow.phase == Phase::Visiting || flow.closed.is_some() {
                continue;
            }
            let held = DirectoryEntry {
                flow: *key,
                origin: flow.origin,
            };
            for agent in locate::directory_agents(&self.agents, self.service, key) {
                by_agent.entry(agent).or_default().push(held);
            }
        }
        for (agent, flows) in by_agent {
            if agent == self.options.own {
                for held in &flows {
                    self.add_owner(now, agent, held);
                }
                continue;
            }
            for part in flows.chunks(MAX_FLOWS_PER_MESSAGE) {
                actions.push(AgentAction::ToDirectory(
                    agent,
                    self.directory_update(part.to_vec()),
                ));
            }
        }
    }

    /// Message that the target of this agent holds these flows.
    pub(super) fn directory_update(&self, flows: Vec<DirectoryEntry>) -> DirectoryUpdate {
        DirectoryUpdate {
            service: self.service,
            owner: self.options.own,
            flows,
        }
    }
}
