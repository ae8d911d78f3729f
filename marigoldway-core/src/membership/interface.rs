//! Inputs and outputs of the membership state machine.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::ids::DomainId;
use crate::ids::InstanceId;
use crate::message::Load;
use crate::message::Message;
use crate::roster::State;

/// `Input` is an event that the process passes to the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message was received from a peer.
    Receive {
        /// Control address of the peer.
        from: SocketAddrV4,
        /// The received message.
        message: Message,
    },
    /// The process changes its own state, for example starts to serve or leaves.
    State(State),
    /// The weight of the process, its share of new flows, has changed to this value.
    /// [`crate::roster::FULL_WEIGHT`] is the full share.
    Weight(u16),
    /// Control addresses of entries were learned outside the protocol.
    Contacts(Vec<SocketAddrV4>),
    /// The number of flows that the agent holds has changed to this value.
    Flows(u32),
    /// The process holds this new revision of the lists of plans and allowances.
    Revision(u64),
}

/// `Output` is an action that the process must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to the control address of a peer.
    Send {
        /// Control address of the peer.
        to: SocketAddrV4,
        /// The message to send.
        message: Message,
    },
    /// Publish [`crate::membership::Membership::view`], which has changed.
    View,
    /// Log an event and pass it to its subscribers.
    Event(Event),
}

/// `Event` is reported to operators and to other parts of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// This process has joined: a peer has sent a record of another instance.
    Joined,
    /// This entry marked an instance suspect or down.
    Marked {
        /// The instance.
        id: InstanceId,
        /// State that the entry recorded: suspect or down.
        state: State,
    },
    /// This process raised its version above a record of itself: it refuted a mark,
    /// or resumed after a monitor had answered its inquiry.
    Refuted {
        /// New version of its own record.
        version: u32,
    },
    /// This process was suspended.
    Slept {
        /// Time since the last tick.
        gap: Duration,
    },
    /// A later incarnation of this instance exists: this process must exit.
    Replaced,
    /// A failure domain was lost, or has recovered.
    Domain {
        /// The domain.
        domain: DomainId,
        /// Whether the domain is lost.
        lost: bool,
    },
    /// A peer reported the revision of the lists of plans and allowances that it holds.
    Revision {
        /// Control address of the peer.
        from: SocketAddrV4,
        /// The revision.
        revision: u64,
    },
    /// A peer of the same service reported its load.
    Peer(Load),
}
