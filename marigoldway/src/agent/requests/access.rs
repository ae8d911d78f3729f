//! Who asks, and what the lists say of the request.

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
use crate::shares::Admitted;
use crate::shares::Gatekeeper;
use crate::shares::Seats;

/// Length from which on a body makes its request a bulk one, in octets.
const MIN_BULK_LENGTH: u64 = 1 << 20;

/// `Grant` is what a request may do.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    /// Name of the customer.
    pub(crate) name: String,
    /// The customer in the queues.
    pub(crate) customer: CustomerKey,
    /// How the request is queued.
    pub(crate) class: Class,
    /// Whether it may run more than once.
    pub(crate) repeat: Repeat,
}

/// `AccessControl` looks requests up in the lists.
pub(crate) struct AccessControl {
    service: ServiceId,
    catalogs: Catalogs,
    limiter: Gatekeeper,
}

impl AccessControl {
    /// Makes the access of one service.
    pub(crate) fn new(
        service: ServiceId,
        catalogs: Catalogs,
        limiter: Gatekeeper,
    ) -> AccessControl {
        AccessControl {
            service,
            catalogs,
            limiter,
        }
    }

    /// What a request may do. Nobody may ask for anything until the first lists
    /// are accepted.
    pub(crate) fn check(&self, head: &RequestHead) -> Result<Grant, Refusal> {
        let catalog = self.catalogs.borrow().clone();
        let catalog = catalog.ok_or(Refusal::NoLists)?;
        self.authorize(&catalog, head)
    }

    /// Counts a flow as a connection of the customer. A request with a key
    /// isn't refused for it, since it may have run before.
    pub(crate) async fn acquire_connection(
        &self,
        permits: &Seats,
        grant: &Grant,
    ) -> Result<(), Refusal> {
        permits.take(&self.limiter, &grant.name).await
    }

    /// Admits a request within the customer's allowance.
    pub(crate) async fn admit(&self, grant: &Grant) -> Result<Admitted, Refusal> {
        let admitted = self.limiter.admit(&grant.name, grant.class).await;
        admitted.map_err(|denial| denial.refusal)
    }

    fn authorize(&self, catalog: &Catalog, head: &RequestHead) -> Result<Grant, Refusal> {
        let token = head.token.as_deref().unwrap_or_default();
        let customer = catalog.customer(token).ok_or(Refusal::UnknownCustomer)?;
        let allowance = catalog
            .allowance(&customer.plan)
            .filter(|allowance| allowance.services.contains(&self.service))
            .ok_or(Refusal::NotInPlan)?;

        let rule = catalog.rule(self.service, head.method.as_str(), head.route());
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

fn customer_key(name: &str) -> CustomerKey {
    let digest = Sha256::digest(name.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    CustomerKey(u64::from_le_bytes(first))
}
