//! One end of a flow: a reliable stream of octets in each direction over packets
//! that may be lost, duplicated or reordered.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use marigoldway_core::flow::segment::Flags;
use marigoldway_core::flow::segment::Segment;
use marigoldway_platform::packet;

use crate::packets;

/// Maximum amount of unacknowledged data, in packets of the maximum length.
const WINDOW_PACKETS: usize = 16;

/// Time until the first retransmission. The time doubles with each further retransmission, up to
/// [`MAX_RETRANSMIT_WAIT`].
const INITIAL_RETRANSMIT_WAIT: Duration = Duration::from_millis(200);

/// Maximum time between two retransmissions.
const MAX_RETRANSMIT_WAIT: Duration = Duration::from_millis(1_600);

/// Maximum number of retransmissions without an acknowledgement.
const MAX_RETRANSMITS: u32 = 8;

/// `Stream` is one end of an open flow.
pub(crate) struct Stream {
    local: SocketAddrV4,
    remote: SocketAddrV4,
    /// Octets that the other end hasn't acknowledged yet.
    unacked: Vec<u8>,
    /// Sequence number of the first octet of `unacked`.
    base: u32,
    /// Number of octets of `unacked` that were sent.
    sent: usize,
    /// Whether the local stream ends after `unacked`.
    closing: bool,
    /// Whether the other end acknowledged all octets and the end of the stream.
    fin_acked: bool,
    /// Sequence number of the next octet that is expected from the other end.
    expected: u32,
    /// Data received ahead of `expected`, by sequence number.
    out_of_order: BTreeMap<u32, Vec<u8>>,
    received: Vec<u8>,
    /// Sequence number that follows the other end's FIN, `None` until a FIN has arrived.
    remote_end: Option<u32>,
    retransmit_at: Option<Instant>,
    retransmits: u32,
    ack_pending: bool,
}

impl Stream {
    /// Creates an end that sends from sequence number `base` and expects `expected`.
    pub(crate) fn new(
        local: SocketAddrV4,
        remote: SocketAddrV4,
        base: u32,
        expected: u32,
    ) -> Stream {
        Stream {
            local,
            remote,
            unacked: Vec::new(),
            base,
            sent: 0,
            closing: false,
            fin_acked: false,
            expected,
            out_of_order: BTreeMap::new(),
            received: Vec::new(),
            remote_end: None,
            retransmit_at: None,
            retransmits: 0,
            ack_pending: true,
        }
    }

    /// Queues octets; [`Stream::poll`] sends them.
    pub(crate) fn write(&mut self, octets: &[u8]) {
        self.unacked.extend_from_slice(octets);
    }

    /// Closes the stream for writing once the queued octets are sent.
    pub(crate) fn close(&mut self) {
        self.closing = true;
    }

    /// Octets received in order; the caller removes what it has read.
    pub(crate) fn received(&mut self) -> &mut Vec<u8> {
        &mut self.received
    }

    /// The next sequence number expected. The sequence number of a valid reset is close to it.
    pub(crate) fn expected(&self) -> u32 {
        self.expected
    }

    /// Whether all data and the end of the other end's stream were received.
    pub(crate) fn is_remote_closed(&self) -> bool {
        self.remote_end == Some(self.expected)
    }

    /// Whether both directions are closed and acknowledged.
    pub(crate) fn is_closed(&self) -> bool {
        self.fin_acked && self.is_remote_closed()
    }

    /// Whether more than [`MAX_RETRANSMITS`] retransmissions in a row brought no acknowledgement.
    pub(crate) fn is_timed_out(&self) -> bool {
        self.retransmits > MAX_RETRANSMITS
    }

    /// Processes a packet of the other end.
    pub(crate) fn receive(&mut self, segment: &Segment, data: &[u8]) {
        self.acknowledge(segment.ack);
        if segment.len > 0 {
            self.out_of_order.insert(segment.seq, data.to_vec());
            self.ack_pending = true;
        }
        if segment.flags.fin {
            self.remote_end = Some(segment.seq.wrapping_add(u32::from(segment.len) + 1));
            self.ack_pending = true;
        }
        while let Some(data) = self.out_of_order.remove(&self.expected) {
            self.expected = self.expected.wrapping_add(data.len() as u32);
            self.received.extend(data);
        }
        self.out_of_order
            .retain(|seq, _| seq.wrapping_sub(self.expected).cast_signed() > 0);
        if self.remote_end == Some(self.expected.wrapping_add(1)) {
            self.expected = self.expected.wrapping_add(1);
        }
    }

    fn acknowledge(&mut self, ack: u32) {
        let done = ack.wrapping_sub(self.base) as usize;
        if done == 0 || done > self.unacked.len() + 1 {
            return;
        }
        if done > self.unacked.len() {
            self.fin_acked = self.closing;
        }
        let done = done.min(self.unacked.len());
        self.unacked.drain(..done);
        self.base = self.base.wrapping_add(done as u32);
        self.sent = self.sent.saturating_sub(done);
        self.retransmits = 0;
        self.retransmit_at = None;
    }

    /// Returns the packets that are due: new data, retransmissions, or an
    /// acknowledgement alone.
    pub(crate) fn poll(&mut self, now: Instant) -> Vec<Vec<u8>> {
        let mut packets = Vec::new();
        if self.retransmit_at.is_some_and(|at| now >= at) {
            self.sent = 0;
            self.retransmits += 1;
            self.retransmit_at = None;
        }
        let pending = !self.fin_acked && (self.closing || !self.unacked.is_empty());
        let window = WINDOW_PACKETS * packet::MAX_DATA_LEN;
        while pending && self.sent < self.unacked.len() && self.sent < window {
            let end = (self.sent + packet::MAX_DATA_LEN)
                .min(self.unacked.len())
                .min(window);
            let last = self.closing && end == self.unacked.len();
            packets.push(self.packet(self.sent, end, last));
            self.sent = end;
        }
        if pending && self.unacked.is_empty() && self.retransmit_at.is_none() {
            packets.push(self.packet(0, 0, true));
        }
        if pending && self.retransmit_at.is_none() {
            let wait = INITIAL_RETRANSMIT_WAIT * 2_u32.pow(self.retransmits.min(3));
            self.retransmit_at = Some(now + wait.min(MAX_RETRANSMIT_WAIT));
        }
        if packets.is_empty() && self.ack_pending {
            packets.push(self.packet(0, 0, false));
        }
        self.ack_pending = false;
        packets
    }

    fn packet(&self, start: usize, end: usize, fin: bool) -> Vec<u8> {
        let data = &self.unacked[start..end];
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
