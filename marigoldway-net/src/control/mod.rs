//! The control channel: frames between processes of the system.
//!
//! [`Control::send`] never waits. It opens a connection where none is open,
//! queues a bounded number of frames for each peer, and drops and counts the
//! rest. Frames travel as CBOR in WebSocket messages over TCP. Both ends prove
//! that they hold the fleet's control key before a frame is read, and every
//! frame is authenticated; see the modules `handshake` and `seal`. Frames are not
//! encrypted.

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

/// `ControlOptions` says where the control channel listens and what it holds.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// TCP address to listen at. Port 0 lets the system choose.
    pub listen: SocketAddrV4,
    /// Frames that wait for one peer at most.
    pub send_queue: usize,
    /// Frames that wait for the receiver of this process at most.
    pub receive_queue: usize,
    /// Time after which a connection that carries nothing is closed.
    pub idle_timeout: Duration,
    /// Longest time to connect, to prove the key or to send a frame.
    pub timeout: Duration,
    /// Age at which a queued frame is dropped. A process that was paused thus
    /// sends nothing from before the pause.
    pub max_frame_age: Duration,
    /// Connections at a time whose peer hasn't proved the key yet.
    pub max_unauthenticated: usize,
}

impl ControlOptions {
    /// Makes default options for an address.
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

/// `FrameReceiver` yields frames with the control address of the peer that sent them.
pub type FrameReceiver = mpsc::Receiver<(SocketAddrV4, Frame)>;

/// `Control` is a handle to the control channel. Clones share it.
#[derive(Clone)]
pub struct Control {
    shared: Arc<Shared>,
}

/// What the tasks of the channel share.
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
    /// Starts to listen. Fails if the address can't be bound.
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

    /// The address at which this process is reached.
    pub fn address(&self) -> SocketAddrV4 {
        self.shared.address
    }

    /// Queues a frame for `peer`, or drops and counts it if the queue is full.
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
        // A new queue has room for one frame.
        let _ = sender.try_send(queued);
        queues.insert(peer, sender);
        tokio::spawn(connection::dial(Arc::clone(&self.shared), peer, queue));
    }

    /// The counters since the start.
    pub fn counts(&self) -> ControlCounts {
        let open = self.shared.send_queues().len();
        self.shared.counters.read(open)
    }

    /// Ends every task of the channel. Queued frames are lost.
    pub fn close(&self) {
        self.shared.closed.send_replace(true);
    }
}

impl Shared {
    fn send_queues(&self) -> MutexGuard<'_, IndexMap<SocketAddrV4, mpsc::Sender<QueuedFrame>>> {
        // The map is whole after every step, so a panic elsewhere can't break it.
        self.send_queues
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the queue that `receiver` ends away, unless another replaced it.
    fn remove_closed_queue(&self, peer: SocketAddrV4) {
        let mut queues = self.send_queues();
        if queues.get(&peer).is_some_and(mpsc::Sender::is_closed) {
            queues.swap_remove(&peer);
        }
    }
}
