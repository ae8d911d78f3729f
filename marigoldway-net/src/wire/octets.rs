//! A type for octets that are encoded as a CBOR byte string. Serde encodes a plain vector as
//! an array of numbers, which is longer.

use std::fmt;

use bytes::Bytes;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Visitor;

/// `Octets` is serialized as a byte string.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Octets(pub Bytes);

impl Serialize for Octets {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Octets {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Octets, D::Error> {
        deserializer.deserialize_byte_buf(OctetsVisitor)
    }
}

struct OctetsVisitor;

impl Visitor<'_> for OctetsVisitor {
    type Value = Octets;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a byte string")
    }

    fn visit_bytes<E: serde::de::Error>(self, octets: &[u8]) -> Result<Octets, E> {
        Ok(Octets(Bytes::copy_from_slice(octets)))
    }

    fn visit_byte_buf<E: serde::de::Error>(self, octets: Vec<u8>) -> Result<Octets, E> {
        Ok(Octets(octets.into()))
    }
}
