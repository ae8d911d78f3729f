//! What a target remembers.

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

/// `Fault` is a way in which a target misbehaves on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// It behaves well.
    None,
    /// Every request takes longer by this time.
    Slow(Duration),
    /// It refuses every request before it starts it.
    Shed,
    /// It runs every request, then closes the connection without an answer.
    Close,
    /// It answers every request with an error.
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
    total: usize,
    slots: Arc<Semaphore>,
    memory: Mutex<Memory>,
}

struct Memory {
    fault: Fault,
    /// How often each id ran.
    runs: IndexMap<String, u64>,
    /// Requests that can be stopped, by request id.
    open: IndexMap<String, Arc<Notify>>,
    started: u64,
    finished: u64,
    stopped: u64,
}

impl State {
    pub(crate) fn new(service: String, slots: usize) -> State {
        State {
            service,
            total: slots,
            slots: Arc::new(Semaphore::new(slots)),
            memory: Mutex::new(Memory {
                fault: Fault::None,
                runs: IndexMap::new(),
                open: IndexMap::new(),
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
        self.memory().fault
    }

    pub(crate) fn set_fault(&self, fault: Fault) {
        self.memory().fault = fault;
    }

    /// How often `id` ran.
    pub(crate) fn runs(&self, id: &str) -> u64 {
        self.memory().runs.get(id).copied().unwrap_or_default()
    }

    /// Counts one more run of `id`, and tells how often it has run now.
    pub(crate) fn count_run(&self, id: &str) -> u64 {
        let mut memory = self.memory();
        let runs = memory.runs.entry(id.to_owned()).or_default();
        *runs += 1;
        *runs
    }

    pub(crate) fn count_start(&self) {
        self.memory().started += 1;
    }

    pub(crate) fn count_finish(&self) {
        self.memory().finished += 1;
    }

    /// Lets the request `id` be stopped until [`State::close`]. A request
    /// without an id can't be stopped.
    pub(crate) fn open(&self, id: &str) -> Arc<Notify> {
        let stop = Arc::new(Notify::new());
        if !id.is_empty() {
            self.memory().open.insert(id.to_owned(), stop.clone());
        }
        stop
    }

    /// Ends the time in which the request `id` can be stopped. Gives `false`
    /// where it has been stopped before.
    pub(crate) fn close(&self, id: &str) -> bool {
        id.is_empty() || self.memory().open.swap_remove(id).is_some()
    }

    /// Stops the request `id`, and tells whether it could be stopped.
    pub(crate) fn cancel(&self, id: &str) -> bool {
        let mut memory = self.memory();
        let Some(stop) = memory.open.swap_remove(id) else {
            return false;
        };
        stop.notify_one();
        memory.stopped += 1;
        true
    }

    pub(crate) fn load(&self) -> Value {
        let running = self.total.saturating_sub(self.slots.available_permits());
        json!({ "running": running, "slots": self.total })
    }

    pub(crate) fn counts(&self) -> Value {
        let memory = self.memory();
        json!({
            "started": memory.started,
            "finished": memory.finished,
            "stopped": memory.stopped,
            "ids": memory.runs.len(),
            "runs": memory.runs.values().sum::<u64>(),
        })
    }

    fn memory(&self) -> MutexGuard<'_, Memory> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
