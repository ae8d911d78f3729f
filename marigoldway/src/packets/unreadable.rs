//! Remembers which unreadable values of the store were logged.

use indexmap::IndexMap;

use marigoldway_net::platform::KeyValue;

/// Maximum number of unreadable keys that are remembered.
const MAX_UNREADABLE: usize = 64;

/// `UnreadableKeys` tells which unreadable values were logged before. Lists are read again and
/// again, and other programs may leave values among the records.
#[derive(Debug, Default)]
pub(crate) struct UnreadableKeys {
    /// Revision at which each key was last logged.
    logged: IndexMap<String, u64>,
}

impl UnreadableKeys {
    /// Whether the value wasn't logged before at its revision. Forgets the key that was added
    /// first if [`MAX_UNREADABLE`] are known.
    pub(crate) fn is_new(&mut self, stored: &KeyValue) -> bool {
        if self.logged.get(&stored.key) == Some(&stored.revision) {
            return false;
        }
        if self.logged.len() >= MAX_UNREADABLE && !self.logged.contains_key(&stored.key) {
            self.logged.shift_remove_index(0);
        }
        self.logged.insert(stored.key.clone(), stored.revision);
        true
    }
}
