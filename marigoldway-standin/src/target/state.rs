//! Shared state of a target: slots, fault, cancellable requests and counters.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use indexmap::IndexMap;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;
use tokio::sync::Semaphore;

/// `Fault` selects how a target handles requests. `Slow` and `Close` don't affect feeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Handles requests normally.
    None,
    /// Adds this time to the duration of every request.
    Slow(Duration),
    /// Rejects every request before starting it.
    Shed,
    /// Runs every request, then closes the connection without a response.
    Close,
    /// Responds to every request with status 500. Requests other than feeds run nevertheless.
    Broken,
}

impl Fault {
    pub(crate) fn parse(kind: &str, millis: u64) -> Option<Fault> {
        match kind {
            "none" => Some(Fault::None),
            "slow" => Some(Fault::Slow(Duration::from_millis(millis))),
            "shed" => Some(Fault::Shed),
            "close" => Some(Fault::Close),
            "broken" => Some(Fault::Broken),
            _ => None,
        }
    }
}

/// `State` is shared by all connections of a target.
pub(crate) struct State {
    service: String,
    /// Number of slots, free or occupied.
    total: usize,
    slots: Arc<Semaphore>,
    inner: Mutex<Inner>,
}

struct Inner {
    fault: Fault,
    /// Number of runs of each id.
    runs: IndexMap<String, u64>,
    /// Cancellable requests, by request id.
    cancellable: IndexMap<String, Arc<Notify>>,
    /// Number of requests that started to run.
    started: u64,
    /// Number of requests that ran to their end.
    finished: u64,
    /// Number of cancelled requests.
    stopped: u64,
}

impl State {
    pub(crate) fn new(service: String, slots: usize) -> State {
        State {
            service,
            total: slots,
            slots: Arc::new(Semaphore::new(slots)),
            inner: Mutex::new(Inner {
                fault: Fault::None,
                runs: IndexMap::new(),
                cancellable: IndexMap::new(),
                started: 0,
                finished: 0,
                stopped: 0,
            }),
        }
    }

    pub(crate) fn service(&self) -> &str {
        &self.service
    }

    pub(crate) fn slots(&self) -> &Semaphore {
        &self.slots
    }

    pub(crate) fn fault(&self) -> Fault {
        self.lock().fault
    }

    pub(crate) fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Number of runs of `id`.
    pub(crate) fn runs(&self, id: &str) -> u64 {
        self.lock().runs.get(id).copied().unwrap_or_default()
    }

    /// Counts a run of `id`, and returns the new number of runs.
    pub(crate) fn count_run(&self, id: &str) -> u64 {
        let mut inner = self.lock();
        let runs = inner.runs.entry(id.to_owned()).or_default();
        *runs += 1;
        *runs
    }

    pub(crate) fn count_start(&self) {
        self.lock().started += 1;
    }

    pub(crate) fn count_finish(&self) {
        self.lock().finished += 1;
    }

    /// Makes the request `id` cancellable until [`State::end_cancellable`]. A request
    /// without an id isn't cancellable. The returned `Notify` reports the cancellation.
    pub(crate) fn begin_cancellable(&self, id: &str) -> Arc<Notify> {
        let stop = Arc::new(Notify::new());
        if !id.is_empty() {
            self.lock().cancellable.insert(id.to_owned(), stop.clone());
        }
        stop
    }

    /// Makes the request `id` no longer cancellable. Returns `false` if it was cancelled or wasn't
    /// cancellable any more, and `true` for an empty id.
    pub(crate) fn end_cancellable(&self, id: &str) -> bool {
        id.is_empty() || self.lock().cancellable.swap_remove(id).is_some()
    }

    /// Cancels the request `id`, and returns whether it was cancellable.
    pub(crate) fn cancel(&self, id: &str) -> bool {
        let mut inner = self.lock();
        let Some(stop) = inner.cancellable.swap_remove(id) else {
            return false;
        };
        stop.notify_one();
        inner.stopped += 1;
        true
    }

    pub(crate) fn load(&self) -> Value {
        let running = self.total.saturating_sub(self.slots.available_permits());
        json!({ "running": running, "slots": self.total })
    }

    pub(crate) fn counts(&self) -> Value {
        let inner = self.lock();
        json!({
            "started": inner.started,
            "finished": inner.finished,
            "stopped": inner.stopped,
            "ids": inner.runs.len(),
            "runs": inner.runs.values().sum::<u64>(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
