//! Wire formats of messages between processes.
//!
//! The processes are entries, which forward callers' packets, and agents, which stand beside
//! one target each and receive the packets.
//!
//! Messages of the control channel have CBOR types of their own, so that the types of
//! `marigoldway-core` don't determine the format. [`flows`] is a binary format for datagrams.
//! [`agents`] is a JSON format for records in the platform's key-value store, and [`replica`] a
//! CBOR format for copies of its keys. [`drains`] is a JSON format for drained failure domains.

use std::io;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::errors::Error;
use crate::errors::Result;

pub mod agents;
pub mod drains;
pub mod flows;
pub mod lists;
pub mod membership;
pub mod moves;
pub mod octets;
pub mod packing;
pub mod relay;
pub mod replica;
pub mod shares;

/// `Frame` is one message of the control channel between two processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Membership protocol, which distributes the records of all instances.
    #[serde(rename = "m")]
    Membership(membership::MembershipWire),
    /// Propagation of revisions of the two lists that operators edit: plans and allowances.
    #[serde(rename = "l")]
    Lists(lists::ListsWire),
    /// Lending of shares: parts of a customer's allowance that an agent may use for a
    /// limited time.
    #[serde(rename = "s")]
    Shares(shares::SharesWire),
    /// Requests that one agent relays to another.
    #[serde(rename = "r")]
    Relay(relay::RelayWire),
}

/// Encodes a value as CBOR. Returns [`Error::Malformed`] if the value can't be encoded.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    let mut octets = Vec::new();
    ciborium::into_writer(value, &mut octets)
        .map_err(|error| Error::malformed(format!("failed to encode message: {error}")))?;
    Ok(octets)
}

/// Decodes a value from CBOR. Returns [`Error::Malformed`] if the octets don't encode a
/// `T` or continue after the value.
pub fn decode<T: DeserializeOwned>(octets: &[u8]) -> Result<T> {
    let mut reader: &[u8] = octets;
    let value = ciborium::from_reader(&mut reader).map_err(malformed)?;
    if !reader.is_empty() {
        return Err(Error::malformed("trailing octets after the message"));
    }
    Ok(value)
}

fn malformed(error: ciborium::de::Error<io::Error>) -> Error {
    Error::malformed(format!("failed to decode message: {error}"))
}
