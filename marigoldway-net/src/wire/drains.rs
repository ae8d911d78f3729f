//! Format of the drained failure domains that processes tell starting ones.

use serde::Deserialize;
use serde::Serialize;

use marigoldway_core::flow::drains::SharedDrains;

use crate::errors::Error;

/// `DrainsWire` is the JSON form of a [`SharedDrains`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct DrainsWire {
    drained: Vec<String>,
    /// Lifted drains, which version 0.1.0 expects. Always empty.
    #[serde(default)]
    lifted: Vec<(String, u64)>,
}

/// Encodes drained domains as JSON. Returns an empty value if the encoding fails.
pub fn encode(drains: &SharedDrains) -> Vec<u8> {
    let wire = DrainsWire {
        drained: drains.drained.clone(),
        lifted: Vec::new(),
    };
    serde_json::to_vec(&wire).unwrap_or_default()
}

/// Decodes drained domains from JSON. Returns [`Error::Malformed`] if `octets` hold none.
pub fn decode(octets: &[u8]) -> Result<SharedDrains, Error> {
    let wire: DrainsWire =
        serde_json::from_slice(octets).map_err(|error| Error::malformed(error.to_string()))?;
    Ok(SharedDrains {
        drained: wire.drained,
    })
}
