//! This module tracks the failure domains that operators drain: no new flow goes to a target in
//! them.
//!
//! Open flows stay in a drained domain. While a domain is drained, new flows are placed past its
//! targets. A search for such a flow must not count these targets among those that precede its
//! holder, also after the drain was lifted, as long as the flow may live. So a domain is
//! remembered for a flow's lifetime after that.

use std::time::Duration;

use indexmap::IndexMap;

use crate::flow::key::NameKey;
use crate::time::Timestamp;

/// Time beyond a flow's lifetime for which a lifted drain is remembered. Other processes may
/// learn of the lift this much later, and place flows past the domain until then.
const LIFT_SLACK: Duration = Duration::from_secs(10);

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
    /// What another process knows. Its set applies only if none is known, since it may be
    /// older. Otherwise, its domains only count as passed over.
    Learn(SharedDrains),
}

/// `SharedDrains` is what one process tells another one about drained domains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedDrains {
    /// Names of the drained domains.
    pub drained: Vec<String>,
    /// Names of the domains whose drain was lifted, with the time since then.
    pub lifted: Vec<(String, Duration)>,
}

/// `DrainChange` is a change of the set, to be logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrainChange {
    /// The domain is drained from now on.
    Drained(String),
    /// The drain of the domain has ended.
    Lifted(String),
}

/// `DrainedDomains` holds the drained domains, and those whose drain was lifted lately.
#[derive(Clone, Debug, Default)]
pub struct DrainedDomains {
    /// Whether the complete set was learned from any source.
    known: bool,
    drained: IndexMap<NameKey, Drain>,
    lifted: IndexMap<NameKey, Lift>,
    revision: u64,
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

#[derive(Clone, Debug)]
struct Lift {
    name: String,
    at: Timestamp,
}

impl DrainedDomains {
    /// Whether the complete set was learned. Until then, no domain counts as drained.
    pub fn is_known(&self) -> bool {
        self.known
    }

    /// A number that increases with each change.
    pub fn revision(&self) -> u64 {
        self.revision
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

    /// Whether open flows may have been placed past the domain's targets: it is drained, or was
    /// within the last lifetime of a flow.
    pub fn was_passed_over(&self, domain: NameKey) -> bool {
        self.is_drained(domain) || self.lifted.contains_key(&domain)
    }

    /// Applies news of the drained domains. Returns the changes of the set.
    pub fn apply(&mut self, now: Timestamp, update: DrainUpdate) -> Vec<DrainChange> {
        let mut changes = Vec::new();
        match update {
            DrainUpdate::Replace(names) => self.replace(now, names, &mut changes),
            DrainUpdate::Drain(name) => self.drain(name, &mut changes),
            DrainUpdate::Lift(name) => self.lift(now, NameKey::from(name.as_str()), &mut changes),
            DrainUpdate::Restore(span) => self.kept_until = now + span,
            DrainUpdate::Review => self.lift_unlisted(now, &mut changes),
            DrainUpdate::Learn(shared) => {
                if self.known {
                    // The other process places flows past these domains, or has lately.
                    for name in shared.drained {
                        self.remember_lift(now, name);
                    }
                } else {
                    self.replace(now, shared.drained, &mut changes);
                }
                for (name, age) in shared.lifted {
                    self.remember_lift(now.before(age), name);
                }
            }
        }
        changes
    }

    /// Forgets drains that were lifted longer ago than a flow lives.
    pub fn expire(&mut self, now: Timestamp, lifetime: Duration) {
        let before = self.lifted.len();
        let limit = lifetime + LIFT_SLACK;
        self.lifted.retain(|_, lift| now.since(lift.at) <= limit);
        if self.lifted.len() != before {
            self.revision += 1;
        }
    }

    /// What this process tells others, or `None` if it doesn't know the complete set.
    pub fn share(&self, now: Timestamp) -> Option<SharedDrains> {
        let lifted = self.lifted.values();
        self.known.then(|| SharedDrains {
            drained: self.drained.values().map(|it| it.name.clone()).collect(),
            lifted: lifted
                .map(|it| (it.name.clone(), now.since(it.at)))
                .collect(),
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
            self.lift(now, domain, changes);
        }
    }

    fn drain(&mut self, name: String, changes: &mut Vec<DrainChange>) {
        let domain = NameKey::from(name.as_str());
        if let Some(drain) = self.drained.get_mut(&domain) {
            drain.listed = true;
            return;
        }
        self.revision += 1;
        self.lifted.swap_remove(&domain);
        changes.push(DrainChange::Drained(name.clone()));
        let drain = Drain {
            name,
            listed: true,
            checked: false,
        };
        self.drained.insert(domain, drain);
    }

    fn lift(&mut self, now: Timestamp, domain: NameKey, changes: &mut Vec<DrainChange>) {
        let Some(Drain { name, .. }) = self.drained.swap_remove(&domain) else {
            return;
        };
        self.revision += 1;
        changes.push(DrainChange::Lifted(name.clone()));
        self.lifted.insert(domain, Lift { name, at: now });
    }

    /// Adds a lift that another process knows, unless a later one is known here.
    fn remember_lift(&mut self, at: Timestamp, name: String) {
        let domain = NameKey::from(name.as_str());
        let is_later = self.lifted.get(&domain).is_none_or(|it| it.at < at);
        if is_later && !self.is_drained(domain) {
            self.revision += 1;
            self.lifted.insert(domain, Lift { name, at });
        }
    }
}
