//! Where the lists and their history stand in the platform.

use marigoldway_core::lists::ListKind;
use marigoldway_net::platform::KeyValue;
use marigoldway_net::platform::Platform;
use marigoldway_net::platform::Range;
use marigoldway_net::platform::errors::Result;

/// Prefix of the keys of both lists.
pub const LISTS_PREFIX: &str = "marigoldway/lists/";

/// The key of a list.
pub fn list_key(kind: ListKind) -> String {
    format!("{LISTS_PREFIX}{kind}")
}

/// Prefix of the keys of a list's history.
pub fn history_prefix(kind: ListKind) -> String {
    format!("marigoldway/history/{kind}/")
}

/// The key of one change in a list's history. The keys sort by generation.
pub fn history_key(kind: ListKind, generation: u64) -> String {
    format!("{}{generation:010}", history_prefix(kind))
}

/// `Lists` is what the platform holds of both lists.
#[derive(Clone, Debug, Default)]
pub struct Lists {
    /// Each list that exists, with its text as the value.
    pub found: Vec<(ListKind, KeyValue)>,
    /// The platform's revision.
    pub revision: u64,
}

impl Lists {
    /// Reads both lists with one call.
    ///
    /// # Errors
    ///
    /// Those of the platform.
    pub async fn read(platform: &impl Platform) -> Result<Lists> {
        let read = platform.get(Range::Prefix(LISTS_PREFIX)).await?;
        let found = read
            .found
            .into_iter()
            .filter_map(|stored| Some((kind_of(&stored)?, stored)));
        Ok(Lists {
            found: found.collect(),
            revision: read.revision,
        })
    }

    /// The text of a list, if it exists and is text.
    pub fn text(&self, kind: ListKind) -> Option<&str> {
        let (_, stored) = self.found.iter().find(|(k, _)| *k == kind)?;
        text(stored)
    }

    /// The platform's revision of a list, 0 if it doesn't exist.
    pub fn stored(&self, kind: ListKind) -> u64 {
        let found = self.found.iter().find(|(k, _)| *k == kind);
        found.map_or(0, |(_, stored)| stored.revision)
    }
}

/// Which list a key holds.
pub fn kind_of(stored: &KeyValue) -> Option<ListKind> {
    stored.key.strip_prefix(LISTS_PREFIX)?.parse().ok()
}

/// The value as text.
pub fn text(stored: &KeyValue) -> Option<&str> {
    std::str::from_utf8(&stored.value).ok()
}
