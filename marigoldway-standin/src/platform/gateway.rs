//! Methods of etcd's JSON gateway: range, transaction, lease and watch.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures_util::stream;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use serde_json::Value;
use serde_json::json;

use crate::platform::Body;
use crate::platform::Server;
use crate::platform::abort_connection;
use crate::platform::store::Change;
use crate::platform::store::Entry;
use crate::platform::store::Store;

/// Interval at which expired leases are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

pub(super) fn range(store: &Store, body: &Value) -> Value {
    let mut found = store.range(&octets(&body["key"]), &octets(&body["range_end"]));
    if body["sort_order"] == "DESCEND" {
        found.reverse();
    }
    match number(&body["limit"]) {
        0 => (),
        limit => found.truncate(usize::try_from(limit).unwrap_or(usize::MAX)),
    }
    let kvs: Vec<Value> = found.iter().map(|(key, entry)| kv(key, entry)).collect();
    json!({ "header": header(store), "kvs": kvs, "count": kvs.len().to_string() })
}

/// Executes the puts of `success` if every comparison of a key's `mod_revision` holds. A key
/// without a value has revision 0.
pub(super) fn txn(store: &mut Store, body: &Value) -> Value {
    let matches = |compare: &Value| {
        let entry = store.entry(&octets(&compare["key"]));
        entry.map_or(0, |entry| entry.revision) == number(&compare["mod_revision"])
    };
    if !items(&body["compare"]).iter().all(matches) {
        return json!({ "header": header(store) });
    }
    let puts = items(&body["success"])
        .iter()
        .map(|operation| &operation["request_put"])
        .map(|put| {
            let value = put["value"].as_str().unwrap_or_default().to_owned();
            (octets(&put["key"]), value, number(&put["lease"]))
        })
        .collect();
    store.put(puts);
    json!({ "header": header(store), "succeeded": true })
}

pub(super) fn grant(store: &mut Store, body: &Value) -> Value {
    let ttl = number(&body["TTL"]);
    let id = store.grant(Duration::from_secs(ttl));
    json!({ "header": header(store), "ID": id.to_string(), "TTL": ttl.to_string() })
}

/// Renews a lease. The result has no `TTL`, in seconds, if the lease has expired.
pub(super) fn keep_alive(store: &mut Store, body: &Value) -> Value {
    let ttl = store.keep_alive(number(&body["ID"])).as_secs();
    let mut result = json!({ "header": header(store), "ID": body["ID"] });
    if ttl > 0 {
        result["TTL"] = json!(ttl.to_string());
    }
    json!({ "result": result })
}

/// Responds with a stream of changes that ends when a fault or a restored revision ends all
/// watches.
///
/// # Errors
///
/// `ConnectionAborted` while watches are rejected.
pub(super) fn watch(server: &Arc<Server>, body: &Value) -> io::Result<Response<Body>> {
    let request = &body["create_request"];
    let (key, end) = (octets(&request["key"]), octets(&request["range_end"]));
    let mut wake = server.wake.subscribe();
    let cuts = *wake.borrow_and_update();
    let (created, next) = {
        let state = server.lock();
        if state.faults.rejects_watches() {
            return Err(abort_connection());
        }
        let next = match number(&request["start_revision"]) {
            0 => state.store.revision() + 1,
            start => start,
        };
        let result = json!({ "header": header(&state.store), "created": true });
        (json!({ "result": result }), next)
    };

    let server = server.clone();
    let start = (Some(created), next, wake);
    let frames = stream::unfold(start, move |(first, mut next, mut wake)| {
        let (server, key, end) = (server.clone(), key.clone(), end.clone());
        async move {
            if let Some(first) = first {
                return Some((frame(&first), (None, next, wake)));
            }
            loop {
                if *wake.borrow_and_update() != cuts {
                    return None;
                }
                let Some(result) = changes(&server, &key, &end, &mut next) else {
                    wake.changed().await.ok()?;
                    continue;
                };
                return Some((frame(&json!({ "result": result })), (None, next, wake)));
            }
        }
    });
    Ok(Response::new(BodyExt::boxed(StreamBody::new(frames))))
}

/// The changes from revision `next` on, or `None` without any. Sets `next` to the
/// first revision that the result doesn't cover.
fn changes(server: &Server, key: &[u8], end: &[u8], next: &mut u64) -> Option<Value> {
    let state = server.lock();
    let events: Vec<Value> = state
        .store
        .since(*next)
        .iter()
        .filter(|change| change.key.as_slice() >= key && change.key.as_slice() < end)
        .map(event)
        .collect();
    *next = state.store.revision().max(*next - 1) + 1;
    (!events.is_empty()).then(|| json!({ "header": header(&state.store), "events": events }))
}

/// Removes expired leases until the task is dropped.
pub(super) async fn expire_leases(server: Arc<Server>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let expired = server.lock().store.expire(Instant::now());
        if expired {
            server.wake();
        }
    }
}

fn frame(message: &Value) -> Result<Frame<Bytes>, Infallible> {
    Ok(Frame::data(Bytes::from(format!("{message}\n"))))
}

fn event(change: &Change) -> Value {
    match &change.entry {
        Some(entry) => json!({ "kv": kv(&change.key, entry) }),
        None => json!({ "type": "DELETE", "kv": { "key": STANDARD.encode(&change.key) } }),
    }
}

fn kv(key: &[u8], entry: &Entry) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": entry.value,
        "mod_revision": entry.revision.to_string(),
    })
}

fn header(store: &Store) -> Value {
    json!({ "revision": store.revision().to_string() })
}

fn items(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn octets(value: &Value) -> Vec<u8> {
    STANDARD
        .decode(value.as_str().unwrap_or_default())
        .unwrap_or_default()
}

/// Reads a number, which is a string or, from some clients, a JSON number.
/// Anything else is 0.
fn number(value: &Value) -> u64 {
    match value {
        Value::String(text) => text.parse().unwrap_or_default(),
        value => value.as_u64().unwrap_or_default(),
    }
}
