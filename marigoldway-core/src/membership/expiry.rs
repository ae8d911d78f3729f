//! Lost failure domains, and the removal of expired records.

use indexmap::IndexSet;

use crate::ids::DomainId;
use crate::ids::InstanceId;
use crate::membership::Event;
use crate::membership::Membership;
use crate::roster::Record;
use crate::roster::Role;
use crate::time::Timestamp;

impl Membership {
    /// Returns whether the domain of an instance has been silent for more than
    /// half of the domain timeout.
    pub(super) fn is_domain_silent(&self, now: Timestamp, id: InstanceId) -> bool {
        let domain = self.roster.record(id).map(|it| it.domain);
        domain.is_some_and(|it| self.liveness.silence(now, it) > self.options.domain_timeout / 2)
    }

    /// Determines the lost domains from the counters, on an entry only. An agent
    /// learns them from its monitors.
    pub(super) fn update_lost_domains(&mut self, now: Timestamp) {
        if self.own.role == Role::Entry {
            self.set_lost_domains(now, self.liveness.lost_domains(now));
        }
    }

    /// Replaces the set of lost domains and reports each domain that was added or
    /// that has recovered.
    pub(super) fn set_lost_domains(&mut self, now: Timestamp, lost: IndexSet<DomainId>) {
        let newly_lost: Vec<DomainId> = lost
            .iter()
            .filter(|it| !self.lost.contains_key(*it))
            .copied()
            .collect();
        let recovered: Vec<DomainId> = self
            .lost
            .keys()
            .filter(|it| !lost.contains(*it))
            .copied()
            .collect();
        if newly_lost.is_empty() && recovered.is_empty() {
            return;
        }
        for domain in newly_lost {
            self.lost.insert(domain, now);
            self.event(Event::Domain { domain, lost: true });
        }
        for domain in recovered {
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
    /// has been lost, for the removal delay.
    pub(super) fn remove_expired(&mut self, now: Timestamp) {
        let delay = self.options.removal_delay;
        let is_expired = |since: &Timestamp| now.since(*since) >= delay;
        let mut ids: Vec<InstanceId> = self
            .down_since
            .iter()
            .filter(|(_, since)| is_expired(since))
            .map(|(id, _)| *id)
            .collect();
        if self.lost.values().any(is_expired) {
            let is_in_lost_domain =
                |it: &&Record| self.lost.get(&it.domain).is_some_and(is_expired);
            ids.extend(
                self.roster
                    .records()
                    .filter(is_in_lost_domain)
                    .map(|it| it.id),
            );
        }
        for id in ids {
            self.remove(id);
        }
    }

    /// Removes the record of an instance and what is derived from it. The own record
    /// stays.
    fn remove(&mut self, id: InstanceId) {
        if id == self.own.id {
            return;
        }
        self.down_since.swap_remove(&id);
        self.mismatches.swap_remove(&id);
        if let Some(record) = self.roster.remove(id) {
            self.addresses.swap_remove(&record.control);
            self.monitors_stale = true;
            self.output_view();
        }
    }
}
