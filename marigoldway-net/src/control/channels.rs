//! Sorts incoming frames by the part of the process that they are for.

use std::net::SocketAddrV4;

use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

use crate::control::FrameReceiver;
use crate::wire::Frame;
use crate::wire::lists::ListsWire;
use crate::wire::membership::MembershipWire;
use crate::wire::relay::RelayWire;
use crate::wire::shares::SharesWire;

/// Frames that wait for one part at most.
const QUEUE: usize = 1_024;

/// `MessageReceiver` yields messages with the control address of their peer.
pub type MessageReceiver<T> = mpsc::Receiver<(SocketAddrV4, T)>;

/// `Channels` holds a queue of incoming messages for each part of the process.
///
/// A part that is slow loses messages, and holds up no other. A part that
/// isn't there gets none.
pub struct Channels {
    /// Messages about the roster.
    pub membership: MessageReceiver<MembershipWire>,
    /// Messages about the lists.
    pub lists: MessageReceiver<ListsWire>,
    /// Messages about shares of the allowances.
    pub shares: MessageReceiver<SharesWire>,
    /// Messages about relayed requests.
    pub relay: MessageReceiver<RelayWire>,
}

impl Channels {
    /// Begins to sort the frames of `inbound`.
    pub fn split(mut inbound: FrameReceiver) -> Channels {
        let (membership, membership_queue) = mpsc::channel(QUEUE);
        let (lists, lists_queue) = mpsc::channel(QUEUE);
        let (shares, shares_queue) = mpsc::channel(QUEUE);
        let (relay, relay_queue) = mpsc::channel(QUEUE);
        tokio::spawn(async move {
            while let Some((peer, frame)) = inbound.recv().await {
                match frame {
                    Frame::Membership(it) => offer(&membership, peer, it, "membership"),
                    Frame::Lists(it) => offer(&lists, peer, it, "lists"),
                    Frame::Shares(it) => offer(&shares, peer, it, "shares"),
                    Frame::Relay(it) => offer(&relay, peer, it, "relay"),
                }
            }
        });
        Channels {
            membership: membership_queue,
            lists: lists_queue,
            shares: shares_queue,
            relay: relay_queue,
        }
    }
}

fn offer<T>(queue: &mpsc::Sender<(SocketAddrV4, T)>, peer: SocketAddrV4, message: T, part: &str) {
    if let Err(TrySendError::Full(_)) = queue.try_send((peer, message)) {
        log::warn!("event=control-overrun part={part} peer={peer}");
    }
}
