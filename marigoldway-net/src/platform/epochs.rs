//! The latest epoch of the platform that a process has learned of, from any source.
//!
//! The clients of the platform in one process share it, so that a response that one of them gets
//! makes the others discard what they know of an earlier epoch.

use tokio::sync::watch;

pub use marigoldway_core::replica::epoch::Epoch;

/// `Epochs` holds the latest known epoch, which never goes back.
#[derive(Debug)]
pub struct Epochs {
    latest: watch::Sender<Epoch>,
}

impl Default for Epochs {
    fn default() -> Epochs {
        Epochs {
            latest: watch::Sender::new(Epoch::default()),
        }
    }
}

impl Epochs {
    /// The latest known epoch, 0 while none is known.
    pub fn latest(&self) -> Epoch {
        *self.latest.borrow()
    }

    /// Notes that the platform has reached an epoch. Returns whether it wasn't known yet.
    pub fn raise(&self, epoch: Epoch) -> bool {
        self.latest.send_if_modified(|latest| {
            let is_later = epoch > *latest;
            if is_later {
                *latest = epoch;
            }
            is_later
        })
    }

    /// Returns a receiver that is notified of each later epoch.
    pub fn subscribe(&self) -> watch::Receiver<Epoch> {
        self.latest.subscribe()
    }
}
