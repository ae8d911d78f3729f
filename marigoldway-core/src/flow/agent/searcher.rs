//! Searches the agents that may hold a flow, on behalf of an entry.

use crate::flow::agent::AgentAction;
use crate::flow::agent::AgentFlows;
use crate::flow::agent::DropReason;
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
            if self.flows.peek(flow).is_some() {
                continue;
            }
            let holders = self.other_holders(now, flow, class);
            if holders.iter().all(|id| self.has_complete_table(*id)) {
                self.begin_search(now, *flow, entry, class, actions);
            }
        }
        self.flush_searches(now, actions);
    }

    /// The other agents that may hold a flow.
    fn other_holders(&self, now: Timestamp, flow: &FlowKey, class: WorkClass) -> Vec<InstanceId> {
        let holders = self.may_hold(now, flow, class);
        holders.filter(|id| *id != self.options.own).collect()
    }

    fn has_complete_table(&self, id: InstanceId) -> bool {
        self.agents.record(id).is_some_and(|it| it.complete)
    }

    /// Starts or repeats a search among the agents that may hold a flow, and adds queries for those
    /// with a complete table. Returns the agents to ask. If there is no other agent, the service
    /// doesn't hold the flow.
    fn begin_search(
        &mut self,
        now: Timestamp,
        flow: FlowKey,
        entry: InstanceId,
        class: WorkClass,
        actions: &mut Vec<AgentAction>,
    ) -> Vec<InstanceId> {
        let holders = self.other_holders(now, &flow, class);
        let asked = self.searches.begin(now, flow, entry, class, &holders);
        let asked = asked.unwrap_or_default();
        self.add_queries(entry, flow, &asked);
        self.conclude_search(now, &flow, actions);
        asked
    }

    /// Adds queries for a flow to those of `agents` whose table contains every flow of their target.
    fn add_queries(&mut self, entry: InstanceId, flow: FlowKey, agents: &[InstanceId]) {
        for id in agents {
            if self.has_complete_table(*id) {
                self.searches.add_query(*id, entry, flow);
            }
        }
    }

    /// Reports to the entry that asked for a flow that the service doesn't hold it, if all agents
    /// that may hold it have replied.
    pub(super) fn conclude_search(
        &mut self,
        now: Timestamp,
        flow: &FlowKey,
        actions: &mut Vec<AgentAction>,
    ) {
        // A search among only some of the agents can't prove that a flow is gone.
        if !self.knows_every_agent(now) {
            return;
        }
        let Some(class) = self.searches.class(flow) else {
            return;
        };
        let holders = self.other_holders(now, flow, class);
        if let Some(entry) = self.searches.conclude(flow, &holders)
            && self.flows.peek(flow).is_none()
        {
            self.report(now, entry, *flow, Verdict::NotHeld, actions);
        }
    }

    /// Asks the agents again that haven't replied to a search, and ends searches whose missing
    /// agents are gone.
    pub(super) fn review_searches(&mut self, now: Timestamp, actions: &mut Vec<AgentAction>) {
        for flow in self.searches.flows() {
            self.conclude_search(now, &flow, actions);
            let Some(class) = self.searches.class(&flow) else {
                continue;
            };
            let holders = self.other_holders(now, &flow, class);
            if let Some((entry, missing)) = self.searches.due(now, &flow, &holders) {
                self.add_queries(entry, flow, &missing);
            }
        }
    }
}
