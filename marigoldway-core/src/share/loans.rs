//! The shares of one customer's allowance that are lent to agents.

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

/// Minimum interval between two divisions of the allowance among more than
/// [`ShareOptions::immediate_limit`] agents.
const DIVISION_INTERVAL: Duration = Duration::from_millis(100);

/// A grant that may be in force at an agent.
#[derive(Clone, Copy, Debug)]
struct Loan {
    /// Number of the report that the grant answers.
    number: u64,
    share: Amounts,
    /// End of the term.
    until: Timestamp,
}

/// State of one agent: its last report and the grants that may be in force.
#[derive(Clone, Debug, Default)]
struct AgentLoans {
    /// Number of the last report.
    last_report: u64,
    reported_at: Timestamp,
    requested: Amounts,
    open: Amounts,
    loans: VecDeque<Loan>,
}

impl AgentLoans {
    /// Maximum amounts that the agent may be using beyond its floor.
    fn committed(&self) -> Amounts {
        let shares = self.loans.iter().map(|loan| loan.share);
        shares.fold(self.open, Amounts::max)
    }

    fn on_report(&mut self, now: Timestamp, report: &Report) {
        self.last_report = report.number;
        self.reported_at = now;
        self.requested = report.requested;
        self.open = report.open;
        self.loans.retain(|loan| loan.number >= report.applied);
    }
}

/// Lends the allowance of one customer to the agents that report demand.
///
/// With up to [`ShareOptions::immediate_limit`] agents the allowance is divided
/// anew for each report. With more agents it is divided at most every 100 ms, so
/// that the cost of a report is about the same for any number of agents. In both
/// cases the amounts that are still available are exact at each report.
#[derive(Clone, Debug)]
pub struct CustomerLoans {
    options: ShareOptions,
    /// Time before which shares in force are renewed and no others are lent.
    lends_from: Timestamp,
    agents: IndexMap<SocketAddrV4, AgentLoans>,
    /// Maximum amounts that all agents together may be using beyond their floors.
    committed: Amounts,
    division: Division,
}

/// Division of the lendable amounts between the agents.
#[derive(Clone, Debug, Default)]
struct Division {
    /// Part of each agent, in the order of [`CustomerLoans::agents`].
    parts: Vec<Amounts>,
    /// Amounts that were divided: the allowance without its floor.
    lendable: Amounts,
    computed_at: Timestamp,
}

impl CustomerLoans {
    /// Creates the state of a customer without loans. Until `lends_from`, shares
    /// that agents report as in force are renewed and no others are lent.
    pub fn new(options: ShareOptions, lends_from: Timestamp) -> CustomerLoans {
        CustomerLoans {
            options,
            lends_from,
            agents: IndexMap::new(),
            committed: Amounts::default(),
            division: Division::default(),
        }
    }

    /// Answers a report of the agent at `from`. `allowance` is the whole
    /// allowance of the customer. Returns `None` for a report that is not newer
    /// than the last one.
    pub fn report(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        report: &Report,
        allowance: Amounts,
    ) -> Option<Grant> {
        let entry = self.agents.entry(from);
        let index = entry.index();
        let agent = entry.or_default();
        if report.number <= agent.last_report {
            return None;
        }
        let before = agent.committed();
        agent.on_report(now, report);
        self.committed = self.committed.minus(before).plus(agent.committed());

        let lendable = allowance.minus(allowance.floor(self.options.floor_percent));
        let share = if now < self.lends_from {
            report.share.min(lendable)
        } else {
            self.update_division(now, lendable);
            // `update_division` may have removed other agents.
            let index = self.agents.get_index_of(&from).unwrap_or(index);
            self.divided_part(index)
                .min(self.available(index, lendable))
        };
        self.lend(now, from, report.number, share);
        Some(Grant {
            customer: report.customer.clone(),
            number: report.number,
            share,
            term: self.options.term,
        })
    }

    /// Removes shares whose term is over, and agents without shares that have
    /// sent no report for a term.
    pub fn expire(&mut self, now: Timestamp) {
        let term = self.options.term;
        let count = self.agents.len();
        self.agents.retain(|_, agent| {
            agent.loans.retain(|loan| loan.until > now);
            // If the agent has open connections or bulk requests, its next report
            // states them again.
            let silent = now.since(agent.reported_at) >= term;
            !(silent && agent.loans.is_empty())
        });
        if self.agents.len() != count {
            self.division.parts.clear();
        }
        let committed = self.agents.values().map(AgentLoans::committed);
        self.committed = committed.fold(Amounts::default(), Amounts::plus);
    }

    /// Returns whether no agent has state here.
    pub fn is_idle(&self) -> bool {
        self.agents.is_empty()
    }

    fn lend(&mut self, now: Timestamp, from: SocketAddrV4, number: u64, share: Amounts) {
        let agent = self.agents.entry(from).or_default();
        let before = agent.committed();
        agent.loans.push_back(Loan {
            number,
            share,
            until: now + self.options.term,
        });
        self.committed = self.committed.minus(before).plus(agent.committed());
    }

    /// Expires shares and recomputes the division, if that is due.
    fn update_division(&mut self, now: Timestamp, lendable: Amounts) {
        let recent = now.since(self.division.computed_at) < DIVISION_INTERVAL;
        let many = self.agents.len() > self.options.immediate_limit;
        if recent && many && self.division.lendable == lendable {
            return;
        }
        self.expire(now);
        let part = |total: u64, amount: fn(&Amounts) -> u64| {
            let demands: Vec<u64> = self
                .agents
                .values()
                .map(|it| amount(&it.requested))
                .collect();
            divide(total, &demands)
        };
        let rates = part(lendable.rate, |it| it.rate);
        let connections = part(lendable.connections, |it| it.connections);
        let bulk = part(lendable.bulk, |it| it.bulk);
        let parts = rates.into_iter().zip(connections).zip(bulk);
        self.division = Division {
            parts: parts
                .map(|((rate, connections), bulk)| Amounts {
                    rate,
                    connections,
                    bulk,
                })
                .collect(),
            lendable,
            computed_at: now,
        };
    }

    /// Part of the agent at `index` in the current division. It is zero for an agent
    /// whose first report came after the division.
    fn divided_part(&self, index: usize) -> Amounts {
        self.division.parts.get(index).copied().unwrap_or_default()
    }

    /// Amounts of `lendable` that remain if every agent but the one at `index` uses
    /// the maximum that it may be using.
    fn available(&self, index: usize, lendable: Amounts) -> Amounts {
        let own = self.agents.get_index(index);
        let own = own.map_or(Amounts::default(), |(_, agent)| agent.committed());
        lendable.minus(self.committed.minus(own))
    }
}
