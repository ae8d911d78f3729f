//! One end of an open flow: sends octets in order, acknowledges, and retransmits.

use std::time::Duration;
use std::time::Instant;

use crate::packet::ACK;
use crate::packet::End;
use crate::packet::FIN;
use crate::packet::MAX_DATA;
use crate::packet::Packet;
use crate::packet::after;

/// Most packets in flight.
const WINDOW: usize = 16;

/// First wait before a retransmission, and the longest one.
const RETRANSMIT: (Duration, Duration) = (Duration::from_millis(200), Duration::from_millis(1_600));

/// Retransmissions after which an endpoint gives up.
const MAX_RETRANSMITS: u32 = 8;

pub struct Stream {
    own: End,
    peer: End,
    /// Sequence number of the first octet.
    first: u32,
    /// First octet that the peer hasn't acknowledged, and what follows it.
    unacked: u32,
    out: Vec<u8>,
    /// Octets of `out` that were sent, with the FIN if it was.
    sent: usize,
    closing: bool,
    fin_acked: bool,
    /// Next octet that is expected from the peer.
    next: u32,
    pub received: Vec<u8>,
    /// Whether the peer has sent its FIN.
    pub peer_done: bool,
    /// Data packets that weren't acknowledged yet.
    owed: u32,
    wait: Duration,
    due: Option<Instant>,
    pub retransmits: u32,
    pub last_heard: Instant,
}

impl Stream {
    pub fn new(own: End, peer: End, seq: u32, next: u32) -> Stream {
        Stream {
            own,
            peer,
            first: seq,
            unacked: seq,
            out: Vec::new(),
            sent: 0,
            closing: false,
            fin_acked: false,
            next,
            received: Vec::new(),
            peer_done: false,
            owed: 0,
            wait: RETRANSMIT.0,
            due: None,
            retransmits: 0,
            last_heard: Instant::now(),
        }
    }

    pub fn write(&mut self, octets: &[u8]) {
        self.out.extend_from_slice(octets);
    }

    /// Sends a FIN after what was written.
    pub fn close(&mut self) {
        self.closing = true;
    }

    pub fn is_closing(&self) -> bool {
        self.closing
    }

    /// Whether both ends have sent a FIN, and the own one has arrived.
    pub fn is_closed(&self) -> bool {
        self.peer_done && self.fin_acked
    }

    pub fn has_given_up(&self) -> bool {
        self.retransmits > MAX_RETRANSMITS
    }

    /// Sequence number that the end expects next: its acknowledgement.
    pub fn ack(&self) -> u32 {
        self.next
    }

    /// Whether an acknowledgement is one of what was sent here.
    pub fn may_be_acked(&self, ack: u32) -> bool {
        let sent = self
            .unacked
            .wrapping_sub(self.first)
            .wrapping_add(self.sent as u32);
        ack.wrapping_sub(self.first) <= sent
    }

    /// Takes a packet of the peer. Returns the packets to send at once.
    pub fn receive(&mut self, packet: &Packet) -> Vec<Packet> {
        self.last_heard = Instant::now();
        self.on_ack(packet.ack);
        if packet.span() > 0 {
            if packet.seq == self.next && !self.peer_done {
                self.received.extend_from_slice(&packet.data);
                self.next = self.next.wrapping_add(packet.span());
                self.peer_done = packet.has(FIN);
                self.owed += 1;
            } else {
                // A copy, or one after a gap.
                self.owed += 2;
            }
            if self.owed >= 2 || self.peer_done {
                return vec![self.acknowledge()];
            }
        }
        Vec::new()
    }

    fn on_ack(&mut self, ack: u32) {
        if !after(ack, self.unacked) {
            return;
        }
        let mut count = ack.wrapping_sub(self.unacked) as usize;
        if count > self.sent {
            return;
        }
        self.unacked = ack;
        self.sent -= count;
        if count > self.out.len() {
            self.fin_acked = true;
            count = self.out.len();
        }
        self.out.drain(..count);
        self.wait = RETRANSMIT.0;
        self.retransmits = 0;
        self.due = (self.sent > 0).then(|| Instant::now() + self.wait);
    }

    /// An acknowledgement without data.
    pub fn acknowledge(&mut self) -> Packet {
        self.owed = 0;
        let seq = self.unacked.wrapping_add(self.sent as u32);
        Packet::new(self.own, self.peer, ACK, seq, self.next, &[])
    }

    /// Whether an acknowledgement is owed for the last packet.
    pub fn owes(&self) -> bool {
        self.owed > 0
    }

    /// The packets that are due now: new ones within the window, or those to be repeated.
    pub fn poll(&mut self, now: Instant) -> Vec<Packet> {
        if self.due.is_some_and(|at| now >= at) {
            self.retransmits += 1;
            self.wait = (self.wait * 2).min(RETRANSMIT.1);
            self.sent = 0;
            self.due = None;
        }
        let mut packets = Vec::new();
        let total = self.out.len() + usize::from(self.closing && !self.fin_acked);
        while self.sent < total && self.sent < WINDOW * MAX_DATA {
            let end = (self.sent + MAX_DATA).min(self.out.len());
            let data = self.out[self.sent.min(end)..end].to_vec();
            let last = end == self.out.len() && self.closing && !self.fin_acked;
            let flags = ACK | if last { FIN } else { 0 };
            let seq = self.unacked.wrapping_add(self.sent as u32);
            self.sent += data.len() + usize::from(last);
            packets.push(Packet::new(
                self.own, self.peer, flags, seq, self.next, &data,
            ));
        }
        if !packets.is_empty() {
            self.owed = 0;
            self.due.get_or_insert(now + self.wait);
        }
        packets
    }
}
