//! Messages by which an agent passes requests to another.

use serde::Deserialize;
use serde::Serialize;

/// `RelayWire` is a message about a relayed request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RelayWire {
    /// The sender gives up the request of this number.
    Cancel(u64),
}
