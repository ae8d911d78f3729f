//! Stand-in for the platform's store.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Request;
use crate::json;
use crate::json::Json;

/// Time that an answer takes, as the site states it.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Minimum time to live of a lease, in milliseconds.
const MIN_TTL_MS: u64 = 1_000;

/// `Store` holds keys with revisions, leases and the history.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
    history: Vec<(u64, String, String)>,
}

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

impl Store {
    /// Starts a store that serves `listener`.
    pub fn start(listener: TcpListener) -> Arc<Store> {
        let store = Arc::new(Store::default());
        store.lock().revision = 1;
        let shared = store.clone();
        http::serve(listener, Arc::new(move |request| shared.answer(request)));
        let shared = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(50));
            shared.expire();
        });
        store
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|it| it.into_inner())
    }

    /// Writes a key without a lease, as the operator does.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.lock().put(key, base64(value), 0);
        self.changed.notify_all();
    }

    fn expire(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended = state.leases.iter().filter(|(_, (_, end))| *end <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            state.end_lease(id);
        }
        drop(state);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        thread::sleep(ANSWER_TIME);
        let path = request.path.trim_start_matches("/v1/");
        let (name, id) = path.split_once('/').unwrap_or((path, ""));
        let id: u64 = id.parse().unwrap_or(0);
        match (request.method.as_str(), name) {
            ("GET", "kv-key") => {
                let key = request.field("key");
                match self.lock().items.get(key) {
                    Some(item) => (200, item.json(key)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "kv-range") => self.range(request.field("prefix"), request.field("after")),
            ("GET", "kv-watch") => self.watch(request),
            ("POST", "kv-txn") => {
                let answer = self.lock().transact(&Json::parse(&request.body));
                self.changed.notify_all();
                answer
            }
            ("POST", "kv-lease") => {
                let ttl_ms = Json::parse(&request.body).get("ttl_ms").number();
                self.lock().grant(ttl_ms.max(MIN_TTL_MS))
            }
            ("POST", "kv-keep") => (self.lock().renew(id), "{}".to_owned()),
            ("DELETE", "kv-lease-end") => {
                self.lock().end_lease(id);
                self.changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.lock();
        let found = state.items.iter();
        let found = found.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = found.map(|(key, item)| item.json(key)).collect();
        let items = items.join(",");
        let body = format!(
            "{{\"items\":[{items}],\"has_more\":false,\"as_of\":{}}}",
            state.revision
        );
        (200, body)
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.field("prefix");
        let after: u64 = request.field("after").parse().unwrap_or(0);
        let wait: u64 = request.field("wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        loop {
            let events = state.history.iter();
            let events = events.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                let body = format!("{{\"events\":[{events}],\"as_of\":{}}}", state.revision);
                return (200, body);
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(|it| it.into_inner()).0;
        }
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
        self.history
            .push((self.revision, key.to_owned(), item.json(key)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        let event = format!(
            "{{\"key\":{},\"revision\":{},\"deleted\":true}}",
            json::quote(key),
            self.revision
        );
        self.history.push((self.revision, key.to_owned(), event));
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        let is_stale = body.get("expected").list().iter().any(|row| {
            let item = self.items.get(row.get("key").text());
            item.map_or(0, |it| it.revision) != row.get("revision").number()
        });
        if is_stale {
            return (412, "{\"items\":[]}".to_owned());
        }
        let puts = body.get("puts").list();
        let lease = |put: &Json| put.get("lease").number();
        if puts
            .iter()
            .any(|put| lease(put) > 0 && !self.leases.contains_key(&lease(put)))
        {
            return (404, "{}".to_owned());
        }
        for put in puts {
            let value = put.get("value").text().to_owned();
            self.put(put.get("key").text(), value, lease(put));
        }
        for key in body.get("remove").list() {
            self.remove(key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }

    fn grant(&mut self, ttl_ms: u64) -> (u16, String) {
        self.next_lease += 1;
        let ttl = Duration::from_millis(ttl_ms);
        self.leases
            .insert(self.next_lease, (ttl, Instant::now() + ttl));
        let body = format!("{{\"lease\":{},\"ttl_ms\":{ttl_ms}}}", self.next_lease);
        (200, body)
    }

    fn renew(&mut self, id: u64) -> u16 {
        match self.leases.get_mut(&id) {
            Some((ttl, end)) => {
                *end = Instant::now() + *ttl;
                200
            }
            None => 404,
        }
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
    fn json(&self, key: &str) -> String {
        format!(
            "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
            json::quote(key),
            self.value,
            self.revision,
            self.created,
            self.lease
        )
    }
}

/// Standard base64 with padding.
fn base64(octets: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in octets.chunks(3) {
        let octet = |n: usize| u32::from(part.get(n).copied().unwrap_or(0));
        let bits = octet(0) << 16 | octet(1) << 8 | octet(2);
        for n in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * n) & 63) as usize];
            out.push(if n <= part.len() { digit as char } else { '=' });
        }
    }
    out
}
