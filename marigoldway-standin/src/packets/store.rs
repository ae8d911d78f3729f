//! Stand-in for the platform's store: keys with revisions, leases, watches, injected faults and
//! restores from a backup.

mod contents;

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use ::http::Method;
use ::http::Request;
use ::http::Response;
use ::http::StatusCode;
use ::http::header::HeaderValue;
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

use marigoldway_platform::epoch;

use crate::http;
use crate::http::HandlerResult;
use crate::packets::store::contents::Contents;

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
    /// Number of restores from a backup so far.
    epoch: u64,
    backup: Contents,
    contents: Contents,
}

impl Store {
    /// Starts an empty store that serves connections of `listener`.
    pub(crate) fn start(listener: TcpListener) -> Arc<Store> {
        let contents = Contents::new();
        let store = Arc::new(Store {
            state: Mutex::new(State {
                fault: Fault::None,
                epoch: 1,
                backup: contents.clone(),
                contents,
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
        let contents = &mut self.state().contents;
        contents.compacted = contents.revision;
        contents.history.clear();
        self.changed.notify_waiters();
    }

    /// Lets every lease expire now.
    pub(crate) fn expire_leases(&self) {
        for lease in self.state().contents.leases.values_mut() {
            lease.end = Instant::now();
        }
    }

    /// Writes a key without a lease, as the operator does.
    pub(crate) fn put(&self, key: &str, value: &[u8]) {
        self.state().contents.put(key, STANDARD.encode(value), 0);
        self.changed.notify_waiters();
    }

    /// Takes a backup, which replaces the previous one.
    pub(crate) fn back_up(&self) {
        let mut state = self.state();
        state.backup = state.contents.clone();
    }

    /// Restores the store from the last backup, or to its start without one. Writes and leases since
    /// then are lost, and their revisions and IDs are assigned again. A lease of the backup runs for
    /// its full time.
    pub(crate) fn restore(&self) {
        let mut state = self.state();
        state.contents = state.backup.clone();
        state.epoch += 1;
        let now = Instant::now();
        for lease in state.contents.leases.values_mut() {
            lease.end = now + lease.ttl;
        }
        drop(state);
        self.changed.notify_waiters();
    }
}

async fn run_expiry(store: Arc<Store>) {
    loop {
        time::sleep(EXPIRY_INTERVAL).await;
        let mut state = store.state();
        let contents = &mut state.contents;
        let now = Instant::now();
        let expired = contents.leases.iter().filter(|(_, it)| now >= it.end);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        let any = !expired.is_empty();
        for id in expired {
            contents.end_lease(id);
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
        Fault::Busy => {
            let epoch = store.state().epoch;
            return Ok(respond(StatusCode::SERVICE_UNAVAILABLE, "{}", epoch));
        }
        Fault::Silent => std::future::pending().await,
    }
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let head = Request::from_parts(head, ());
    let (status, response) = route(&store, &head, &body).await;
    let epoch = store.state().epoch;
    let lost = match fault {
        Fault::Lost(rate) => rand::rng().random::<f64>() < rate,
        Fault::None | Fault::Slow(_) | Fault::Busy | Fault::Silent => false,
    };
    if lost {
        std::future::pending::<()>().await;
    }
    Ok(respond(status, response.to_string(), epoch))
}

/// A response with the header that states the epoch.
fn respond(status: StatusCode, text: impl Into<String>, epoch: u64) -> Response<http::Body> {
    let mut response = http::text(status, text);
    response
        .headers_mut()
        .insert(epoch::HEADER, HeaderValue::from(epoch));
    response
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
            let contents = &store.state().contents;
            match contents.items.get(&key) {
                Some(item) => (StatusCode::OK, item.json(&key)),
                None => (StatusCode::NOT_FOUND, json!({})),
            }
        }
        (&Method::GET, "kv-range") => {
            let (prefix, after) = (query_text(head, "prefix"), query_text(head, "after"));
            let contents = &store.state().contents;
            let found = contents.items.iter();
            let found = found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
            let items: Vec<Value> = found.map(|(key, item)| item.json(key)).collect();
            let response = json!({ "items": items, "has_more": false, "as_of": contents.revision });
            (StatusCode::OK, response)
        }
        (&Method::GET, "kv-watch") => watch(store, head).await,
        (&Method::POST, "kv-txn") => {
            let result = store.state().contents.transact(body);
            store.changed.notify_waiters();
            result
        }
        (&Method::POST, "kv-lease") => (StatusCode::OK, store.state().contents.grant_lease(body)),
        (&Method::POST, "kv-keep") => (store.state().contents.renew_lease(id), json!({})),
        (&Method::DELETE, "kv-lease-end") => {
            store.state().contents.end_lease(id);
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
            let contents = &store.state().contents;
            (contents.changes(&prefix, after), contents.revision)
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
