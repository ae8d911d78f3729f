//! Lending of customers' allowances by one entry to agents.

use std::collections::VecDeque;
use std::hash::Hasher;
use std::mem;
use std::net::SocketAddrV4;
use std::sync::Arc;

use indexmap::IndexMap;
use siphasher::sip::SipHasher13;

use crate::ids::InstanceId;
use crate::lists::catalog::Catalog;
use crate::placement;
use crate::share::Grant;
use crate::share::Report;
use crate::share::ShareOptions;
use crate::share::amounts::Amounts;
use crate::share::loans::CustomerLoans;
use crate::time::Timestamp;

/// Selects the entry that lends the allowance of `customer` by rendezvous
/// hashing. Returns `None` if `entries` is empty.
pub fn lender_of(customer: &str, entries: &[InstanceId]) -> Option<InstanceId> {
    let mut hasher = SipHasher13::new();
    hasher.write(customer.as_bytes());
    let key = hasher.finish();
    let score = |id: &&InstanceId| (placement::mix(key ^ placement::mix(id.to_u64())), **id);
    entries.iter().min_by_key(score).copied()
}

/// Answers reports for the customers whose lender is this entry.
#[derive(Clone, Debug)]
pub struct Lender {
    options: ShareOptions,
    own: InstanceId,
    /// Live entries, including this one.
    entries: Vec<InstanceId>,
    /// Previous sets of entries, each with the time at which it was replaced.
    previous: VecDeque<(Timestamp, Vec<InstanceId>)>,
    /// Time at which this entry started or last dropped its loans after a pause.
    started_at: Timestamp,
    last_active: Timestamp,
    catalog: Option<Arc<Catalog>>,
    customers: IndexMap<String, CustomerLoans>,
}

impl Lender {
    /// Creates the lender of entry `own`, which starts at `now`.
    pub fn new(now: Timestamp, options: ShareOptions, own: InstanceId) -> Lender {
        Lender {
            options,
            own,
            entries: vec![own],
            previous: VecDeque::new(),
            started_at: now,
            last_active: now,
            catalog: None,
            customers: IndexMap::new(),
        }
    }

    /// Applies lists that came into force.
    pub fn set_catalog(&mut self, catalog: Arc<Catalog>) {
        self.catalog = Some(catalog);
    }

    /// Sets the live entries, including this one. This entry stops lending the
    /// allowances of customers that are now assigned to another entry.
    pub fn set_entries(&mut self, now: Timestamp, entries: &[InstanceId]) {
        self.check_pause(now);
        if self.entries == entries {
            return;
        }
        let handover = self.options.handover;
        self.previous
            .retain(|(until, _)| now.since(*until) < handover);
        let previous = mem::replace(&mut self.entries, entries.to_vec());
        self.previous.push_back((now, previous));
        let own = self.own;
        self.customers
            .retain(|customer, _| lender_of(customer, entries) == Some(own));
    }

    /// Answers a report of the agent whose control channel is at `from`.
    /// Returns `None` if no lists are in force, the customer is unknown, its lender
    /// is another entry, or the report is not newer than the agent's last one.
    pub fn report(&mut self, now: Timestamp, from: SocketAddrV4, report: &Report) -> Option<Grant> {
        self.check_pause(now);
        if lender_of(&report.customer, &self.entries) != Some(self.own) {
            return None;
        }
        let catalog = self.catalog.as_ref()?;
        let customer = catalog.plans().customers.get(&report.customer)?;
        let allowance = Amounts::from(catalog.allowance(&customer.plan)?);

        if !self.customers.contains_key(&report.customer) {
            let loans = CustomerLoans::new(self.options, self.lends_from(&report.customer));
            self.customers.insert(report.customer.clone(), loans);
        }
        let loans = self.customers.get_mut(&report.customer)?;
        loans.report(now, from, report, allowance)
    }

    /// Expires shares and removes customers without state of any agent. It must be called at intervals
    /// shorter than [`ShareOptions::pause_limit`].
    pub fn tick(&mut self, now: Timestamp) {
        self.check_pause(now);
        self.customers.retain(|_, loans| {
            loans.expire(now);
            !loans.is_idle()
        });
    }

    /// Number of customers with state at this lender.
    pub fn len(&self) -> usize {
        self.customers.len()
    }

    /// Returns whether no customer has state at this lender.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }

    /// Time after which no share of `customer` that another entry lent, or this one
    /// before a pause, can still be in force.
    fn lends_from(&self, customer: &str) -> Timestamp {
        let other = self
            .previous
            .iter()
            .rev()
            .find(|(_, entries)| lender_of(customer, entries) != Some(self.own));
        let since = other.map_or(self.started_at, |(until, _)| self.started_at.max(*until));
        since + self.options.handover
    }

    /// Drops all loans after a pause of this process, since another entry may
    /// have lent the allowances meanwhile.
    fn check_pause(&mut self, now: Timestamp) {
        if now.since(self.last_active) > self.options.pause_limit {
            self.customers.clear();
            self.started_at = now;
        }
        self.last_active = now;
    }
}
