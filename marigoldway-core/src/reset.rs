//! Stateless resets (RFC 9000, section 10.3) with one key per fleet.
//!
//! A flow is the QUIC connection of a caller. It ends at an agent, the process beside
//! a target; an entry forwards its packets. Every process of the fleet derives the
//! same token from a connection ID. When an agent fails, an entry or the restarted
//! agent can therefore end the flows of the failed process, and callers need not wait
//! for a timeout.

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use rand::Rng;
use rand::RngExt;
use sha2::Sha256;

/// Length of a stateless reset token in octets.
pub const TOKEN_LEN: usize = 16;

/// Maximum number of unpredictable octets before the token. They make a reset look
/// like any packet with a short header.
const PADDING_LEN: usize = 25;

/// Block length of SHA-256 in octets.
const HASH_BLOCK_LEN: usize = 64;

/// Derives stateless reset tokens from connection IDs.
#[derive(Clone)]
pub struct ResetKey {
    mac: Hmac<Sha256>,
}

impl ResetKey {
    /// Creates a key from 32 octets.
    pub fn new(key: &[u8; 32]) -> ResetKey {
        // HMAC pads a short key with zeros to the block length of its hash.
        let mut block = [0; HASH_BLOCK_LEN];
        block[..key.len()].copy_from_slice(key);
        ResetKey {
            mac: Hmac::new(&block.into()),
        }
    }

    /// Returns the whole HMAC-SHA256 of `data`, of 32 octets.
    pub fn sign(&self, data: &[u8]) -> [u8; 32] {
        let mut mac = self.mac.clone();
        mac.update(data);
        mac.finalize().into_bytes().into()
    }

    /// Returns the stateless reset token of a connection ID.
    pub fn token(&self, id: &[u8]) -> [u8; TOKEN_LEN] {
        let mut token = [0; TOKEN_LEN];
        token.copy_from_slice(&self.sign(id)[..TOKEN_LEN]);
        token
    }

    /// Returns a stateless reset that answers a datagram of `len` octets whose
    /// destination connection ID is `id`. The reset is always shorter than the
    /// datagram, so two endpoints can't reset each other endlessly. Returns `None` if
    /// the datagram has fewer than 22 octets, because a reset has at least 21.
    pub fn datagram(&self, id: &[u8], len: usize, rng: &mut impl Rng) -> Option<Vec<u8>> {
        let total = (PADDING_LEN + TOKEN_LEN).min(len.saturating_sub(1));
        if total < TOKEN_LEN + 5 {
            return None;
        }
        let mut datagram = vec![0; total];
        rng.fill_bytes(&mut datagram[..total - TOKEN_LEN]);
        // The first octet of a short header: the two upper bits are 01.
        datagram[0] = 0x40 | (rng.random::<u8>() >> 2);
        datagram[total - TOKEN_LEN..].copy_from_slice(&self.token(id));
        Some(datagram)
    }
}
