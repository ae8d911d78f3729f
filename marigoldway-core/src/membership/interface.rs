//! What goes into the membership state machine, and what comes out.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::ids::DomainId;
use crate::ids::InstanceId;
use crate::message::Load;
use crate::message::Message;
use crate::roster::State;

/// `Input` is what happens to a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message came in from the control address of a peer.
    Receive {
        /// Control address of the peer.
        from: SocketAddrV4,
        /// What it says.
        message: Message,
    },
    /// The process starts to serve, or leaves.
    State(State),
    /// The share of new flows has changed.
    Weight(u16),
    /// Control addresses of entries were learned from elsewhere.
    Contacts(Vec<SocketAddrV4>),
    /// The number of flows that the agent holds has changed.
    Flows(u32),
    /// The process holds a new revision of the lists.
    Revision(u64),
}

/// `Output` is what a process has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to the control address of a peer.
    Send {
        /// Control address of the peer.
        to: SocketAddrV4,
        /// What to say.
        message: Message,
    },
    /// Publish [`crate::membership::Membership::view`], which has changed.
    View,
    /// Take note of an event.
    Event(Event),
}

/// `Event` is what operators and other parts of the process learn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The roster of a peer has come in.
    Joined,
    /// This entry marked an instance.
    Marked {
        /// The instance.
        id: InstanceId,
        /// What it is marked as.
        state: State,
    },
    /// This process refuted a mark.
    Refuted {
        /// Its new version.
        version: u32,
    },
    /// This process slept.
    Slept {
        /// Time between two ticks.
        gap: Duration,
    },
    /// A later life of this instance is known: this process must end.
    Replaced,
    /// A failure domain is lost, or heard from again.
    Domain {
        /// The domain.
        domain: DomainId,
        /// Whether it is lost.
        lost: bool,
    },
    /// A peer holds this revision of the lists.
    Revision {
        /// Control address of the peer.
        from: SocketAddrV4,
        /// The revision.
        revision: u64,
    },
    /// A peer of the service told its load.
    Peer(Load),
}
