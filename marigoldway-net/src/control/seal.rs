//! Authenticates the frames of a connection by tags. To seal a frame is to put a tag before it.
//!
//! The session key is an HMAC-SHA256 under the control key. Its input is a constant and both
//! hellos, which contain the nonces and the addresses of both ends.
//!
//! A frame's tag is an HMAC-SHA256 under the session key, truncated to [`TAG_LEN`] octets. Its
//! input is the direction, the sequence number of the frame in its direction, and the body.
//! Sequence numbers aren't sent, since TCP keeps the order. Verification of a tag fails if a
//! frame was replayed, reordered or omitted.

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;

use crate::control::CONTROL_KEY_LEN;
use crate::control::handshake::Hello;
use crate::errors::Error;
use crate::errors::Result;
use crate::wire;

/// Length of a tag in octets.
const TAG_LEN: usize = 16;

/// First input of the session key. It separates session keys from other uses of the control
/// key.
const CONTEXT: &[u8] = b"marigoldway control channel 1";

/// `Side` is an end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    /// The end that opened the connection.
    Dialer,
    /// The end that accepted it.
    Acceptor,
}

impl Side {
    fn opposite(self) -> Side {
        match self {
            Side::Dialer => Side::Acceptor,
            Side::Acceptor => Side::Dialer,
        }
    }

    fn as_octet(self) -> u8 {
        match self {
            Side::Dialer => 0,
            Side::Acceptor => 1,
        }
    }
}

/// `Session` seals the frames that one end sends and opens those that it receives.
pub(super) struct Session {
    key: Hmac<Sha256>,
    side: Side,
    /// Sequence number of the next frame that this end sends.
    next_sent: u64,
    /// Sequence number of the next frame that this end receives.
    next_received: u64,
}

impl Session {
    /// Derives the session of one end from the control key and both hellos.
    pub(super) fn new(
        key: &[u8; CONTROL_KEY_LEN],
        side: Side,
        own: &Hello,
        peer: &Hello,
    ) -> Result<Session> {
        let (dialer, acceptor) = match side {
            Side::Dialer => (own, peer),
            Side::Acceptor => (peer, own),
        };
        let mut mac = new_mac(key);
        mac.update(CONTEXT);
        mac.update(&wire::encode(&(dialer, acceptor))?);
        let secret = mac.finalize().into_bytes();
        Ok(Session {
            key: new_mac(&secret),
            side,
            next_sent: 0,
            next_received: 0,
        })
    }

    /// Returns the tag of `body`, followed by `body`.
    pub(super) fn seal(&mut self, body: &[u8]) -> Vec<u8> {
        let tag = self
            .mac(self.side, self.next_sent, body)
            .finalize()
            .into_bytes();
        self.next_sent += 1;
        [&tag[..TAG_LEN], body].concat()
    }

    /// Verifies the tag of a message and returns its body.
    ///
    /// Fails with [`Error::NotAuthentic`] if the tag is missing or wrong. The session then still
    /// expects the same frame.
    pub(super) fn open<'a>(&mut self, message: &'a [u8]) -> Result<&'a [u8]> {
        let (tag, body) = message
            .split_at_checked(TAG_LEN)
            .ok_or(Error::NotAuthentic)?;
        self.mac(self.side.opposite(), self.next_received, body)
            .verify_truncated_left(tag)
            .map_err(|_| Error::NotAuthentic)?;
        self.next_received += 1;
        Ok(body)
    }

    fn mac(&self, side: Side, sequence: u64, body: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.key.clone();
        mac.update(&[side.as_octet()]);
        mac.update(&sequence.to_be_bytes());
        mac.update(body);
        mac
    }
}

fn new_mac(key: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(key).expect("HMAC takes keys of any length")
}
