//! Packets of clients and endpoints.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

pub const ACK: u8 = 1;
pub const SYN: u8 = 2;
pub const FIN: u8 = 4;
pub const BOUNCED: u8 = 16;
pub const RST: u8 = 32;

/// Length of the header in octets.
pub const HEADER_LEN: usize = 31;

/// Key of the sum, which the system doesn't know.
const SUM_KEY: u64 = 0x7265_7669_6577_2121;

/// `Packet` is a header with its data.
#[derive(Clone, Debug)]
pub struct Packet {
    pub source: SocketAddrV4,
    pub dest: SocketAddrV4,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub sum: u32,
    pub data: Vec<u8>,
}

impl Packet {
    /// A packet whose sum isn't computed yet.
    pub fn new(source: SocketAddrV4, dest: SocketAddrV4, flags: u8, seq: u32, ack: u32) -> Packet {
        Packet {
            source,
            dest,
            flags,
            seq,
            ack,
            sum: 0,
            data: Vec::new(),
        }
    }

    pub fn has(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    /// Whether the sum is that of an end of the flow.
    pub fn is_valid(&self) -> bool {
        self.sum == self.computed_sum()
    }

    fn computed_sum(&self) -> u32 {
        let mut hash = SUM_KEY;
        let fields = [
            u64::from(self.source.ip().to_bits()) << 16 | u64::from(self.source.port()),
            u64::from(self.dest.ip().to_bits()) << 16 | u64::from(self.dest.port()),
            u64::from(self.seq) << 32 | u64::from(self.ack),
            u64::from(self.flags & !BOUNCED) << 16 | self.data.len() as u64,
        ];
        let data = self.data.iter().map(|it| u64::from(*it));
        for field in fields.into_iter().chain(data) {
            hash = (hash ^ field).wrapping_mul(0x0000_0100_0000_01b3);
            hash ^= hash >> 29;
        }
        (hash as u32).max(1)
    }

    /// Encodes the packet with its sum.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = vec![0; 4];
        out.extend(self.dest.port().to_le_bytes());
        out.extend(self.source.port().to_le_bytes());
        out.extend(self.source.ip().to_bits().to_le_bytes());
        out.extend(self.dest.ip().to_bits().to_le_bytes());
        out.extend((self.data.len() as u16).to_le_bytes());
        out.extend(self.computed_sum().to_le_bytes());
        out.extend(self.seq.to_le_bytes());
        out.extend(self.ack.to_le_bytes());
        out.push(self.flags);
        out.extend(&self.data);
        out
    }

    /// Decodes a packet. `None` if it is too short or its length is wrong.
    pub fn decode(octets: &[u8]) -> Option<Packet> {
        let word = |at: usize| -> Option<u32> {
            Some(u32::from_le_bytes(octets.get(at..at + 4)?.try_into().ok()?))
        };
        let half = |at: usize| -> Option<u16> {
            Some(u16::from_le_bytes(octets.get(at..at + 2)?.try_into().ok()?))
        };
        let data = octets.get(HEADER_LEN..)?.to_vec();
        if usize::from(half(16)?) != data.len() {
            return None;
        }
        Some(Packet {
            source: SocketAddrV4::new(Ipv4Addr::from_bits(word(8)?), half(6)?),
            dest: SocketAddrV4::new(Ipv4Addr::from_bits(word(12)?), half(4)?),
            sum: word(18)?,
            seq: word(22)?,
            ack: word(26)?,
            flags: octets[30],
            data,
        })
    }
}
