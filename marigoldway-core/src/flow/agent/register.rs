//! Registration of flows at their homes.

use indexmap::IndexMap;

use crate::flow::agent::AgentFlows;
use crate::flow::agent::local::Phase;
use crate::flow::agent::locate;
use crate::flow::agent::steps::AgentStep;
use crate::flow::message::DirectoryEntry;
use crate::flow::message::DirectoryUpdate;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Flows named by one registration at most, so that it fits a datagram.
pub const REGISTRATION_LEN: usize = 64;

impl AgentFlows {
    /// Registers every flow at its homes.
    pub(super) fn register_all(&mut self, now: Timestamp, steps: &mut Vec<AgentStep>) {
        let mut homes: IndexMap<InstanceId, Vec<DirectoryEntry>> = IndexMap::new();
        for (key, flow) in self.flows.iter() {
            if flow.phase == Phase::Visiting || flow.closed.is_some() {
                continue;
            }
            let registered = DirectoryEntry {
                flow: *key,
                origin: flow.origin,
            };
            for home in locate::homes(&self.agents, self.service, key) {
                homes.entry(home).or_default().push(registered);
            }
        }
        for (home, flows) in homes {
            if home == self.options.own {
                for registered in &flows {
                    self.home(now, home, registered);
                }
                continue;
            }
            for part in flows.chunks(REGISTRATION_LEN) {
                steps.push(AgentStep::ToHome(home, self.registration(part.to_vec())));
            }
        }
    }

    pub(super) fn registration(&self, flows: Vec<DirectoryEntry>) -> DirectoryUpdate {
        DirectoryUpdate {
            service: self.service,
            owner: self.options.own,
            flows,
        }
    }
}
