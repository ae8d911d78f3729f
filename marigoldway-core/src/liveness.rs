//! Beats: whether anything is heard from a failure domain.
//!
//! Every entry that hears an instance of a domain, or stands in it, raises the
//! domain's counter once a period. Counters spread with the gossip and merge
//! by the greater value. A domain whose counter has stopped is lost, for this
//! process, until the counter rises again. So the loss of a whole domain costs
//! a few octets in place of a record for each of its instances, and a cut
//! between regions heals without anyone having to refute anything.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::ids::DomainId;
use crate::message::DomainCounter;
use crate::time::Timestamp;

/// `Beats` holds the counters of all domains.
#[derive(Clone, Debug)]
pub struct DomainLiveness {
    counters: IndexMap<DomainId, Counter>,
    timeout: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Counter {
    count: u64,
    raised_at: Timestamp,
    contacted: bool,
}

impl DomainLiveness {
    /// Makes an empty set. A domain is lost when its counter hasn't risen for
    /// `limit`.
    pub fn new(timeout: Duration) -> DomainLiveness {
        DomainLiveness {
            counters: IndexMap::new(),
            timeout,
        }
    }

    /// Takes note of a domain, which counts as heard from at `now` if it is new.
    pub fn add_domain(&mut self, now: Timestamp, domain: DomainId) {
        self.counters.entry(domain).or_insert(Counter {
            count: 0,
            raised_at: now,
            contacted: false,
        });
    }

    /// Takes note that an instance of `domain` spoke to this process.
    pub fn record_contact(&mut self, now: Timestamp, domain: DomainId) {
        self.add_domain(now, domain);
        self.counters[&domain].contacted = true;
    }

    /// Raises the counters of all domains heard from since the last call.
    pub fn increment(&mut self, now: Timestamp) {
        for counter in self.counters.values_mut() {
            if counter.contacted {
                counter.contacted = false;
                counter.count += 1;
                counter.raised_at = now;
            }
        }
    }

    /// Merges a counter of another process.
    pub fn merge(&mut self, now: Timestamp, other: DomainCounter) {
        self.add_domain(now, other.domain);
        let counter = &mut self.counters[&other.domain];
        if other.count > counter.count {
            counter.count = other.count;
            counter.raised_at = now;
        }
    }

    /// Starts all waits anew, after this process slept.
    pub fn reset(&mut self, now: Timestamp) {
        for counter in self.counters.values_mut() {
            counter.raised_at = now;
        }
    }

    /// Time since the counter of a domain rose, zero for an unknown domain.
    pub fn silence(&self, now: Timestamp, domain: DomainId) -> Duration {
        let counter = self.counters.get(&domain);
        counter.map_or(Duration::ZERO, |it| now.since(it.raised_at))
    }

    /// The domains from which nothing is heard.
    pub fn lost_domains(&self, now: Timestamp) -> IndexSet<DomainId> {
        self.counters
            .iter()
            .filter(|(_, counter)| now.since(counter.raised_at) > self.timeout)
            .map(|(domain, _)| *domain)
            .collect()
    }

    /// Every counter.
    pub fn counters(&self) -> Vec<DomainCounter> {
        self.counters
            .iter()
            .map(|(domain, counter)| DomainCounter {
                domain: *domain,
                count: counter.count,
            })
            .collect()
    }
}
