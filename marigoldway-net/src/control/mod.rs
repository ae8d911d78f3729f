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
mod counters;
mod handshake;
mod link;
mod meter;
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
pub use crate::control::channels::Received;
pub use crate::control::counters::ControlCounts;

use crate::control::counters::Counters;
use crate::control::link::Queued;

/// Length of the control key in octets.
pub const CONTROL_KEY_LEN: usize = 32;

/// `ControlOptions` says where the control channel listens and what it holds.
#[derive(Clone, Debug)]
pub struct ControlOptions {
    /// TCP address to listen at. Port 0 lets the system choose.
    pub listen: SocketAddrV4,
    /// Frames that wait for one peer at most.
    pub queue: usize,
    /// Frames that wait for the receiver of this process at most.
    pub inbox: usize,
    /// Time after which a connection that carries nothing is closed.
    pub idle: Duration,
    /// Longest time to connect, to prove the key or to send a frame.
    pub timeout: Duration,
    /// Age at which a queued frame is dropped. A process that was paused thus
    /// sends nothing from before the pause.
    pub stale: Duration,
    /// Connections at a time whose peer hasn't proved the key yet.
    pub unproved: usize,
}

impl ControlOptions {
    /// Makes default options for an address.
    pub fn new(listen: SocketAddrV4) -> ControlOptions {
        ControlOptions {
            listen,
            queue: 256,
            inbox: 4096,
            idle: Duration::from_secs(60),
            timeout: Duration::from_secs(3),
            stale: Duration::from_secs(2),
            unproved: 256,
        }
    }
}

/// `Inbound` yields frames with the control address of the peer that sent them.
pub type Inbound = mpsc::Receiver<(SocketAddrV4, Frame)>;

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
    links: Mutex<IndexMap<SocketAddrV4, mpsc::Sender<Queued>>>,
    inbox: mpsc::Sender<(SocketAddrV4, Frame)>,
    counters: Counters,
    closed: watch::Sender<bool>,
}

impl Control {
    /// Starts to listen. Fails if the address can't be bound.
    pub async fn start(
        options: ControlOptions,
        key: &[u8; CONTROL_KEY_LEN],
    ) -> Result<(Control, Inbound)> {
        let listener = TcpListener::bind(options.listen).await?;
        let address = SocketAddrV4::new(*options.listen.ip(), listener.local_addr()?.port());
        let (inbox, inbound) = mpsc::channel(options.inbox);
        let shared = Arc::new(Shared {
            options,
            address,
            key: *key,
            links: Mutex::default(),
            inbox,
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
        let queued = Queued {
            frame,
            since: Instant::now(),
        };
        let mut links = self.shared.links();
        let queued = match links.get(&peer).map(|link| link.try_send(queued.clone())) {
            Some(Ok(())) => return,
            Some(Err(TrySendError::Full(_))) => return self.shared.counters.add_dropped(1),
            Some(Err(TrySendError::Closed(queued))) => queued,
            None => queued,
        };

        let (sender, queue) = mpsc::channel(self.shared.options.queue);
        // A new queue has room for one frame.
        let _ = sender.try_send(queued);
        links.insert(peer, sender);
        tokio::spawn(link::dial(Arc::clone(&self.shared), peer, queue));
    }

    /// The counters since the start.
    pub fn counts(&self) -> ControlCounts {
        let open = self.shared.links().len();
        self.shared.counters.read(open)
    }

    /// Ends every task of the channel. Queued frames are lost.
    pub fn close(&self) {
        self.shared.closed.send_replace(true);
    }
}

impl Shared {
    fn links(&self) -> MutexGuard<'_, IndexMap<SocketAddrV4, mpsc::Sender<Queued>>> {
        // The map is whole after every step, so a panic elsewhere can't break it.
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the queue that `receiver` ends away, unless another replaced it.
    fn forget(&self, peer: SocketAddrV4) {
        let mut links = self.links();
        if links.get(&peer).is_some_and(mpsc::Sender::is_closed) {
            links.swap_remove(&peer);
        }
    }
}
