//! Tells a feed that a decision needs a confirmation.

use std::cell::Cell;

use tokio::sync::Notify;

use marigoldway_core::time::Timestamp;

/// `Demand` tells a feed that a decision needs a confirmation.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    /// Latest time for which a confirmation is needed, until the feed takes it.
    at: Cell<Option<Timestamp>>,
    wake: Notify,
}

impl Demand {
    /// Demands a confirmation for the time `at`.
    pub(crate) fn raise(&self, at: Timestamp) {
        self.at.set(self.at.get().max(Some(at)));
        self.wake.notify_one();
    }

    /// Takes the latest time for which a confirmation was demanded since the last call.
    pub(crate) fn take(&self) -> Option<Timestamp> {
        self.at.take()
    }

    /// Whether a demand is there to be taken.
    pub(crate) fn is_raised(&self) -> bool {
        self.at.get().is_some()
    }

    /// Waits until a demand is there to be taken.
    pub(crate) async fn raised(&self) {
        // A wake-up may be left over from a demand that was taken.
        while !self.is_raised() {
            self.wake.notified().await;
        }
    }
}
