//! The control channel, by which the processes of the fleet exchange messages, called frames.
//!
//! [`Control::send`] never blocks. It opens a connection to the peer if none is open, and
//! queues a limited number of frames per peer. Further frames are dropped and counted.
//!
//! Frames are encoded as CBOR and sent in WebSocket messages over TCP. Before a frame is read,
//! both ends prove that they hold the fleet's control key (module `handshake`). Every frame is
//! authenticated (module `seal`) but not encrypted.

mod accept;
mod channels;
mod connection;
mod counters;
mod counting_stream;
mod handshake;
mod seal;
#[cfg(test)]
mod tests;

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::watch;

use crate::errors::Result;
use crate::wire::Frame;

pub use crate::control::channels::Channels;
pub use crate::control::channels::MessageReceiver;
pub use crate::control::counters::ControlCounts;

use crate::control::connection::QueuedFrame;
use crate::control::counters::Counters;

/// Length of the control key in octets.
pub const CONTROL_KEY_LEN: usize = 32;

/// `ControlOptions` holds the listen address, queue limits and timeouts of a control channel.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// TCP listen address. With port 0, the system chooses a free port.
    pub listen: SocketAddrV4,
    /// Maximum number of frames queued for one peer. Default: 256.
    pub send_queue: usize,
    /// Maximum number of received frames, of all peers together, that are queued until this
    /// process reads them. Default: 4096.
    pub receive_queue: usize,
    /// Time without a frame in either direction after which a connection is closed. Default:
    /// 60 s.
    pub idle_timeout: Duration,
    /// Maximum time to open and authenticate a connection, and maximum time to send a frame.
    /// It is also the TCP user timeout. Default: 3 s.
    pub timeout: Duration,
    /// Age above which a queued frame is dropped, so that a process that was
    /// paused sends no frames from before the pause. Default: 2 s.
    pub max_frame_age: Duration,
    /// Maximum number of accepted connections whose peer isn't authenticated yet.
    /// Further connections are rejected. Default: 256.
    pub max_unauthenticated: usize,
}

impl ControlOptions {
    /// Creates the default options for a listen address.
    pub fn new(listen: SocketAddrV4) -> ControlOptions {
        ControlOptions {
            listen,
            send_queue: 256,
            receive_queue: 4096,
            idle_timeout: Duration::from_secs(60),
            timeout: Duration::from_secs(3),
            max_frame_age: Duration::from_secs(2),
            max_unauthenticated: 256,
        }
    }
}

/// `FrameReceiver` yields frames, each with the control address of its sender.
pub type FrameReceiver = mpsc::Receiver<(SocketAddrV4, Frame)>;

/// `Control` is a handle to a control channel. Clones refer to the same channel.
#[derive(Clone)]
pub struct Control {
    shared: Arc<Shared>,
}

/// `Shared` is the state that the tasks of a control channel share.
struct Shared {
    options: ControlOptions,
    address: SocketAddrV4,
    key: [u8; CONTROL_KEY_LEN],
    send_queues: Mutex<IndexMap<SocketAddrV4, mpsc::Sender<QueuedFrame>>>,
    receive_queue: mpsc::Sender<(SocketAddrV4, Frame)>,
    counters: Counters,
    closed: watch::Sender<bool>,
}

impl Control {
    /// Starts a control channel, which accepts connections, and returns its handle and the
    /// received frames. Fails if the listen address can't be bound.
    pub async fn start(
        options: ControlOptions,
        key: &[u8; CONTROL_KEY_LEN],
    ) -> Result<(Control, FrameReceiver)> {
        let listener = TcpListener::bind(options.listen).await?;
        let address = SocketAddrV4::new(*options.listen.ip(), listener.local_addr()?.port());
        let (receive_queue, inbound) = mpsc::channel(options.receive_queue);
        let shared = Arc::new(Shared {
            options,
            address,
            key: *key,
            send_queues: Mutex::default(),
            receive_queue,
            counters: Counters::default(),
            closed: watch::Sender::new(false),
        });
        tokio::spawn(accept::run(Arc::clone(&shared), listener));
        Ok((Control { shared }, inbound))
    }

    /// Returns the address at which peers connect to this process, with the port in use.
    pub fn address(&self) -> SocketAddrV4 {
        self.shared.address
    }

    /// Queues a frame for the process whose control address is `peer`, and opens a connection if
    /// none is open. If the queue is full, the frame is dropped and counted. Queued frames are
    /// lost if the connection fails.
    pub fn send(&self, peer: SocketAddrV4, frame: Frame) {
        let queued = QueuedFrame {
            frame,
            queued_at: Instant::now(),
        };
        let mut queues = self.shared.send_queues();
        let queued = match queues
            .get(&peer)
            .map(|queue| queue.try_send(queued.clone()))
        {
            Some(Ok(())) => return,
            Some(Err(TrySendError::Full(_))) => return self.shared.counters.add_dropped(1),
            Some(Err(TrySendError::Closed(queued))) => queued,
            None => queued,
        };

        let (sender, queue) = mpsc::channel(self.shared.options.send_queue);
        // A new queue isn't full.
        let _ = sender.try_send(queued);
        queues.insert(peer, sender);
        tokio::spawn(connection::dial(Arc::clone(&self.shared), peer, queue));
    }

    /// Returns the counters since the start of the channel.
    pub fn counts(&self) -> ControlCounts {
        let open = self.shared.send_queues().len();
        self.shared.counters.read(open)
    }

    /// Stops every task of the channel and closes its connections. Queued frames are lost.
    pub fn close(&self) {
        self.shared.closed.send_replace(true);
    }
}

impl Shared {
    fn send_queues(&self) -> MutexGuard<'_, IndexMap<SocketAddrV4, mpsc::Sender<QueuedFrame>>> {
        // Every operation leaves the map consistent, so a poisoned lock is safe to use.
        self.send_queues
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes the send queue of `peer` if the receiver of that queue is closed. A newer queue
    /// with an open receiver stays.
    fn remove_closed_queue(&self, peer: SocketAddrV4) {
        let mut queues = self.send_queues();
        if queues.get(&peer).is_some_and(mpsc::Sender::is_closed) {
            queues.swap_remove(&peer);
        }
    }
}
