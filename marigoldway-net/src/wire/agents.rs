//! Agents' records as they stand in the platform's store: JSON, so that an
//! operator can read them there.

use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;

use marigoldway_core::flow::key::NameKey;
use marigoldway_core::flow::message::AgentRecord;
use marigoldway_core::flow::message::TargetState;
use marigoldway_core::ids::InstanceId;

use crate::errors::Error;

/// Prefix of the keys of all agents.
pub const AGENTS_PREFIX: &str = "agents/";

/// End of the key of an agent's mark.
const MARK_SUFFIX: &str = "/mark";

/// `StoredAgent` is the value of an agent's key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAgent {
    id: SocketAddrV4,
    incarnation: u64,
    number: u64,
    service: NameKey,
    domain: NameKey,
    state: TargetState,
    slots: u16,
    complete: bool,
}

/// Prefix of the keys of one service's agents.
pub fn service_prefix(service: NameKey) -> String {
    format!("{AGENTS_PREFIX}{service}/")
}

/// The key of an agent.
pub fn agent_key(record: &AgentRecord) -> String {
    format!("{}{}", service_prefix(record.service), record.id)
}

/// The agent that a key names.
pub fn key_id(key: &str) -> Option<InstanceId> {
    let (_, id) = key.strip_prefix(AGENTS_PREFIX)?.split_once('/')?;
    id.parse().ok().map(InstanceId)
}

/// The key of an agent's mark. It holds the agent's first record and outlives
/// its lease: whoever reads the list learns that an agent may live though it
/// isn't listed at the moment.
pub fn presence_key(agent_key: &str) -> String {
    format!("{agent_key}{MARK_SUFFIX}")
}

/// The agent that the key of a mark names.
pub fn presence_id(key: &str) -> Option<InstanceId> {
    key_id(key.strip_suffix(MARK_SUFFIX)?)
}

/// Encodes a record.
pub fn encode(record: &AgentRecord) -> Vec<u8> {
    serde_json::to_vec(&StoredAgent::from(record)).unwrap_or_default()
}

/// Reads a record.
pub fn decode(value: &[u8]) -> Result<AgentRecord, Error> {
    let entry: StoredAgent = serde_json::from_slice(value).map_err(|err| Error::Malformed {
        detail: err.to_string(),
    })?;
    Ok(AgentRecord::from(&entry))
}

impl From<&AgentRecord> for StoredAgent {
    fn from(record: &AgentRecord) -> StoredAgent {
        StoredAgent {
            id: record.id.0,
            incarnation: record.incarnation,
            number: record.number,
            service: record.service,
            domain: record.domain,
            state: record.state,
            slots: record.slots,
            complete: record.complete,
        }
    }
}

impl From<&StoredAgent> for AgentRecord {
    fn from(entry: &StoredAgent) -> AgentRecord {
        AgentRecord {
            id: InstanceId(entry.id),
            incarnation: entry.incarnation,
            number: entry.number,
            service: entry.service,
            domain: entry.domain,
            state: entry.state,
            slots: entry.slots,
            complete: entry.complete,
        }
    }
}
