//! Searches the agents that may hold a flow, on behalf of an entry.

use crate::flow::agent::AgentAction;
use crate::flow::agent::AgentFlows;
use crate::flow::agent::DropReason;
use crate::flow::agent::search::Search;
use crate::flow::key::FlowKey;
use crate::flow::message::Header;
use crate::flow::message::Intent;
use crate::flow::message::Verdict;
use crate::flow::routes::WorkClass;
use crate::flow::segment::Segment;
use crate::ids::InstanceId;
use crate::time::Timestamp;

impl AgentFlows {
    /// Replies to the searching agent that the target doesn't hold a flow, if `header` came with a
    /// packet of a search.
    pub(super) fn reply_not_held(
        &mut self,
        now: Timestamp,
        header: &Header,
        flow: FlowKey,
        actions: &mut Vec<AgentAction>,
    ) {
        if let (Intent::Search, Some(searcher)) = (header.intent, header.other) {
            self.searches.add_reply(searcher, flow);
            self.flush_searches(now, actions);
        }
    }

    /// Searches for a flow at the other agents that may hold it: sends a query to agents whose
    /// table contains every flow of their target, and the packet itself to the others.
    pub(super) fn search(
        &mut self,
        now: Timestamp,
        header: &Header,
        segment: &Segment,
        actions: &mut Vec<AgentAction>,
    ) {
        let flow = segment.inbound_flow();
        let class = header.work.class;
        let asked = self.begin_search(now, flow, header.entry, class, actions);
        let incomplete = asked.into_iter().filter(|id| !self.has_complete_table(*id));
        let incomplete: Vec<InstanceId> = incomplete.collect();
        self.flush_searches(now, actions);
        if incomplete.is_empty() {
            return actions.push(AgentAction::Drop(DropReason::Searched));
        }
        if let Some(search) = self.searches.get_mut(&flow) {
            search.on_packet(now);
        }
        actions.push(AgentAction::ToAgents(incomplete, *header));
    }

    /// Handles an entry's request to search flows that the directory agents don't know. Has no
    /// effect on a flow that an agent with an incomplete table may hold: only its target then knows
    /// whether it holds the flow, so the search needs a packet of the client.
    pub fn on_search(
        &mut self,
        now: Timestamp,
        entry: InstanceId,
        class: WorkClass,
        flows: &[FlowKey],
        actions: &mut Vec<AgentAction>,
    ) {
        if !self.is_complete(now) {
            return;
        }
        for flow in flows {
            if let Some(local) = self.flows.peek(flow) {
                // The entry hasn't sent a packet of the flow here: it asks several services.
                if local.is_held() {
                    self.report(now, entry, *flow, Verdict::Holds, actions);
                }
                continue;
            }
            let holders = self.other_holders(now, flow, class);
            if holders.iter().all(|id| self.has_complete_table(*id)) {
                self.begin_search(now, *flow, entry, class, actions);
            }
        }
        self.flush_searches(now, actions);
    }

    fn has_complete_table(&self, id: InstanceId) -> bool {
        self.agents.record(id).is_some_and(|it| it.complete)
    }

    /// Starts or repeats a search among the agents that may hold a flow, and adds queries for those
    /// with a complete table. Returns the agents to ask; none if they were asked a moment ago. If
    /// there is no other agent, the service doesn't hold the flow.
    fn begin_search(
        &mut self,
        now: Timestamp,
        flow: FlowKey,
        entry: InstanceId,
        class: WorkClass,
        actions: &mut Vec<AgentAction>,
    ) -> Vec<InstanceId> {
        if let Some(active) = self.searches.get_mut(&flow) {
            active.entry = entry;
            if !active.takes_packet(now) {
                return Vec::new();
            }
        } else if !self.searches.insert(flow, Search::new(now, entry, class)) {
            return Vec::new();
        }
        self.list_demand.raise(now);
        self.ask_missing(now, flow, actions)
    }

    /// Ends a search that has all replies. Otherwise adds queries for the missing agents with a
    /// complete table, and returns the missing ones.
    fn ask_missing(
        &mut self,
        now: Timestamp,
        flow: FlowKey,
        actions: &mut Vec<AgentAction>,
    ) -> Vec<InstanceId> {
        self.update_holders(now, &flow);
        if self.conclude_search(now, &flow, actions) {
            return Vec::new();
        }
        let Some(search) = self.searches.get_mut(&flow) else {
            return Vec::new();
        };
        let (entry, missing) = (search.entry, search.missing());
        for id in &missing {
            if self.has_complete_table(*id) {
                self.searches.add_query(*id, entry, flow);
            }
        }
        missing
    }

    /// Computes again which agents may hold a flow that is searched for, if the known agents have
    /// changed.
    fn update_holders(&mut self, now: Timestamp, flow: &FlowKey) {
        let revision = self.agents.revision();
        let outdated = self.searches.get_mut(flow);
        let Some(class) = outdated
            .filter(|it| it.is_outdated(revision))
            .map(|it| it.class)
        else {
            return;
        };
        let holders = self.other_holders(now, flow, class);
        if let Some(search) = self.searches.get_mut(flow) {
            search.set_holders(holders, revision);
        }
    }

    /// Reports to the entry that asked for a flow that the service doesn't hold it, if all agents
    /// that may hold it have replied. Returns whether the search has ended.
    fn conclude_search(
        &mut self,
        now: Timestamp,
        flow: &FlowKey,
        actions: &mut Vec<AgentAction>,
    ) -> bool {
        let is_missing = |it: &mut Search| !it.missing().is_empty();
        // A search among only some of the agents can't prove that a flow is gone.
        if !self.knows_every_agent(now) || self.searches.get_mut(flow).is_none_or(is_missing) {
            return false;
        }
        // The list of agents may be older than the flow.
        let confirmed = self.list_confirmed;
        let is_covered = |it: &mut Search| it.is_covered(confirmed);
        if !self.searches.get_mut(flow).is_some_and(is_covered) {
            return false;
        }
        let ended = self.searches.end(flow);
        if let Some(search) = ended
            && self.flows.peek(flow).is_none()
        {
            self.report(now, search.entry, *flow, Verdict::NotHeld, actions);
        }
        true
    }

    /// Notes that the list of agents lacked none that the store had at `as_of`. Reports the flows that
    /// are known to be gone by this.
    pub fn confirm_list(
        &mut self,
        now: Timestamp,
        as_of: Timestamp,
        actions: &mut Vec<AgentAction>,
    ) {
        self.list_confirmed = self.list_confirmed.max(Some(as_of));
        for flow in self.searches.flows() {
            self.update_holders(now, &flow);
            self.conclude_search(now, &flow, actions);
        }
    }

    /// Takes the time for which a confirmation of the list of agents is to be demanded, since searches
    /// have begun.
    pub fn take_list_demand(&mut self) -> Option<Timestamp> {
        self.list_demand.take(self.list_confirmed)
    }

    /// Handles another agent's message that its target doesn't hold flows that this agent searches.
    /// Reports the flows that no agent holds to the entry that asked for them.
    pub fn on_not_held(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        flows: &[FlowKey],
        actions: &mut Vec<AgentAction>,
    ) {
        for flow in flows {
            if self.searches.on_not_held(from, flow) {
                self.update_holders(now, flow);
                self.conclude_search(now, flow, actions);
            }
        }
    }

    /// Asks the agents again that haven't replied to a search, and ends searches whose missing
    /// agents are gone.
    pub(super) fn review_searches(&mut self, now: Timestamp, actions: &mut Vec<AgentAction>) {
        for flow in self.searches.due(now) {
            let missing = self.ask_missing(now, flow, actions);
            if !missing.is_empty() {
                actions.push(AgentAction::SearchWaits(flow, missing));
            }
        }
    }
}
