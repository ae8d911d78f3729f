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
use crate::message::Beat;
use crate::time::Timestamp;

/// `Beats` holds the counters of all domains.
#[derive(Clone, Debug)]
pub struct Beats {
    counters: IndexMap<DomainId, Counter>,
    limit: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Counter {
    count: u64,
    rose: Timestamp,
    heard: bool,
}

impl Beats {
    /// Makes an empty set. A domain is lost when its counter hasn't risen for
    /// `limit`.
    pub fn new(limit: Duration) -> Beats {
        Beats {
            counters: IndexMap::new(),
            limit,
        }
    }

    /// Takes note of a domain, which counts as heard from at `now` if it is new.
    pub fn learn(&mut self, now: Timestamp, domain: DomainId) {
        self.counters.entry(domain).or_insert(Counter {
            count: 0,
            rose: now,
            heard: false,
        });
    }

    /// Takes note that an instance of `domain` spoke to this process.
    pub fn hear(&mut self, now: Timestamp, domain: DomainId) {
        self.learn(now, domain);
        self.counters[&domain].heard = true;
    }

    /// Raises the counters of all domains heard from since the last call.
    pub fn raise(&mut self, now: Timestamp) {
        for counter in self.counters.values_mut() {
            if counter.heard {
                counter.heard = false;
                counter.count += 1;
                counter.rose = now;
            }
        }
    }

    /// Merges a counter of another process.
    pub fn merge(&mut self, now: Timestamp, beat: Beat) {
        self.learn(now, beat.domain);
        let counter = &mut self.counters[&beat.domain];
        if beat.count > counter.count {
            counter.count = beat.count;
            counter.rose = now;
        }
    }

    /// Starts all waits anew, after this process slept.
    pub fn rest(&mut self, now: Timestamp) {
        for counter in self.counters.values_mut() {
            counter.rose = now;
        }
    }

    /// The domains from which nothing is heard.
    pub fn lost(&self, now: Timestamp) -> IndexSet<DomainId> {
        self.counters
            .iter()
            .filter(|(_, counter)| now.since(counter.rose) > self.limit)
            .map(|(domain, _)| *domain)
            .collect()
    }

    /// Every counter.
    pub fn all(&self) -> Vec<Beat> {
        self.counters
            .iter()
            .map(|(domain, counter)| Beat {
                domain: *domain,
                count: counter.count,
            })
            .collect()
    }
}
