//! Compression of long messages between processes, by DEFLATE.
//!
//! The first octet tells whether the rest is compressed.

use std::borrow::Cow;
use std::io::Read;
use std::io::Write;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

use crate::errors::Error;
use crate::errors::Result;

/// Minimum length in octets of a message that is compressed.
const MIN_LEN: usize = 4 * 1024;

/// Maximum length in octets of a message that is unpacked: the records of 13,000 agents, twice.
pub const MAX_LEN: usize = 16 << 20;

/// First octet of a message that isn't compressed.
const PLAIN: u8 = 0;

/// First octet of a compressed message.
const DEFLATED: u8 = 1;

/// Packs a message, and compresses it if it is long. Fails if the compression does.
pub fn pack(message: Vec<u8>) -> Result<Vec<u8>> {
    if message.len() < MIN_LEN {
        let mut packed = Vec::with_capacity(message.len() + 1);
        packed.push(PLAIN);
        packed.extend(message);
        return Ok(packed);
    }
    let mut encoder = DeflateEncoder::new(vec![DEFLATED], Compression::fast());
    let written = encoder.write_all(&message).and_then(|()| encoder.finish());
    let mut packed = written.map_err(|error| Error::malformed(error.to_string()))?;
    packed.shrink_to_fit();
    Ok(packed)
}

/// Unpacks a message. Fails if `packed` isn't one, or if it is longer than [`MAX_LEN`] unpacked.
pub fn unpack(packed: &[u8]) -> Result<Cow<'_, [u8]>> {
    let message = match packed.split_first() {
        Some((&PLAIN, message)) => return Ok(Cow::Borrowed(message)),
        Some((&DEFLATED, message)) => message,
        Some(_) | None => return Err(Error::malformed("message without a known packing")),
    };
    let mut unpacked = Vec::new();
    // One octet more tells a message that is too long from one that just fits.
    let limit = MAX_LEN as u64 + 1;
    DeflateDecoder::new(message)
        .take(limit)
        .read_to_end(&mut unpacked)
        .map_err(|error| Error::malformed(error.to_string()))?;
    if unpacked.len() > MAX_LEN {
        return Err(Error::malformed("message is too long"));
    }
    Ok(Cow::Owned(unpacked))
}
