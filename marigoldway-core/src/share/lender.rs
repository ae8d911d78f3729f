//! The holders of one entry.

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

/// The entry that lends the allowance of `customer`, by rendezvous hashing.
pub fn lender_of(customer: &str, entries: &[InstanceId]) -> Option<InstanceId> {
    let mut hasher = SipHasher13::new();
    hasher.write(customer.as_bytes());
    let key = hasher.finish();
    let score = |id: &&InstanceId| (placement::mix(key ^ placement::mix(id.to_u64())), **id);
    entries.iter().min_by_key(score).copied()
}

/// `Lender` answers reports about every customer whose holder this entry is.
#[derive(Clone, Debug)]
pub struct Lender {
    options: ShareOptions,
    own: InstanceId,
    entries: Vec<InstanceId>,
    /// Former sets of entries, each with the time until which it was current.
    former: VecDeque<(Timestamp, Vec<InstanceId>)>,
    /// The time at which this entry started, or last stood down.
    started: Timestamp,
    awake: Timestamp,
    catalog: Option<Arc<Catalog>>,
    holders: IndexMap<String, CustomerLoans>,
}

impl Lender {
    /// Makes the lender of entry `own`, which starts now.
    pub fn new(now: Timestamp, options: ShareOptions, own: InstanceId) -> Lender {
        Lender {
            options,
            own,
            entries: vec![own],
            former: VecDeque::new(),
            started: now,
            awake: now,
            catalog: None,
            holders: IndexMap::new(),
        }
    }

    /// Takes lists that came into force.
    pub fn set_catalog(&mut self, catalog: Arc<Catalog>) {
        self.catalog = Some(catalog);
    }

    /// Takes the live entries, this one among them. It stops to be the holder
    /// of every customer that falls to another one.
    pub fn set_entries(&mut self, now: Timestamp, entries: &[InstanceId]) {
        self.wake(now);
        if self.entries == entries {
            return;
        }
        let handover = self.options.handover;
        self.former
            .retain(|(until, _)| now.since(*until) < handover);
        let former = mem::replace(&mut self.entries, entries.to_vec());
        self.former.push_back((now, former));
        let own = self.own;
        self.holders
            .retain(|customer, _| lender_of(customer, entries) == Some(own));
    }

    /// Answers a report of the agent whose control channel is at `from`.
    /// Reports for other holders and of unknown customers are not answered.
    pub fn report(&mut self, now: Timestamp, from: SocketAddrV4, report: &Report) -> Option<Grant> {
        self.wake(now);
        if lender_of(&report.customer, &self.entries) != Some(self.own) {
            return None;
        }
        let catalog = self.catalog.as_ref()?;
        let customer = catalog.plans().customers.get(&report.customer)?;
        let allowance = Amounts::from(catalog.allowance(&customer.plan)?);

        if !self.holders.contains_key(&report.customer) {
            let holder = CustomerLoans::new(self.options, self.lends_from(&report.customer));
            self.holders.insert(report.customer.clone(), holder);
        }
        let holder = self.holders.get_mut(&report.customer)?;
        holder.report(now, from, report, allowance)
    }

    /// Does what time brings. It must be called more often than
    /// [`ShareOptions::pause_limit`].
    pub fn tick(&mut self, now: Timestamp) {
        self.wake(now);
        self.holders.retain(|_, holder| {
            holder.expire(now);
            !holder.is_idle()
        });
    }

    /// Customers of which something is lent.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Tells whether nothing is lent.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// When no other holder of `customer` can have lent what is still in force.
    fn lends_from(&self, customer: &str) -> Timestamp {
        let other = self
            .former
            .iter()
            .rev()
            .find(|(_, entries)| lender_of(customer, entries) != Some(self.own));
        let since = other.map_or(self.started, |(until, _)| self.started.max(*until));
        since + self.options.handover
    }

    /// Stands down after a sleep: another entry may have lent meanwhile.
    fn wake(&mut self, now: Timestamp) {
        if now.since(self.awake) > self.options.pause_limit {
            self.holders.clear();
            self.started = now;
        }
        self.awake = now;
    }
}
