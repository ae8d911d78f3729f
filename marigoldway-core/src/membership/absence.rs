//! Lost domains, and the removal of what is gone for good.

use indexmap::IndexSet;

use crate::ids::DomainId;
use crate::ids::InstanceId;
use crate::membership::Event;
use crate::membership::Membership;
use crate::roster::Record;
use crate::roster::Role;
use crate::time::Timestamp;

impl Membership {
    /// Tells whether the domain of an instance is lost, or about to be.
    pub(super) fn is_silent(&self, now: Timestamp, id: InstanceId) -> bool {
        let domain = self.roster.record(id).map(|it| it.domain);
        domain.is_some_and(|it| self.beats.silence(now, it) > self.options.lost / 2)
    }

    pub(super) fn update_lost(&mut self, now: Timestamp) {
        if self.own.role == Role::Entry {
            self.set_lost(now, self.beats.lost(now));
        }
    }

    pub(super) fn set_lost(&mut self, now: Timestamp, lost: IndexSet<DomainId>) {
        let gone: Vec<DomainId> = lost
            .iter()
            .filter(|it| !self.lost.contains_key(*it))
            .copied()
            .collect();
        let back: Vec<DomainId> = self
            .lost
            .keys()
            .filter(|it| !lost.contains(*it))
            .copied()
            .collect();
        if gone.is_empty() && back.is_empty() {
            return;
        }
        for domain in gone {
            self.lost.insert(domain, now);
            self.event(Event::Domain { domain, lost: true });
        }
        for domain in back {
            self.lost.swap_remove(&domain);
            self.event(Event::Domain {
                domain,
                lost: false,
            });
        }
        self.gossip.invalidate();
        self.output_view();
    }

    /// Removes the records of instances that have been down, or whose domain
    /// has been lost, for long.
    pub(super) fn forget(&mut self, now: Timestamp) {
        let limit = self.options.forget;
        let old = |since: &Timestamp| now.since(*since) >= limit;
        let mut ids: Vec<InstanceId> = self
            .fallen
            .iter()
            .filter(|(_, since)| old(since))
            .map(|(id, _)| *id)
            .collect();
        if self.lost.values().any(old) {
            let of_lost = |it: &&Record| self.lost.get(&it.domain).is_some_and(old);
            ids.extend(self.roster.records().filter(of_lost).map(|it| it.id));
        }
        for id in ids {
            self.remove(id);
        }
    }

    fn remove(&mut self, id: InstanceId) {
        if id == self.own.id {
            return;
        }
        self.fallen.swap_remove(&id);
        self.mismatches.swap_remove(&id);
        if let Some(record) = self.roster.remove(id) {
            self.addresses.swap_remove(&record.control);
            self.dirty = true;
            self.output_view();
        }
    }
}
