//! What a holder has lent of one customer's allowance.

use std::collections::VecDeque;
use std::net::SocketAddrV4;

use indexmap::IndexMap;

use crate::share::Grant;
use crate::share::Report;
use crate::share::ShareOptions;
use crate::share::amounts::Amounts;
use crate::share::amounts::divide;
use crate::time::Timestamp;

/// A grant that may be in force at an agent.
#[derive(Clone, Copy, Debug)]
struct Lent {
    number: u64,
    share: Amounts,
    until: Timestamp,
}

/// What is known of one agent.
#[derive(Clone, Debug, Default)]
struct Debtor {
    number: u64,
    heard: Timestamp,
    want: Amounts,
    open: Amounts,
    lent: VecDeque<Lent>,
}

impl Debtor {
    /// The most that the agent may be using.
    fn owed(&self) -> Amounts {
        let lent = self.lent.iter().map(|lent| lent.share);
        lent.fold(self.open, Amounts::max)
    }

    fn take(&mut self, now: Timestamp, report: &Report) {
        self.number = report.number;
        self.heard = now;
        self.want = report.want;
        self.open = report.open;
        self.lent.retain(|lent| lent.number >= report.applied);
    }
}

/// `Holder` lends the allowance of one customer.
#[derive(Clone, Debug)]
pub struct Holder {
    options: ShareOptions,
    lends_from: Timestamp,
    debtors: IndexMap<SocketAddrV4, Debtor>,
}

impl Holder {
    /// Makes a holder that only renews shares before `lends_from`.
    pub fn new(options: ShareOptions, lends_from: Timestamp) -> Holder {
        Holder {
            options,
            lends_from,
            debtors: IndexMap::new(),
        }
    }

    /// Answers a report of the agent at `from`. `allowance` is the whole
    /// allowance of the customer. An old report is not answered.
    pub fn report(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        report: &Report,
        allowance: Amounts,
    ) -> Option<Grant> {
        self.expire(now);
        let debtor = self.debtors.entry(from).or_default();
        if report.number <= debtor.number {
            return None;
        }
        debtor.take(now, report);

        let lendable = allowance.minus(allowance.floor(self.options.floor));
        let share = if now < self.lends_from {
            report.share.min(lendable)
        } else {
            self.target(from, lendable).min(self.free(from, lendable))
        };
        let lent = Lent {
            number: report.number,
            share,
            until: now + self.options.term,
        };
        self.debtors.entry(from).or_default().lent.push_back(lent);
        Some(Grant {
            customer: report.customer.clone(),
            number: report.number,
            share,
            term: self.options.term,
        })
    }

    /// Forgets shares whose term is over, and agents that owe nothing.
    pub fn expire(&mut self, now: Timestamp) {
        let term = self.options.term;
        self.debtors.retain(|_, debtor| {
            debtor.lent.retain(|lent| lent.until > now);
            // The agent reports its open work anew when it is heard again.
            let silent = now.since(debtor.heard) >= term;
            !(silent && debtor.lent.is_empty())
        });
    }

    /// Tells whether no agent owes anything.
    pub fn is_idle(&self) -> bool {
        self.debtors.is_empty()
    }

    /// What the agent at `from` is to have once all others have theirs.
    fn target(&self, from: SocketAddrV4, lendable: Amounts) -> Amounts {
        let Some(place) = self.debtors.get_index_of(&from) else {
            return Amounts::default();
        };
        let part = |total: u64, want: fn(&Amounts) -> u64| {
            let wants: Vec<u64> = self.debtors.values().map(|it| want(&it.want)).collect();
            divide(total, &wants)[place]
        };
        Amounts {
            rate: part(lendable.rate, |it| it.rate),
            connections: part(lendable.connections, |it| it.connections),
            bulk: part(lendable.bulk, |it| it.bulk),
        }
    }

    /// What is left of `lendable` beside all agents but the one at `from`.
    fn free(&self, from: SocketAddrV4, lendable: Amounts) -> Amounts {
        let others = self.debtors.iter().filter(|(id, _)| **id != from);
        let owed = others.fold(Amounts::default(), |sum, (_, debtor)| {
            sum.plus(debtor.owed())
        });
        lendable.minus(owed)
    }
}
