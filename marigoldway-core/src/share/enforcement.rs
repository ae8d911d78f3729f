//! Whether an agent admits a customer's connection or request.

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

/// Time after which a customer's connection or bulk work is worth another try.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time without use after which a customer is forgotten.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// `Denial` says which allowance is used up and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Denial {
    /// The allowance.
    pub refusal: Refusal,
    /// Time after which another try makes sense, if any does.
    pub retry_after: Option<Duration>,
}

impl Denial {
    fn lasting(refusal: Refusal) -> Denial {
        Denial {
            refusal,
            retry_after: None,
        }
    }

    fn passing(refusal: Refusal, retry_after: Duration) -> Denial {
        Denial {
            refusal,
            retry_after: Some(retry_after),
        }
    }
}

/// What a [`Permit`] gives back at its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Use {
    Connection,
    Request,
    Bulk,
}

/// `Permit` stands for something admitted. It must be given back by
/// [`Enforcement::release`].
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Permit {
    customer: String,
    used: Use,
}

/// `Enforcement` keeps every customer within its allowance at one agent.
#[derive(Clone, Debug)]
pub struct Enforcement {
    options: ShareOptions,
    service: ServiceId,
    agents: u64,
    number: u64,
    catalog: Option<Arc<Catalog>>,
    borrowers: IndexMap<String, Borrower>,
}

impl Enforcement {
    /// Makes the enforcement of an agent of `service`. `number` is the number
    /// of its last report; an agent that restarts must begin above it.
    pub fn new(options: ShareOptions, service: ServiceId, number: u64) -> Enforcement {
        Enforcement {
            options,
            service,
            agents: 1,
            number,
            catalog: None,
            borrowers: IndexMap::new(),
        }
    }

    /// Takes lists that came into force. What is open stays open, also above a
    /// lowered allowance.
    pub fn set_catalog(&mut self, now: Timestamp, catalog: Arc<Catalog>) {
        self.catalog = Some(catalog);
        self.set_limits(now);
    }

    /// Takes the number of agents of the service, this one among them.
    pub fn set_agents(&mut self, now: Timestamp, agents: usize) {
        let agents = (agents as u64).max(1);
        if self.agents != agents {
            self.agents = agents;
            self.set_limits(now);
        }
    }

    /// Admits a request of the customer with this name.
    ///
    /// # Errors
    ///
    /// The allowance that is used up.
    pub fn admit(
        &mut self,
        now: Timestamp,
        customer: &str,
        class: Class,
    ) -> Result<Permit, Denial> {
        let borrower = self.borrower(now, customer)?;
        let used = match class {
            Class::Bulk if borrower.whole().bulk == 0 => {
                return Err(Denial::lasting(Refusal::NotInPlan));
            }
            Class::Bulk if !borrower.take_bulk(now) => {
                return Err(Denial::passing(Refusal::BulkLimit, RETRY_AFTER));
            }
            Class::Bulk => Use::Bulk,
            Class::Feed | Class::Short => Use::Request,
        };
        if let Err(wait) = borrower.take_request(now) {
            if used == Use::Bulk {
                borrower.give_bulk();
            }
            return Err(Denial::passing(Refusal::RequestRate, wait));
        }
        Ok(Permit {
            customer: customer.to_owned(),
            used,
        })
    }

    /// Admits a connection of the customer with this name.
    ///
    /// # Errors
    ///
    /// The allowance that is used up.
    pub fn connect(&mut self, now: Timestamp, customer: &str) -> Result<Permit, Denial> {
        if !self.borrower(now, customer)?.take_connection(now) {
            return Err(Denial::passing(Refusal::CustomerConnections, RETRY_AFTER));
        }
        Ok(Permit {
            customer: customer.to_owned(),
            used: Use::Connection,
        })
    }

    /// Ends what was admitted.
    pub fn release(&mut self, permit: Permit) {
        let Some(borrower) = self.borrowers.get_mut(&permit.customer) else {
            return;
        };
        match permit.used {
            Use::Connection => borrower.give_connection(),
            Use::Bulk => borrower.give_bulk(),
            Use::Request => (),
        }
    }

    /// The reports that are due. Each goes to the holder of its customer.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Report> {
        self.borrowers
            .retain(|_, borrower| !borrower.is_idle(now, IDLE_LIMIT));
        let mut reports = Vec::new();
        for (customer, borrower) in &mut self.borrowers {
            if let Some(report) = borrower.report(now, customer, self.number + 1) {
                self.number += 1;
                reports.push(report);
            }
        }
        reports
    }

    /// Takes a share from a holder.
    pub fn grant(&mut self, now: Timestamp, grant: &Grant) {
        if let Some(borrower) = self.borrowers.get_mut(&grant.customer) {
            borrower.grant(now, grant);
        }
    }

    /// What `customer` may use here now.
    pub fn usable(&self, now: Timestamp, customer: &str) -> Option<Amounts> {
        let borrower = self.borrowers.get(customer)?;
        Some(borrower.usable(now))
    }

    fn borrower(&mut self, now: Timestamp, customer: &str) -> Result<&mut Borrower, Denial> {
        let unknown = Denial::lasting(Refusal::UnknownCustomer);
        let catalog = self.catalog.as_ref().ok_or(unknown)?;
        let listed = catalog.plans().customers.get(customer).ok_or(unknown)?;
        let allowance = catalog.allowance(&listed.plan).ok_or(unknown)?;
        if !allowance.services.contains(&self.service) {
            return Err(Denial::lasting(Refusal::NotInPlan));
        }

        if !self.borrowers.contains_key(customer) {
            let limit = limit(allowance, self.agents, self.options.floor_percent);
            let borrower = Borrower::new(now, self.options, limit);
            self.borrowers.insert(customer.to_owned(), borrower);
        }
        self.borrowers.get_mut(customer).ok_or(unknown)
    }

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

/// The floors of all agents add up to the floor of the allowance: each service
/// of the plan has an equal part, which its agents divide evenly.
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
