//! Applies what the store lists beside the agents' records: presence records, the record of moved
//! routes, and the addresses of the services.

use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::flow::entry::EntryFlows;
use crate::flow::key::NameKey;
use crate::flow::route_moves::RouteMoves;
use crate::ids::InstanceId;

impl EntryFlows {
    /// Replaces the agents of which the store has a presence record, with their services. They may hold
    /// flows though they aren't registered.
    pub fn set_present_agents(&mut self, present: IndexMap<InstanceId, NameKey>) {
        self.present = present;
    }

    /// Notes that the store has the presence record of an agent.
    pub fn add_present_agent(&mut self, id: InstanceId, service: NameKey) {
        self.present.insert(id, service);
    }

    /// Applies the store's record of moved routes.
    pub fn set_route_moves(&mut self, moves: RouteMoves) {
        self.addr_services.set_moves(moves);
    }

    /// Applies the addresses for which a service's agents list that they may hold flows.
    pub fn set_service_addrs(&mut self, service: NameKey, addrs: &[SocketAddrV4]) {
        self.addr_services.set_listed(service, addrs);
    }
}
