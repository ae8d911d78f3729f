//! One end of a flow: a stream of octets each way over packets that may be lost,
//! doubled or reordered.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use marigoldway_core::flow::segment::Flags;
use marigoldway_core::flow::segment::Segment;
use marigoldway_platform::packet;

use crate::packets;

/// Packets on their way at most.
const WINDOW: usize = 16;

/// Time to the first repetition of an unacknowledged packet.
const REPEAT_FIRST: Duration = Duration::from_millis(200);

/// Longest time between two repetitions.
const REPEAT_MAX: Duration = Duration::from_millis(1_600);

/// Repetitions after which an end gives up.
const REPEATS_MAX: u32 = 8;

/// `Stream` is one end of a flow that is open.
pub(crate) struct Stream {
    local: SocketAddrV4,
    remote: SocketAddrV4,
    /// Octets that the other end hasn't acknowledged.
    out: Vec<u8>,
    /// Number of the first of them.
    base: u32,
    /// How many of them were sent.
    sent: usize,
    /// Whether nothing follows them.
    closing: bool,
    /// Whether the other end has acknowledged all, with the end.
    closed: bool,
    expected: u32,
    early: BTreeMap<u32, Vec<u8>>,
    inbox: Vec<u8>,
    /// Number of the other end's end.
    remote_end: Option<u32>,
    repeat_at: Option<Instant>,
    repeats: u32,
    owes_ack: bool,
}

impl Stream {
    /// Opens an end whose next octet is `base`, and expects octet `expected`.
    pub(crate) fn new(
        local: SocketAddrV4,
        remote: SocketAddrV4,
        base: u32,
        expected: u32,
    ) -> Stream {
        Stream {
            local,
            remote,
            out: Vec::new(),
            base,
            sent: 0,
            closing: false,
            closed: false,
            expected,
            early: BTreeMap::new(),
            inbox: Vec::new(),
            remote_end: None,
            repeat_at: None,
            repeats: 0,
            owes_ack: true,
        }
    }

    /// Writes octets.
    pub(crate) fn write(&mut self, octets: &[u8]) {
        self.out.extend_from_slice(octets);
    }

    /// Writes nothing more.
    pub(crate) fn close(&mut self) {
        self.closing = true;
    }

    /// What has arrived.
    pub(crate) fn inbox(&mut self) -> &mut Vec<u8> {
        &mut self.inbox
    }

    /// The number that the other end takes for valid in a reset.
    pub(crate) fn expected(&self) -> u32 {
        self.expected
    }

    /// Whether the other end has written all that it will.
    pub(crate) fn is_ended(&self) -> bool {
        self.remote_end == Some(self.expected)
    }

    /// Whether both ends are done.
    pub(crate) fn is_done(&self) -> bool {
        self.closed && self.is_ended()
    }

    /// Whether the other end has been silent for too long.
    pub(crate) fn is_lost(&self) -> bool {
        self.repeats > REPEATS_MAX
    }

    /// Takes a packet of the other end.
    pub(crate) fn receive(&mut self, segment: &Segment, data: &[u8]) {
        self.acknowledge(segment.ack);
        if segment.len > 0 {
            self.early.insert(segment.seq, data.to_vec());
            self.owes_ack = true;
        }
        if segment.flags.fin {
            self.remote_end = Some(segment.seq.wrapping_add(u32::from(segment.len) + 1));
            self.owes_ack = true;
        }
        while let Some(data) = self.early.remove(&self.expected) {
            self.expected = self.expected.wrapping_add(data.len() as u32);
            self.inbox.extend(data);
        }
        self.early
            .retain(|seq, _| seq.wrapping_sub(self.expected).cast_signed() > 0);
        if self.remote_end == Some(self.expected.wrapping_add(1)) {
            self.expected = self.expected.wrapping_add(1);
        }
    }

    fn acknowledge(&mut self, ack: u32) {
        let done = ack.wrapping_sub(self.base) as usize;
        if done == 0 || done > self.out.len() + 1 {
            return;
        }
        if done > self.out.len() {
            self.closed = self.closing;
        }
        let done = done.min(self.out.len());
        self.out.drain(..done);
        self.base = self.base.wrapping_add(done as u32);
        self.sent = self.sent.saturating_sub(done);
        self.repeats = 0;
        self.repeat_at = None;
    }

    /// The packets that are due.
    pub(crate) fn poll(&mut self, now: Instant) -> Vec<Vec<u8>> {
        let mut packets = Vec::new();
        if self.repeat_at.is_some_and(|at| now >= at) {
            self.sent = 0;
            self.repeats += 1;
            self.repeat_at = None;
        }
        let pending = !self.closed && (self.closing || !self.out.is_empty());
        let window = WINDOW * packet::MAX_DATA_LEN;
        while pending && self.sent < self.out.len() && self.sent < window {
            let end = (self.sent + packet::MAX_DATA_LEN)
                .min(self.out.len())
                .min(window);
            let last = self.closing && end == self.out.len();
            packets.push(self.packet(self.sent, end, last));
            self.sent = end;
        }
        if pending && self.out.is_empty() && self.repeat_at.is_none() {
            packets.push(self.packet(0, 0, true));
        }
        if pending && self.repeat_at.is_none() {
            let wait = REPEAT_FIRST * 2_u32.pow(self.repeats.min(3));
            self.repeat_at = Some(now + wait.min(REPEAT_MAX));
        }
        if packets.is_empty() && self.owes_ack {
            packets.push(self.packet(0, 0, false));
        }
        self.owes_ack = false;
        packets
    }

    fn packet(&self, start: usize, end: usize, fin: bool) -> Vec<u8> {
        let data = &self.out[start..end];
        let segment = Segment {
            source: self.local,
            dest: self.remote,
            flags: Flags {
                ack: true,
                fin,
                ..Flags::default()
            },
            seq: self.base.wrapping_add(start as u32),
            ack: self.expected,
            len: data.len() as u16,
            answer: None,
        };
        packets::encode(&segment, data)
    }
}
