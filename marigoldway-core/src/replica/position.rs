//! This module tracks from which revision of the store a process asks for further changes.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Time after which the revision of an answer without a change counts. A store that is about to drop
/// its history may hide changes for a second, but answer. A call from before these changes is then
/// told that they are gone, a call from after them isn't.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Maximum number of revisions that wait until they count.
const MAX_TOLD: usize = 64;

/// `Position` is the revision after which a process asks for changes. It advances without a change
/// too: the store keeps its history for a limited time.
#[derive(Clone, Debug, Default)]
pub struct Position {
    /// Revision up to which all changes are known.
    known: u64,
    /// Revisions of answers, with their times, in order.
    told: VecDeque<(Timestamp, u64)>,
}

impl Position {
    /// Notes that all changes up to a revision are known, by a change or by a list of all keys.
    pub fn on_known(&mut self, revision: u64) {
        self.known = self.known.max(revision);
    }

    /// Revision up to which all changes are known.
    pub fn known(&self) -> u64 {
        self.known
    }

    /// Notes an answer to a call made at `asked`, which tells that the store had no further change
    /// up to a revision.
    pub fn on_answer(&mut self, asked: Timestamp, revision: u64) {
        if self.told.len() < MAX_TOLD {
            self.told.push_back((asked, revision));
        }
    }

    /// The revision from which to ask at `now`.
    pub fn after(&mut self, now: Timestamp) -> u64 {
        while let Some((asked, revision)) = self.told.front().copied()
            && now.since(asked) >= SETTLE_TIME
        {
            self.on_known(revision);
            self.told.pop_front();
        }
        self.known
    }
}
