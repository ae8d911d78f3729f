//! Keys under which the platform, a key-value store, stores the lists and the history
//! of their changes.

use marigoldway_core::lists::ListKind;
use marigoldway_net::platform::KeyValue;
use marigoldway_net::platform::Platform;
use marigoldway_net::platform::Range;
use marigoldway_net::platform::errors::Result;

/// Key prefix of both lists. The name of the list follows.
pub const LISTS_PREFIX: &str = "marigoldway/lists/";

/// Key of a list.
pub fn list_key(kind: ListKind) -> String {
    format!("{LISTS_PREFIX}{kind}")
}

/// Key prefix of a list's history. The generation of a change follows.
pub fn history_prefix(kind: ListKind) -> String {
    format!("marigoldway/history/{kind}/")
}

/// Key of one change in a list's history. The generation is zero-padded to ten
/// digits, so that the keys sort by generation.
pub fn history_key(kind: ListKind, generation: u64) -> String {
    format!("{}{generation:010}", history_prefix(kind))
}

/// Key of the report on a repair, in the history behind the generation that was written again.
pub fn repair_key(kind: ListKind, generation: u64) -> String {
    format!("{}/repair", history_key(kind, generation))
}

/// `StoredLists` holds both lists as the platform stores them.
#[derive(Clone, Debug, Default)]
pub struct StoredLists {
    /// The key-value pair of each list that exists; its value is the list's text.
    pub pairs: Vec<(ListKind, KeyValue)>,
    /// Revision of the platform at the time of the read.
    pub revision: u64,
}

impl StoredLists {
    /// Reads both lists in one call. Skips other keys under [`LISTS_PREFIX`].
    ///
    /// # Errors
    ///
    /// The error of the platform call.
    pub async fn read(platform: &impl Platform) -> Result<StoredLists> {
        let read = platform.get(Range::Prefix(LISTS_PREFIX)).await?;
        let pairs = read
            .found
            .into_iter()
            .filter_map(|stored| Some((list_kind(&stored)?, stored)));
        Ok(StoredLists {
            pairs: pairs.collect(),
            revision: read.revision,
        })
    }

    /// The text of a list, or `None` if the list doesn't exist or isn't valid UTF-8.
    pub fn text(&self, kind: ListKind) -> Option<&str> {
        let (_, stored) = self.pairs.iter().find(|(k, _)| *k == kind)?;
        text(stored)
    }

    /// Revision of the platform at which a list was last written, or 0 if the list
    /// doesn't exist. It is not the revision that the header of the list states.
    pub fn store_revision(&self, kind: ListKind) -> u64 {
        let pair = self.pairs.iter().find(|(k, _)| *k == kind);
        pair.map_or(0, |(_, stored)| stored.revision)
    }
}

/// The kind of a stored list, or `None` if its key is not that of a list.
pub fn list_kind(stored: &KeyValue) -> Option<ListKind> {
    stored.key.strip_prefix(LISTS_PREFIX)?.parse().ok()
}

/// The value as text, or `None` if it is not valid UTF-8.
pub fn text(stored: &KeyValue) -> Option<&str> {
    std::str::from_utf8(&stored.value).ok()
}
