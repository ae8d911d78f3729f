//! Wire format of the messages that lend shares of the allowances.
//!
//! An allowance limits what a customer may use across the whole fleet. An agent, a process
//! beside one target, reports its demand for a customer to the customer's lender. The lender
//! is an entry, a process that forwards packets. It answers with a share: a part of the
//! allowance that it lends to the agent for a limited time, the term.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use marigoldway_core::lists::document::MAX_NAME_LEN;
use marigoldway_core::share::Grant;
use marigoldway_core::share::Report;
use marigoldway_core::share::amounts::Amounts;

use crate::errors::Error;
use crate::errors::Result;

/// Maximum term of a share, in milliseconds. A longer received term is reduced to it.
const MAX_TERM_MS: u64 = 60_000;

/// `SharesWire` is the wire form of a [`SharesMessage`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SharesWire {
    /// Report of an agent on its demand for one customer.
    #[serde(rename = "r")]
    Report(Box<ReportWire>),
    /// Answer of a lender that lends a share. Fields: customer, number of the answered report,
    /// share, term in milliseconds.
    #[serde(rename = "g")]
    Grant(String, u64, AmountsWire, u64),
}

/// `ReportWire` is the wire form of a [`Report`]. Fields: customer, number of the report,
/// requested amounts, open amounts, share in force, number of the report that this share
/// answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportWire(String, u64, AmountsWire, AmountsWire, AmountsWire, u64);

/// `AmountsWire` is the wire form of [`Amounts`]. Fields: rate in thousandths of a request per
/// second, number of connections, number of bulk requests.
type AmountsWire = (u64, u64, u64);

/// `SharesMessage` is a validated message about shares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SharesMessage {
    /// From an agent to a lender.
    Report(Report),
    /// From a lender to an agent.
    Grant(Grant),
}

impl From<&Report> for SharesWire {
    fn from(report: &Report) -> SharesWire {
        SharesWire::Report(Box::new(ReportWire(
            report.customer.clone(),
            report.number,
            to_wire(report.requested),
            to_wire(report.open),
            to_wire(report.share),
            report.applied,
        )))
    }
}

impl From<&Grant> for SharesWire {
    fn from(grant: &Grant) -> SharesWire {
        let term = u64::try_from(grant.term.as_millis()).unwrap_or(u64::MAX);
        let share = to_wire(grant.share);
        SharesWire::Grant(grant.customer.clone(), grant.number, share, term)
    }
}

impl TryFrom<SharesWire> for SharesMessage {
    type Error = Error;

    fn try_from(wire: SharesWire) -> Result<SharesMessage> {
        Ok(match wire {
            SharesWire::Report(report) => {
                let ReportWire(customer, number, requested, open, share, applied) = *report;
                SharesMessage::Report(Report {
                    customer: check_name(customer)?,
                    number,
                    requested: from_wire(requested),
                    open: from_wire(open),
                    share: from_wire(share),
                    applied,
                })
            }
            SharesWire::Grant(customer, number, share, term) => SharesMessage::Grant(Grant {
                customer: check_name(customer)?,
                number,
                share: from_wire(share),
                term: Duration::from_millis(term.min(MAX_TERM_MS)),
            }),
        })
    }
}

/// Returns the name of a customer, or an error if it is longer than [`MAX_NAME_LEN`] octets.
fn check_name(customer: String) -> Result<String> {
    if customer.len() > MAX_NAME_LEN {
        return Err(Error::malformed("customer name is too long"));
    }
    Ok(customer)
}

fn to_wire(amounts: Amounts) -> AmountsWire {
    (amounts.rate, amounts.connections, amounts.bulk)
}

fn from_wire((rate, connections, bulk): AmountsWire) -> Amounts {
    Amounts {
        rate,
        connections,
        bulk,
    }
}
