//! Allowances kept across agents.
//!
//! For each customer one entry, the holder, lends parts of the customer's
//! allowance to the agents that report demand. A share has a term, counted by
//! the agent from the moment it sent the report that the share answers, and by
//! the holder from the moment it answered, so an agent's share ends first.
//!
//! A fixed part of each allowance, the floor, is never lent: it belongs to the
//! agents in equal parts, so that each can admit something with no holder. The
//! sum of floors and shares in force never exceeds the allowance while one
//! holder lends. A holder that slept forgets what it lent and waits one term;
//! so does a new holder, which until then only renews what agents still have.
//! Entries that can't hear each other may each have a holder: the sum is then
//! bounded by the allowance times the number of such groups.
//!
//! [`lender`] runs at entries, [`enforcement`] at agents.

pub mod amounts;
pub mod borrower;
pub mod enforcement;
pub mod lender;
pub mod loans;
pub mod token_bucket;

use std::time::Duration;

use crate::share::amounts::Amounts;

/// `ShareOptions` holds the times and parts by which shares are lent. All
/// processes must use the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareOptions {
    /// Time for which a share is lent.
    pub term: Duration,
    /// Time for which a new holder only renews shares that are in force.
    pub handover: Duration,
    /// Pause of a holder after which it forgets what it lent. It must be
    /// shorter than the time in which others take a silent entry for down.
    pub pause_limit: Duration,
    /// Time between two reports of a steady demand.
    pub steady_interval: Duration,
    /// Time between two reports of a demand that changes.
    pub changing_interval: Duration,
    /// Part of an allowance that is never lent, in percent.
    pub floor_percent: u64,
    /// Agents of a customer up to which its holder divides the allowance anew
    /// for each report, and not only now and then.
    pub immediate_limit: usize,
}

impl Default for ShareOptions {
    fn default() -> ShareOptions {
        ShareOptions {
            term: Duration::from_secs(2),
            handover: Duration::from_secs(4),
            pause_limit: Duration::from_secs(1),
            steady_interval: Duration::from_secs(1),
            changing_interval: Duration::from_millis(200),
            floor_percent: 5,
            immediate_limit: 64,
        }
    }
}

/// `Report` tells the holder what an agent needs for one customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Name of the customer.
    pub customer: String,
    /// Number of the report. It rises from report to report of an agent, over
    /// restarts too.
    pub number: u64,
    /// What the agent could use beyond its floor.
    pub requested: Amounts,
    /// Connections and bulk work that are open beyond the floor.
    pub open: Amounts,
    /// The share that is in force.
    pub share: Amounts,
    /// Number of the report that this share answers; earlier grants are void.
    pub applied: u64,
}

/// `Grant` lends a share. It answers one report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Name of the customer.
    pub customer: String,
    /// Number of the report.
    pub number: u64,
    /// What the agent may use beyond its floor.
    pub share: Amounts,
    /// Time from the sending of the report for which the share is lent.
    pub term: Duration,
}
