//! Identifiers of instances, services, failure domains and regions.
//!
//! An instance is a machine that runs a process of the system: an entry, which forwards
//! packets, or an agent, which runs beside a target.

use std::fmt;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;

use crate::errors::Error;

/// Identifies an instance by the UDP address at which its process receives
/// packets from other processes of the system.
///
/// A process that restarts at the same address has the same ID and a higher
/// [`Incarnation`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct InstanceId(pub SocketAddrV4);

impl InstanceId {
    /// Creates an ID from an IPv4 address and a port.
    pub fn new(ip: Ipv4Addr, port: u16) -> InstanceId {
        InstanceId(SocketAddrV4::new(ip, port))
    }

    /// Returns the UDP address of the instance.
    pub fn addr(self) -> SocketAddr {
        SocketAddr::V4(self.0)
    }

    /// Returns the ID as a number for hashing: the address in the upper 32 of 48
    /// bits, the port in the lower 16.
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

/// Orders the successive processes at one [`InstanceId`].
///
/// The number is read from the wall clock at the start of the process, in tenths
/// of a second since 2026-01-01 UTC, because instances store nothing that
/// outlives the process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub u32);

/// Number of a service, from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceId(pub u16);

impl fmt::Display for ServiceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Number of a failure domain, from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DomainId(pub u8);

/// Number of a region, from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RegionId(pub u8);
