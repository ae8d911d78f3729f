//! Callers that post transfers, and what they were told of each.

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

/// Tries of one transfer.
const TRIES: usize = 8;

/// Time limit of one try.
const DEADLINE: Duration = Duration::from_secs(2);

/// `RetryPolicy` says how callers try again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// With an idempotency key: the same one after a doubt, a new one after a
    /// refusal. This many keys are fetched at a time.
    Keys(usize),
    /// Without a key, and only after a refusal.
    RejectedOnly,
    /// Without a key, whatever the outcome.
    Always,
}

/// `Callers` post transfers until they are stopped.
pub struct Callers {
    told: Arc<Mutex<IndexMap<String, Outcome>>>,
    doubts: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts `count` callers. `name` begins the ids of their transfers.
    pub fn start(
        options: &ClientOptions,
        name: &'static str,
        count: usize,
        rule: RetryPolicy,
    ) -> Callers {
        let told = Arc::new(Mutex::new(IndexMap::new()));
        let doubts = Arc::new(AtomicUsize::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let tasks = (0..count).map(|number| {
            let caller = Caller {
                options: ClientOptions {
                    deadline: DEADLINE,
                    connect_timeout: Duration::from_secs(1),
                    ..options.clone()
                },
                rule,
                client: None,
                keys: Vec::new(),
                doubts: doubts.clone(),
            };
            tokio::spawn(caller.run(format!("{name}-{number}"), told.clone(), stop.clone()))
        });
        Callers {
            tasks: tasks.collect(),
            told,
            doubts,
            stop,
        }
    }

    /// Transfers that have come to an end.
    pub fn completed(&self) -> usize {
        lock(&self.told).len()
    }

    /// Waits until `count` more transfers have come to an end.
    pub fn wait_completed(&self, count: usize) {
        let goal = self.completed() + count;
        wait_for("more transfers", || self.completed() >= goal);
    }

    /// Waits until `count` more tries have ended in doubt.
    pub fn wait_unknown(&self, count: usize) {
        let doubts = || self.doubts.load(Ordering::Acquire);
        let goal = doubts() + count;
        wait_for("tries in doubt", || doubts() >= goal);
    }

    /// Stops the callers and gives what they were told of each transfer.
    pub async fn stop(self) -> IndexMap<String, Outcome> {
        self.stop.store(true, Ordering::Release);
        for task in self.tasks {
            task.await.unwrap();
        }
        lock(&self.told).clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Caller {
    options: ClientOptions,
    rule: RetryPolicy,
    client: Option<Client>,
    keys: Vec<Key>,
    doubts: Arc<AtomicUsize>,
}

impl Caller {
    async fn run(
        mut self,
        name: String,
        told: Arc<Mutex<IndexMap<String, Outcome>>>,
        stop: Arc<AtomicBool>,
    ) {
        for serial in 0.. {
            if stop.load(Ordering::Acquire) {
                return;
            }
            let id = format!("{name}-{serial}");
            let outcome = self.transfer(&id).await;
            lock(&told).insert(id, outcome);
        }
    }

    /// Posts a transfer until its outcome is certain, or the tries are used up.
    async fn transfer(&mut self, id: &str) -> Outcome {
        let mut key = None;
        let mut last = Outcome::NotRun;
        for _ in 0..TRIES {
            let Some(client) = self.client().await else {
                continue;
            };
            if let (None, RetryPolicy::Keys(count)) = (&key, self.rule) {
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
            let doubt = usize::from(last == Outcome::Unknown);
            self.doubts.fetch_add(doubt, Ordering::AcqRel);
            match (answer.outcome, self.rule) {
                (Outcome::Done, _) => return Outcome::Done,
                // The service kept the refusal, so the key is used up.
                (Outcome::NotRun, _) => key = None,
                (Outcome::Unknown, RetryPolicy::Keys(_)) if answer.status.is_some() => return last,
                (Outcome::Unknown, RetryPolicy::RejectedOnly) => return last,
                (Outcome::Unknown, _) => self.client = None,
            }
        }
        last
    }

    async fn client(&mut self) -> Option<Client> {
        if self.client.is_none() {
            self.client = Client::connect(self.options.clone()).await.ok();
        }
        self.client.clone()
    }

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

/// How often each transfer ran, over all targets that ever were.
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

/// The transfers that break what callers were told: a second run, a "done" that
/// did not run, or a "not run" that did.
pub fn violations(told: &IndexMap<String, Outcome>, runs: &IndexMap<String, usize>) -> Vec<String> {
    let fault = |(id, outcome): (&String, &Outcome)| {
        let count = runs.get(id).copied().unwrap_or(0);
        let right = match outcome {
            Outcome::Done => count == 1,
            Outcome::NotRun => count == 0,
            Outcome::Unknown => count <= 1,
        };
        (!right).then(|| format!("{id}: {outcome}, {count} runs"))
    };
    told.iter().filter_map(fault).collect()
}

/// How many transfers had each outcome: done, not run, unknown.
pub fn count_outcomes(told: &IndexMap<String, Outcome>) -> [usize; 3] {
    let count = |wanted| told.values().filter(|outcome| **outcome == wanted).count();
    [Outcome::Done, Outcome::NotRun, Outcome::Unknown].map(count)
}
