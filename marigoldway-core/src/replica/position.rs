//! This module tracks from which revision of the store a process asks for further changes.

use std::collections::VecDeque;
use std::time::Duration;

use crate::replica::Answer;
use crate::replica::Content;
use crate::replica::epoch::Epoch;
use crate::replica::epoch::EpochRevision;
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
    /// Epoch of all revisions here.
    epoch: Epoch,
    /// Revision up to which all changes are known.
    known: u64,
    /// Revisions of answers, with their times, in order.
    told: VecDeque<(Timestamp, u64)>,
}

impl Position {
    /// Discards the position if it belongs to an earlier epoch than `epoch`. Returns
    /// whether it did: no change since any revision can be asked for then, and all keys must be read.
    pub fn on_epoch(&mut self, epoch: Epoch) -> bool {
        if epoch <= self.epoch {
            return false;
        }
        *self = Position {
            epoch,
            ..Position::default()
        };
        true
    }

    /// Whether an answer from a follower, which was told the position `asked`, completes what the
    /// process knows: it belongs to the epoch of the position, and what it lacks of all keys was
    /// known in the same epoch.
    pub fn accepts(&self, answer: &Answer, asked: EpochRevision) -> bool {
        let is_complete = matches!(answer.content, Content::Snapshot(_));
        answer.epoch == self.epoch && (is_complete || answer.epoch == asked.epoch)
    }

    /// The epoch and the revision up to which all changes are known.
    pub fn reached(&self) -> EpochRevision {
        EpochRevision::new(self.epoch, self.known)
    }

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
