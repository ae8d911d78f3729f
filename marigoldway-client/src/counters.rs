//! Counters of a client, one for each reason of a refusal or a retry.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use indexmap::IndexMap;

use crate::answer::Answer;
use crate::answer::Reason;

/// `ClientStats` counts what became of the requests of a client.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClientStats {
    /// Requests that have ended.
    pub requests: u64,
    /// Requests that ended without being done, by reason.
    pub failures: IndexMap<&'static str, u64>,
    /// Tries after the first, by the reason that ended the one before.
    pub retries: IndexMap<&'static str, u64>,
    /// Connections that were opened.
    pub connections: u64,
}

/// `Counters` is the stats that the parts of a client share.
#[derive(Default)]
pub(crate) struct Counters(Mutex<ClientStats>);

impl Counters {
    pub(crate) fn snapshot(&self) -> ClientStats {
        self.stats().clone()
    }

    /// Counts a request by its last answer.
    pub(crate) fn ended(&self, answer: &Answer) {
        let mut stats = self.stats();
        stats.requests += 1;
        if let Some(reason) = answer.reason {
            count(&mut stats.failures, reason);
        }
    }

    /// Counts a try that follows `answer`.
    pub(crate) fn retried(&self, answer: &Answer) {
        if let Some(reason) = answer.reason {
            count(&mut self.stats().retries, reason);
        }
    }

    pub(crate) fn connected(&self) {
        self.stats().connections += 1;
    }

    fn stats(&self) -> MutexGuard<'_, ClientStats> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn count(counts: &mut IndexMap<&'static str, u64>, reason: Reason) {
    *counts.entry(reason.as_str()).or_insert(0) += 1;
}
