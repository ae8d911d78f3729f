//! This module defines the keys of flows, services and failure domains.

use std::fmt;
use std::hash::Hasher;
use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;
use siphasher::sip::SipHasher13;

/// `FlowKey` identifies a flow by the addresses and ports of its two ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowKey {
    /// Address and port of the end that opened the flow.
    pub client: SocketAddrV4,
    /// Address and port that the client connects to.
    pub server: SocketAddrV4,
}

impl FlowKey {
    /// A 64-bit hash that is the same in every process. It ranks the agents of a
    /// service for the flow, and selects the service by the weights of a route.
    pub fn hash(&self) -> u64 {
        let mut hasher = SipHasher13::new();
        for end in [self.client, self.server] {
            hasher.write_u32(end.ip().to_bits());
            hasher.write_u16(end.port());
        }
        hasher.finish()
    }
}

impl fmt::Display for FlowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.client, self.server)
    }
}

/// `NameKey` is a 64-bit hash of the name of a service or a failure domain. The
/// hash of a name is the same in every process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NameKey(pub u64);

impl From<&str> for NameKey {
    fn from(name: &str) -> NameKey {
        let mut hasher = SipHasher13::new();
        hasher.write(name.as_bytes());
        NameKey(hasher.finish())
    }
}

impl fmt::Display for NameKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
