//! The two lists that operators edit: plans and allowances.
//!
//! [`plans`] assigns a plan to each customer, and [`allowances`] sets the limits
//! of each plan. Both are text with one item per line, in the format that
//! [`document`] describes. They are validated together: a [`catalog::Catalog`]
//! exists only for a consistent pair of lists.
//!
//! The lists are stored at the platform, a key-value store. [`change`] writes a
//! change there, and [`watchers`] selects the entries (the processes that forward
//! packets) that read it. [`propagation`] distributes the change to all processes,
//! as a [`patch`] if possible, and [`revisions`] decides which revisions a process
//! puts in force. [`rollback`] detects that the platform was restored from a backup.

pub mod allowances;
pub mod catalog;
pub mod change;
pub mod document;
pub mod patch;
pub mod plans;
pub mod propagation;
pub mod revisions;
pub mod rollback;
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
    /// The plan and the token digests of each customer.
    Plans,
    /// Services, routes and the limits of each plan.
    Allowances,
}

impl ListKind {
    /// Both kinds.
    pub const ALL: [ListKind; 2] = [ListKind::Plans, ListKind::Allowances];

    /// Returns the name that the first header line of the list states.
    pub fn as_str(self) -> &'static str {
        match self {
            ListKind::Plans => "plans",
            ListKind::Allowances => "allowances",
        }
    }

    /// Returns the kind of the list that this one is validated against.
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
