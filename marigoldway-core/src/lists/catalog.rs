//! Both lists as one checked snapshot.

use indexmap::IndexMap;

use crate::errors::Error;
use crate::errors::Result;
use crate::ids::ServiceId;
use crate::lists::allowances::Allowance;
use crate::lists::allowances::Allowances;
use crate::lists::allowances::RouteRule;
use crate::lists::plans::Customer;
use crate::lists::plans::Plans;
use crate::lists::plans::TokenDigest;

/// `Catalog` answers what a request's token and path stand for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Catalog {
    plans: Plans,
    allowances: Allowances,
    tokens: IndexMap<TokenDigest, usize>,
}

impl Catalog {
    /// Joins two lists.
    ///
    /// # Errors
    ///
    /// [`Error::Line`] with the line of the first customer whose plan is not in
    /// `allowances`.
    pub fn new(plans: Plans, allowances: Allowances) -> Result<Catalog> {
        let mut tokens = IndexMap::new();
        for (index, customer) in plans.customers.values().enumerate() {
            if !allowances.plans.contains_key(&customer.plan) {
                let reason = format!("unknown plan {:?}", customer.plan);
                return Err(Error::line(customer.line, reason));
            }
            tokens.extend(customer.tokens.iter().map(|token| (*token, index)));
        }
        Ok(Catalog {
            plans,
            allowances,
            tokens,
        })
    }

    /// Reads and joins two lists.
    ///
    /// # Errors
    ///
    /// [`Error::Line`] as of [`Plans::parse`], [`Allowances::parse`] and
    /// [`Catalog::new`].
    pub fn parse(plans: &str, allowances: &str) -> Result<Catalog> {
        Catalog::new(Plans::parse(plans)?, Allowances::parse(allowances)?)
    }

    /// The customer that `token` belongs to.
    pub fn customer(&self, token: &str) -> Option<&Customer> {
        let index = self.tokens.get(&TokenDigest::of(token))?;
        let (_, customer) = self.plans.customers.get_index(*index)?;
        Some(customer)
    }

    /// The rule for a request, or the default rule (short, not repeatable) if
    /// no route applies.
    pub fn rule(&self, service: ServiceId, method: &str, path: &str) -> RouteRule {
        self.allowances
            .routes
            .iter()
            .filter(|route| route.service == service)
            .filter(|route| route.method == "*" || route.method == method)
            .find(|route| path.starts_with(&route.prefix))
            .map(|route| route.rule)
            .unwrap_or_default()
    }

    /// What `plan` may use.
    pub fn allowance(&self, plan: &str) -> Option<&Allowance> {
        self.allowances.plans.get(plan)
    }

    /// The list of plans.
    pub fn plans(&self) -> &Plans {
        &self.plans
    }

    /// The list of allowances.
    pub fn allowances(&self) -> &Allowances {
        &self.allowances
    }
}
