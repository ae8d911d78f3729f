//! Packets of flows: a header of 31 octets and up to 1,200 octets of data.

use std::net::Ipv4Addr;

pub const SYN: u8 = 2;
pub const ACK: u8 = 1;
pub const FIN: u8 = 4;
pub const RST: u8 = 32;
pub const BOUNCED: u8 = 16;

pub const HEADER_LEN: usize = 31;

/// Most octets of data in a packet.
pub const MAX_DATA: usize = 1_200;

/// One end of a flow.
pub type End = (Ipv4Addr, u16);

/// The client's end and the route's end.
pub type FlowKey = (End, End);

#[derive(Clone, Debug)]
pub struct Packet {
    pub src: End,
    pub dst: End,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub data: Vec<u8>,
    /// Whether the sum is that of the sender; false for a packet that was altered.
    pub intact: bool,
    /// Whether the sum is 0: the packet is a reset of the system's own.
    pub unsigned: bool,
}

impl Packet {
    pub fn new(src: End, dst: End, flags: u8, seq: u32, ack: u32, data: &[u8]) -> Packet {
        Packet {
            src,
            dst,
            flags,
            seq,
            ack,
            data: data.to_vec(),
            intact: true,
            unsigned: false,
        }
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Number of sequence numbers that the packet takes.
    pub fn span(&self) -> u32 {
        self.data.len() as u32 + u32::from(self.has(FIN))
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEADER_LEN + self.data.len());
        out.extend_from_slice(&[0; 4]);
        out.extend_from_slice(&self.dst.1.to_le_bytes());
        out.extend_from_slice(&self.src.1.to_le_bytes());
        out.extend_from_slice(&u32::from(self.src.0).to_le_bytes());
        out.extend_from_slice(&u32::from(self.dst.0).to_le_bytes());
        out.extend_from_slice(&(self.data.len() as u16).to_le_bytes());
        out.extend_from_slice(&[0; 4]);
        out.extend_from_slice(&self.seq.to_le_bytes());
        out.extend_from_slice(&self.ack.to_le_bytes());
        out.push(self.flags);
        out.extend_from_slice(&self.data);
        let sum = sum(&out);
        out[18..22].copy_from_slice(&sum.to_le_bytes());
        out
    }

    pub fn decode(octets: &[u8]) -> Option<Packet> {
        if octets.len() < HEADER_LEN {
            return None;
        }
        let two = |at: usize| u16::from_le_bytes([octets[at], octets[at + 1]]);
        let four = |at: usize| {
            u32::from_le_bytes([octets[at], octets[at + 1], octets[at + 2], octets[at + 3]])
        };
        let data = &octets[HEADER_LEN..];
        if usize::from(two(16)) != data.len() {
            return None;
        }
        let stated = four(18);
        Some(Packet {
            src: (four(8).into(), two(6)),
            dst: (four(12).into(), two(4)),
            flags: octets[30],
            seq: four(22),
            ack: four(26),
            data: data.to_vec(),
            intact: stated == sum(octets),
            unsigned: stated == 0,
        })
    }
}

/// The keyed sum over all fields but `echo` and the flag BOUNCED. Never 0.
fn sum(octets: &[u8]) -> u32 {
    let mut hash: u32 = 0x9e37_79b9;
    for (at, octet) in octets.iter().enumerate().skip(4) {
        let octet = match at {
            18..22 => 0,
            30 => octet & !BOUNCED,
            _ => *octet,
        };
        hash = (hash ^ u32::from(octet))
            .wrapping_mul(0x0100_0193)
            .rotate_left(5);
    }
    hash.max(1)
}

/// Whether `a` is after `b` in the space of sequence numbers.
pub fn after(a: u32, b: u32) -> bool {
    (a.wrapping_sub(b) as i32) > 0
}
