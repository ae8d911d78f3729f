//! Registration of flows at their homes.

use indexmap::IndexMap;

use crate::flow::agent::AgentFlows;
use crate::flow::agent::actions::AgentAction;
use crate::flow::agent::local::Phase;
use crate::flow::agent::locate;
use crate::flow::message::Registered;
use crate::flow::message::Registration;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Flows named by one registration at most, so that it fits a datagram.
pub const REGISTRATION_LEN: usize = 64;

impl AgentFlows {
    /// Registers every flow at its homes.
    pub(super) fn register_all(&mut self, now: Timestamp, actions: &mut Vec<AgentAction>) {
        let mut homes: IndexMap<InstanceId, Vec<Registered>> = IndexMap::new();
        for (key, flow) in self.flows.iter() {
            if flow.phase == Phase::Visiting || flow.closed.is_some() {
                continue;
            }
            let registered = Registered {
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
                actions.push(AgentAction::ToDirectory(
                    home,
                    self.registration(part.to_vec()),
                ));
            }
        }
    }

    pub(super) fn registration(&self, flows: Vec<Registered>) -> Registration {
        Registration {
            service: self.service,
            owner: self.options.own,
            flows,
        }
    }
}
