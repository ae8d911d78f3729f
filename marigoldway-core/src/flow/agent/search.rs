//! Searches the agents that may hold a flow that no directory agent knows.
//!
//! Directory agents are the agents that store which agent's target holds a flow. Searches happen
//! after several agents have died together. Each agent that may hold the flow either does or
//! reports that it doesn't. An agent whose table contains every flow of its target receives a
//! query, for many flows at a time. Any other agent receives the client's packet itself, since
//! only its target knows whether it holds the flow; a target returns packets of flows that it
//! doesn't hold. Once every agent that may hold the flow has reported that it doesn't, the entry
//! that asked for the flow learns that this service doesn't hold it. Which agents these are is
//! computed again until then, since the known agents change: one that has left has no say.

use std::time::Duration;

use indexmap::IndexMap;

use crate::flow::key::FlowKey;
use crate::flow::routes::WorkClass;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Time after which the agents that haven't replied are asked again.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which the agent stores a search, that its target doesn't hold a flow, or that a flow
/// was forwarded.
const NOT_HELD_LIFETIME: Duration = Duration::from_secs(3);

/// Maximum number of searches, of flows that the target doesn't hold, and of forwarded flows,
/// each.
const MAX_ENTRIES: usize = 8_192;

/// `Searches` holds the searches that this agent has started, the flows that its target doesn't
/// hold, and the queries and replies to be sent next.
#[derive(Debug, Default)]
pub(super) struct Searches {
    active: IndexMap<FlowKey, Search>,
    /// Flows that the own target doesn't hold, with the time when this was recorded.
    not_held: IndexMap<FlowKey, Timestamp>,
    /// Flows of which a packet was forwarded to the other directory agent, with its time.
    forwarded: IndexMap<FlowKey, Timestamp>,
    /// Flows to be sent in queries to agents with complete tables, by agent and by the entry that
    /// asked for the flow.
    queries: IndexMap<(InstanceId, InstanceId), Vec<FlowKey>>,
    /// Flows not held here, by the agent that searches them.
    replies: IndexMap<InstanceId, Vec<FlowKey>>,
}

/// `Search` is what is known of one flow that is searched for.
#[derive(Debug)]
pub(super) struct Search {
    /// When the search was started.
    since: Timestamp,
    /// When the agents were last asked.
    asked_at: Timestamp,
    /// When a packet of the flow was last sent to those whose targets alone know the flow.
    packet_at: Option<Timestamp>,
    /// Agents that may hold the flow, as of `revision`.
    holders: Vec<InstanceId>,
    /// Revision of the known agents from which `holders` was computed.
    revision: u64,
    /// Agents that have reported that they don't hold the flow.
    replied: Vec<InstanceId>,
    /// Entry that asked for the flow last.
    pub(super) entry: InstanceId,
    pub(super) class: WorkClass,
}

/// `ListDemand` decides for which time a confirmation of the list of agents is demanded.
#[derive(Debug, Default)]
pub(super) struct ListDemand {
    /// When the latest search began, until a confirmation for it is demanded.
    due: Option<Timestamp>,
}

impl ListDemand {
    /// Notes that a search has begun.
    pub(super) fn raise(&mut self, now: Timestamp) {
        self.due = Some(now);
    }

    /// Takes the time for which a confirmation is to be demanded now, unless there is one that
    /// `confirmed` tells of.
    pub(super) fn take(&mut self, confirmed: Option<Timestamp>) -> Option<Timestamp> {
        self.due.take().filter(|at| confirmed < Some(*at))
    }
}

impl Search {
    /// Creates a search on behalf of an entry, for which nobody has been asked yet.
    pub(super) fn new(now: Timestamp, entry: InstanceId, class: WorkClass) -> Search {
        Search {
            since: now,
            asked_at: now,
            packet_at: None,
            holders: Vec::new(),
            revision: 0,
            replied: Vec::new(),
            entry,
            class,
        }
    }

    /// Whether a list of agents that was the newest one at `confirmed` has every agent that may hold the
    /// flow: the flow was open when the search began.
    pub(super) fn is_covered(&self, confirmed: Option<Timestamp>) -> bool {
        confirmed >= Some(self.since)
    }

    /// Whether the agents that may hold the flow have to be computed again, since the known agents
    /// have changed to `revision`.
    pub(super) fn is_outdated(&self, revision: u64) -> bool {
        self.revision != revision
    }

    /// Sets the agents that may hold the flow.
    pub(super) fn set_holders(&mut self, holders: Vec<InstanceId>, revision: u64) {
        self.holders = holders;
        self.revision = revision;
    }

    /// The agents that may hold the flow and haven't replied.
    pub(super) fn missing(&self) -> Vec<InstanceId> {
        let missing = self.holders.iter().filter(|id| !self.replied.contains(id));
        missing.copied().collect()
    }

    /// Whether a packet of the flow is to be sent to the missing agents, since none was sent within
    /// `SEARCH_TIMEOUT`. If so, notes that they are asked now.
    pub(super) fn takes_packet(&mut self, now: Timestamp) -> bool {
        let sent = self.packet_at;
        let due = sent.is_none_or(|at| now.since(at) >= SEARCH_TIMEOUT);
        if due {
            self.asked_at = now;
        }
        due
    }

    /// Notes that a packet of the flow is sent to the missing agents.
    pub(super) fn on_packet(&mut self, now: Timestamp) {
        self.packet_at = Some(now);
    }

    /// Whether the missing agents are to be asked again, or for the first time, since none was known
    /// yet. If so, notes that they are asked now.
    pub(super) fn is_due(&mut self, now: Timestamp) -> bool {
        let due = self.holders.is_empty() || now.since(self.asked_at) >= SEARCH_TIMEOUT;
        if due {
            self.asked_at = now;
        }
        due
    }
}

impl Searches {
    /// The search for a flow, or `None` if there is none.
    pub(super) fn get_mut(&mut self, flow: &FlowKey) -> Option<&mut Search> {
        self.active.get_mut(flow)
    }

    /// Adds a search. Returns `false` if `MAX_ENTRIES` searches are stored.
    pub(super) fn insert(&mut self, flow: FlowKey, search: Search) -> bool {
        let has_room = self.active.len() < MAX_ENTRIES;
        if has_room {
            self.active.insert(flow, search);
        }
        has_room
    }

    /// Records that an agent doesn't hold a flow. Returns whether all agents that may hold it have
    /// replied now. Returns `false` if there is no search for it.
    pub(super) fn on_not_held(&mut self, from: InstanceId, flow: &FlowKey) -> bool {
        let Some(search) = self.active.get_mut(flow) else {
            return false;
        };
        if !search.replied.contains(&from) {
            search.replied.push(from);
        }
        search.missing().is_empty()
    }

    /// The flows that are searched for.
    pub(super) fn flows(&self) -> Vec<FlowKey> {
        self.active.keys().copied().collect()
    }

    /// The flows whose search the missing agents are to be asked for again.
    pub(super) fn due(&mut self, now: Timestamp) -> Vec<FlowKey> {
        let due = self.active.iter_mut();
        due.filter_map(|(flow, search)| search.is_due(now).then_some(*flow))
            .collect()
    }

    /// Whether a packet of an unknown flow may go to the other directory agent. Records the flow if
    /// so, since only one packet may go there within `NOT_HELD_LIFETIME`. While `MAX_ENTRIES` flows
    /// are recorded, packets of other flows go there without a record.
    pub(super) fn may_forward(&mut self, now: Timestamp, flow: FlowKey) -> bool {
        let forwarded = self.forwarded.get(&flow);
        if forwarded.is_some_and(|at| now.since(*at) < NOT_HELD_LIFETIME) {
            return false;
        }
        if self.forwarded.len() < MAX_ENTRIES {
            self.forwarded.insert(flow, now);
        }
        true
    }

    /// Adds a flow to the next query to `agent` on behalf of `entry`.
    pub(super) fn add_query(&mut self, agent: InstanceId, entry: InstanceId, flow: FlowKey) {
        self.queries.entry((agent, entry)).or_default().push(flow);
    }

    /// Adds a flow to the next reply to `searcher`, as not held here.
    pub(super) fn add_reply(&mut self, searcher: InstanceId, flow: FlowKey) {
        self.replies.entry(searcher).or_default().push(flow);
    }

    /// Whether queries or replies are collected.
    pub(super) fn has_queued(&self) -> bool {
        !self.queries.is_empty() || !self.replies.is_empty()
    }

    /// Removes and returns the collected queries, by agent and by entry.
    pub(super) fn take_queries(&mut self) -> IndexMap<(InstanceId, InstanceId), Vec<FlowKey>> {
        std::mem::take(&mut self.queries)
    }

    /// Removes and returns the collected replies, by the agent that searches the flows.
    pub(super) fn take_replies(&mut self) -> IndexMap<InstanceId, Vec<FlowKey>> {
        std::mem::take(&mut self.replies)
    }

    /// Records that the own target doesn't hold a flow. Has no effect while `MAX_ENTRIES` flows are
    /// recorded.
    pub(super) fn record_not_held(&mut self, now: Timestamp, flow: FlowKey) {
        if self.not_held.len() < MAX_ENTRIES {
            self.not_held.insert(flow, now);
        }
    }

    /// Whether it was recorded within `NOT_HELD_LIFETIME` that the own target doesn't hold a
    /// flow.
    pub(super) fn is_not_held(&self, now: Timestamp, flow: &FlowKey) -> bool {
        let recorded = self.not_held.get(flow);
        recorded.is_some_and(|at| now.since(*at) < NOT_HELD_LIFETIME)
    }

    /// Clears the record that the own target doesn't hold a flow.
    pub(super) fn on_found(&mut self, flow: &FlowKey) {
        self.not_held.swap_remove(flow);
    }

    /// Ends the search for a flow, and returns it. `None` if there is none.
    pub(super) fn end(&mut self, flow: &FlowKey) -> Option<Search> {
        self.active.swap_remove(flow)
    }

    /// Removes the flows recorded as not held. The caller does this for a new incarnation of the
    /// target.
    pub(super) fn clear_not_held(&mut self) {
        self.not_held.clear();
    }

    /// Removes searches and records older than `NOT_HELD_LIFETIME`.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.active
            .retain(|_, it| now.since(it.since) < NOT_HELD_LIFETIME);
        self.forwarded
            .retain(|_, at| now.since(*at) < NOT_HELD_LIFETIME);
        self.not_held
            .retain(|_, at| now.since(*at) < NOT_HELD_LIFETIME);
    }
}
