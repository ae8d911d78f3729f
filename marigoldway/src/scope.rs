//! Limits the addresses to which an entry sends packets for agents that its roster doesn't contain.
//! The roster is the list of all entries and agents that the entry knows.

use marigoldway_core::forward::AgentScope;
use marigoldway_core::ids::InstanceId;

use crate::settings::Subnet;

/// Networks in which agents run, from the settings.
#[derive(Clone, Debug)]
pub struct AgentNetworks(pub Vec<Subnet>);

impl AgentScope for AgentNetworks {
    fn contains(&self, id: InstanceId) -> bool {
        self.0.iter().any(|subnet| subnet.contains(*id.0.ip()))
    }
}
