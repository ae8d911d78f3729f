//! This module defines the packet fields that forwarding decisions use.

use std::net::SocketAddrV4;

use crate::flow::key::FlowKey;

/// `Flags` are the control flags of a packet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Flags {
    /// The packet opens a flow.
    pub syn: bool,
    /// The acknowledgement number is valid.
    pub ack: bool,
    /// The sender has nothing more to send.
    pub fin: bool,
    /// The sender resets the flow.
    pub rst: bool,
    /// The target returned this packet of a client because it doesn't hold the flow.
    pub bounced: bool,
}

/// `Segment` holds the header fields of a packet, and the result of a request if the
/// packet begins an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Address and port of the end that sent the packet.
    pub source: SocketAddrV4,
    /// Address and port of the end that the packet is sent to.
    pub dest: SocketAddrV4,
    /// The control flags.
    pub flags: Flags,
    /// Sequence number of the first octet of data.
    pub seq: u32,
    /// Sequence number of the octet that the sender expects next. On a client's
    /// opening packet, the number of earlier copies of that packet.
    pub ack: u32,
    /// Length of the data in octets.
    pub len: u16,
    /// Result of a request, or `None` if no answer begins in the data.
    pub answer: Option<Answer>,
}

/// `Answer` is the result of a request as a target's answer states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The target served the request, or the answer tells the caller why the target
    /// didn't serve it.
    Served,
    /// The request failed at the target.
    Failed,
}

impl Segment {
    /// The flow of this segment, if a client sent it.
    pub fn inbound_flow(&self) -> FlowKey {
        FlowKey {
            client: self.source,
            server: self.dest,
        }
    }

    /// The flow of this segment, if a target sent it.
    pub fn outbound_flow(&self) -> FlowKey {
        FlowKey {
            client: self.dest,
            server: self.source,
        }
    }

    /// Whether the packet opens a flow: it has the flag `syn` but not `ack`.
    pub fn opens(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }
}

/// `Reset` describes the packet that tells a client that its flow is reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reset {
    /// The flow that is reset.
    pub flow: FlowKey,
    /// Sequence number of the reset. It equals the client's last acknowledgement
    /// number, so the client accepts the reset.
    pub seq: u32,
}
