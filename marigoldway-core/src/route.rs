//! Route IDs: QUIC connection IDs that encode the route to a target.
//!
//! A flow is the QUIC connection of a caller. Entries are the processes that forward
//! its packets. An agent is the process beside a target; it holds flows and chooses
//! their route IDs.
//!
//! A route ID has [`ROUTE_LEN`] octets and is similar to a connection ID of
//! QUIC-LB (draft-ietf-quic-load-balancers). It consists of one unencrypted octet,
//! one AES-128 block, and a tag of three octets over both. The first octet holds the
//! key epoch, which is the number of the key, in the two upper bits, and a constant in
//! the lower bits. The block holds the agent's IPv4 address and port, the service,
//! the agent's incarnation and a nonce. An entry can therefore route an established
//! flow with no state except the keys of the fleet.

use std::hash::Hasher;
use std::net::Ipv4Addr;

use aes::Aes128;
use aes::cipher::BlockCipherDecrypt;
use aes::cipher::BlockCipherEncrypt;
use aes::cipher::KeyInit;
use siphasher::sip::SipHasher13;

use crate::ids::Incarnation;
use crate::ids::InstanceId;
use crate::ids::ServiceId;

/// Length of a route ID in octets: the maximum for a connection ID of QUIC
/// version 1.
pub const ROUTE_LEN: usize = 20;

/// Length of the encrypted block in octets.
const BLOCK_LEN: usize = 16;

/// Constant in the lower six bits of the first octet.
const VERSION_BITS: u8 = 0b01_0100;

/// Number of key epochs: the epoch has two bits.
const EPOCHS: u8 = 4;

/// Destination of an established flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Route {
    /// The agent that holds the flow.
    pub agent: InstanceId,
    /// The service of the flow.
    pub service: ServiceId,
    /// The incarnation of the agent in which the flow began.
    pub incarnation: Incarnation,
}

/// Expanded cipher key and tag key of one epoch.
#[derive(Clone)]
pub struct RouteKey {
    epoch: u8,
    cipher: Aes128,
    tag_key: [u8; 16],
}

impl RouteKey {
    /// Creates a key for `epoch`, of which the two lower bits are used.
    pub fn new(epoch: u8, cipher_key: &[u8; 16], tag_key: &[u8; 16]) -> RouteKey {
        RouteKey {
            epoch: epoch % EPOCHS,
            cipher: Aes128::new(&(*cipher_key).into()),
            tag_key: *tag_key,
        }
    }

    fn first_octet(&self) -> u8 {
        (self.epoch << 6) | VERSION_BITS
    }

    fn tag(&self, id: &[u8]) -> [u8; 3] {
        let mut hasher = SipHasher13::new_with_key(&self.tag_key);
        hasher.write(id);
        let sum = hasher.finish().to_le_bytes();
        [sum[0], sum[1], sum[2]]
    }
}

/// The current key and, during a key rotation, a second one.
///
/// New route IDs are encoded with the current key. IDs of either key are decoded. If
/// both keys have the same epoch, only IDs of the current one are.
#[derive(Clone)]
pub struct RouteKeys {
    current: RouteKey,
    other: Option<RouteKey>,
}

impl RouteKeys {
    /// Creates a key set. `other` is the previous key, or the next one while it is
    /// distributed ahead of its use.
    pub fn new(current: RouteKey, other: Option<RouteKey>) -> RouteKeys {
        RouteKeys { current, other }
    }

    /// Encodes `route` with the current key. Two IDs of one route differ by their
    /// nonce.
    pub fn encode(&self, route: &Route, nonce: u32) -> [u8; ROUTE_LEN] {
        let key = &self.current;
        let mut plain = [0; BLOCK_LEN];
        plain[..4].copy_from_slice(&route.agent.0.ip().octets());
        plain[4..6].copy_from_slice(&route.agent.0.port().to_be_bytes());
        plain[6..8].copy_from_slice(&route.service.0.to_be_bytes());
        plain[8..12].copy_from_slice(&route.incarnation.0.to_be_bytes());
        plain[12..].copy_from_slice(&nonce.to_be_bytes());

        let mut block = plain.into();
        key.cipher.encrypt_block(&mut block);

        let mut id = [0; ROUTE_LEN];
        id[0] = key.first_octet();
        id[1..=BLOCK_LEN].copy_from_slice(&block);
        let tag = key.tag(&id[..=BLOCK_LEN]);
        id[BLOCK_LEN + 1..].copy_from_slice(&tag);
        id
    }

    /// Decodes a connection ID. Returns `None` if it is not a route ID that was encoded
    /// with a key of this set.
    pub fn decode(&self, id: &[u8]) -> Option<Route> {
        let id: &[u8; ROUTE_LEN] = id.try_into().ok()?;
        let key = self.key(id[0])?;
        if key.tag(&id[..=BLOCK_LEN]) != id[BLOCK_LEN + 1..] {
            return None;
        }

        let mut block = [0; BLOCK_LEN];
        block.copy_from_slice(&id[1..=BLOCK_LEN]);
        let mut block = block.into();
        key.cipher.decrypt_block(&mut block);

        let ip = Ipv4Addr::new(block[0], block[1], block[2], block[3]);
        let port = u16::from_be_bytes([block[4], block[5]]);
        let service = u16::from_be_bytes([block[6], block[7]]);
        let incarnation = u32::from_be_bytes([block[8], block[9], block[10], block[11]]);
        Some(Route {
            agent: InstanceId::new(ip, port),
            service: ServiceId(service),
            incarnation: Incarnation(incarnation),
        })
    }

    fn key(&self, first_octet: u8) -> Option<&RouteKey> {
        if first_octet == self.current.first_octet() {
            return Some(&self.current);
        }
        self.other
            .as_ref()
            .filter(|key| first_octet == key.first_octet())
    }
}
