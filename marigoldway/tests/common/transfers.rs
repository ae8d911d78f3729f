//! Runs callers that post transfers and record the reported outcome of each.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::task::JoinHandle;

use marigoldway_client::client::Client;
use marigoldway_client::options::ClientOptions;
use marigoldway_client::request::Key;
use marigoldway_client::request::Request;
use marigoldway_core::request::Outcome;

use crate::common::Deployment;
use crate::common::wait_for;

/// Maximum number of attempts for one transfer.
const MAX_ATTEMPTS: usize = 8;

/// Deadline of one attempt.
const ATTEMPT_DEADLINE: Duration = Duration::from_secs(2);

/// `RetryPolicy` selects when callers retry a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// Uses idempotency keys, fetched this many at a time, and retries with the same
    /// key after an unknown outcome and with a new key after a rejection.
    Keys(usize),
    /// Uses no key, and retries only after a rejection.
    RejectedOnly,
    /// Uses no key, and retries after a rejection and after an unknown outcome.
    Always,
}

/// `Callers` is a set of tasks that post transfers until they are stopped.
pub struct Callers {
    /// Outcomes of the completed transfers by ID.
    outcomes: Arc<Mutex<IndexMap<String, Outcome>>>,
    /// Number of attempts with an unknown outcome.
    unknown: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts `count` callers, whose transfer IDs begin with `name`.
    pub fn start(
        options: &ClientOptions,
        name: &'static str,
        count: usize,
        policy: RetryPolicy,
    ) -> Callers {
        let outcomes = Arc::new(Mutex::new(IndexMap::new()));
        let unknown = Arc::new(AtomicUsize::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let tasks = (0..count).map(|number| {
            let caller = Caller {
                options: ClientOptions {
                    deadline: ATTEMPT_DEADLINE,
                    connect_timeout: Duration::from_secs(1),
                    ..options.clone()
                },
                policy,
                client: None,
                keys: Vec::new(),
                unknown: unknown.clone(),
            };
            tokio::spawn(caller.run(format!("{name}-{number}"), outcomes.clone(), stop.clone()))
        });
        Callers {
            tasks: tasks.collect(),
            outcomes,
            unknown,
            stop,
        }
    }

    /// Returns the number of transfers that have completed, with any outcome.
    pub fn completed(&self) -> usize {
        lock(&self.outcomes).len()
    }

    /// Waits until `count` more transfers have completed.
    pub fn wait_completed(&self, count: usize) {
        let end = self.completed() + count;
        wait_for("more transfers", || self.completed() >= end);
    }

    /// Waits until `count` more attempts have ended with an unknown outcome.
    pub fn wait_unknown(&self, count: usize) {
        let unknown = || self.unknown.load(Ordering::Acquire);
        let end = unknown() + count;
        wait_for("unknown outcomes", || unknown() >= end);
    }

    /// Stops the callers and returns the reported outcome of each transfer by its ID.
    pub async fn stop(self) -> IndexMap<String, Outcome> {
        self.stop.store(true, Ordering::Release);
        for task in self.tasks {
            task.await.unwrap();
        }
        lock(&self.outcomes).clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Caller {
    options: ClientOptions,
    policy: RetryPolicy,
    client: Option<Client>,
    keys: Vec<Key>,
    unknown: Arc<AtomicUsize>,
}

impl Caller {
    async fn run(
        mut self,
        name: String,
        outcomes: Arc<Mutex<IndexMap<String, Outcome>>>,
        stop: Arc<AtomicBool>,
    ) {
        for serial in 0.. {
            if stop.load(Ordering::Acquire) {
                return;
            }
            let id = format!("{name}-{serial}");
            let outcome = self.transfer(&id).await;
            lock(&outcomes).insert(id, outcome);
        }
    }

    /// Posts a transfer until it is done or until the retry policy or [`MAX_ATTEMPTS`] forbids a
    /// retry, and returns the last outcome.
    async fn transfer(&mut self, id: &str) -> Outcome {
        let mut key = None;
        let mut last = Outcome::NotRun;
        for _ in 0..MAX_ATTEMPTS {
            let Some(client) = self.client().await else {
                continue;
            };
            if let (None, RetryPolicy::Keys(count)) = (&key, self.policy) {
                key = self.key(&client, count).await;
                if key.is_none() {
                    continue;
                }
            }
            let request = Request {
                key: key.clone(),
                ..Request::post("/transfer", id.to_owned())
            };
            let answer = client.request(request).await.unwrap();
            last = answer.outcome;
            if last == Outcome::Unknown {
                println!("id={id} {answer}");
            }
            let increment = usize::from(last == Outcome::Unknown);
            self.unknown.fetch_add(increment, Ordering::AcqRel);
            match (answer.outcome, self.policy) {
                (Outcome::Done, _) => return Outcome::Done,
                // The service stored the rejection, so the key can't be used again.
                (Outcome::NotRun, _) => key = None,
                (Outcome::Unknown, RetryPolicy::Keys(_)) if answer.status.is_some() => return last,
                (Outcome::Unknown, RetryPolicy::RejectedOnly) => return last,
                (Outcome::Unknown, _) => self.client = None,
            }
        }
        last
    }

    /// Returns the current client, or a new one if there is none. `None` if it can't connect.
    async fn client(&mut self) -> Option<Client> {
        if self.client.is_none() {
            self.client = Client::connect(self.options.clone()).await.ok();
        }
        self.client.clone()
    }

    /// Returns an unused key. Fetches `count` keys if none is left; `None` if that fails.
    async fn key(&mut self, client: &Client, count: usize) -> Option<Key> {
        if self.keys.is_empty() {
            match client.keys(count).await {
                Ok(keys) => self.keys = keys,
                Err(_) => self.client = None,
            }
        }
        self.keys.pop()
    }
}

/// Returns the number of runs of each transfer over all targets, including stopped ones.
pub fn run_counts(deployment: &Deployment) -> IndexMap<String, usize> {
    let mut runs = IndexMap::new();
    for target in &deployment.targets {
        for id in target
            .target
            .log()
            .lines()
            .filter_map(|line| line.strip_prefix("run="))
        {
            *runs.entry(id.to_owned()).or_default() += 1;
        }
    }
    runs
}

/// Describes the transfers whose number of runs contradicts the reported outcome:
/// more than one run, "done" without a run, or "not run" with one.
pub fn violations(
    outcomes: &IndexMap<String, Outcome>,
    runs: &IndexMap<String, usize>,
) -> Vec<String> {
    let violation = |(id, outcome): (&String, &Outcome)| {
        let count = runs.get(id).copied().unwrap_or(0);
        let consistent = match outcome {
            Outcome::Done => count == 1,
            Outcome::NotRun => count == 0,
            Outcome::Unknown => count <= 1,
        };
        (!consistent).then(|| format!("{id}: {outcome}, {count} runs"))
    };
    outcomes.iter().filter_map(violation).collect()
}

/// Returns the number of transfers with each outcome: done, not run, unknown.
pub fn count_outcomes(outcomes: &IndexMap<String, Outcome>) -> [usize; 3] {
    let count = |wanted| outcomes.values().filter(|it| **it == wanted).count();
    [Outcome::Done, Outcome::NotRun, Outcome::Unknown].map(count)
}
