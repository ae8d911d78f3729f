//! What a holder has lent of one customer's allowance.

use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;

use indexmap::IndexMap;

use crate::share::Grant;
use crate::share::Report;
use crate::share::ShareOptions;
use crate::share::amounts::Amounts;
use crate::share::amounts::divide;
use crate::time::Timestamp;

/// Time between two divisions among many agents.
const PLAN_PERIOD: Duration = Duration::from_millis(100);

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
        self.want = report.requested;
        self.open = report.open;
        self.lent.retain(|lent| lent.number >= report.applied);
    }
}

/// `CustomerLoans` lends the allowance of one customer.
///
/// With few agents the division is made anew for each report. With many it is
/// made every 100 ms, and a report costs about the same whatever their number. What may be lent is exact either way.
#[derive(Clone, Debug)]
pub struct CustomerLoans {
    options: ShareOptions,
    lends_from: Timestamp,
    debtors: IndexMap<SocketAddrV4, Debtor>,
    /// The most that all agents together may be using.
    owed: Amounts,
    plan: Plan,
}

/// What each agent is to have, in the order of the agents.
#[derive(Clone, Debug, Default)]
struct Plan {
    parts: Vec<Amounts>,
    lendable: Amounts,
    made: Timestamp,
}

impl CustomerLoans {
    /// Makes a holder that only renews shares before `lends_from`.
    pub fn new(options: ShareOptions, lends_from: Timestamp) -> CustomerLoans {
        CustomerLoans {
            options,
            lends_from,
            debtors: IndexMap::new(),
            owed: Amounts::default(),
            plan: Plan::default(),
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
        let entry = self.debtors.entry(from);
        let index = entry.index();
        let debtor = entry.or_default();
        if report.number <= debtor.number {
            return None;
        }
        let before = debtor.owed();
        debtor.take(now, report);
        self.owed = self.owed.minus(before).plus(debtor.owed());

        let lendable = allowance.minus(allowance.floor(self.options.floor_percent));
        let share = if now < self.lends_from {
            report.share.min(lendable)
        } else {
            self.refresh(now, lendable);
            // The division may have taken other agents out.
            let index = self.debtors.get_index_of(&from).unwrap_or(index);
            self.target(index).min(self.free(index, lendable))
        };
        self.lend(now, from, report.number, share);
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
        let count = self.debtors.len();
        self.debtors.retain(|_, debtor| {
            debtor.lent.retain(|lent| lent.until > now);
            // The agent reports its open work anew when it is heard again.
            let silent = now.since(debtor.heard) >= term;
            !(silent && debtor.lent.is_empty())
        });
        if self.debtors.len() != count {
            self.plan.parts.clear();
        }
        let owed = self.debtors.values().map(Debtor::owed);
        self.owed = owed.fold(Amounts::default(), Amounts::plus);
    }

    /// Tells whether no agent owes anything.
    pub fn is_idle(&self) -> bool {
        self.debtors.is_empty()
    }

    fn lend(&mut self, now: Timestamp, from: SocketAddrV4, number: u64, share: Amounts) {
        let debtor = self.debtors.entry(from).or_default();
        let before = debtor.owed();
        debtor.lent.push_back(Lent {
            number,
            share,
            until: now + self.options.term,
        });
        self.owed = self.owed.minus(before).plus(debtor.owed());
    }

    /// Forgets what has ended and divides anew, if it is time.
    fn refresh(&mut self, now: Timestamp, lendable: Amounts) {
        let fresh = now.since(self.plan.made) < PLAN_PERIOD;
        let many = self.debtors.len() > self.options.immediate_limit;
        if fresh && many && self.plan.lendable == lendable {
            return;
        }
        self.expire(now);
        let part = |total: u64, want: fn(&Amounts) -> u64| {
            let wants: Vec<u64> = self.debtors.values().map(|it| want(&it.want)).collect();
            divide(total, &wants)
        };
        let rates = part(lendable.rate, |it| it.rate);
        let connections = part(lendable.connections, |it| it.connections);
        let bulk = part(lendable.bulk, |it| it.bulk);
        let parts = rates.into_iter().zip(connections).zip(bulk);
        self.plan = Plan {
            parts: parts
                .map(|((rate, connections), bulk)| Amounts {
                    rate,
                    connections,
                    bulk,
                })
                .collect(),
            lendable,
            made: now,
        };
    }

    /// What an agent is to have once all others have theirs. One that came
    /// after the division waits for the next.
    fn target(&self, index: usize) -> Amounts {
        self.plan.parts.get(index).copied().unwrap_or_default()
    }

    /// What is left of `lendable` beside all agents but one.
    fn free(&self, index: usize, lendable: Amounts) -> Amounts {
        let own = self.debtors.get_index(index);
        let own = own.map_or(Amounts::default(), |(_, debtor)| debtor.owed());
        lendable.minus(self.owed.minus(own))
    }
}
