//! Which state of the lists a process has in force.
//!
//! A process takes only higher revisions, checked together with the other list.
//! A list that needs a newer state of the other one waits for it. Whatever the
//! order in which states arrive, and however often, the process ends at the
//! highest pair that agrees, and never goes back.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::errors::Error;
use crate::lists::ListKind;
use crate::lists::allowances::Allowances;
use crate::lists::catalog::Catalog;
use crate::lists::document::Revision;
use crate::lists::plans::Plans;

/// `Revisions` states what a process has in force, as the numbers of
/// [`Revision::number`]. Zero stands for no list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Revisions {
    /// Number of the plans' revision.
    pub plans: u32,
    /// Number of the allowances' revision.
    pub allowances: u32,
}

impl Revisions {
    /// The number of one list.
    pub fn of(self, kind: ListKind) -> u32 {
        match kind {
            ListKind::Plans => self.plans,
            ListKind::Allowances => self.allowances,
        }
    }

    /// Both numbers as one, for heartbeats: the plans' in the upper 32 bits.
    pub fn to_u64(self) -> u64 {
        (u64::from(self.plans) << u32::BITS) | u64::from(self.allowances)
    }

    /// The revisions that [`Revisions::to_u64`] made one number of.
    pub fn from_u64(bits: u64) -> Revisions {
        Revisions {
            plans: (bits >> u32::BITS) as u32,
            allowances: bits as u32,
        }
    }

    /// These revisions with no revision of one list.
    pub fn without(self, kind: ListKind) -> Revisions {
        match kind {
            ListKind::Plans => Revisions { plans: 0, ..self },
            ListKind::Allowances => Revisions {
                allowances: 0,
                ..self
            },
        }
    }

    /// The lists of which `self` states a higher revision than `other`.
    pub fn newer_lists(self, other: Revisions) -> impl Iterator<Item = ListKind> {
        ListKind::ALL
            .into_iter()
            .filter(move |kind| self.of(*kind) > other.of(*kind))
    }

    /// The higher number of each list.
    pub fn max(self, other: Revisions) -> Revisions {
        Revisions {
            plans: self.plans.max(other.plans),
            allowances: self.allowances.max(other.allowances),
        }
    }
}

/// `OfferOutcome` tells what became of a list that was offered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The list is in force.
    Accepted,
    /// The list is well formed and waits for a newer state of the other list.
    Waiting {
        /// What the two lists don't agree on.
        cause: Error,
    },
    /// A revision at least as high is held.
    Stale {
        /// The revision that is held.
        held: Revision,
    },
    /// The list breaks the format and changes nothing.
    Refused {
        /// The line and the reason.
        cause: Error,
    },
}

/// A list with its text, from which it was read. Clones are cheap.
#[derive(Clone, Debug)]
struct Held<T> {
    list: Arc<T>,
    text: Arc<str>,
}

/// `HeldLists` is what a process holds of both lists.
#[derive(Clone, Debug, Default)]
pub struct HeldLists {
    plans: Option<Held<Plans>>,
    allowances: Option<Held<Allowances>>,
    waiting_plans: Option<Held<Plans>>,
    waiting_allowances: Option<Held<Allowances>>,
    catalog: Option<Arc<Catalog>>,
}

impl HeldLists {
    /// Offers a state of one list.
    pub fn offer(&mut self, kind: ListKind, text: &str) -> OfferOutcome {
        let read = match kind {
            ListKind::Plans => self.wait_plans(text),
            ListKind::Allowances => self.wait_allowances(text),
        };
        let number = match read {
            Ok(revision) => revision.number(),
            Err(outcome) => return outcome,
        };

        let cause = self.take_waiting();
        match cause {
            Some(cause) if self.in_force().of(kind) < number => OfferOutcome::Waiting { cause },
            _ => OfferOutcome::Accepted,
        }
    }

    /// The revisions in force.
    pub fn in_force(&self) -> Revisions {
        let Some(catalog) = &self.catalog else {
            return Revisions::default();
        };
        Revisions {
            plans: catalog.plans().revision.number(),
            allowances: catalog.allowances().revision.number(),
        }
    }

    /// The highest revisions held, in force or waiting.
    pub fn held_revisions(&self) -> Revisions {
        let plans = self.waiting_plans.as_ref().or(self.plans.as_ref());
        let allowances = self
            .waiting_allowances
            .as_ref()
            .or(self.allowances.as_ref());
        Revisions {
            plans: plans.map_or(0, |held| held.list.revision.number()),
            allowances: allowances.map_or(0, |held| held.list.revision.number()),
        }
    }

    /// Both lists in force, once there are both.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// The text of the highest revision held of one list.
    pub fn text(&self, kind: ListKind) -> Option<&Arc<str>> {
        match kind {
            ListKind::Plans => {
                let held = self.waiting_plans.as_ref().or(self.plans.as_ref());
                held.map(|held| &held.text)
            }
            ListKind::Allowances => {
                let held = self.waiting_allowances.as_ref();
                held.or(self.allowances.as_ref()).map(|held| &held.text)
            }
        }
    }

    fn wait_plans(&mut self, text: &str) -> Result<Revision, OfferOutcome> {
        let list = Plans::parse(text).map_err(|cause| OfferOutcome::Refused { cause })?;
        let highest = self.waiting_plans.as_ref().or(self.plans.as_ref());
        let revision = list.revision;
        check_higher(revision, highest.map(|held| held.list.revision))?;
        let text = Arc::from(text);
        self.waiting_plans = Some(Held {
            list: Arc::new(list),
            text,
        });
        Ok(revision)
    }

    fn wait_allowances(&mut self, text: &str) -> Result<Revision, OfferOutcome> {
        let list = Allowances::parse(text).map_err(|cause| OfferOutcome::Refused { cause })?;
        let waiting = self.waiting_allowances.as_ref();
        let highest = waiting.or(self.allowances.as_ref());
        let revision = list.revision;
        check_higher(revision, highest.map(|held| held.list.revision))?;
        let text = Arc::from(text);
        self.waiting_allowances = Some(Held {
            list: Arc::new(list),
            text,
        });
        Ok(revision)
    }

    /// Puts the highest pair in force that agrees, and gives the disagreement
    /// of a list that goes on waiting.
    fn take_waiting(&mut self) -> Option<Error> {
        let (plans, waiting_plans) = (self.plans.clone(), self.waiting_plans.clone());
        let allowances = self.allowances.clone();
        let waiting_allowances = self.waiting_allowances.clone();
        let pairs = [
            (waiting_plans.clone(), waiting_allowances.clone()),
            (plans, waiting_allowances),
            (waiting_plans, allowances),
        ];

        let mut cause = None;
        for pair in pairs {
            let (Some(plans), Some(allowances)) = pair else {
                continue;
            };
            match Catalog::new((*plans.list).clone(), (*allowances.list).clone()) {
                Ok(catalog) => {
                    self.put_in_force(plans, allowances, catalog);
                    return cause;
                }
                Err(error) => cause = Some(error),
            }
        }
        cause.or_else(|| {
            let both = self.plans.is_some() && self.allowances.is_some();
            (!both).then(|| Error::malformed("the other list is missing"))
        })
    }

    fn put_in_force(&mut self, plans: Held<Plans>, allowances: Held<Allowances>, catalog: Catalog) {
        let overtaken = |waiting: Revision, taken: Revision| waiting <= taken;
        self.waiting_plans
            .take_if(|held| overtaken(held.list.revision, plans.list.revision));
        self.waiting_allowances
            .take_if(|held| overtaken(held.list.revision, allowances.list.revision));
        self.plans = Some(plans);
        self.allowances = Some(allowances);
        self.catalog = Some(Arc::new(catalog));
    }
}

fn check_higher(revision: Revision, held: Option<Revision>) -> Result<(), OfferOutcome> {
    match held {
        Some(held) if held >= revision => Err(OfferOutcome::Stale { held }),
        _ => Ok(()),
    }
}
