//! A consistent snapshot of both lists, used to authorize requests.

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

/// `Catalog` looks up the customer of a token, the limits of a plan and the rule
/// of a request. The allowances list contains the plan of every customer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Catalog {
    plans: Plans,
    allowances: Allowances,
    /// Index into `plans.customers` by token digest.
    tokens: IndexMap<TokenDigest, usize>,
}

impl Catalog {
    /// Combines two parsed lists.
    ///
    /// # Errors
    ///
    /// [`Error::Line`] with the line of the first customer in `plans` whose plan
    /// is not in `allowances`.
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

    /// Parses and combines the texts of two lists.
    ///
    /// # Errors
    ///
    /// The errors of [`Plans::parse`], [`Allowances::parse`] and
    /// [`Catalog::new`], in this order.
    pub fn parse(plans: &str, allowances: &str) -> Result<Catalog> {
        Catalog::new(Plans::parse(plans)?, Allowances::parse(allowances)?)
    }

    /// Returns the customer that owns `token`, or `None` if no digest matches.
    pub fn customer(&self, token: &str) -> Option<&Customer> {
        let index = self.tokens.get(&TokenDigest::of(token))?;
        let (_, customer) = self.plans.customers.get_index(*index)?;
        Some(customer)
    }

    /// Returns the rule of the matching route with the longest prefix, or the
    /// default rule (short, not repeatable) if no route matches.
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

    /// Returns the limits of `plan`, or `None` if the plan is unknown.
    pub fn allowance(&self, plan: &str) -> Option<&Allowance> {
        self.allowances.plans.get(plan)
    }

    /// The plans list that the catalog was made from.
    pub fn plans(&self) -> &Plans {
        &self.plans
    }

    /// The allowances list that the catalog was made from.
    pub fn allowances(&self) -> &Allowances {
        &self.allowances
    }
}
