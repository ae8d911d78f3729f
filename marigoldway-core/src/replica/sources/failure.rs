//! Tracks the failures of followers, by which a process selects another one.

use std::time::Duration;

use crate::replica::timing::REFUSAL_RETRY;
use crate::time::Timestamp;

/// Time for which a follower that failed isn't asked again.
const RETRY_AFTER: Duration = Duration::from_secs(5);

/// `Failure` is the last failure of a follower.
#[derive(Clone, Copy, Debug)]
pub(super) enum Failure {
    /// The follower didn't answer in time.
    Silent(Timestamp),
    /// The follower has no copy, its answer was of no use, or no process listens there.
    Refused(Timestamp),
    /// The follower held a demand and didn't meet it: the store may not answer it. Other followers are
    /// preferred for demands.
    Unmet(Timestamp),
}

impl Failure {
    /// Whether the follower isn't asked at `now`. `demanding` tells whether a demand is open.
    pub(super) fn excludes(self, now: Timestamp, demanding: bool) -> bool {
        match self {
            Failure::Refused(at) if demanding => now.since(at) < REFUSAL_RETRY,
            Failure::Silent(at) | Failure::Refused(at) => now.since(at) < RETRY_AFTER,
            Failure::Unmet(at) => demanding && now.since(at) < RETRY_AFTER,
        }
    }

    /// Time of the failure.
    pub(super) fn at(self) -> Timestamp {
        let (Failure::Silent(at) | Failure::Refused(at) | Failure::Unmet(at)) = self;
        at
    }

    /// Whether the follower didn't meet a demand. A reader, which never leads, asks such a follower
    /// if all are excluded.
    pub(super) fn is_unmet(self) -> bool {
        matches!(self, Failure::Unmet(_))
    }
}
