//! Enforcement of customers' allowances across agents.
//!
//! An allowance limits the request rate, the connections and the bulk requests of
//! a customer across the whole fleet. Agents, the processes beside the targets,
//! admit requests. Entries, the processes that forward packets to agents, divide
//! the allowances between the agents.
//!
//! For each customer one entry, the lender, lends parts of the customer's
//! allowance, called shares, to the agents that report demand. A share is lent for
//! a limited time, its term. The agent counts the term from the time at which it
//! sent the report that the share answers, the lender from the time of its answer,
//! so that the share ends first at the agent.
//!
//! A fixed part of each allowance, the floor, is never lent. It is divided evenly
//! between the agents, so that each agent can admit requests without a lender.
//!
//! The sum of floors and shares in force never exceeds the allowance while there
//! is one lender. A lender whose process paused drops its record of lent shares.
//! It then does as a new lender does: for [`ShareOptions::handover`] it only renews
//! shares that agents still have. In a network partition each group of entries may
//! have a lender; the sum is then bounded by the allowance times the number of
//! groups.
//!
//! [`lender`] and [`loans`] run at entries, [`enforcement`] and [`borrower`] at
//! agents.

pub mod amounts;
pub mod borrower;
pub mod enforcement;
pub mod lender;
pub mod loans;
pub mod token_bucket;

use std::time::Duration;

use crate::share::amounts::Amounts;

/// Times and limits for lending shares. All processes must use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareOptions {
    /// Duration for which a share is lent.
    pub term: Duration,
    /// Duration for which a new lender, or one whose process paused, only renews
    /// shares that are in force.
    pub handover: Duration,
    /// Pause of a lender's process above which it drops its record of lent shares.
    /// It must be shorter than the time after which other processes consider an
    /// entry that sends nothing to be down.
    pub pause_limit: Duration,
    /// Interval between reports while the demand is steady.
    pub steady_interval: Duration,
    /// Minimum interval between reports, used while the demand changes.
    pub changing_interval: Duration,
    /// Part of an allowance that is never lent, in percent.
    pub floor_percent: u64,
    /// Maximum number of agents of a customer for which the lender divides the
    /// allowance anew on each report. With more agents it does so periodically.
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

/// Report of an agent's demand for one customer, sent to the lender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Name of the customer.
    pub customer: String,
    /// Number of the report. It increases with each report of an agent, also
    /// across restarts.
    pub number: u64,
    /// Amounts that the agent could use beyond its floor.
    pub requested: Amounts,
    /// Connections and bulk requests that are open beyond the floor; the rate is 0.
    pub open: Amounts,
    /// Share in force at the agent.
    pub share: Amounts,
    /// Number of the earlier report that `share` answers, 0 if there is none.
    /// Answers to reports before that one are no longer in force.
    pub applied: u64,
}

/// Answer to a report that lends a share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Name of the customer.
    pub customer: String,
    /// Number of the answered report.
    pub number: u64,
    /// Amounts that the agent may use beyond its floor.
    pub share: Amounts,
    /// Duration of the share, counted from the sending of the report.
    pub term: Duration,
}
