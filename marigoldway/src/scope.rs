//! The addresses at which agents may be.

use marigoldway_core::forward::AgentScope;
use marigoldway_core::ids::InstanceId;

use crate::settings::Subnet;

/// `AgentNetworks` holds the networks of the settings in which agents run.
#[derive(Clone, Debug)]
pub struct AgentNetworks(pub Vec<Subnet>);

impl AgentScope for AgentNetworks {
    fn contains(&self, id: InstanceId) -> bool {
        self.0.iter().any(|subnet| subnet.contains(*id.0.ip()))
    }
}
