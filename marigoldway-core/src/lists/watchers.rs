//! Which entries watch the platform.
//!
//! A few entries of each failure domain hold watches, so the number of calls
//! depends on the number of domains, not on that of instances.

use crate::ids::DomainId;
use crate::ids::InstanceId;
use crate::placement;
use crate::roster::RosterView;

/// Watchers of one failure domain.
pub const WATCHERS_PER_DOMAIN: usize = 3;

/// Key of the ranking, which keeps it apart from other rankings.
const RANK_KEY: u64 = 0x7761_7463_6865_7273;

/// The entries of `domain` that watch the platform, best first.
pub fn watchers(view: &RosterView, domain: DomainId) -> Vec<InstanceId> {
    let entries = view.entries().iter().copied().filter(|id| {
        view.record(*id)
            .is_some_and(|record| record.domain == domain)
    });
    placement::rank(RANK_KEY, entries, WATCHERS_PER_DOMAIN)
}

/// Tells whether the entry `id` of `domain` watches the platform. An entry
/// that knows of no other entry in its domain watches.
pub fn is_watcher(view: &RosterView, domain: DomainId, id: InstanceId) -> bool {
    let watchers = watchers(view, domain);
    watchers.len() < WATCHERS_PER_DOMAIN || watchers.contains(&id)
}
