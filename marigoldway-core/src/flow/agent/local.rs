//! Tracks the state of a flow of the agent's own target.

use crate::flow::message::Header;
use crate::flow::segment::Segment;
use crate::time::Timestamp;

/// Maximum number of octets by which an acknowledgement may lie before the origin, which is a
/// sequence number that the target has reached: that of its first octet, or a later one. The origin is
/// a guess if the agent first saw the flow after it had opened.
const ORIGIN_SLACK: u32 = 1 << 20;

/// Number of octets, from `ORIGIN_SLACK` before the origin, within which an acknowledgement counts
/// as one of the flow. Beyond it, sequence numbers don't tell flows apart.
const ACK_WINDOW: u32 = 1 << 25;

/// Number of octets after which the origin follows the target. It is a part of `ACK_WINDOW`, so that
/// directory agents still know the flow if they miss some of its origins.
const ORIGIN_STEP: u32 = 1 << 23;

/// `Phase` states what the agent knows of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The opening packet was sent to the target.
    Opening,
    /// A packet of a flow that wasn't in the table was sent to the target, since the target may
    /// hold the flow. The target hasn't answered yet.
    Visiting,
    /// The target has answered the opening packet and sent nothing else yet.
    Answered,
    /// The target holds the flow.
    Open,
}

/// `LocalFlow` is a flow that the agent's own target holds or may hold.
#[derive(Clone, Debug)]
pub struct LocalFlow {
    /// What the agent knows of the flow.
    pub phase: Phase,
    /// Header of the latest packet of the flow.
    pub header: Header,
    /// Sequence number of the first octet that the target sent, or of a later one.
    pub origin: u32,
    /// Latest acknowledgement number from the client.
    pub acked: u32,
    /// Sequence number after the client's last octet, once it has sent any.
    pub client_end: Option<u32>,
    /// Sequence number after the target's last octet, once it has sent any.
    pub target_end: Option<u32>,
    /// Whether the flow was open before this process saw it.
    pub preexisting: bool,
    /// Whether the flow belongs to another service, from which it overflowed.
    pub guest: bool,
    /// Whether the latest request was removed before it was admitted, since its client has gone.
    pub abandoned: bool,
    /// Sequence number of the opening packet, if this process saw it.
    pub opening_seq: Option<u32>,
    /// When the client began to wait for the flow to open. If the agent saw no opening packet, when
    /// it first saw the flow.
    pub waiting_since: Timestamp,
    /// Whether the client has sent its last octet.
    pub client_done: bool,
    /// Whether the target has sent its last octet.
    pub target_done: bool,
    /// When both ends had finished sending.
    pub closed: Option<Timestamp>,
}

impl LocalFlow {
    /// Creates a flow of which only the header and the start of the client's wait are known.
    pub fn new(phase: Phase, header: Header, waiting_since: Timestamp) -> LocalFlow {
        LocalFlow {
            phase,
            header,
            origin: 0,
            acked: 0,
            client_end: None,
            target_end: None,
            preexisting: false,
            guest: false,
            abandoned: false,
            opening_seq: None,
            waiting_since,
            client_done: false,
            target_done: false,
            closed: None,
        }
    }

    /// Whether the acknowledgement of a client's packet fits what this target has sent. True before
    /// the target has answered.
    pub fn fits(&self, segment: &Segment) -> bool {
        match self.phase {
            Phase::Opening | Phase::Visiting => true,
            Phase::Answered | Phase::Open => ack_in_window(self.origin, segment.ack),
        }
    }

    /// Updates the state from a client's packet. Returns whether the packet carries new data.
    pub fn on_client(&mut self, now: Timestamp, segment: &Segment) -> bool {
        self.acked = segment.ack;
        self.client_done |= segment.flags.fin;
        self.close(now);
        if segment.len == 0 {
            return false;
        }
        advance(&mut self.client_end, segment)
    }

    /// Whether a client's packet repeats a request that was removed since its client has gone. A
    /// client that sends new data hasn't.
    pub fn is_abandoned(&mut self, segment: &Segment, fresh: bool) -> bool {
        self.abandoned &= !fresh;
        self.abandoned && (segment.len > 0 || segment.flags.fin)
    }

    /// Updates the state from a packet of the target. Returns whether the packet answers a request:
    /// it carries new data or ends the target's side of the flow.
    pub fn on_target(&mut self, now: Timestamp, segment: &Segment) -> bool {
        self.target_done |= segment.flags.fin;
        self.close(now);
        let fresh = segment.len > 0 && advance(&mut self.target_end, segment);
        fresh || segment.flags.fin
    }

    /// Moves the origin to the target's last octet if that is [`ORIGIN_STEP`] further. Returns whether
    /// it has moved, so that the flow has to be registered again.
    pub fn advance_origin(&mut self) -> bool {
        let Some(end) = self.target_end else {
            return false;
        };
        let step = end.wrapping_sub(self.origin);
        let moves = (ORIGIN_STEP..ACK_WINDOW).contains(&step);
        if moves {
            self.origin = end;
        }
        moves
    }

    /// Whether the target holds the flow, as far as is known: it may have ended on both sides.
    pub fn is_held(&self) -> bool {
        let is_known = matches!(self.phase, Phase::Answered | Phase::Open);
        is_known && self.closed.is_none()
    }

    /// Marks the flow as closed if both ends have finished sending.
    fn close(&mut self, now: Timestamp) {
        if self.client_done && self.target_done {
            self.closed.get_or_insert(now);
        }
    }
}

/// Whether an acknowledgement can belong to a flow whose target has sent `origin` as the sequence
/// number of an octet.
pub fn ack_in_window(origin: u32, ack: u32) -> bool {
    ack.wrapping_sub(origin).wrapping_add(ORIGIN_SLACK) < ACK_WINDOW
}

/// Moves `end` to the end of a packet. Returns whether the packet extends past the previous
/// end.
fn advance(end: &mut Option<u32>, segment: &Segment) -> bool {
    let last = segment.seq.wrapping_add(u32::from(segment.len));
    let fresh = end.is_none_or(|seen| last.wrapping_sub(seen).cast_signed() > 0);
    if fresh {
        *end = Some(last);
    }
    fresh
}
