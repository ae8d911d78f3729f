//! Format of agents' records in the platform's key-value store.
//!
//! An agent is a process beside one target. Its record describes the agent and the target.
//! The records are JSON, so that an operator can read them in the store.

use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;

use marigoldway_core::flow::key::NameKey;
use marigoldway_core::flow::message::AgentRecord;
use marigoldway_core::flow::message::Reach;
use marigoldway_core::flow::message::TargetState;
use marigoldway_core::ids::InstanceId;

use crate::errors::Error;

/// Prefix of the record keys and presence keys of all agents.
pub const AGENTS_PREFIX: &str = "agents/";

/// Key of the record of moved routes. It has no lease: a flow may live longer than all processes of
/// the system.
pub const MOVES_KEY: &str = "agents/moves";

/// Name of the key of one service that lists addresses, after the prefix of the service.
const ADDRS_NAME: &str = "addrs";

/// Suffix that turns the key of an agent's record into the agent's presence key.
const PRESENCE_SUFFIX: &str = "/mark";

/// `StoredAgent` is the JSON form of an [`AgentRecord`]. Its field names are part of the format.
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
    /// Start time of the target in Unix milliseconds.
    #[serde(default)]
    started_at: Option<u64>,
    /// Time since which the agent is listed without interruption, in Unix milliseconds.
    #[serde(default)]
    listed_at: Option<u64>,
    /// Time before which the target received no flow, in Unix milliseconds.
    #[serde(default)]
    held_at: Option<u64>,
    #[serde(default)]
    vacant: bool,
    /// Whether the reach is above [`Reach::Window`].
    #[serde(default)]
    strays: bool,
    /// Whether the reach is [`Reach::Wide`].
    #[serde(default)]
    wide: bool,
}

/// Returns the prefix of the keys of one service's agents.
pub fn service_prefix(service: NameKey) -> String {
    format!("{AGENTS_PREFIX}{service}/")
}

/// Returns the key of an agent's record: `agents/SERVICE/ID`.
pub fn agent_key(record: &AgentRecord) -> String {
    format!("{}{}", service_prefix(record.service), record.id)
}

/// Returns the agent whose record has the key `key`. Returns `None` for a presence key and
/// for any other key.
pub fn key_id(key: &str) -> Option<InstanceId> {
    let (_, id) = key.strip_prefix(AGENTS_PREFIX)?.split_once('/')?;
    id.parse().ok().map(InstanceId)
}

/// Returns the presence key of the agent whose record has the key `agent_key`.
///
/// The value of the presence key is the agent's first record. The presence key outlives the
/// agent's lease. It tells processes that read the store that the agent may be alive although
/// the store doesn't contain its record at that time.
pub fn presence_key(agent_key: &str) -> String {
    format!("{agent_key}{PRESENCE_SUFFIX}")
}

/// Returns the agent whose presence key is `key`. Returns `None` for any other key.
pub fn presence_id(key: &str) -> Option<InstanceId> {
    key_id(key.strip_suffix(PRESENCE_SUFFIX)?)
}

/// Returns the key of the addresses for which a service's targets may hold flows. It has no
/// lease: a flow may live longer than all processes of the system.
pub fn addrs_key(service: NameKey) -> String {
    format!("{}{ADDRS_NAME}", service_prefix(service))
}

/// Returns the service whose addresses have the key `key`. Returns `None` for any other key.
pub fn addrs_service(key: &str) -> Option<NameKey> {
    let (service, name) = key.strip_prefix(AGENTS_PREFIX)?.split_once('/')?;
    let service = u64::from_str_radix(service, 16).ok()?;
    (name == ADDRS_NAME).then_some(NameKey(service))
}

/// Encodes addresses as a JSON list. Returns an empty value if the encoding fails.
pub fn encode_addrs(addrs: &[SocketAddrV4]) -> Vec<u8> {
    serde_json::to_vec(addrs).unwrap_or_default()
}

/// Decodes addresses from a JSON list. Returns [`Error::Malformed`] if `value` isn't one.
pub fn decode_addrs(value: &[u8]) -> Result<Vec<SocketAddrV4>, Error> {
    serde_json::from_slice(value).map_err(|err| Error::Malformed {
        detail: err.to_string(),
    })
}

/// Encodes a record as JSON. Returns an empty value if the encoding fails.
pub fn encode(record: &AgentRecord) -> Vec<u8> {
    serde_json::to_vec(&StoredAgent::from(record)).unwrap_or_default()
}

/// Decodes a record from JSON. Returns [`Error::Malformed`] if `value` isn't a record.
pub fn decode(value: &[u8]) -> Result<AgentRecord, Error> {
    let stored: StoredAgent = serde_json::from_slice(value).map_err(|err| Error::Malformed {
        detail: err.to_string(),
    })?;
    AgentRecord::try_from(&stored)
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
            started_at: record.started_at,
            listed_at: record.listed_at,
            held_at: record.held_at,
            vacant: record.vacant,
            strays: record.reach > Reach::Window,
            wide: record.reach == Reach::Wide,
        }
    }
}

impl TryFrom<&StoredAgent> for AgentRecord {
    type Error = Error;

    /// Fails if the address can't be sent to, since the port is 0.
    fn try_from(stored: &StoredAgent) -> Result<AgentRecord, Error> {
        if stored.id.port() == 0 {
            return Err(Error::Malformed {
                detail: format!("address {}: no port", stored.id),
            });
        }
        Ok(AgentRecord {
            id: InstanceId(stored.id),
            incarnation: stored.incarnation,
            number: stored.number,
            service: stored.service,
            domain: stored.domain,
            state: stored.state,
            slots: stored.slots,
            complete: stored.complete,
            started_at: stored.started_at,
            listed_at: stored.listed_at,
            held_at: stored.held_at,
            vacant: stored.vacant,
            reach: match (stored.strays, stored.wide) {
                (false, _) => Reach::Window,
                (true, true) => Reach::Wide,
                (true, false) => Reach::Any,
            },
        })
    }
}
