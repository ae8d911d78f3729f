//! Names of the parts of a deployment.

use std::fmt;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;

use crate::errors::Error;

/// `InstanceId` names an instance by the UDP address at which its process takes
/// packets from other processes of the system.
///
/// A process that is restarted at the same address keeps its id and takes a
/// higher [`Incarnation`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId(pub SocketAddrV4);

impl InstanceId {
    /// Makes an id from an address and a port.
    pub fn new(ip: Ipv4Addr, port: u16) -> InstanceId {
        InstanceId(SocketAddrV4::new(ip, port))
    }

    /// The UDP address of the instance.
    pub fn addr(self) -> SocketAddr {
        SocketAddr::V4(self.0)
    }

    /// The id as a number, for hashing: the address in the upper 32 of 48 bits,
    /// the port in the lower 16.
    pub fn to_u64(self) -> u64 {
        (u64::from(self.0.ip().to_bits()) << 16) | u64::from(self.0.port())
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl TryFrom<SocketAddr> for InstanceId {
    type Error = Error;

    fn try_from(addr: SocketAddr) -> Result<InstanceId, Error> {
        match addr {
            SocketAddr::V4(addr) => Ok(InstanceId(addr)),
            SocketAddr::V6(addr) => Err(Error::malformed(format!(
                "address {addr}, expected an IPv4 address and port"
            ))),
        }
    }
}

/// `Incarnation` counts the lives of the process at one [`InstanceId`].
///
/// It is taken from the wall clock at start, in tenths of a second since
/// 2026-01-01 UTC, since instances keep nothing.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u32);

/// `ServiceId` is the number of a service, given in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceId(pub u16);

impl fmt::Display for ServiceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// `DomainId` is the number of a failure domain, given in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DomainId(pub u8);

/// `RegionId` is the number of a region, given in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RegionId(pub u8);
