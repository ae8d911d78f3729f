//! Wire types of the control channel: CBOR, apart from the types of the core.

use std::io;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::errors::Error;
use crate::errors::Result;

pub mod agents;
pub mod flows;
pub mod lists;
pub mod membership;
pub mod octets;
pub mod relay;
pub mod shares;

/// `Frame` is one message between two processes of the system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Who is there.
    #[serde(rename = "m")]
    Membership(membership::MembershipWire),
    /// Accepted revisions of the lists.
    #[serde(rename = "l")]
    Lists(lists::ListsWire),
    /// Lent shares of the allowances.
    #[serde(rename = "s")]
    Shares(shares::SharesWire),
    /// Requests that one agent passes to another.
    #[serde(rename = "r")]
    Relay(relay::RelayWire),
}

/// Encodes a value as CBOR.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    let mut octets = Vec::new();
    ciborium::into_writer(value, &mut octets)
        .map_err(|error| Error::malformed(format!("value can't be encoded: {error}")))?;
    Ok(octets)
}

/// Decodes a value from CBOR. Octets after the value are an error.
pub fn decode<T: DeserializeOwned>(octets: &[u8]) -> Result<T> {
    let mut reader: &[u8] = octets;
    let value = ciborium::from_reader(&mut reader).map_err(malformed)?;
    if !reader.is_empty() {
        return Err(Error::malformed("octets after the end of a message"));
    }
    Ok(value)
}

fn malformed(error: ciborium::de::Error<io::Error>) -> Error {
    Error::malformed(format!("message can't be decoded: {error}"))
}
