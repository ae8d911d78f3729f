//! Keys, leases and history of the stand-in store.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use ::http::StatusCode;
use rand::RngExt;
use serde_json::Value;
use serde_json::json;

/// Maximum number of changes in the history. A watch from before the oldest one gets status 410.
const HISTORY_LEN: usize = 400;

/// `Contents` is what a backup keeps.
#[derive(Clone)]
pub(super) struct Contents {
    pub(super) revision: u64,
    pub(super) items: BTreeMap<String, Item>,
    pub(super) leases: BTreeMap<u64, Lease>,
    pub(super) history: VecDeque<Value>,
    /// Revision of the newest change that was removed from the history.
    pub(super) compacted: u64,
    /// ID of the last lease. A restore makes the store assign later ones again.
    pub(super) last_lease: u64,
}

#[derive(Clone)]
pub(super) struct Item {
    value: String,
    pub(super) revision: u64,
    created: u64,
    pub(super) lease: u64,
}

#[derive(Clone)]
pub(super) struct Lease {
    pub(super) ttl: Duration,
    pub(super) end: Instant,
}

impl Contents {
    /// An empty store.
    pub(super) fn new() -> Contents {
        Contents {
            revision: 1,
            items: BTreeMap::new(),
            leases: BTreeMap::new(),
            history: VecDeque::new(),
            compacted: 0,
            last_lease: rand::rng().random_range(1..1 << 48),
        }
    }

    pub(super) fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |it| it.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        let event = item.json(key);
        self.items.insert(key.to_owned(), item);
        self.record_event(event);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.record_event(json!({ "key": key, "revision": revision, "deleted": true }));
        }
    }

    fn record_event(&mut self, event: Value) {
        self.history.push_back(event);
        if self.history.len() > HISTORY_LEN
            && let Some(oldest) = self.history.pop_front()
        {
            self.compacted = oldest["revision"].as_u64().unwrap_or_default();
        }
    }

    /// Changes of keys with a prefix after a revision, or `None` if the history no
    /// longer has all of them, or never had that revision.
    pub(super) fn changes(&self, prefix: &str, after: u64) -> Option<Vec<Value>> {
        if after < self.compacted || after > self.revision {
            return None;
        }
        let matches = |event: &&Value| {
            event["revision"].as_u64() > Some(after)
                && event["key"]
                    .as_str()
                    .is_some_and(|it| it.starts_with(prefix))
        };
        Some(self.history.iter().filter(matches).cloned().collect())
    }

    pub(super) fn transact(&mut self, body: &Value) -> (StatusCode, Value) {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let revision =
            |contents: &Contents, key: &str| contents.items.get(key).map_or(0, |it| it.revision);
        let stale = list("expected").iter().any(|row| {
            let key = row["key"].as_str().unwrap_or_default();
            Some(revision(self, key)) != row["revision"].as_u64()
        });
        if stale {
            return (StatusCode::PRECONDITION_FAILED, json!({ "items": [] }));
        }
        let lease = |put: &Value| put["lease"].as_u64().unwrap_or(0);
        if list("puts")
            .iter()
            .any(|put| lease(put) > 0 && !self.leases.contains_key(&lease(put)))
        {
            return (StatusCode::NOT_FOUND, json!({}));
        }
        for put in list("puts") {
            let key = put["key"].as_str().unwrap_or_default();
            let value = put["value"].as_str().unwrap_or_default();
            self.put(key, value.to_owned(), lease(&put));
        }
        for key in list("remove") {
            self.remove(key.as_str().unwrap_or_default());
        }
        (StatusCode::OK, json!({ "revision": self.revision }))
    }

    pub(super) fn grant_lease(&mut self, body: &Value) -> Value {
        let ttl_ms = body["ttl_ms"].as_u64().unwrap_or(1_000).max(1_000);
        let ttl = Duration::from_millis(ttl_ms);
        self.last_lease += 1;
        let id = self.last_lease;
        let end = Instant::now() + ttl;
        self.leases.insert(id, Lease { ttl, end });
        json!({ "lease": id, "ttl_ms": ttl_ms })
    }

    pub(super) fn renew_lease(&mut self, id: u64) -> StatusCode {
        let Some(lease) = self.leases.get_mut(&id) else {
            return StatusCode::NOT_FOUND;
        };
        lease.end = Instant::now() + lease.ttl;
        StatusCode::OK
    }

    pub(super) fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys = self.items.iter().filter(|(_, it)| it.lease == id);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

impl Item {
    pub(super) fn json(&self, key: &str) -> Value {
        json!({
            "key": key,
            "value": self.value,
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        })
    }
}
