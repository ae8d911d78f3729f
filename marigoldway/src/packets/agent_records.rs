//! Agents' records in the store, as the roles take them.

use marigoldway_core::flow::message::AgentRecord;
use marigoldway_net::platform::Stored;
use marigoldway_net::wire::agents;

use crate::packets::node::Node;

/// Reads one record; a mark is none. What another program wrote under our keys
/// names nobody.
pub(crate) fn decode(node: &Node, stored: &Stored) -> Option<AgentRecord> {
    let key = &stored.key;
    if agents::mark_id(key).is_some() {
        return None;
    }
    let error = match agents::decode(&stored.value) {
        Ok(record) if agents::key_id(key) == Some(record.id) => return Some(record),
        Ok(_) => "the key names another agent".to_owned(),
        Err(error) => error.to_string(),
    };
    node.count("record-unreadable");
    log::warn!(
        "event=record-unreadable key={key:?} revision={} error={error:?}",
        stored.revision
    );
    None
}

/// Reads all records of a list.
pub(crate) fn decode_all(node: &Node, list: &[Stored]) -> Vec<AgentRecord> {
    list.iter()
        .filter_map(|stored| decode(node, stored))
        .collect()
}

/// Reads the marks of a list: agents that may live though they aren't listed.
pub(crate) fn decode_presence(list: &[Stored]) -> Vec<AgentRecord> {
    list.iter().filter_map(decode_presence_key).collect()
}

fn decode_presence_key(stored: &Stored) -> Option<AgentRecord> {
    let id = agents::mark_id(&stored.key)?;
    // A mark that can't be read names nobody, like any other key.
    let record = agents::decode(&stored.value).ok()?;
    (record.id == id).then_some(record)
}
