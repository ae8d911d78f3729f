//! The platform's store: keys with revisions, leases, watches and conditional changes.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Request;
use crate::json;
use crate::json::Json;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

impl Item {
    fn json(&self, key: &str) -> String {
        format!(
            "{{\"key\":{},\"value\":{},\"revision\":{},\"created\":{},\"lease\":{}}}",
            json::quote(key),
            json::quote(&self.value),
            self.revision,
            self.created,
            self.lease
        )
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Every change since the start: revision, key, and the item or `None` for a deletion.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |it| it.created);
        let item = Item {
            value: value.to_owned(),
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, it)| it.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.remove(&key);
        }
    }
}

/// The store, which serves HTTP at its address.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    pub address: SocketAddrV4,
}

impl Store {
    pub fn start(address: SocketAddrV4) -> Arc<Store> {
        let store = Arc::new(Store {
            state: Mutex::new(State {
                revision: 1,
                ..State::default()
            }),
            changed: Condvar::new(),
            address,
        });
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let shared = store.clone();
        let open = Arc::new(AtomicBool::new(true));
        http::serve(listener, open, move |request| shared.handle(request));
        let shared = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                let mut state = shared.state.lock().unwrap();
                let now = Instant::now();
                let ended = state.leases.iter().filter(|(_, (_, end))| now >= *end);
                let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
                for lease in ended {
                    state.end_lease(lease);
                }
                drop(state);
                shared.changed.notify_all();
            }
        });
        store
    }

    /// Serves a further address, as the one that a single machine reaches. While `busy` is set, each
    /// call there gets 503 and does nothing: the store turns the machine away.
    pub fn serve_machine(self: &Arc<Self>, address: SocketAddrV4, busy: Arc<AtomicBool>) {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let shared = self.clone();
        let open = Arc::new(AtomicBool::new(true));
        http::serve(listener, open, move |request| {
            if busy.load(Ordering::Relaxed) {
                return (503, "{}".to_owned());
            }
            shared.handle(request)
        });
    }

    /// Writes a key as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, &base64(value.as_bytes()), 0);
        drop(state);
        self.changed.notify_all();
    }

    /// The keys that the store has now.
    pub fn keys(&self) -> Vec<String> {
        self.state.lock().unwrap().items.keys().cloned().collect()
    }

    fn handle(&self, request: &Request) -> (u16, String) {
        let path = request.path.trim_start_matches("/v1/");
        let (name, id) = path.split_once('/').unwrap_or((path, ""));
        let id: u64 = id.parse().unwrap_or(0);
        match (request.method.as_str(), name) {
            ("GET", "kv-key") => {
                let key = request.query("key");
                let state = self.state.lock().unwrap();
                match state.items.get(&key) {
                    Some(item) => (200, item.json(&key)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "kv-range") => {
                let (prefix, after) = (request.query("prefix"), request.query("after"));
                let state = self.state.lock().unwrap();
                let found = state.items.iter();
                let found = found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = found.map(|(key, item)| item.json(key)).collect();
                let text = format!(
                    "{{\"items\":[{}],\"has_more\":false,\"as_of\":{}}}",
                    items.join(","),
                    state.revision
                );
                (200, text)
            }
            ("GET", "kv-watch") => self.watch(request),
            ("POST", "kv-txn") => {
                let result = self.transact(&request.body);
                self.changed.notify_all();
                result
            }
            ("POST", "kv-lease") => {
                let body = Json::parse(&request.body);
                let ttl = body.as_ref().and_then(|it| it.get("ttl_ms")?.number());
                let ttl = ttl.unwrap_or(10_000).clamp(1_000, 600_000);
                let mut state = self.state.lock().unwrap();
                state.last_lease += 1;
                let lease = state.last_lease;
                let span = Duration::from_millis(ttl);
                state.leases.insert(lease, (span, Instant::now() + span));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", "kv-keep") => {
                let mut state = self.state.lock().unwrap();
                let Some((ttl, end)) = state.leases.get_mut(&id) else {
                    return (404, "{}".to_owned());
                };
                *end = Instant::now() + *ttl;
                (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            ("DELETE", "kv-lease-end") => {
                self.state.lock().unwrap().end_lease(id);
                self.changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let found = state.history.iter();
            let found = found.filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
            let events: Vec<String> = found
                .map(|(at, key, item)| match item {
                    Some(item) => item.json(key),
                    None => format!(
                        "{{\"key\":{},\"revision\":{at},\"deleted\":true}}",
                        json::quote(key)
                    ),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let text = format!(
                    "{{\"events\":[{}],\"as_of\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, text);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let text = |it: &Json, key: &str| {
            it.get(key)
                .and_then(Json::text)
                .unwrap_or_default()
                .to_owned()
        };
        let part = |key: &str| {
            body.get(key)
                .map(|it| it.list().to_vec())
                .unwrap_or_default()
        };
        let mut state = self.state.lock().unwrap();
        let expected = part("expected");
        let holds = expected.iter().all(|it| {
            let revision = it.get("revision").and_then(Json::number).unwrap_or(0);
            state
                .items
                .get(&text(it, "key"))
                .map_or(0, |item| item.revision)
                == revision
        });
        if !holds {
            let now = expected.iter().filter_map(|it| {
                let key = text(it, "key");
                state.items.get(&key).map(|item| item.json(&key))
            });
            let now: Vec<String> = now.collect();
            return (412, format!("{{\"items\":[{}]}}", now.join(",")));
        }
        let puts = part("puts");
        let removes = part("remove");
        let lease = |it: &Json| it.get("lease").and_then(Json::number).unwrap_or(0);
        if puts
            .iter()
            .any(|it| lease(it) > 0 && !state.leases.contains_key(&lease(it)))
        {
            return (404, "{}".to_owned());
        }
        let keys = puts.iter().map(|it| text(it, "key"));
        let mut keys = keys.chain(removes.iter().filter_map(|it| it.text().map(str::to_owned)));
        if keys.any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
            return (403, "{}".to_owned());
        }
        state.revision += 1;
        for it in &puts {
            state.put(&text(it, "key"), &text(it, "value"), lease(it));
        }
        for it in &removes {
            state.remove(it.text().unwrap_or_default());
        }
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

fn base64(octets: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in octets.chunks(3) {
        let word = part
            .iter()
            .fold(0_u32, |word, it| word << 8 | u32::from(*it))
            << (8 * (3 - part.len()));
        for digit in 0..4 {
            if digit <= part.len() {
                out.push(char::from(DIGITS[(word >> (18 - 6 * digit)) as usize & 63]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
