//! Counters of a client, with failures and retries counted per reason.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use indexmap::IndexMap;

use crate::answer::Answer;
use crate::answer::Reason;

/// Counts of the requests, retries and connections of a client and its clones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClientStats {
    /// Requests that returned an answer, whatever their outcome.
    pub requests: u64,
    /// Requests that ended with a reason for failure, by reason.
    pub failures: IndexMap<&'static str, u64>,
    /// Attempts after the first, by the reason that ended the previous attempt. A retry
    /// after an attempt without a known reason is not counted.
    pub retries: IndexMap<&'static str, u64>,
    /// Connections opened.
    pub connections: u64,
}

/// `ClientStats` behind a lock, shared by the clones of a client.
#[derive(Default)]
pub(crate) struct Counters(Mutex<ClientStats>);

impl Counters {
    pub(crate) fn snapshot(&self) -> ClientStats {
        self.stats().clone()
    }

    /// Counts a request that ended with `answer`.
    pub(crate) fn record_end(&self, answer: &Answer) {
        let mut stats = self.stats();
        stats.requests += 1;
        if let Some(reason) = answer.reason {
            count(&mut stats.failures, reason);
        }
    }

    /// Counts a retry after an attempt that ended with `answer`.
    pub(crate) fn record_retry(&self, answer: &Answer) {
        if let Some(reason) = answer.reason {
            count(&mut self.stats().retries, reason);
        }
    }

    pub(crate) fn record_connection(&self) {
        self.stats().connections += 1;
    }

    fn stats(&self) -> MutexGuard<'_, ClientStats> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn count(counts: &mut IndexMap<&'static str, u64>, reason: Reason) {
    *counts.entry(reason.as_str()).or_insert(0) += 1;
}
