//! Decoding of the agents' records and presence keys that the store lists.
//!
//! A record's lease deletes it if its agent stops renewing the lease. A presence key has no
//! lease: it shows that the agent may be alive though its record is gone.

use marigoldway_core::flow::message::AgentRecord;
use marigoldway_net::platform::KeyValue;
use marigoldway_net::wire::agents;

use crate::packets::node::Node;

/// Decodes a record. Returns `None` for a presence key. Returns `None` as well if the value isn't
/// a record or belongs to another key, then counts that and logs a warning: another program wrote
/// it.
pub(crate) fn decode(node: &Node, stored: &KeyValue) -> Option<AgentRecord> {
    let key = &stored.key;
    if agents::presence_id(key).is_some() {
        return None;
    }
    let error = match agents::decode(&stored.value) {
        Ok(record) if agents::key_id(key) == Some(record.id) => return Some(record),
        Ok(_) => "the key belongs to another agent".to_owned(),
        Err(error) => error.to_string(),
    };
    node.count("record-unreadable");
    log::warn!(
        "event=record-unreadable key={key:?} revision={} error={error:?}",
        stored.revision
    );
    None
}

/// Decodes the records of a list, without the values that [`decode`] rejects.
pub(crate) fn decode_all(node: &Node, list: &[KeyValue]) -> Vec<AgentRecord> {
    list.iter()
        .filter_map(|stored| decode(node, stored))
        .collect()
}

/// Decodes the presence keys of a list, without unreadable ones. Their agents may be alive without
/// being registered.
pub(crate) fn decode_presence(list: &[KeyValue]) -> Vec<AgentRecord> {
    list.iter().filter_map(decode_presence_key).collect()
}

fn decode_presence_key(stored: &KeyValue) -> Option<AgentRecord> {
    let id = agents::presence_id(&stored.key)?;
    // Unlike an unreadable record, an unreadable presence key isn't counted or logged.
    let record = agents::decode(&stored.value).ok()?;
    (record.id == id).then_some(record)
}
