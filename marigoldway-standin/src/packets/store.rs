//! Stand-in for the platform's store: keys with revisions, leases, watches and
//! injected faults.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use ::http::Method;
use ::http::Request;
use ::http::StatusCode;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rand::RngExt;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time;

use crate::http;
use crate::http::HandlerResult;

/// Maximum number of changes in the history. A watch from before the oldest one gets status 410.
const HISTORY_LEN: usize = 400;

/// Interval at which expired leases are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(100);

/// `Fault` selects how the store handles requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// Handles requests normally.
    None,
    /// Handles each request after this delay.
    Slow(Duration),
    /// Rejects requests with status 503, without effect.
    Busy,
    /// Leaves requests unanswered, without effect.
    Silent,
    /// Applies all requests and loses responses with this probability, from 0 to 1.
    Lost(f64),
}

/// `Store` is an in-memory store with an HTTP API.
pub(crate) struct Store {
    state: Mutex<State>,
    changed: Notify,
}

struct State {
    fault: Fault,
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    history: VecDeque<Value>,
    /// Revision of the newest change that was removed from the history.
    compacted: u64,
}

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    end: Instant,
}

impl Store {
    /// Starts an empty store that serves connections of `listener`.
    pub(crate) fn start(listener: TcpListener) -> Arc<Store> {
        let store = Arc::new(Store {
            state: Mutex::new(State {
                fault: Fault::None,
                revision: 1,
                items: BTreeMap::new(),
                leases: BTreeMap::new(),
                history: VecDeque::new(),
                compacted: 0,
            }),
            changed: Notify::new(),
        });
        tokio::spawn(http::serve(listener, store.clone(), handle));
        tokio::spawn(run_expiry(store.clone()));
        store
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // The state is consistent even after a handler panicked.
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Replaces the fault.
    pub(crate) fn set_fault(&self, fault: Fault) {
        self.state().fault = fault;
    }

    /// Clears the history: watches from an earlier revision get status 410.
    pub(crate) fn compact(&self) {
        let mut state = self.state();
        state.compacted = state.revision;
        state.history.clear();
        drop(state);
        self.changed.notify_waiters();
    }

    /// Lets every lease expire now.
    pub(crate) fn expire_leases(&self) {
        for lease in self.state().leases.values_mut() {
            lease.end = Instant::now();
        }
    }

    /// Writes a key without a lease, as the operator does.
    pub(crate) fn put(&self, key: &str, value: &[u8]) {
        self.state().put(key, STANDARD.encode(value), 0);
        self.changed.notify_waiters();
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
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
    /// longer has all of them.
    fn changes(&self, prefix: &str, after: u64) -> Option<Vec<Value>> {
        if after < self.compacted {
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

    fn transact(&mut self, body: &Value) -> (StatusCode, Value) {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let revision = |state: &State, key: &str| state.items.get(key).map_or(0, |it| it.revision);
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

    fn grant_lease(&mut self, body: &Value) -> Value {
        let ttl_ms = body["ttl_ms"].as_u64().unwrap_or(1_000).max(1_000);
        let ttl = Duration::from_millis(ttl_ms);
        let id = rand::rng().random_range(1..1 << 48);
        let end = Instant::now() + ttl;
        self.leases.insert(id, Lease { ttl, end });
        json!({ "lease": id, "ttl_ms": ttl_ms })
    }

    fn renew_lease(&mut self, id: u64) -> StatusCode {
        let Some(lease) = self.leases.get_mut(&id) else {
            return StatusCode::NOT_FOUND;
        };
        lease.end = Instant::now() + lease.ttl;
        StatusCode::OK
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys = self.items.iter().filter(|(_, it)| it.lease == id);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

impl Item {
    fn json(&self, key: &str) -> Value {
        json!({
            "key": key,
            "value": self.value,
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        })
    }
}

async fn run_expiry(store: Arc<Store>) {
    loop {
        time::sleep(EXPIRY_INTERVAL).await;
        let mut state = store.state();
        let now = Instant::now();
        let expired = state.leases.iter().filter(|(_, it)| now >= it.end);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        let any = !expired.is_empty();
        for id in expired {
            state.end_lease(id);
        }
        drop(state);
        if any {
            store.changed.notify_waiters();
        }
    }
}

async fn handle(store: Arc<Store>, request: Request<Incoming>) -> HandlerResult {
    let fault = store.state().fault;
    match fault {
        Fault::None | Fault::Lost(_) => {}
        Fault::Slow(delay) => time::sleep(delay).await,
        Fault::Busy => return Ok(http::text(StatusCode::SERVICE_UNAVAILABLE, "{}")),
        Fault::Silent => std::future::pending().await,
    }
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let head = Request::from_parts(head, ());
    let (status, response) = route(&store, &head, &body).await;
    let lost = match fault {
        Fault::Lost(rate) => rand::rng().random::<f64>() < rate,
        Fault::None | Fault::Slow(_) | Fault::Busy | Fault::Silent => false,
    };
    if lost {
        std::future::pending::<()>().await;
    }
    Ok(http::text(status, response.to_string()))
}

async fn route(store: &Store, head: &Request<()>, body: &Value) -> (StatusCode, Value) {
    let path = head.uri().path();
    let (name, id) = path
        .trim_start_matches("/v1/")
        .split_once('/')
        .unwrap_or((path.trim_start_matches("/v1/"), ""));
    let id = id.parse().unwrap_or(0);
    match (head.method(), name) {
        (&Method::GET, "kv-key") => {
            let key = query_text(head, "key");
            let state = store.state();
            match state.items.get(&key) {
                Some(item) => (StatusCode::OK, item.json(&key)),
                None => (StatusCode::NOT_FOUND, json!({})),
            }
        }
        (&Method::GET, "kv-range") => {
            let (prefix, after) = (query_text(head, "prefix"), query_text(head, "after"));
            let state = store.state();
            let found = state.items.iter();
            let found = found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
            let items: Vec<Value> = found.map(|(key, item)| item.json(key)).collect();
            let response = json!({ "items": items, "has_more": false, "as_of": state.revision });
            (StatusCode::OK, response)
        }
        (&Method::GET, "kv-watch") => watch(store, head).await,
        (&Method::POST, "kv-txn") => {
            let result = store.state().transact(body);
            store.changed.notify_waiters();
            result
        }
        (&Method::POST, "kv-lease") => (StatusCode::OK, store.state().grant_lease(body)),
        (&Method::POST, "kv-keep") => (store.state().renew_lease(id), json!({})),
        (&Method::DELETE, "kv-lease-end") => {
            store.state().end_lease(id);
            store.changed.notify_waiters();
            (StatusCode::OK, json!({}))
        }
        _ => (StatusCode::NOT_FOUND, json!({})),
    }
}

async fn watch(store: &Store, head: &Request<()>) -> (StatusCode, Value) {
    let prefix = query_text(head, "prefix");
    let after = http::query_number(head, "after").unwrap_or(0);
    let wait = http::query_number(head, "wait_ms").unwrap_or(0);
    let end = time::Instant::now() + Duration::from_millis(wait);
    loop {
        let changed = store.changed.notified();
        let (changes, as_of) = {
            let state = store.state();
            (state.changes(&prefix, after), state.revision)
        };
        let Some(events) = changes else {
            return (StatusCode::GONE, json!({}));
        };
        let timed_out = time::Instant::now() >= end;
        if !events.is_empty() || timed_out {
            return (StatusCode::OK, json!({ "events": events, "as_of": as_of }));
        }
        // The next round checks for changes, also after the timeout.
        let _ = time::timeout_at(end, changed).await;
    }
}

/// The percent-decoded value of a query parameter, empty if it is missing.
fn query_text(head: &Request<()>, name: &str) -> String {
    let raw = http::query(head, name).unwrap_or_default();
    let mut parts = raw.split('%');
    let mut text = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let code = part.get(..2).and_then(|it| u8::from_str_radix(it, 16).ok());
        text.push(code.map_or('?', char::from));
        text.push_str(part.get(2..).unwrap_or_default());
    }
    text
}
