//! This module decides where a process reads the keys that it needs: from a follower or from the
//! store.

use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Time for which a follower that didn't answer isn't asked again.
const RETRY_AFTER: Duration = Duration::from_secs(5);

/// Number of followers that fail one after the other until the process reads the store itself.
const MAX_FAILURES: u32 = 2;

/// `Source` is where a process reads next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The replica of this follower.
    Follower(InstanceId),
    /// The store itself.
    Store,
}

/// `Sources` chooses the source of each read of one prefix.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    /// Followers that didn't answer, with the time of the last failure.
    failed: IndexMap<InstanceId, Timestamp>,
    /// Number of failures since the last answer.
    failures: u32,
}

impl Sources {
    /// The source of the next read: the first of the followers that didn't fail lately. The store
    /// if there is none, or if `MAX_FAILURES` followers have failed one after the other.
    pub fn next(&mut self, now: Timestamp, followers: &[InstanceId]) -> Source {
        self.failed.retain(|_, at| now.since(*at) < RETRY_AFTER);
        if self.failures >= MAX_FAILURES {
            return Source::Store;
        }
        let usable = followers.iter().find(|id| !self.failed.contains_key(*id));
        usable.map_or(Source::Store, |id| Source::Follower(*id))
    }

    /// Notes that a follower didn't answer, or answered that it may be out of date.
    pub fn on_failure(&mut self, now: Timestamp, follower: InstanceId) {
        self.failed.insert(follower, now);
        self.failures += 1;
    }

    /// Notes that a follower or the store answered.
    pub fn on_answer(&mut self) {
        self.failures = 0;
    }
}
