//! The platform's metadata store: keys with revisions, watches, conditional writes and leases.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
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

/// Time for which changes are kept.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: VecDeque<Event>,
    /// Revision up to which the history is gone.
    dropped: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    at: Instant,
    revision: u64,
    key: String,
    json: String,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(addr: SocketAddrV4) -> std::io::Result<Arc<Store>> {
        let listener = TcpListener::bind(addr)?;
        let store = Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        store.state.lock().unwrap().revision = 1;
        let shared = store.clone();
        http::serve(listener, move |request| shared.handle(request));
        let shared = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                shared.expire();
            }
        });
        Ok(store)
    }

    /// Writes a key as the operator does.
    pub fn put(&self, key: &str, value: &[u8]) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, json::base64(value), 0);
        drop(state);
        self.changed.notify_all();
    }

    /// Removes a key as the operator does.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        drop(state);
        self.changed.notify_all();
    }

    /// The values of all keys with a prefix.
    pub fn values(&self, prefix: &str) -> Vec<(String, Json)> {
        let state = self.state.lock().unwrap();
        let found = state.items.iter().filter(|it| it.0.starts_with(prefix));
        let read = |value: &str| json::parse(&String::from_utf8_lossy(&json::unbase64(value)));
        found
            .map(|(key, item)| (key.clone(), read(&item.value)))
            .collect()
    }

    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|it| it.1.0 <= now)
            .map(|it| *it.0)
            .collect();
        for lease in &ended {
            state.end_lease(*lease);
        }
        while state
            .history
            .front()
            .is_some_and(|it| now - it.at > HISTORY)
        {
            state.dropped = state.history.pop_front().map_or(0, |it| it.revision);
        }
        drop(state);
        if !ended.is_empty() {
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> (u16, String) {
        let name = request.path.trim_start_matches("/v1/");
        let (name, id) = name.split_once('/').unwrap_or((name, ""));
        let id: u64 = id.parse().unwrap_or(0);
        match (request.method.as_str(), name) {
            ("GET", "kv-key") => {
                let state = self.state.lock().unwrap();
                let key = request.param("key");
                match state.items.get(&key) {
                    Some(item) => {
                        let as_of = state.revision;
                        let body = item.json(&key);
                        let body = format!("{},\"as_of\":{as_of}}}", &body[..body.len() - 1]);
                        (200, body)
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "kv-range") => {
                let state = self.state.lock().unwrap();
                let (prefix, after) = (request.param("prefix"), request.param("after"));
                let fits = |key: &&String| key.starts_with(&prefix) && **key > after;
                let mut found = state.items.iter().filter(|it| fits(&it.0));
                let page: Vec<String> =
                    found.by_ref().take(500).map(|it| it.1.json(it.0)).collect();
                let more = found.next().is_some();
                let items = page.join(",");
                let as_of = state.revision;
                (
                    200,
                    format!("{{\"items\":[{items}],\"has_more\":{more},\"as_of\":{as_of}}}"),
                )
            }
            ("GET", "kv-watch") => self.watch(request),
            ("POST", "kv-txn") => {
                let result = self
                    .state
                    .lock()
                    .unwrap()
                    .transact(&json::parse(&request.body));
                self.changed.notify_all();
                result
            }
            ("POST", "kv-lease") => {
                let mut state = self.state.lock().unwrap();
                let ttl = json::parse(&request.body)
                    .get("ttl_ms")
                    .number()
                    .clamp(1_000, 600_000);
                state.last_lease += 1;
                let (lease, span) = (state.last_lease, Duration::from_millis(ttl));
                state.leases.insert(lease, (Instant::now() + span, span));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", "kv-keep") => {
                let mut state = self.state.lock().unwrap();
                match state.leases.get_mut(&id) {
                    Some((end, span)) => {
                        *end = Instant::now() + *span;
                        (200, "{}".to_owned())
                    }
                    None => (404, "{}".to_owned()),
                }
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
        let prefix = request.param("prefix");
        let after = request.number("after");
        let end = Instant::now() + Duration::from_millis(request.number("wait_ms").min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            if after < state.dropped {
                return (410, "{}".to_owned());
            }
            let fits = |it: &&Event| it.revision > after && it.key.starts_with(&prefix);
            let events: Vec<&str> = state
                .history
                .iter()
                .filter(fits)
                .map(|it| it.json.as_str())
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let as_of = state.revision;
                return (
                    200,
                    format!("{{\"events\":[{}],\"as_of\":{as_of}}}", events.join(",")),
                );
            }
            state = self.changed.wait_timeout(state, end - now).unwrap().0;
        }
    }
}

impl State {
    /// Writes a key at the present revision.
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |it| it.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.record(key, item.json(key));
        self.items.insert(key.to_owned(), item);
    }

    /// Removes a key at the present revision.
    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            let json = format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}");
            self.record(key, json);
        }
    }

    fn record(&mut self, key: &str, json: String) {
        self.history.push_back(Event {
            at: Instant::now(),
            revision: self.revision,
            key: key.to_owned(),
            json,
        });
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        self.revision += 1;
        let keys = self.items.iter().filter(|it| it.1.lease == lease);
        let keys: Vec<String> = keys.map(|it| it.0.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        let mut found = Vec::new();
        let mut holds = true;
        for row in body.get("expected").list() {
            let key = row.get("key").text();
            let item = self.items.get(key);
            holds &= item.map_or(0, |it| it.revision) == row.get("revision").number();
            found.extend(item.map(|it| it.json(key)));
        }
        if !holds {
            return (412, format!("{{\"items\":[{}]}}", found.join(",")));
        }
        let puts = body.get("puts").list();
        let removes = body.get("remove").list();
        let keys = puts.iter().map(|it| it.get("key").text());
        let mut keys = keys.chain(removes.iter().map(Json::text));
        if keys.any(|it| it.starts_with("op/") || it.starts_with("servers/")) {
            return (403, "{}".to_owned());
        }
        let leases = puts.iter().map(|it| it.get("lease").number());
        if leases
            .into_iter()
            .any(|it| it > 0 && !self.leases.contains_key(&it))
        {
            return (404, "{}".to_owned());
        }
        // All changes of a call have one revision.
        self.revision += 1;
        for put in puts {
            let value = put.get("value").text().to_owned();
            self.put(put.get("key").text(), value, put.get("lease").number());
        }
        for key in removes {
            self.remove(key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

impl Item {
    fn json(&self, key: &str) -> String {
        let Item {
            value,
            revision,
            created,
            lease,
        } = self;
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
             \"created\":{created},\"lease\":{lease}}}"
        )
    }
}
