//! This module tracks the failure domains that operators drain: no new flow goes to a target in
//! them. Open flows stay there. Which agents may hold a flow doesn't depend on the drains.

use std::time::Duration;

use indexmap::IndexMap;

use crate::flow::key::NameKey;
use crate::time::Timestamp;

/// `DrainUpdate` is news of the drained domains, by their names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrainUpdate {
    /// The complete set. Domains that it lacks aren't drained any more.
    Replace(Vec<String>),
    /// The domain is drained.
    Drain(String),
    /// The domain isn't drained any more.
    Lift(String),
    /// The store was restored from a backup and may lack drains that it had acknowledged. Domains
    /// that the following sets lack stay drained for this long, unless their drain is lifted.
    Restore(Duration),
    /// No news. Ends the drains that were kept after a restore for long enough.
    Review,
    /// The set that another process knows. It applies only if none is known here, since it may be
    /// older.
    Learn(SharedDrains),
}

/// `SharedDrains` is what one process tells another one about drained domains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedDrains {
    /// Names of the drained domains.
    pub drained: Vec<String>,
}

/// `DrainChange` is a change of the set, to be logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrainChange {
    /// The domain is drained from now on.
    Drained(String),
    /// The drain of the domain has ended.
    Lifted(String),
}

/// `DrainedDomains` holds the drained domains.
#[derive(Clone, Debug, Default)]
pub struct DrainedDomains {
    /// Whether the complete set was learned from any source.
    known: bool,
    drained: IndexMap<NameKey, Drain>,
    /// Until when domains that a complete set lacks stay drained.
    kept_until: Timestamp,
}

#[derive(Clone, Debug)]
struct Drain {
    name: String,
    /// Whether the latest complete set had the domain.
    listed: bool,
    /// Whether it was checked that the domain has agents.
    checked: bool,
}

impl DrainedDomains {
    /// Whether the complete set was learned. Until then, no domain counts as drained.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// Number of drained domains.
    pub fn len(&self) -> usize {
        self.drained.len()
    }

    /// Whether no domain is drained.
    pub fn is_empty(&self) -> bool {
        self.drained.is_empty()
    }

    /// Whether new flows must not go to targets in the domain.
    pub fn is_drained(&self, domain: NameKey) -> bool {
        self.drained.contains_key(&domain)
    }

    /// Applies news of the drained domains. Returns the changes of the set.
    pub fn apply(&mut self, now: Timestamp, update: DrainUpdate) -> Vec<DrainChange> {
        let mut changes = Vec::new();
        match update {
            DrainUpdate::Replace(names) => self.replace(now, names, &mut changes),
            DrainUpdate::Drain(name) => self.drain(name, &mut changes),
            DrainUpdate::Lift(name) => self.lift(NameKey::from(name.as_str()), &mut changes),
            DrainUpdate::Restore(span) => self.kept_until = now + span,
            DrainUpdate::Review => self.lift_unlisted(now, &mut changes),
            DrainUpdate::Learn(shared) if !self.known => {
                self.replace(now, shared.drained, &mut changes);
            }
            DrainUpdate::Learn(_) => {}
        }
        changes
    }

    /// What this process tells others, or `None` if it doesn't know the complete set.
    pub fn share(&self) -> Option<SharedDrains> {
        let names = self.drained.values().map(|it| it.name.clone());
        self.known.then(|| SharedDrains {
            drained: names.collect(),
        })
    }

    /// Names of the drained domains that `has_agents` is false for. Each domain is checked once.
    pub(super) fn take_unserved(&mut self, has_agents: impl Fn(NameKey) -> bool) -> Vec<String> {
        let mut unserved = Vec::new();
        for (domain, drain) in self.drained.iter_mut().filter(|(_, it)| !it.checked) {
            drain.checked = true;
            if !has_agents(*domain) {
                unserved.push(drain.name.clone());
            }
        }
        unserved
    }

    fn replace(&mut self, now: Timestamp, names: Vec<String>, changes: &mut Vec<DrainChange>) {
        self.known = true;
        let listed: Vec<NameKey> = names.iter().map(|it| NameKey::from(it.as_str())).collect();
        let missing = self.drained.keys().filter(|it| !listed.contains(it));
        let missing: Vec<NameKey> = missing.copied().collect();
        for domain in missing {
            if let Some(drain) = self.drained.get_mut(&domain) {
                drain.listed = false;
            }
        }
        self.lift_unlisted(now, changes);
        for name in names {
            self.drain(name, changes);
        }
    }

    /// Ends the drains that the latest complete set lacks, unless the store was restored lately.
    fn lift_unlisted(&mut self, now: Timestamp, changes: &mut Vec<DrainChange>) {
        if now < self.kept_until {
            return;
        }
        let unlisted = self.drained.iter().filter(|(_, it)| !it.listed);
        let unlisted: Vec<NameKey> = unlisted.map(|(domain, _)| *domain).collect();
        for domain in unlisted {
            self.lift(domain, changes);
        }
    }

    fn drain(&mut self, name: String, changes: &mut Vec<DrainChange>) {
        let domain = NameKey::from(name.as_str());
        if let Some(drain) = self.drained.get_mut(&domain) {
            drain.listed = true;
            return;
        }
        changes.push(DrainChange::Drained(name.clone()));
        let drain = Drain {
            name,
            listed: true,
            checked: false,
        };
        self.drained.insert(domain, drain);
    }

    fn lift(&mut self, domain: NameKey, changes: &mut Vec<DrainChange>) {
        if let Some(Drain { name, .. }) = self.drained.swap_remove(&domain) {
            changes.push(DrainChange::Lifted(name));
        }
    }
}
