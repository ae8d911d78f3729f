//! What the registrar does when the store has reached a later epoch.

use std::time::Duration;

use rand::RngExt;
use tokio::time;

use marigoldway_net::platform::epochs::Epoch;
use marigoldway_net::platform::errors::Error;
use marigoldway_net::platform::errors::Result;

use crate::packets::registrar::KeyState;
use crate::packets::registrar::Registrar;

/// Maximum wait between the moment at which the process learns of a later epoch and the first write
/// in it, drawn at random: all agents register anew. Entries remove an unregistered agent only if it
/// doesn't answer them.
const MAX_EPOCH_WAIT: Duration = Duration::from_millis(1_500);

/// Interval at which that wait is checked for the end of the process.
const EPOCH_WAIT_STEP: Duration = Duration::from_millis(50);

impl Registrar {
    /// Whether the process has learned of a later epoch.
    pub(super) fn is_outdated(&self) -> bool {
        self.store.epochs().latest() > self.epoch
    }

    /// Discards all that is known of the store if it has reached a later epoch. Then waits for a
    /// random time if the agent was registered, unless the process leaves.
    pub(super) async fn enter_epoch(&mut self) {
        if !self.is_outdated() {
            return;
        }
        let lease = self.lease.take();
        let key_state = std::mem::replace(&mut self.key_state, KeyState::Unknown);
        if lease.is_some() || key_state != KeyState::Unknown {
            let epoch = self.store.epochs().latest();
            let wait = rand::rng().random_range(Duration::ZERO..MAX_EPOCH_WAIT);
            let (previous, wait_ms) = (self.epoch, wait.as_millis());
            log::warn!(
                "event=registration-lost previous={previous} epoch={epoch} wait-ms={wait_ms}"
            );
            self.agent.node.count("registration-lost");
            self.must_read_addrs = true;
            self.must_write_presence = true;
            let end = time::Instant::now() + wait;
            while time::Instant::now() < end && !self.agent.node.leaving.get() {
                time::sleep(EPOCH_WAIT_STEP).await;
            }
        }
        // The epoch may have changed again meanwhile. Nothing is known of the store in either.
        self.epoch = self.store.epochs().latest();
    }

    /// Fails if the process has learned of a later epoch. Learns the first one.
    pub(super) fn check_epoch(&mut self) -> Result<()> {
        if self.epoch == Epoch::default() && self.lease.is_none() {
            self.epoch = self.store.epochs().latest();
        }
        if self.is_outdated() {
            return Err(Error::EpochChanged);
        }
        Ok(())
    }
}
