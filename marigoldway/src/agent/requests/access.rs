//! Authenticates and authorizes requests by the lists, which hold the customers, their
//! plans and the rules of the services.

use sha2::Digest as _;
use sha2::Sha256;

use marigoldway_core::admission::CustomerKey;
use marigoldway_core::ids::ServiceId;
use marigoldway_core::lists::catalog::Catalog;
use marigoldway_core::request::Class;
use marigoldway_core::request::Refusal;
use marigoldway_core::retry::Repeat;

use crate::agent::requests::head::RequestHead;
use crate::lists::Catalogs;
use crate::shares::ConnectionPermits;
use crate::shares::CustomerLimiter;
use crate::shares::PermitGuard;

/// Minimum declared body length that makes a short request a bulk request, in octets.
const MIN_BULK_LENGTH: u64 = 1 << 20;

/// `Grant` holds the customer of an authorized request and how the request may run.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    /// Name of the customer.
    pub(crate) name: String,
    /// Key of the customer in the admission queues.
    pub(crate) customer: CustomerKey,
    /// Class in which the request is queued.
    pub(crate) class: Class,
    /// Whether the request may run more than once.
    pub(crate) repeat: Repeat,
}

/// `AccessControl` checks requests against the lists and against the customers'
/// allowances, the limits of their plans.
pub(crate) struct AccessControl {
    service: ServiceId,
    catalogs: Catalogs,
    limiter: CustomerLimiter,
}

impl AccessControl {
    /// Creates the access control of one service.
    pub(crate) fn new(
        service: ServiceId,
        catalogs: Catalogs,
        limiter: CustomerLimiter,
    ) -> AccessControl {
        AccessControl {
            service,
            catalogs,
            limiter,
        }
    }

    /// Authorizes a request. Fails with [`Refusal::UnknownCustomer`] if the token belongs
    /// to no customer, and with [`Refusal::NotInPlan`] if the customer's plan lacks the
    /// service or bulk requests. Until the first lists are accepted, every request
    /// fails with [`Refusal::NoLists`].
    pub(crate) fn check(&self, head: &RequestHead) -> Result<Grant, Refusal> {
        let catalog = self.catalogs.borrow().clone();
        let catalog = catalog.ok_or(Refusal::NoLists)?;
        self.authorize(&catalog, head)
    }

    /// Counts a flow as a connection of the customer, unless it is already counted.
    /// Fails if the customer has too many connections. Not called for requests with an
    /// idempotency key: they may have run before, so they aren't refused for the
    /// connection limit.
    pub(crate) async fn acquire_connection(
        &self,
        permits: &ConnectionPermits,
        grant: &Grant,
    ) -> Result<(), Refusal> {
        permits.acquire(&self.limiter, &grant.name).await
    }

    /// Admits a request within the customer's allowance, or returns the reason of its
    /// refusal. The request counts towards the allowance until the guard is dropped.
    pub(crate) async fn admit(&self, grant: &Grant) -> Result<PermitGuard, Refusal> {
        let permit = self.limiter.admit(&grant.name, grant.class).await;
        permit.map_err(|denial| denial.refusal)
    }

    fn authorize(&self, catalog: &Catalog, head: &RequestHead) -> Result<Grant, Refusal> {
        let token = head.token.as_deref().unwrap_or_default();
        let customer = catalog.customer(token).ok_or(Refusal::UnknownCustomer)?;
        let allowance = catalog
            .allowance(&customer.plan)
            .filter(|allowance| allowance.services.contains(&self.service))
            .ok_or(Refusal::NotInPlan)?;

        let rule = catalog.rule(
            self.service,
            head.method.as_str(),
            head.path_without_query(),
        );
        let class = class_by_length(rule.class, head);
        if class == Class::Bulk && allowance.bulk == 0 {
            return Err(Refusal::NotInPlan);
        }
        Ok(Grant {
            name: customer.name.clone(),
            customer: customer_key(&customer.name),
            class,
            repeat: repeat(rule.repeatable),
        })
    }
}

fn class_by_length(class: Class, head: &RequestHead) -> Class {
    let is_long = head.length.is_some_and(|length| length >= MIN_BULK_LENGTH);
    match class {
        Class::Short if is_long => Class::Bulk,
        class => class,
    }
}

fn repeat(repeatable: bool) -> Repeat {
    if repeatable {
        return Repeat::Idempotent;
    }
    Repeat::AtMostOnce
}

/// Returns the first 64 bits of the SHA-256 digest of a customer's name.
fn customer_key(name: &str) -> CustomerKey {
    let digest = Sha256::digest(name.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    CustomerKey(u64::from_le_bytes(first))
}
