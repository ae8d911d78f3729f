//! Liveness of failure domains, tracked by one counter per domain.
//!
//! An entry is a load balancer process that forwards packets. Once per interval it
//! increments the counter of its own domain, and of each domain from whose
//! instances it has received a message. Entries gossip the counters; the greater
//! value wins a merge. An entry treats a domain as lost while the domain's counter
//! doesn't rise, and reports the lost domains to the instances that it monitors.
//! The loss of a whole domain therefore costs a few octets instead of a record for
//! each instance. After a network partition between regions, no instance has to
//! refute a mark, which is a record of its state as suspect or down.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::ids::DomainId;
use crate::message::DomainCounter;
use crate::time::Timestamp;

/// `DomainLiveness` holds the counters of all known failure domains.
#[derive(Clone, Debug)]
pub struct DomainLiveness {
    counters: IndexMap<DomainId, Counter>,
    timeout: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Counter {
    count: u64,
    /// Time when the count last rose, or when its timeout was restarted since.
    raised_at: Timestamp,
    /// Whether the domain was contacted since the last call of
    /// [`DomainLiveness::increment`].
    contacted: bool,
}

impl DomainLiveness {
    /// Creates an empty set. A domain is lost when its counter hasn't risen for
    /// longer than `timeout`.
    pub fn new(timeout: Duration) -> DomainLiveness {
        DomainLiveness {
            counters: IndexMap::new(),
            timeout,
        }
    }

    /// Adds a domain if it is new. The timeout of a new domain starts at `now`.
    pub fn add_domain(&mut self, now: Timestamp, domain: DomainId) {
        self.counters.entry(domain).or_insert(Counter {
            count: 0,
            raised_at: now,
            contacted: false,
        });
    }

    /// Records that this process received a message from an instance of `domain`.
    pub fn record_contact(&mut self, now: Timestamp, domain: DomainId) {
        self.add_domain(now, domain);
        self.counters[&domain].contacted = true;
    }

    /// Increments the counters of all domains contacted since the last call.
    pub fn increment(&mut self, now: Timestamp) {
        for counter in self.counters.values_mut() {
            if counter.contacted {
                counter.contacted = false;
                counter.count += 1;
                counter.raised_at = now;
            }
        }
    }

    /// Merges a counter received from another process.
    pub fn merge(&mut self, now: Timestamp, other: DomainCounter) {
        self.add_domain(now, other.domain);
        let counter = &mut self.counters[&other.domain];
        if other.count > counter.count {
            counter.count = other.count;
            counter.raised_at = now;
        }
    }

    /// Restarts the timeouts of all domains after this process was suspended.
    pub fn reset(&mut self, now: Timestamp) {
        for counter in self.counters.values_mut() {
            counter.raised_at = now;
        }
    }

    /// Time since the counter of a domain last rose, was added or was reset. Zero
    /// for an unknown domain.
    pub fn silence(&self, now: Timestamp, domain: DomainId) -> Duration {
        let counter = self.counters.get(&domain);
        counter.map_or(Duration::ZERO, |it| now.since(it.raised_at))
    }

    /// Domains whose counter hasn't risen for longer than the timeout.
    pub fn lost_domains(&self, now: Timestamp) -> IndexSet<DomainId> {
        self.counters
            .iter()
            .filter(|(_, counter)| now.since(counter.raised_at) > self.timeout)
            .map(|(domain, _)| *domain)
            .collect()
    }

    /// Counters of all known domains, as sent to other processes.
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
