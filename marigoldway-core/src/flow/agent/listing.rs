//! Handles what the store lists of the service: its agents and its addresses. Decides what the own
//! record says, and what the agent knows by the lists.

use std::net::SocketAddrV4;

use crate::flow::agent::AgentFlows;
use crate::flow::agent::JOIN_PERIOD;
use crate::flow::message::AgentRecord;
use crate::flow::routes::Routes;
use crate::time::Timestamp;

impl AgentFlows {
    /// Applies the store's whole list of the service's agents, and the presence records: records
    /// without a lease of agents that may be alive though they aren't registered. Their lease may
    /// have lapsed while the store was unreachable, before this process started. If the first list
    /// lacks this agent, it is a joining agent. Entries must not be told of an agent before the
    /// store has its presence record.
    pub fn on_list(&mut self, now: Timestamp, records: &[AgentRecord], presence: &[AgentRecord]) {
        if !self.agents.is_loaded() {
            let own = self.options.own;
            let lacks_own = |list: &[AgentRecord]| list.iter().all(|it| it.id != own);
            self.joining = lacks_own(records);
            self.inherit_listing(now, records, presence);
            // The list of another service says nothing of the target before the change.
            if !self.has_moved {
                self.unannounced = self.joining && lacks_own(presence);
                self.inherit_listed(now, records, presence);
            }
            self.update_number(now);
        }
        self.agents.replace(now, records);
        for record in presence.iter().filter(|it| it.id != self.options.own) {
            // The store doesn't tell whether the table of the present process is complete.
            let complete = false;
            self.agents.add_unregistered(
                now,
                AgentRecord {
                    complete,
                    ..*record
                },
            );
        }
    }

    /// Whether every agent that may hold a flow is known. A joining agent doesn't know other
    /// joining agents until the store has told it of them.
    pub(super) fn knows_every_agent(&self, now: Timestamp) -> bool {
        let settled = !self.joining || now.since(self.joined) >= JOIN_PERIOD;
        settled && self.agents.is_loaded()
    }

    /// Applies the store's list of the addresses for which the service may hold flows. Empty if the
    /// store has none.
    pub fn set_listed_addrs(&mut self, addrs: Vec<SocketAddrV4>) {
        self.served_addrs.set_listed(addrs);
    }

    /// Applies the store's list of the addresses after a restore of the store from a backup. The
    /// caller is to write the addresses that were listed before and have been lost by it.
    pub fn restore_listed_addrs(&mut self, now: Timestamp, addrs: Vec<SocketAddrV4>) {
        self.served_addrs.restore_listed(now, addrs);
    }

    /// Applies a configuration, which tells which listed addresses still lead to the service.
    pub fn on_routes(&mut self, now: Timestamp, routes: &Routes) {
        self.served_addrs.on_routes(now, self.service, routes);
    }

    /// The list of addresses that the caller is to write to the store now, if any.
    pub fn due_addrs(&self, now: Timestamp) -> Option<Vec<SocketAddrV4>> {
        let lifetime = self.options.idle_timeout;
        self.served_addrs.due(now, self.is_first(), lifetime)
    }

    /// Whether the agent has no target and the store had no trace of it at the start. Its instance
    /// may be released, so no other process is told of it: searches would wait for its replies.
    pub fn is_idle(&self) -> bool {
        self.unannounced && self.target.current().is_none()
    }

    /// Whether this agent is the first of its service in the order of IDs.
    pub fn is_first(&self) -> bool {
        let first = self.agents.of_service(self.service).first();
        first == Some(&self.options.own)
    }
}
