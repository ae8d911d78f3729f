//! What an agent remembers of a flow of its own target.

use crate::flow::message::Header;
use crate::flow::segment::Segment;
use crate::time::Timestamp;

/// Octets before the origin that an acknowledgement may name: the origin of a
/// flow that was met in its middle is a guess.
const ORIGIN_SLACK: u32 = 1 << 20;

/// Octets that a flow carries at most, as far as numbers tell flows apart.
const FLOW_SPAN: u32 = 1 << 25;

/// `Phase` says how much is known of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The opening packet went to the target.
    Opening,
    /// A packet went to the target in the hope that it holds the flow.
    Visiting,
    /// The target has answered the opening packet.
    Answered,
    /// The target holds the flow.
    Open,
}

/// `LocalFlow` is a flow of the own target.
#[derive(Clone, Debug)]
pub struct LocalFlow {
    /// How much is known.
    pub phase: Phase,
    /// The last header that came with a packet of the flow.
    pub header: Header,
    /// Number of the first octet that the target sent.
    pub origin: u32,
    /// The client's last acknowledgement.
    pub acked: u32,
    /// Number after the last octet that the client sent, once it sent any.
    pub client_end: Option<u32>,
    /// Number after the last octet that the target sent, once it sent any.
    pub target_end: Option<u32>,
    /// Whether the flow was open before this process saw it.
    pub learned: bool,
    /// When the client began to wait for the flow to open.
    pub asked: Timestamp,
    /// Whether the client has nothing more to send.
    pub client_done: bool,
    /// Whether the target has nothing more to send.
    pub target_done: bool,
    /// When both ends were done.
    pub closed: Option<Timestamp>,
}

impl LocalFlow {
    /// Makes a flow of which only the header is known, and when the client
    /// began to wait.
    pub fn new(phase: Phase, header: Header, asked: Timestamp) -> LocalFlow {
        LocalFlow {
            phase,
            header,
            origin: 0,
            acked: 0,
            client_end: None,
            target_end: None,
            learned: false,
            asked,
            client_done: false,
            target_done: false,
            closed: None,
        }
    }

    /// Whether a client's packet can belong to what this target sent.
    pub fn fits(&self, segment: &Segment) -> bool {
        match self.phase {
            Phase::Opening | Phase::Visiting => true,
            Phase::Answered | Phase::Open => fits(self.origin, segment.ack),
        }
    }

    /// Takes note of a client's packet, and tells whether it brings data for
    /// the first time.
    pub fn on_client(&mut self, now: Timestamp, segment: &Segment) -> bool {
        self.acked = segment.ack;
        self.client_done |= segment.flags.fin;
        self.close(now);
        if segment.len == 0 {
            return false;
        }
        advance(&mut self.client_end, segment)
    }

    /// Takes note of the target's packet, and tells whether a request is
    /// answered by it.
    pub fn on_target(&mut self, now: Timestamp, segment: &Segment) -> bool {
        self.target_done |= segment.flags.fin;
        self.close(now);
        let fresh = segment.len > 0 && advance(&mut self.target_end, segment);
        fresh || segment.flags.fin
    }

    fn close(&mut self, now: Timestamp) {
        if self.client_done && self.target_done {
            self.closed.get_or_insert(now);
        }
    }
}

/// Whether an acknowledgement can belong to a flow whose target began with
/// `origin`.
pub fn fits(origin: u32, ack: u32) -> bool {
    ack.wrapping_sub(origin).wrapping_add(ORIGIN_SLACK) < FLOW_SPAN
}

/// Takes note of a packet's last octet, and tells whether it is a new one.
fn advance(end: &mut Option<u32>, segment: &Segment) -> bool {
    let last = segment.seq.wrapping_add(u32::from(segment.len));
    let fresh = end.is_none_or(|seen| last.wrapping_sub(seen).cast_signed() > 0);
    if fresh {
        *end = Some(last);
    }
    fresh
}
