//! Selection of the entries that watch the platform for changes of the lists.
//!
//! Entries are the processes that forward packets; the platform is the key-value
//! store that holds the lists. Only a few entries of each failure domain hold
//! watches, so the number of calls to the platform depends on the number of
//! domains, not on that of instances.

use crate::ids::DomainId;
use crate::ids::InstanceId;
use crate::placement;
use crate::roster::RosterView;

/// Maximum number of watchers in each failure domain.
pub const WATCHERS_PER_DOMAIN: usize = 3;

/// Hash key of the ranking of watchers. A key of its own makes this ranking
/// independent of others.
const RANK_KEY: u64 = 0x7761_7463_6865_7273;

/// Returns the entries of `domain` that watch the platform, highest rank first:
/// at most [`WATCHERS_PER_DOMAIN`].
pub fn watchers(view: &RosterView, domain: DomainId) -> Vec<InstanceId> {
    let entries = view.entries().iter().copied().filter(|id| {
        view.record(*id)
            .is_some_and(|record| record.domain == domain)
    });
    placement::rank(RANK_KEY, entries, WATCHERS_PER_DOMAIN)
}

/// Returns true if the entry `id` of `domain` watches the platform. This holds for
/// every entry while fewer than [`WATCHERS_PER_DOMAIN`] entries of the domain are
/// known, so an entry that knows of no other one watches.
pub fn is_watcher(view: &RosterView, domain: DomainId, id: InstanceId) -> bool {
    let watchers = watchers(view, domain);
    watchers.len() < WATCHERS_PER_DOMAIN || watchers.contains(&id)
}
