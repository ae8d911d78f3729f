//! Idempotency keys: each key names the one process that may run its request.
//!
//! An agent, the process beside a target, issues keys ahead of use. A key carries
//! the ID and the incarnation of the agent, the service, an expiry and a serial
//! number. These fields are authenticated with a secret of the fleet. The incarnation
//! tells apart the successive processes at one address. Any agent reads from the key
//! which process may run the request, so no shared store of requests is needed.

use std::fmt;
use std::net::Ipv4Addr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

use crate::errors::Error;
use crate::errors::Result;
use crate::ids::Incarnation;
use crate::ids::InstanceId;
use crate::ids::ServiceId;
use crate::time::Timestamp;

/// Length of the authenticated fields in octets.
const FIELDS_LEN: usize = 28;

/// Length of the tag in octets.
const TAG_LEN: usize = 16;

/// Length of a key in octets, before base64url encoding.
const KEY_LEN: usize = FIELDS_LEN + TAG_LEN;

/// Block length of SHA-256 in octets.
const HASH_BLOCK_LEN: usize = 64;

/// Serial number of a key within one incarnation of an agent, starting at zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Serial(pub u64);

/// Contents of an authentic idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyKey {
    /// The agent that issued the key.
    pub agent: InstanceId,
    /// The incarnation of the agent that issued the key.
    pub incarnation: Incarnation,
    /// The service that accepts the key.
    pub service: ServiceId,
    /// When the key expires, on the clock of the process that issued it.
    pub expiry: Timestamp,
    /// Serial number of the key.
    pub serial: Serial,
}

/// Computes and verifies the authentication tags of keys (HMAC-SHA256, truncated).
#[derive(Clone)]
pub struct KeySigner(Hmac<Sha256>);

impl KeySigner {
    /// Creates a signer from the secret of the fleet.
    pub fn new(secret: &[u8; 32]) -> KeySigner {
        // HMAC pads a short key with zeros to the block length of its hash.
        let mut block = [0; HASH_BLOCK_LEN];
        block[..secret.len()].copy_from_slice(secret);
        KeySigner(Hmac::new(&block.into()))
    }

    /// Encodes `key` with its tag as base64url text.
    pub fn encode(&self, key: &IdempotencyKey) -> String {
        let mut octets = [0; KEY_LEN];
        octets[..FIELDS_LEN].copy_from_slice(&encode_fields(key));
        let tag = self.tag(&octets[..FIELDS_LEN]).finalize().into_bytes();
        octets[FIELDS_LEN..].copy_from_slice(&tag[..TAG_LEN]);
        URL_SAFE_NO_PAD.encode(octets)
    }

    /// Decodes a key from base64url text.
    ///
    /// Returns [`Error::Malformed`] for text that is not a key, and
    /// [`Error::NotAuthentic`] for a key whose tag was not made with the secret of the
    /// fleet.
    pub fn decode(&self, text: &str) -> Result<IdempotencyKey> {
        let octets = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|err| Error::malformed(format!("idempotency key: {err}")))?;
        let octets: [u8; KEY_LEN] = octets
            .try_into()
            .map_err(|_| Error::malformed(format!("idempotency key, expected {KEY_LEN} octets")))?;

        let (fields, tag) = octets.split_at(FIELDS_LEN);
        self.tag(fields)
            .verify_truncated_left(tag)
            .map_err(|_| Error::NotAuthentic)?;
        Ok(decode_fields(&octets))
    }

    fn tag(&self, fields: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        mac.update(fields);
        mac
    }
}

impl fmt::Debug for KeySigner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeySigner")
    }
}

/// Issues the keys of one incarnation of an agent, and determines the owner of
/// the keys that callers present.
#[derive(Clone, Debug)]
pub struct Issuer {
    agent: InstanceId,
    incarnation: Incarnation,
    service: ServiceId,
    lifetime: Duration,
    next: Serial,
}

/// Process that may run the request of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This process.
    Local,
    /// No process: this one issued the key, but the key has expired. Whether its
    /// request ran before is unknown.
    Expired,
    /// The process at the address of another agent, to which the request has to be
    /// relayed.
    Peer(InstanceId),
    /// No process: the one that issued the key has ended, and its duplicate table
    /// is lost.
    Gone,
    /// A process of another service, so the request never ran in this service.
    OtherService,
}

impl Issuer {
    /// Creates an issuer whose keys expire after `lifetime`.
    pub fn new(
        agent: InstanceId,
        incarnation: Incarnation,
        service: ServiceId,
        lifetime: Duration,
    ) -> Issuer {
        Issuer {
            agent,
            incarnation,
            service,
            lifetime,
            next: Serial(0),
        }
    }

    /// Issues the next key.
    pub fn issue(&mut self, now: Timestamp) -> IdempotencyKey {
        let serial = self.next;
        self.next = Serial(serial.0 + 1);
        IdempotencyKey {
            agent: self.agent,
            incarnation: self.incarnation,
            service: self.service,
            expiry: now + self.lifetime,
            serial,
        }
    }

    /// Returns which process may run the request of `key`. The expiry is checked only
    /// for keys of this process.
    pub fn owner(&self, key: &IdempotencyKey, now: Timestamp) -> Owner {
        if key.service != self.service {
            return Owner::OtherService;
        }
        if key.agent != self.agent {
            return Owner::Peer(key.agent);
        }
        if key.incarnation != self.incarnation {
            return Owner::Gone;
        }
        if key.expiry <= now {
            return Owner::Expired;
        }
        Owner::Local
    }
}

fn encode_fields(key: &IdempotencyKey) -> [u8; FIELDS_LEN] {
    let mut out = [0; FIELDS_LEN];
    out[..4].copy_from_slice(&key.agent.0.ip().octets());
    out[4..6].copy_from_slice(&key.agent.0.port().to_be_bytes());
    out[6..8].copy_from_slice(&key.service.0.to_be_bytes());
    out[8..12].copy_from_slice(&key.incarnation.0.to_be_bytes());
    out[12..20].copy_from_slice(&key.expiry.as_micros().to_be_bytes());
    out[20..].copy_from_slice(&key.serial.0.to_be_bytes());
    out
}

fn decode_fields(octets: &[u8; KEY_LEN]) -> IdempotencyKey {
    let ip = Ipv4Addr::from(field::<4>(octets, 0));
    let port = u16::from_be_bytes(field(octets, 4));
    IdempotencyKey {
        agent: InstanceId::new(ip, port),
        service: ServiceId(u16::from_be_bytes(field(octets, 6))),
        incarnation: Incarnation(u32::from_be_bytes(field(octets, 8))),
        expiry: Timestamp::from_micros(u64::from_be_bytes(field(octets, 12))),
        serial: Serial(u64::from_be_bytes(field(octets, 20))),
    }
}

fn field<const N: usize>(octets: &[u8; KEY_LEN], offset: usize) -> [u8; N] {
    let mut out = [0; N];
    out.copy_from_slice(&octets[offset..offset + N]);
    out
}
