//! Tracks the addresses for which the targets of the service may hold flows.
//!
//! The platform's store keeps a list of them for each service. Entries that look for a flow ask
//! all services that list its address. Any agent of the service may add an address for which its
//! target accepts a flow. As a rule the first agent of the service does so, so that an address
//! costs one call. The others follow if it doesn't.

use std::net::SocketAddrV4;
use std::time::Duration;

use indexmap::IndexMap;

use crate::flow::key::NameKey;
use crate::flow::routes::Routes;
use crate::time::Timestamp;

/// Time that the first agent of a service has to list an address before other agents do.
const FIRST_AGENT_PERIOD: Duration = Duration::from_secs(4);

/// `ServedAddrs` holds the list of the service's addresses, and what is to be changed in it.
#[derive(Debug, Default)]
pub(super) struct ServedAddrs {
    /// The list as the store had it last, or `None` before it was read.
    listed: Option<Vec<SocketAddrV4>>,
    /// Addresses for which the own target accepted flows and that aren't listed, with the time of
    /// the first flow.
    unlisted: IndexMap<SocketAddrV4, Timestamp>,
    /// Listed addresses without a route to the service, with the time when this was first seen.
    unrouted: IndexMap<SocketAddrV4, Timestamp>,
}

impl ServedAddrs {
    /// Records an address for which the target holds a flow.
    pub(super) fn add(&mut self, now: Timestamp, addr: SocketAddrV4) {
        let listed = self.listed.as_ref();
        if listed.is_none_or(|it| !it.contains(&addr)) {
            self.unlisted.entry(addr).or_insert(now);
        }
    }

    /// Applies the list of the store.
    pub(super) fn set_listed(&mut self, addrs: Vec<SocketAddrV4>) {
        self.unlisted.retain(|addr, _| !addrs.contains(addr));
        self.unrouted.retain(|addr, _| addrs.contains(addr));
        self.listed = Some(addrs);
    }

    /// Applies the list of a store that was restored from a backup. Addresses that were listed and
    /// aren't any more are to be listed again, since nobody has removed them.
    pub(super) fn restore_listed(&mut self, now: Timestamp, addrs: Vec<SocketAddrV4>) {
        let previous = self.listed.take().unwrap_or_default();
        self.set_listed(addrs);
        for addr in previous {
            self.add(now, addr);
        }
    }

    /// Applies a configuration, to find out which listed addresses no longer lead to `service`.
    pub(super) fn on_routes(&mut self, now: Timestamp, service: NameKey, routes: &Routes) {
        let is_routed = |addr: &SocketAddrV4| {
            let route = routes.by_addr.get(addr);
            route.is_some_and(|it| it.has_service(service))
        };
        self.unrouted.retain(|addr, _| !is_routed(addr));
        for addr in self.listed.iter().flatten() {
            if !is_routed(addr) {
                self.unrouted.entry(*addr).or_insert(now);
            }
        }
    }

    /// The list to write to the store, or `None` if nothing is to be written now. The first agent
    /// of the service also removes addresses that haven't led to the service for `lifetime`, the
    /// maximum lifetime of a flow.
    pub(super) fn due(
        &self,
        now: Timestamp,
        is_first: bool,
        lifetime: Duration,
    ) -> Option<Vec<SocketAddrV4>> {
        let listed = self.listed.as_ref()?;
        let is_expired = |addr: &SocketAddrV4| {
            let since = self.unrouted.get(addr);
            is_first && since.is_some_and(|at| now.since(*at) > lifetime)
        };
        let patience = if is_first {
            Duration::ZERO
        } else {
            FIRST_AGENT_PERIOD
        };
        let adds = self.unlisted.values().any(|at| now.since(*at) >= patience);
        if !adds && !listed.iter().any(is_expired) {
            return None;
        }
        let kept = listed.iter().filter(|addr| !is_expired(addr));
        Some(kept.chain(self.unlisted.keys()).copied().collect())
    }
}
