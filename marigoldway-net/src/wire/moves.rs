//! Format of the record of moved routes, and of the routes beside it, in the platform's key-value
//! store.
//!
//! The record is JSON, so that an operator can read it in the store. All entries read it. The routes
//! are CBOR, since there are thousands of them; they are read only after the loss of all processes.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use marigoldway_core::flow::key::NameKey;
use marigoldway_core::flow::route_moves::RouteBase;
use marigoldway_core::flow::route_moves::RouteMoves;
use marigoldway_core::replica::epoch::Epoch;

use crate::errors::Error;
use crate::wire;

/// Key of the routes with which the next configuration is compared. It isn't one of the agents' keys,
/// so that only its reader receives it.
pub const BASE_KEY: &str = "routes/recorded";

/// `StoredMoves` is the JSON form of [`RouteMoves`]. Its field names are part of the format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredMoves {
    epoch: u64,
    version: u64,
    revision: u64,
    complete: bool,
    moved: Vec<StoredMove>,
}

/// `StoredMove` is the JSON form of the services that the route of an address has lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoredMove {
    addr: SocketAddrV4,
    services: Vec<NameKey>,
}

/// `StoredBase` is the CBOR form of a [`RouteBase`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredBase {
    version: u64,
    routes: Vec<StoredRoutes>,
}

/// `StoredRoutes` is the CBOR form of the routes that have the same services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoredRoutes {
    services: Vec<u64>,
    /// IP addresses and ports.
    addrs: Vec<(u32, u16)>,
}

/// Encodes a record of moved routes as JSON. Returns an empty value if the encoding fails.
pub fn encode_moves(moves: &RouteMoves) -> Vec<u8> {
    serde_json::to_vec(&StoredMoves::from(moves)).unwrap_or_default()
}

/// Decodes a record of moved routes. Returns [`Error::Malformed`] if `value` isn't one.
pub fn decode_moves(value: &[u8]) -> Result<RouteMoves, Error> {
    let stored: StoredMoves = serde_json::from_slice(value).map_err(|err| Error::Malformed {
        detail: err.to_string(),
    })?;
    Ok(RouteMoves::from(stored))
}

/// Encodes routes as CBOR. Returns an empty value if the encoding fails.
pub fn encode_base(base: &RouteBase) -> Vec<u8> {
    wire::encode(&StoredBase::from(base)).unwrap_or_default()
}

/// Decodes routes. Returns [`Error::Malformed`] if `value` isn't CBOR of them.
pub fn decode_base(value: &[u8]) -> Result<RouteBase, Error> {
    wire::decode::<StoredBase>(value).map(RouteBase::from)
}

impl From<&RouteMoves> for StoredMoves {
    fn from(moves: &RouteMoves) -> StoredMoves {
        let moved = moves.moved.iter().map(|(addr, services)| StoredMove {
            addr: *addr,
            services: services.clone(),
        });
        StoredMoves {
            epoch: moves.epoch.0,
            version: moves.version,
            revision: moves.revision,
            complete: moves.complete,
            moved: moved.collect(),
        }
    }
}

impl From<StoredMoves> for RouteMoves {
    fn from(stored: StoredMoves) -> RouteMoves {
        let moved = stored.moved.into_iter().map(|it| (it.addr, it.services));
        RouteMoves {
            epoch: Epoch(stored.epoch),
            version: stored.version,
            revision: stored.revision,
            complete: stored.complete,
            moved: moved.collect(),
        }
    }
}

impl From<&RouteBase> for StoredBase {
    fn from(base: &RouteBase) -> StoredBase {
        let mut groups: IndexMap<Vec<u64>, Vec<(u32, u16)>> = IndexMap::new();
        for (addr, services) in &base.services {
            let services = services.iter().map(|it| it.0).collect();
            let addrs = groups.entry(services).or_default();
            addrs.push((addr.ip().to_bits(), addr.port()));
        }
        StoredBase {
            version: base.version,
            routes: groups
                .into_iter()
                .map(|(services, addrs)| StoredRoutes { services, addrs })
                .collect(),
        }
    }
}

impl From<StoredBase> for RouteBase {
    fn from(stored: StoredBase) -> RouteBase {
        let routes = stored.routes.into_iter().flat_map(|group| {
            let services: Vec<NameKey> = group.services.into_iter().map(NameKey).collect();
            group.addrs.into_iter().map(move |(ip, port)| {
                let addr = SocketAddrV4::new(Ipv4Addr::from_bits(ip), port);
                (addr, services.clone())
            })
        });
        RouteBase {
            version: stored.version,
            services: routes.collect(),
        }
    }
}
