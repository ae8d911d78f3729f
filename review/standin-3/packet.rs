//! Packets of clients and endpoints: a header of 31 bytes, then the data. All numbers are
//! little-endian.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

pub const HEAD: usize = 31;
pub const ACK: u8 = 1;
pub const SYN: u8 = 2;
pub const FIN: u8 = 4;
pub const BOUNCED: u8 = 16;
pub const RST: u8 = 32;

/// Key of the sum that both ends write. The system doesn't know it.
const SUM_KEY: u64 = 0x5eed_9b1c_2d77_a043;

/// A decoded packet.
#[derive(Clone, Debug)]
pub struct Packet {
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
    pub sum: u32,
    /// Whether the sum is that of an end of the flow.
    pub valid: bool,
}

/// A packet to be sent.
pub struct Outgoing<'a> {
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub data: &'a [u8],
}

pub fn encode(p: &Outgoing<'_>) -> Vec<u8> {
    let mut out = vec![0; HEAD];
    out[4..6].copy_from_slice(&p.dst.port().to_le_bytes());
    out[6..8].copy_from_slice(&p.src.port().to_le_bytes());
    out[8..12].copy_from_slice(&p.src.ip().to_bits().to_le_bytes());
    out[12..16].copy_from_slice(&p.dst.ip().to_bits().to_le_bytes());
    out[16..18].copy_from_slice(&(p.data.len() as u16).to_le_bytes());
    out[22..26].copy_from_slice(&p.seq.to_le_bytes());
    out[26..30].copy_from_slice(&p.ack.to_le_bytes());
    out[30] = p.flags;
    out.extend_from_slice(p.data);
    let sum = sum(&out);
    out[18..22].copy_from_slice(&sum.to_le_bytes());
    out
}

pub fn decode(bytes: &[u8]) -> Option<Packet> {
    if bytes.len() < HEAD {
        return None;
    }
    let u16_at = |at: usize| u16::from_le_bytes([bytes[at], bytes[at + 1]]);
    let u32_at =
        |at: usize| u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
    let end =
        |ip: usize, port: usize| SocketAddrV4::new(Ipv4Addr::from_bits(u32_at(ip)), u16_at(port));
    let data = bytes[HEAD..].to_vec();
    if usize::from(u16_at(16)) != data.len() {
        return None;
    }
    let stated = u32_at(18);
    Some(Packet {
        src: end(8, 6),
        dst: end(12, 4),
        flags: bytes[30],
        seq: u32_at(22),
        ack: u32_at(26),
        data,
        sum: stated,
        valid: stated == sum(bytes),
    })
}

/// The keyed sum over all fields but `echo` and BOUNCED.
fn sum(bytes: &[u8]) -> u32 {
    let mut hash = SUM_KEY;
    for (at, byte) in bytes.iter().enumerate() {
        let byte = match at {
            0..4 | 18..22 => 0,
            30 => byte & !BOUNCED,
            _ => *byte,
        };
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        hash ^= hash >> 29;
    }
    ((hash >> 16) as u32).max(1)
}
