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
    /// Whether a request is inside the target.
    pub running: bool,
    /// Whether the client has nothing more to send.
    pub client_done: bool,
    /// Whether the target has nothing more to send.
    pub target_done: bool,
    /// When both ends were done.
    pub closed: Option<Timestamp>,
}

impl LocalFlow {
    /// Makes a flow of which only the header is known.
    pub fn new(phase: Phase, header: Header) -> LocalFlow {
        LocalFlow {
            phase,
            header,
            origin: 0,
            acked: 0,
            running: false,
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

    /// Takes note of a client's packet.
    pub fn on_client(&mut self, now: Timestamp, segment: &Segment) {
        self.acked = segment.ack;
        self.client_done |= segment.flags.fin;
        if segment.len > 0 {
            self.running = true;
        }
        self.close(now);
    }

    /// Takes note of the target's packet.
    pub fn on_target(&mut self, now: Timestamp, segment: &Segment) {
        self.target_done |= segment.flags.fin;
        if segment.len > 0 || segment.flags.fin {
            self.running = false;
        }
        self.close(now);
    }

    fn close(&mut self, now: Timestamp) {
        if self.client_done && self.target_done {
            self.closed.get_or_insert(now);
            self.running = false;
        }
    }
}

/// Whether an acknowledgement can belong to a flow whose target began with
/// `origin`.
pub fn fits(origin: u32, ack: u32) -> bool {
    ack.wrapping_sub(origin).wrapping_add(ORIGIN_SLACK) < FLOW_SPAN
}
