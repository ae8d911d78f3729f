//! Messages by which shares of the allowances are lent.

use serde::Deserialize;
use serde::Serialize;

/// `SharesWire` is a message about shares.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SharesWire {
    /// The sender asks for shares with the term of this number.
    Ask(u64),
}
