//! Enforcement of customers' allowances at an agent.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::ServiceId;
use crate::lists::allowances::Allowance;
use crate::lists::catalog::Catalog;
use crate::request::Class;
use crate::request::Refusal;
use crate::share::Grant;
use crate::share::Report;
use crate::share::ShareOptions;
use crate::share::amounts::Amounts;
use crate::share::amounts::MILLI;
use crate::share::borrower::Borrower;
use crate::share::borrower::Limit;
use crate::time::Timestamp;

/// Retry delay for a refused connection or bulk request of a customer.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Idle time after which the state of a customer is removed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Refusal of a connection or request beyond a customer's allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denial {
    /// Reason of the refusal: the limit of the allowance that is reached, or that
    /// the customer has no allowance for the service or class.
    pub refusal: Refusal,
    /// Delay after which a retry may succeed; `None` if a retry is useless.
    pub retry_after: Option<Duration>,
}

impl Denial {
    fn permanent(refusal: Refusal) -> Denial {
        Denial {
            refusal,
            retry_after: None,
        }
    }

    fn temporary(refusal: Refusal, retry_after: Duration) -> Denial {
        Denial {
            refusal,
            retry_after: Some(retry_after),
        }
    }
}

/// What a [`Permit`] admits. A request that isn't bulk returns nothing when it is
/// released, since it holds no more than a token of the request rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Resource {
    Connection,
    Request,
    Bulk,
}

/// Proof of an admitted connection or request. It must be passed to
/// [`Enforcement::release`] when the connection or request ends.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Permit {
    customer: String,
    resource: Resource,
}

/// Enforces the allowances of all customers at one agent.
#[derive(Clone, Debug)]
pub struct Enforcement {
    options: ShareOptions,
    service: ServiceId,
    /// Number of agents of the service, including this one.
    agents: u64,
    /// Number of the agent's last report.
    last_report: u64,
    catalog: Option<Arc<Catalog>>,
    borrowers: IndexMap<String, Borrower>,
}

impl Enforcement {
    /// Creates the enforcement of an agent of `service`. `last_report` is the
    /// number of the agent's last report; a restarted agent must begin above it.
    pub fn new(options: ShareOptions, service: ServiceId, last_report: u64) -> Enforcement {
        Enforcement {
            options,
            service,
            agents: 1,
            last_report,
            catalog: None,
            borrowers: IndexMap::new(),
        }
    }

    /// Applies lists that came into force. Open connections and requests stay
    /// open even if they exceed a lowered allowance.
    pub fn set_catalog(&mut self, now: Timestamp, catalog: Arc<Catalog>) {
        self.catalog = Some(catalog);
        self.set_limits(now);
    }

    /// Sets the number of agents of the service, including this one.
    pub fn set_agents(&mut self, now: Timestamp, agents: usize) {
        let agents = (agents as u64).max(1);
        if self.agents != agents {
            self.agents = agents;
            self.set_limits(now);
        }
    }

    /// Admits a request of `customer`.
    ///
    /// # Errors
    ///
    /// The refusal, if the allowance is used up, the customer is unknown, its plan
    /// lacks the service or class, or no lists are in force.
    pub fn admit(
        &mut self,
        now: Timestamp,
        customer: &str,
        class: Class,
    ) -> Result<Permit, Denial> {
        let borrower = self.borrower(now, customer)?;
        let resource = match class {
            Class::Bulk if borrower.whole().bulk == 0 => {
                return Err(Denial::permanent(Refusal::NotInPlan));
            }
            Class::Bulk if !borrower.take_bulk(now) => {
                return Err(Denial::temporary(Refusal::BulkLimit, RETRY_AFTER));
            }
            Class::Bulk => Resource::Bulk,
            Class::Feed | Class::Short => Resource::Request,
        };
        if let Err(wait) = borrower.take_request(now) {
            if resource == Resource::Bulk {
                borrower.release_bulk();
            }
            return Err(Denial::temporary(Refusal::RequestRate, wait));
        }
        Ok(Permit {
            customer: customer.to_owned(),
            resource,
        })
    }

    /// Admits a connection of `customer`.
    ///
    /// # Errors
    ///
    /// The refusal, if the allowance is used up, the customer is unknown, its plan
    /// lacks the service, or no lists are in force.
    pub fn connect(&mut self, now: Timestamp, customer: &str) -> Result<Permit, Denial> {
        if !self.borrower(now, customer)?.take_connection(now) {
            return Err(Denial::temporary(Refusal::CustomerConnections, RETRY_AFTER));
        }
        Ok(Permit {
            customer: customer.to_owned(),
            resource: Resource::Connection,
        })
    }

    /// Releases an admitted connection or request.
    pub fn release(&mut self, permit: Permit) {
        let Some(borrower) = self.borrowers.get_mut(&permit.customer) else {
            return;
        };
        match permit.resource {
            Resource::Connection => borrower.release_connection(),
            Resource::Bulk => borrower.release_bulk(),
            Resource::Request => (),
        }
    }

    /// Removes idle customers and returns the reports that are due. The caller
    /// sends each to the lender of its customer.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Report> {
        self.borrowers
            .retain(|_, borrower| !borrower.is_idle(now, IDLE_TIMEOUT));
        let mut reports = Vec::new();
        for (customer, borrower) in &mut self.borrowers {
            if let Some(report) = borrower.report(now, customer, self.last_report + 1) {
                self.last_report += 1;
                reports.push(report);
            }
        }
        reports
    }

    /// Applies a share granted by a lender. Has no effect if the customer has no
    /// state here.
    pub fn grant(&mut self, now: Timestamp, grant: &Grant) {
        if let Some(borrower) = self.borrowers.get_mut(&grant.customer) {
            borrower.grant(now, grant);
        }
    }

    /// Amounts that `customer` may use at this agent now; `None` if it has no
    /// state here.
    pub fn usable(&self, now: Timestamp, customer: &str) -> Option<Amounts> {
        let borrower = self.borrowers.get(customer)?;
        Some(borrower.usable(now))
    }

    /// State of `customer`, created if it doesn't exist. Fails if the lists contain
    /// no allowance of the customer for the service.
    fn borrower(&mut self, now: Timestamp, customer: &str) -> Result<&mut Borrower, Denial> {
        let unknown = Denial::permanent(Refusal::UnknownCustomer);
        let catalog = self.catalog.as_ref().ok_or(unknown)?;
        let customer_plan = catalog.plans().customers.get(customer).ok_or(unknown)?;
        let allowance = catalog.allowance(&customer_plan.plan).ok_or(unknown)?;
        if !allowance.services.contains(&self.service) {
            return Err(Denial::permanent(Refusal::NotInPlan));
        }

        if !self.borrowers.contains_key(customer) {
            let limit = limit(allowance, self.agents, self.options.floor_percent);
            let borrower = Borrower::new(now, self.options, limit);
            self.borrowers.insert(customer.to_owned(), borrower);
        }
        self.borrowers.get_mut(customer).ok_or(unknown)
    }

    /// Sets the limits of all customers with state here to those of the lists in
    /// force. Customers that are no longer in the lists get a limit of zero.
    fn set_limits(&mut self, now: Timestamp) {
        let Some(catalog) = &self.catalog else {
            return;
        };
        for (name, borrower) in &mut self.borrowers {
            let customer = catalog.plans().customers.get(name);
            let allowance = customer.and_then(|customer| catalog.allowance(&customer.plan));
            let limit = allowance
                .map(|allowance| limit(allowance, self.agents, self.options.floor_percent))
                .unwrap_or_default();
            borrower.set_limit(now, limit);
        }
    }
}

/// Limit of a customer at one agent of a service that has `agents` agents; `percent`
/// is [`ShareOptions::floor_percent`]. The floors of all agents add up to no more
/// than the floor of the allowance: each service of the plan has an equal part of
/// it, and divides this part evenly between its agents.
fn limit(allowance: &Allowance, agents: u64, percent: u64) -> Limit {
    let whole = Amounts::from(allowance);
    let parts = agents * allowance.services.len() as u64;
    Limit {
        whole,
        burst: u64::from(allowance.burst) * MILLI,
        floor: whole.floor(percent).part(1, parts),
        parts,
    }
}
