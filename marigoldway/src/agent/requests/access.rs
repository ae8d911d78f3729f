//! Who asks, and what the lists say of the request.

use std::sync::Arc;

use sha2::Digest as _;
use sha2::Sha256;
use tokio::sync::watch;

use marigoldway_core::admission::CustomerKey;
use marigoldway_core::ids::ServiceId;
use marigoldway_core::lists::catalog::Catalog;
use marigoldway_core::request::Class;
use marigoldway_core::request::Refusal;
use marigoldway_core::retry::Repeat;

use crate::agent::requests::flow::Flow;
use crate::agent::requests::head::Head;
use crate::shares::Admitted;
use crate::shares::Gatekeeper;

/// Length from which on a body makes its request a bulk one, in octets.
const BULK_LENGTH: u64 = 1 << 20;

/// `Grant` is what a request may do.
#[derive(Clone)]
pub(crate) struct Grant {
    /// Name of the customer.
    pub(crate) name: String,
    /// The customer in the queues.
    pub(crate) customer: CustomerKey,
    /// How the request is queued.
    pub(crate) class: Class,
    /// Whether it may run more than once.
    pub(crate) repeat: Repeat,
    /// What the request uses of its customer's allowance, until its end.
    pub(crate) permit: Option<Arc<Admitted>>,
}

/// `Access` looks requests up in the lists, and keeps customers within them.
pub(crate) struct Access {
    service: ServiceId,
    catalogs: watch::Receiver<Option<Arc<Catalog>>>,
    gatekeeper: Gatekeeper,
}

impl Access {
    /// Makes the access of one service.
    pub(crate) fn new(
        service: ServiceId,
        catalogs: watch::Receiver<Option<Arc<Catalog>>>,
        gatekeeper: Gatekeeper,
    ) -> Access {
        Access {
            service,
            catalogs,
            gatekeeper,
        }
    }

    /// What a request that came over `flow` may do. The flow counts as a
    /// connection of its customer from then on.
    pub(crate) async fn enter(&self, head: &Head, flow: &Flow) -> Result<Grant, Refusal> {
        let grant = self.check(head)?;
        flow.seat(&self.gatekeeper, &grant.name).await?;
        Ok(grant)
    }

    /// Takes a request out of its customer's allowance.
    pub(crate) async fn spend(&self, grant: &Grant) -> Result<Grant, Refusal> {
        let permit = self.gatekeeper.admit(&grant.name, grant.class).await;
        let permit = permit.map_err(|denial| denial.refusal)?;
        Ok(Grant {
            permit: Some(Arc::new(permit)),
            ..grant.clone()
        })
    }

    /// What a request may do. Nobody may ask for anything until the first lists
    /// are accepted.
    fn check(&self, head: &Head) -> Result<Grant, Refusal> {
        let catalog = self.catalogs.borrow().clone();
        let catalog = catalog.ok_or(Refusal::NoLists)?;
        self.look_up(&catalog, head)
    }

    fn look_up(&self, catalog: &Catalog, head: &Head) -> Result<Grant, Refusal> {
        let token = head.token.as_deref().unwrap_or_default();
        let customer = catalog.customer(token).ok_or(Refusal::UnknownCustomer)?;
        let allowance = catalog
            .allowance(&customer.plan)
            .filter(|allowance| allowance.services.contains(&self.service))
            .ok_or(Refusal::NotInPlan)?;

        let rule = catalog.rule(self.service, head.method.as_str(), head.route());
        let class = by_length(rule.class, head);
        if class == Class::Bulk && allowance.bulk == 0 {
            return Err(Refusal::NotInPlan);
        }
        Ok(Grant {
            name: customer.name.clone(),
            customer: customer_key(&customer.name),
            class,
            repeat: repeat(rule.repeatable),
            permit: None,
        })
    }
}

fn by_length(class: Class, head: &Head) -> Class {
    let long = head.length.is_some_and(|length| length >= BULK_LENGTH);
    match class {
        Class::Short if long => Class::Bulk,
        class => class,
    }
}

fn repeat(repeatable: bool) -> Repeat {
    if repeatable {
        return Repeat::Idempotent;
    }
    Repeat::Once
}

fn customer_key(name: &str) -> CustomerKey {
    let digest = Sha256::digest(name.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    CustomerKey(u64::from_le_bytes(first))
}
