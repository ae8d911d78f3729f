//! This module defines the routes from the addresses that clients connect to, to
//! services. A service is a group of targets that serve the same requests.

use std::net::SocketAddrV4;
use std::num::NonZeroU32;
use std::time::Duration;

use indexmap::IndexMap;

use crate::flow::key::FlowKey;
use crate::flow::key::NameKey;

/// `WorkClass` tells whether a request may be repeated, and whether it or its answer is
/// large.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WorkClass {
    /// The request may be repeated.
    Safe,
    /// The request may run only once.
    Unsafe,
    /// The request may run only once, and sends much data to the target.
    Upload,
    /// The request may be repeated, and its answer is large.
    Download,
}

impl WorkClass {
    /// Whether a flow carries so much data that it should stay in the failure domain of
    /// its client.
    pub fn is_bulk(self) -> bool {
        match self {
            WorkClass::Safe | WorkClass::Unsafe => false,
            WorkClass::Upload | WorkClass::Download => true,
        }
    }
}

/// `Work` describes the requests that the flows of a route carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// Whether a request may be repeated, and whether it or its answer is large.
    pub class: WorkClass,
    /// Priority among routes; 0 is the highest.
    pub priority: u8,
    /// Intended response time. An answer within this time has the highest value.
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

/// `Route` assigns the flows that clients open to one address and port to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Properties of the requests that the flows carry.
    pub work: Work,
    /// The services that share the route's flows. Never empty.
    pub shares: Vec<Share>,
}

impl Route {
    /// Whether the service shares the route's flows.
    pub fn has_service(&self, service: NameKey) -> bool {
        self.shares.iter().any(|share| share.service == service)
    }

    /// The service that a new flow goes to. The choice depends only on the flow and
    /// the shares, so every entry with the same routes selects the same service. If
    /// all weights are zero, it is the first one.
    pub fn service(&self, flow: &FlowKey) -> NameKey {
        let total: u64 = self.shares.iter().map(|it| u64::from(it.weight)).sum();
        let mut offset = flow.hash() % total.max(1);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if offset < weight {
                return share.service;
            }
            offset -= weight;
        }
        self.shares[0].service
    }
}

/// `Routes` holds the routes of one version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Routes {
    /// Version of the configuration. Versions never decrease.
    pub version: u64,
    /// The routes by the address and port that clients connect to.
    pub by_addr: IndexMap<SocketAddrV4, Route>,
    /// The maximum number of opening packets that a target in slow start receives in any
    /// second, by service. Services without a limit are missing.
    pub ramps: IndexMap<NameKey, NonZeroU32>,
    /// Idle timeout: time without a packet after which a flow may be removed from
    /// the tables of entries and agents.
    pub idle: Duration,
    /// Whether the configuration has routes that couldn't be decoded, so that an address
    /// without a route here may have one.
    pub partial: bool,
}
