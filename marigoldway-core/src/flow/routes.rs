//! Routes from client-facing addresses to services.

use std::net::SocketAddrV4;
use std::time::Duration;

use indexmap::IndexMap;

use crate::flow::key::FlowKey;
use crate::flow::key::NameKey;

/// `WorkClass` tells whether a request may be repeated, and whether it uploads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorkClass {
    /// The request may be repeated.
    Safe,
    /// The request may run only once.
    Unsafe,
    /// The request may run only once, and carries many octets to the target.
    Upload,
}

/// `Work` describes the requests that the flows of a route carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// Whether a request may be repeated, and whether it uploads.
    pub class: WorkClass,
    /// Priority among routes; 0 is the highest.
    pub priority: u8,
    /// Target response time: an answer within it has the highest value.
    pub objective: Duration,
    /// Time after which the caller no longer waits for the answer.
    pub timeout: Duration,
}

/// `Share` is the fraction of a route's new flows that a service receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service that receives the flows.
    pub service: NameKey,
    /// Weight relative to the other shares of the route.
    pub weight: u32,
}

/// `Route` assigns the flows to one address and port to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The requests that the flows carry.
    pub work: Work,
    /// The services that share the route's flows. Never empty.
    pub shares: Vec<Share>,
}

impl Route {
    /// The service that a new flow goes to. It depends only on the flow and the
    /// shares, so every entry with the same routes selects the same service.
    pub fn service(&self, flow: &FlowKey) -> NameKey {
        let total: u64 = self.shares.iter().map(|it| u64::from(it.weight)).sum();
        let mut point = flow.hash() % total.max(1);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return share.service;
            }
            point -= weight;
        }
        self.shares[0].service
    }
}

/// `Routes` holds the routes of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Routes {
    /// Version of the configuration. It never decreases.
    pub version: u64,
    /// The routes by the address and port that clients connect to.
    pub by_addr: IndexMap<SocketAddrV4, Route>,
    /// Idle timeout: time without a packet after which a flow may be removed from
    /// tables.
    pub idle: Duration,
}
