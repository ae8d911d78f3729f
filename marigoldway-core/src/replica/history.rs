//! This module keeps the latest changes of a replica, bounded by their number and by their size.

use std::collections::VecDeque;

use crate::replica::Change;

/// Maximum number of changes that a replica keeps for its readers.
const MAX_CHANGES: usize = 1_024;

/// Octets that a change takes beside its key and value.
const CHANGE_OVERHEAD: usize = 128;

/// `History` holds the changes after a revision, in their order. The oldest ones are dropped once there
/// are more than [`MAX_CHANGES`], or once they take more octets than the limit. A reader that lacks
/// dropped ones receives all keys.
#[derive(Clone, Debug)]
pub(super) struct History {
    changes: VecDeque<Change>,
    /// Octets that the changes take.
    size: usize,
    /// Maximum of `size`.
    max_size: usize,
    /// Revision after which `changes` has every change.
    floor: u64,
}

impl History {
    /// A history without changes, of at most `max_size` octets.
    pub(super) fn new(max_size: usize) -> History {
        History {
            changes: VecDeque::new(),
            size: 0,
            max_size,
            floor: 0,
        }
    }

    /// Maximum number of octets that the changes take.
    pub(super) fn max_size(&self) -> usize {
        self.max_size
    }

    /// Octets that the changes take.
    pub(super) fn size(&self) -> usize {
        self.size
    }

    /// Drops all changes, and has every change after `floor` from now on.
    pub(super) fn reset(&mut self, floor: u64) {
        self.changes.clear();
        self.size = 0;
        self.floor = floor;
    }

    /// Adds a change that is later than all others.
    pub(super) fn push(&mut self, change: Change) {
        self.size += size(&change);
        self.changes.push_back(change);
        while self.size > self.max_size || self.changes.len() > MAX_CHANGES {
            let Some(oldest) = self.changes.pop_front() else {
                return;
            };
            self.size -= size(&oldest);
            self.floor = self.floor.max(oldest.revision());
        }
    }

    /// The changes after a revision, or `None` if some of them were dropped.
    pub(super) fn after(&self, revision: u64) -> Option<impl Iterator<Item = &Change>> {
        let newer = self
            .changes
            .iter()
            .filter(move |it| it.revision() > revision);
        (revision >= self.floor).then_some(newer)
    }
}

/// Octets that a change takes. The value of the latest change of a key is shared with its item, and
/// counts here all the same.
fn size(change: &Change) -> usize {
    CHANGE_OVERHEAD
        + match change {
            Change::Put(item) => item.key.len() + item.value.len(),
            Change::Deleted(key, _) => key.len(),
        }
}
