//! Messages by which accepted revisions of the lists spread.

use serde::Deserialize;
use serde::Serialize;

/// `ListsWire` is a message about the lists.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ListsWire {
    /// The sender holds this revision.
    Revision(u64),
}
