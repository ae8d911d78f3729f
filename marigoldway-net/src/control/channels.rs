//! Dispatches received frames to the parts of the process that handle them.

use std::net::SocketAddrV4;

use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

use crate::control::FrameReceiver;
use crate::wire::Frame;
use crate::wire::lists::ListsWire;
use crate::wire::membership::MembershipWire;
use crate::wire::relay::RelayWire;
use crate::wire::shares::SharesWire;

/// Maximum number of messages queued for one part of the process.
const QUEUE_LEN: usize = 1_024;

/// `MessageReceiver` yields messages, each with the control address of its sender.
pub type MessageReceiver<T> = mpsc::Receiver<(SocketAddrV4, T)>;

/// `Channels` holds a queue of received messages for each part of the process.
///
/// A message for a part whose queue is full is dropped with a warning, so that a slow part
/// doesn't delay the others. Messages for a part whose receiver was dropped are discarded.
pub struct Channels {
    /// Messages of the membership protocol, which distributes the records of all instances.
    pub membership: MessageReceiver<MembershipWire>,
    /// Messages that propagate the lists of plans and allowances.
    pub lists: MessageReceiver<ListsWire>,
    /// Messages that lend agents shares, parts of customers' allowances.
    pub shares: MessageReceiver<SharesWire>,
    /// Requests that other agents relay to this one, and answers to requests that this agent
    /// relayed.
    pub relay: MessageReceiver<RelayWire>,
}

impl Channels {
    /// Spawns a task that dispatches the frames of `inbound` until `inbound` is closed.
    pub fn split(mut inbound: FrameReceiver) -> Channels {
        let (membership, membership_queue) = mpsc::channel(QUEUE_LEN);
        let (lists, lists_queue) = mpsc::channel(QUEUE_LEN);
        let (shares, shares_queue) = mpsc::channel(QUEUE_LEN);
        let (relay, relay_queue) = mpsc::channel(QUEUE_LEN);
        tokio::spawn(async move {
            while let Some((peer, frame)) = inbound.recv().await {
                match frame {
                    Frame::Membership(message) => enqueue(&membership, peer, message, "membership"),
                    Frame::Lists(message) => enqueue(&lists, peer, message, "lists"),
                    Frame::Shares(message) => enqueue(&shares, peer, message, "shares"),
                    Frame::Relay(message) => enqueue(&relay, peer, message, "relay"),
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

fn enqueue<T>(queue: &mpsc::Sender<(SocketAddrV4, T)>, peer: SocketAddrV4, message: T, part: &str) {
    if let Err(TrySendError::Full(_)) = queue.try_send((peer, message)) {
        log::warn!("event=control-overrun part={part} peer={peer}");
    }
}
