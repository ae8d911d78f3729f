//! This module defines the epochs of the platform's store.
//!
//! A store that is restored from a backup has lost its latest writes, and assigns their revisions
//! again. Each restore starts a new epoch. Revisions are comparable only within one epoch.

use std::fmt;

/// `Epoch` is the number of an epoch of the store. It rises with each restore, and is 0 while the
/// store hasn't stated one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// `EpochRevision` is a revision together with its epoch. A revision of a later epoch is greater
/// than any of an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EpochRevision {
    /// Epoch in which the store assigned the revision.
    pub epoch: Epoch,
    /// The revision, or 0 for none.
    pub revision: u64,
}

impl EpochRevision {
    /// A revision of an epoch.
    pub fn new(epoch: Epoch, revision: u64) -> EpochRevision {
        EpochRevision { epoch, revision }
    }

    /// The revision if it belongs to `epoch`.
    pub fn within(self, epoch: Epoch) -> Option<u64> {
        (self.epoch == epoch).then_some(self.revision)
    }
}
