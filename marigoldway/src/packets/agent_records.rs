//! Decoding of the agents' records, presence keys and addresses that the store lists.
//!
//! A record's lease deletes it if its agent stops renewing the lease. A presence key has no
//! lease: it shows that the agent may be alive though its record is gone. The key with the
//! addresses of a service has none either.

use std::net::SocketAddrV4;

use marigoldway_core::flow::key::NameKey;
use marigoldway_core::flow::message::AgentRecord;
use marigoldway_core::flow::route_moves::RouteMoves;
use marigoldway_net::platform::KeyValue;
use marigoldway_net::wire::agents;
use marigoldway_net::wire::moves;

use crate::packets::node::Node;

/// Maximum number of characters of an error in a log line. The error may quote the value.
const MAX_ERROR_LEN: usize = 200;

/// `ServiceAddrs` holds the addresses for which the targets of a service may hold flows.
pub(crate) struct ServiceAddrs {
    /// The service.
    pub(crate) service: NameKey,
    /// Addresses and ports that clients connect to.
    pub(crate) addrs: Vec<SocketAddrV4>,
    /// Revision of the key in the store.
    pub(crate) revision: u64,
}

/// Decodes a record. Returns `None` for another key of a service. Returns `None` as well if the value isn't
/// a record or belongs to another key, then counts that and logs a warning: another program wrote
/// it.
pub(crate) fn decode(node: &Node, stored: &KeyValue) -> Option<AgentRecord> {
    let key = &stored.key;
    let is_other = agents::presence_id(key).is_some() || agents::addrs_service(key).is_some();
    if is_other || key == agents::MOVES_KEY {
        return None;
    }
    let error = match agents::decode(&stored.value) {
        Ok(record) if agents::agent_key(&record) == *key => return Some(record),
        Ok(_) => "the key belongs to another agent".to_owned(),
        Err(error) => error.to_string(),
    };
    log_unreadable(node, stored, &error);
    None
}

/// Decodes the addresses of a service. Returns `None` for another key, and also if the value
/// isn't a list of addresses, then counts that and logs a warning.
pub(crate) fn decode_service(node: &Node, stored: &KeyValue) -> Option<ServiceAddrs> {
    let service = agents::addrs_service(&stored.key)?;
    match agents::decode_addrs(&stored.value) {
        Ok(addrs) => Some(ServiceAddrs {
            service,
            addrs,
            revision: stored.revision,
        }),
        Err(error) => {
            log_unreadable(node, stored, &error.to_string());
            None
        }
    }
}

/// Decodes the addresses of all services of a list, without unreadable ones.
pub(crate) fn decode_addrs(node: &Node, list: &[KeyValue]) -> Vec<ServiceAddrs> {
    list.iter()
        .filter_map(|stored| decode_service(node, stored))
        .collect()
}

/// Decodes the record of moved routes. Returns `None` for another key, and also if the value isn't a
/// record, then counts that and logs a warning.
pub(crate) fn decode_moves(node: &Node, stored: &KeyValue) -> Option<RouteMoves> {
    if stored.key != agents::MOVES_KEY {
        return None;
    }
    match moves::decode_moves(&stored.value) {
        Ok(record) => Some(record),
        Err(error) => {
            log_unreadable(node, stored, &error.to_string());
            None
        }
    }
}

/// Counts a value that can't be read, and logs it once for each revision of its key.
fn log_unreadable(node: &Node, stored: &KeyValue, error: &str) {
    node.count("record-unreadable");
    if !node.unreadable.borrow_mut().is_new(stored) {
        return;
    }
    let (key, revision) = (&stored.key, stored.revision);
    let error: String = error.chars().take(MAX_ERROR_LEN).collect();
    log::warn!("event=record-unreadable key={key:?} revision={revision} error={error:?}");
}

/// Decodes the records of a list, without the values that [`decode`] rejects.
pub(crate) fn decode_all(node: &Node, list: &[KeyValue]) -> Vec<AgentRecord> {
    list.iter()
        .filter_map(|stored| decode(node, stored))
        .collect()
}

/// Decodes the presence keys of a list, without unreadable ones. Their agents may be alive without
/// being registered.
pub(crate) fn decode_presence(node: &Node, list: &[KeyValue]) -> Vec<AgentRecord> {
    list.iter()
        .filter_map(|stored| decode_presence_key(node, stored))
        .collect()
}

/// Decodes a presence key. Returns `None` for another key, and also if the value isn't a record, then
/// counts that and logs a warning.
pub(crate) fn decode_presence_key(node: &Node, stored: &KeyValue) -> Option<AgentRecord> {
    agents::presence_id(&stored.key)?;
    let error = match agents::decode(&stored.value) {
        Ok(record) if agents::presence_key(&agents::agent_key(&record)) == stored.key => {
            return Some(record);
        }
        Ok(_) => "the key belongs to another agent".to_owned(),
        Err(error) => error.to_string(),
    };
    log_unreadable(node, stored, &error);
    None
}
