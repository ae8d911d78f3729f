//! This module keeps which services may hold flows to an address.
//!
//! A configuration assigns new flows to services. Flows that were opened under an
//! earlier configuration stay at the services of that time until they end. An entry
//! that looks for a flow must therefore ask the services that the address had within
//! the lifetime of a flow, too. It learns them from three sources: the configurations
//! that it has applied itself, the record of moved routes that the followers keep in
//! the platform's store, and the lists of addresses that the agents of each service keep
//! there. The last two tell an entry that started after a change. Only the record of moved
//! routes is evidence that no other service holds flows.

use std::net::SocketAddrV4;
use std::time::Duration;

use indexmap::IndexMap;

use crate::flow::key::NameKey;
use crate::flow::route_moves::Continuity;
use crate::flow::route_moves::RouteMoves;
use crate::flow::routes::Routes;
use crate::time::Timestamp;

/// `AddrServices` holds, for each address, the services that may hold flows to it beside
/// those of its present route.
#[derive(Debug)]
pub struct AddrServices {
    /// Maximum time for which a flow lives.
    lifetime: Duration,
    /// Services that left the route of an address, with the time when they left.
    former: IndexMap<SocketAddrV4, IndexMap<NameKey, Timestamp>>,
    /// Services that may hold flows to an address, as their agents listed it.
    listed: IndexMap<SocketAddrV4, Vec<NameKey>>,
    /// Services that left the route of an address, by the record in the store.
    moved: IndexMap<SocketAddrV4, Vec<NameKey>>,
    /// Version of the configuration up to which every move is known, or `None` if there is none.
    complete_to: Option<u64>,
}

impl AddrServices {
    /// Creates an empty set. A flow lives for at most `lifetime`.
    pub fn new(lifetime: Duration) -> AddrServices {
        AddrServices {
            lifetime,
            former: IndexMap::new(),
            listed: IndexMap::new(),
            moved: IndexMap::new(),
            complete_to: None,
        }
    }

    /// Records the services that a new configuration removes from the routes of the old one.
    pub fn on_routes(
        &mut self,
        now: Timestamp,
        old: &Routes,
        new: &Routes,
        continuity: Continuity,
    ) {
        if continuity == Continuity::Next && self.is_complete(old.version) {
            self.complete_to = self.complete_to.max(Some(new.version));
        }
        for (addr, route) in &old.by_addr {
            let kept = new.by_addr.get(addr);
            let leaves =
                |service| kept.is_none_or(|it| it.shares.iter().all(|s| s.service != service));
            for share in route.shares.iter().filter(|it| leaves(it.service)) {
                let former = self.former.entry(*addr).or_default();
                former.insert(share.service, now);
            }
        }
    }

    /// Replaces the addresses that the agents of a service list.
    pub fn set_listed(&mut self, service: NameKey, addrs: &[SocketAddrV4]) {
        for services in self.listed.values_mut() {
            services.retain(|it| *it != service);
        }
        for addr in addrs {
            self.listed.entry(*addr).or_default().push(service);
        }
        self.listed.retain(|_, services| !services.is_empty());
    }

    /// Replaces the record of moved routes.
    pub fn set_moves(&mut self, moves: RouteMoves) {
        if moves.complete {
            self.complete_to = self.complete_to.max(Some(moves.version));
        }
        self.moved = moves.moved;
    }

    /// Whether all services are known that may hold flows under the configuration `version`. If not,
    /// any service may hold flows to any address.
    pub fn is_complete(&self, version: u64) -> bool {
        self.complete_to >= Some(version)
    }

    /// The services that may hold flows to an address, as far as is known: `routed`, the services of its present
    /// route, followed by the others. Each service is contained once.
    pub fn services(
        &self,
        now: Timestamp,
        addr: &SocketAddrV4,
        routed: impl Iterator<Item = NameKey>,
    ) -> Vec<NameKey> {
        let former = self.former.get(addr).into_iter().flatten();
        let former = former
            .filter(|(_, left)| now.since(**left) <= self.lifetime)
            .map(|(service, _)| *service);
        let listed = [&self.moved, &self.listed].map(|it| it.get(addr));
        let listed = listed.into_iter().flatten().flatten().copied();
        let mut services = Vec::new();
        for service in routed.chain(former).chain(listed) {
            if !services.contains(&service) {
                services.push(service);
            }
        }
        services
    }

    /// Removes services that left a route more than the lifetime of a flow ago.
    pub fn expire(&mut self, now: Timestamp) {
        for services in self.former.values_mut() {
            services.retain(|_, left| now.since(*left) <= self.lifetime);
        }
        self.former.retain(|_, services| !services.is_empty());
    }
}
