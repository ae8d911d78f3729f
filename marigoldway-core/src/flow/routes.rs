//! Routes: which service a new flow may go to.

use std::net::SocketAddrV4;
use std::time::Duration;

use indexmap::IndexMap;

use crate::flow::key::FlowKey;
use crate::flow::key::NameKey;

/// `WorkClass` says what may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorkClass {
    /// May be repeated.
    Safe,
    /// May run once at most.
    Unsafe,
    /// May run once at most, and carries many octets to the target.
    Upload,
}

/// `Work` describes the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// What may be done with a request.
    pub class: WorkClass,
    /// Rank among routes, 0 first.
    pub priority: u8,
    /// Time within which an answer is worth most.
    pub objective: Duration,
    /// Time after which nobody waits for the answer.
    pub timeout: Duration,
}

/// `Share` is a service's part of a route's new flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: NameKey,
    /// Its part, relative to the other shares.
    pub weight: u32,
}

/// `Route` says where the flows to one address and port go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The requests inside.
    pub work: Work,
    /// The services that share the route's flows, at least one.
    pub shares: Vec<Share>,
}

impl Route {
    /// The service that a new flow goes to. It depends on the flow alone, so
    /// every entry with the same routes says the same.
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

/// `Routes` are the routes of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Routes {
    /// The version, which never falls.
    pub version: u64,
    /// The routes by the address and port that clients ask for.
    pub by_addr: IndexMap<SocketAddrV4, Route>,
    /// Time after which a silent flow may be forgotten.
    pub idle: Duration,
}
