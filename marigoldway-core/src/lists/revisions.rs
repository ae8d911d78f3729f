//! The revisions of the lists that a process has in force.
//!
//! A process accepts only higher revisions, and validates each list together with
//! the other one. A list that needs a newer revision of the other list waits for
//! it. Revisions may arrive in any order and repeatedly: the process ends at the
//! highest consistent pair and never returns to a lower revision.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::errors::Error;
use crate::lists::ListKind;
use crate::lists::allowances::Allowances;
use crate::lists::catalog::Catalog;
use crate::lists::document::Revision;
use crate::lists::plans::Plans;

/// `Revisions` holds one [`Revision::number`] per list, for example those in force.
/// Zero means no list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Revisions {
    /// Revision number of the plans.
    pub plans: u32,
    /// Revision number of the allowances.
    pub allowances: u32,
}

impl Revisions {
    /// Returns the revision number of one list.
    pub fn of(self, kind: ListKind) -> u32 {
        match kind {
            ListKind::Plans => self.plans,
            ListKind::Allowances => self.allowances,
        }
    }

    /// Encodes both numbers for heartbeats: the plans in the upper 32 bits, the
    /// allowances in the lower 32 bits.
    pub fn to_u64(self) -> u64 {
        (u64::from(self.plans) << u32::BITS) | u64::from(self.allowances)
    }

    /// Decodes the result of [`Revisions::to_u64`].
    pub fn from_u64(bits: u64) -> Revisions {
        Revisions {
            plans: (bits >> u32::BITS) as u32,
            allowances: bits as u32,
        }
    }

    /// Returns `self` without one list: its number is 0.
    pub fn without(self, kind: ListKind) -> Revisions {
        match kind {
            ListKind::Plans => Revisions { plans: 0, ..self },
            ListKind::Allowances => Revisions {
                allowances: 0,
                ..self
            },
        }
    }

    /// Returns the lists that have a higher revision in `self` than in `other`.
    pub fn newer_lists(self, other: Revisions) -> impl Iterator<Item = ListKind> {
        ListKind::ALL
            .into_iter()
            .filter(move |kind| self.of(*kind) > other.of(*kind))
    }

    /// Returns the higher number of each list.
    pub fn max(self, other: Revisions) -> Revisions {
        Revisions {
            plans: self.plans.max(other.plans),
            allowances: self.allowances.max(other.allowances),
        }
    }
}

/// `OfferOutcome` is the result of [`HeldLists::offer`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The list is in force.
    Accepted,
    /// The list is well formed and waits for a newer revision of the other list.
    Waiting {
        /// The inconsistency between the two lists.
        cause: Error,
    },
    /// The process already holds this revision or a higher one.
    Stale {
        /// Revision that the process holds.
        held: Revision,
    },
    /// The list is malformed and was discarded.
    Refused {
        /// The first malformed line and the reason.
        cause: Error,
    },
}

/// A parsed list and its text. Clones are cheap.
#[derive(Clone, Debug)]
struct ParsedList<T> {
    list: Arc<T>,
    text: Arc<str>,
}

/// `HeldLists` holds, for each list, the revision in force and a newer revision
/// that waits for the other list.
#[derive(Clone, Debug, Default)]
pub struct HeldLists {
    plans: Option<ParsedList<Plans>>,
    allowances: Option<ParsedList<Allowances>>,
    waiting_plans: Option<ParsedList<Plans>>,
    waiting_allowances: Option<ParsedList<Allowances>>,
    catalog: Option<Arc<Catalog>>,
}

impl HeldLists {
    /// Parses `text` as a new revision of one list and puts it in force if it is
    /// higher than the one held and consistent with the other list.
    pub fn offer(&mut self, kind: ListKind, text: &str) -> OfferOutcome {
        let stored = match kind {
            ListKind::Plans => self.store_plans(text),
            ListKind::Allowances => self.store_allowances(text),
        };
        let number = match stored {
            Ok(revision) => revision.number(),
            Err(outcome) => return outcome,
        };

        let cause = self.apply_waiting();
        match cause {
            Some(cause) if self.in_force().of(kind) < number => OfferOutcome::Waiting { cause },
            _ => OfferOutcome::Accepted,
        }
    }

    /// Returns the revisions in force. Both are zero until there is a consistent
    /// pair.
    pub fn in_force(&self) -> Revisions {
        let Some(catalog) = &self.catalog else {
            return Revisions::default();
        };
        Revisions {
            plans: catalog.plans().revision.number(),
            allowances: catalog.allowances().revision.number(),
        }
    }

    /// Returns the highest revisions held, in force or waiting.
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

    /// Returns the catalog of the lists in force, or `None` until there is a
    /// consistent pair.
    pub fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Returns the text of the highest revision held of one list, in force or
    /// waiting, or `None` if no revision is held.
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

    /// Stores the plans in `text` as waiting and returns their revision.
    ///
    /// # Errors
    ///
    /// [`OfferOutcome::Refused`] if they are malformed, [`OfferOutcome::Stale`] if
    /// their revision isn't higher than the one held.
    fn store_plans(&mut self, text: &str) -> Result<Revision, OfferOutcome> {
        let list = Plans::parse(text).map_err(|cause| OfferOutcome::Refused { cause })?;
        let highest = self.waiting_plans.as_ref().or(self.plans.as_ref());
        let revision = list.revision;
        check_higher(revision, highest.map(|held| held.list.revision))?;
        let text = Arc::from(text);
        self.waiting_plans = Some(ParsedList {
            list: Arc::new(list),
            text,
        });
        Ok(revision)
    }

    /// Stores the allowances in `text` as waiting and returns their revision.
    ///
    /// # Errors
    ///
    /// [`OfferOutcome::Refused`] if they are malformed, [`OfferOutcome::Stale`] if
    /// their revision isn't higher than the one held.
    fn store_allowances(&mut self, text: &str) -> Result<Revision, OfferOutcome> {
        let list = Allowances::parse(text).map_err(|cause| OfferOutcome::Refused { cause })?;
        let waiting = self.waiting_allowances.as_ref();
        let highest = waiting.or(self.allowances.as_ref());
        let revision = list.revision;
        check_higher(revision, highest.map(|held| held.list.revision))?;
        let text = Arc::from(text);
        self.waiting_allowances = Some(ParsedList {
            list: Arc::new(list),
            text,
        });
        Ok(revision)
    }

    /// Puts the highest consistent pair in force. Returns why a list still waits:
    /// it is inconsistent with the other list, or the other list is missing.
    fn apply_waiting(&mut self) -> Option<Error> {
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
            let complete = self.plans.is_some() && self.allowances.is_some();
            (!complete).then(|| Error::malformed("the other list is missing"))
        })
    }

    fn put_in_force(
        &mut self,
        plans: ParsedList<Plans>,
        allowances: ParsedList<Allowances>,
        catalog: Catalog,
    ) {
        let superseded = |waiting: Revision, current: Revision| waiting <= current;
        self.waiting_plans
            .take_if(|held| superseded(held.list.revision, plans.list.revision));
        self.waiting_allowances
            .take_if(|held| superseded(held.list.revision, allowances.list.revision));
        self.plans = Some(plans);
        self.allowances = Some(allowances);
        self.catalog = Some(Arc::new(catalog));
    }
}

/// Returns [`OfferOutcome::Stale`] unless `revision` is higher than `held`.
fn check_higher(revision: Revision, held: Option<Revision>) -> Result<(), OfferOutcome> {
    match held {
        Some(held) if held >= revision => Err(OfferOutcome::Stale { held }),
        _ => Ok(()),
    }
}
