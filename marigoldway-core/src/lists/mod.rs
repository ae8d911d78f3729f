//! The two lists that operators edit: plans and allowances.
//!
//! [`plans`] says which customer has which plan, [`allowances`] what each plan
//! may use. Both are text, one item a line, described in [`document`], and are
//! checked as a whole: a [`catalog::Catalog`] exists only for a pair of lists
//! that agree. [`change`] makes a change, [`revisions`] decides what is in
//! force, [`propagation`] and [`watchers`] bring it to every process.

pub mod allowances;
pub mod catalog;
pub mod change;
pub mod document;
pub mod patch;
pub mod plans;
pub mod propagation;
pub mod revisions;
pub mod watchers;

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::errors::Error;

/// `ListKind` names one of the two lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ListKind {
    /// Which customer has which plan.
    Plans,
    /// What each plan may use.
    Allowances,
}

impl ListKind {
    /// Both lists.
    pub const ALL: [ListKind; 2] = [ListKind::Plans, ListKind::Allowances];

    /// The name as it stands in a list's first line.
    pub fn as_str(self) -> &'static str {
        match self {
            ListKind::Plans => "plans",
            ListKind::Allowances => "allowances",
        }
    }

    /// The other list.
    pub fn other(self) -> ListKind {
        match self {
            ListKind::Plans => ListKind::Allowances,
            ListKind::Allowances => ListKind::Plans,
        }
    }
}

impl fmt::Display for ListKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for ListKind {
    type Err = Error;

    fn from_str(text: &str) -> Result<ListKind, Error> {
        ListKind::ALL
            .into_iter()
            .find(|kind| kind.as_str() == text)
            .ok_or_else(|| Error::malformed(format!("list {text:?}, expected plans or allowances")))
    }
}
