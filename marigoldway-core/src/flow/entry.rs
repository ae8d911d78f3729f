//! This module decides how an entry handles packets from clients.
//!
//! An entry is a process that receives clients' packets and forwards them to
//! agents. Each agent is a process beside one target. It reports to the entry
//! whether its target holds a flow, and how loaded the target is.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::flow::agents::Agents;
use crate::flow::key::FlowKey;
use crate::flow::key::NameKey;
use crate::flow::message::AgentRecord;
use crate::flow::message::FlowReport;
use crate::flow::message::Header;
use crate::flow::message::Hello;
use crate::flow::message::Intent;
use crate::flow::message::Load;
use crate::flow::message::LoadLevel;
use crate::flow::message::PlacementHint;
use crate::flow::message::RefuseReason;
use crate::flow::message::Verdict;
use crate::flow::routes::Route;
use crate::flow::routes::Routes;
use crate::flow::routes::Work;
use crate::flow::segment::Reset;
use crate::flow::segment::Segment;
use crate::flow::selection;
use crate::flow::selection::Candidate;
use crate::flow::selection::Selection;
use crate::flow::table::FlowTable;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Time after which an agent's missing answer is overdue, so that other agents are
/// preferred. An answer takes a round trip between failure domains and the
/// processing in both processes.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// Period after an agent's refusal in which other agents are preferred for new
/// flows, even if the agent reports that its target is serving.
const REFUSAL_PERIOD: Duration = Duration::from_millis(500);

/// `EntryOptions` holds the identity of an entry and the limits of its flow table.
#[derive(Clone, Copy, Debug)]
pub struct EntryOptions {
    /// ID of the entry: the address to which agents send their reports.
    pub own: InstanceId,
    /// Failure domain of the entry's instance.
    pub domain: NameKey,
    /// Maximum number of flows in the table.
    pub max_flows: usize,
    /// Time without a packet after which a flow may be removed from the table. The
    /// idle timeout of the routes applies if it is longer.
    pub idle_timeout: Duration,
    /// Seed of the random draws among agents.
    pub seed: u64,
}

/// `DropReason` tells why an entry drops a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// The entry has no configuration yet.
    Unconfigured,
    /// The configuration has no route to the address and may be out of date.
    Unrouted,
    /// The entry knows no agent of the service that the flow belongs to.
    Unserved,
}

impl DropReason {
    /// The reason as it stands in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            DropReason::Unconfigured => "unconfigured",
            DropReason::Unrouted => "unrouted",
            DropReason::Unserved => "unserved",
        }
    }
}

/// `ResetReason` tells why an entry resets a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ResetReason {
    /// The configuration in force has no route to the address.
    Unrouted,
}

impl ResetReason {
    /// The reason as it stands in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            ResetReason::Unrouted => "unrouted",
        }
    }
}

/// `EntryAction` tells the caller what to do with a client's packet.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryAction {
    /// Forward the packet to each of these agents, with the same header.
    Forward {
        /// Agents that receive the packet.
        to: Vec<InstanceId>,
        /// Header that precedes the packet.
        header: Header,
    },
    /// Send the client a reset of the flow.
    Reset(Reset, ResetReason),
    /// Drop the packet.
    Drop(DropReason),
}

/// `FlowState` is what an entry knows about a flow.
#[derive(Clone, Debug)]
enum FlowState {
    /// The client is opening the flow, and no agent is known to hold it. `tried`
    /// contains the agents that this entry selected for the flow, and those that
    /// refused it or no longer belong to a service of its route.
    Opening { tried: Vec<InstanceId> },
    /// This agent reported that its target holds the flow.
    Located(InstanceId),
    /// The flow is open, and no agent is known to hold it. This number of packets
    /// were to be forwarded to its directory agents.
    Locating(u32),
}

/// `AgentView` is what an entry knows about an agent's load and availability.
#[derive(Clone, Copy, Debug)]
struct AgentView {
    load: Load,
    /// Number of new flows sent to the agent since it last reported `load`.
    sent: u32,
    /// When the first opening or directory packet was sent to the agent since it last
    /// reported `load`.
    awaiting_since: Option<Timestamp>,
    /// When the agent last refused a packet, if that was recent.
    refused_at: Option<Timestamp>,
}

/// `EntryFlows` decides how an entry handles packets from clients.
#[derive(Debug)]
pub struct EntryFlows {
    options: EntryOptions,
    routes: Option<Arc<Routes>>,
    /// Whether `routes` is known to be the configuration in force.
    current: bool,
    agents: Agents,
    views: IndexMap<InstanceId, AgentView>,
    flows: FlowTable<FlowState>,
    rng: StdRng,
}

impl EntryFlows {
    /// Creates the state of an entry that knows no routes, agents or flows.
    pub fn new(options: EntryOptions) -> EntryFlows {
        EntryFlows {
            options,
            routes: None,
            current: false,
            agents: Agents::default(),
            views: IndexMap::new(),
            flows: FlowTable::new(options.max_flows, options.idle_timeout),
            rng: StdRng::seed_from_u64(options.seed),
        }
    }

    /// The routes in use, or `None` before the first configuration.
    pub fn routes(&self) -> Option<&Arc<Routes>> {
        self.routes.as_ref()
    }

    /// Version of the configuration in use, 0 for none.
    pub fn version(&self) -> u64 {
        self.routes.as_ref().map_or(0, |routes| routes.version)
    }

    /// The known agents.
    pub fn agents(&self) -> &Agents {
        &self.agents
    }

    /// Number of flows in the table.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Applies a configuration and returns true. Returns false and keeps the
    /// configuration in use if the new version isn't higher.
    pub fn set_routes(&mut self, routes: Arc<Routes>) -> bool {
        if self.routes.is_some() && routes.version <= self.version() {
            return false;
        }
        self.flows
            .set_idle_timeout(routes.idle.max(self.options.idle_timeout));
        self.routes = Some(routes);
        true
    }

    /// Sets whether the routes are known to be the configuration in force. If they
    /// are, the entry resets flows to addresses without a route at once. Otherwise it
    /// drops their packets. Initially false.
    pub fn set_current(&mut self, current: bool) {
        self.current = current;
    }

    /// Applies the complete list of agents from the store. Known agents that it lacks
    /// become unregistered.
    pub fn replace_agents(&mut self, now: Timestamp, records: &[AgentRecord]) {
        self.agents.replace(now, records);
        for record in records {
            self.update_record(record);
        }
    }

    /// Applies an agent's record from the store.
    pub fn register_agent(&mut self, record: AgentRecord) {
        self.agents.register(record);
        self.update_record(&record);
    }

    /// Marks an agent as unregistered: the store no longer has its record.
    pub fn unregister_agent(&mut self, now: Timestamp, id: InstanceId) {
        self.agents.unregister(now, id);
    }

    /// Removes expired agents and a bounded number of idle flows. Returns the
    /// unregistered agents to which the caller must send a probe.
    pub fn tick(&mut self, now: Timestamp) -> Vec<InstanceId> {
        for id in self.agents.expire(now) {
            self.views.swap_remove(&id);
        }
        self.flows.sweep(now);
        self.agents.due_probes(now)
    }

    /// Processes a hello: applies the record and the load that the agent announces.
    pub fn on_hello(&mut self, now: Timestamp, hello: &Hello) {
        self.agents.on_record(now, hello.record);
        self.update_load(now, hello.record.id, hello.load);
    }

    /// Applies a record that an agent sent and another process relayed.
    pub fn on_relayed_record(&mut self, now: Timestamp, record: &AgentRecord) {
        self.agents.on_record(now, *record);
        self.update_record(record);
    }

    /// Processes an agent's report about a flow: updates the agent's load, and what
    /// the entry knows about the flow.
    pub fn on_flow_report(&mut self, now: Timestamp, from: InstanceId, report: &FlowReport) {
        self.agents.on_message(now, from);
        self.update_load(now, from, report.load);
        match report.verdict {
            Verdict::Holds => {
                self.flows
                    .insert(now, report.flow, FlowState::Located(from));
            }
            // The agent that accepts the flow sends its own report.
            Verdict::PassedOn => {}
            Verdict::Refused(reason) => self.on_refusal(now, from, report, reason),
        }
    }

    /// Decides how to handle a client's packet.
    pub fn on_packet(&mut self, now: Timestamp, segment: &Segment) -> EntryAction {
        let Some(routes) = self.routes.clone() else {
            return EntryAction::Drop(DropReason::Unconfigured);
        };
        let flow = segment.inbound_flow();
        let Some(route) = routes.by_addr.get(&flow.server) else {
            return self.on_unrouted(flow, segment);
        };
        if segment.opens() {
            self.open(now, flow, route)
        } else {
            self.forward(now, flow, route)
        }
    }

    fn on_unrouted(&mut self, flow: FlowKey, segment: &Segment) -> EntryAction {
        if !self.current {
            return EntryAction::Drop(DropReason::Unrouted);
        }
        self.flows.remove(&flow);
        // An opening packet acknowledges nothing: its `ack` counts earlier copies.
        let seq = if segment.opens() { 0 } else { segment.ack };
        EntryAction::Reset(Reset { flow, seq }, ResetReason::Unrouted)
    }

    /// Forwards an opening packet: to the agent that is known to hold the flow, or to
    /// a newly selected agent that wasn't tried yet if possible.
    fn open(&mut self, now: Timestamp, flow: FlowKey, route: &Route) -> EntryAction {
        let service = route.service(&flow);
        let tried = match self.flows.touch(now, &flow) {
            // The agent answers each copy of the opening packet, or has queued the
            // first copy.
            Some(FlowState::Located(agent)) => {
                let agent = *agent;
                if let Some(service) = self.routed_service(agent, route) {
                    self.expect_answer(now, agent);
                    let header = self.header(Intent::Open, service, route, None);
                    return EntryAction::Forward {
                        to: vec![agent],
                        header,
                    };
                }
                vec![agent]
            }
            Some(FlowState::Opening { tried }) => tried.clone(),
            Some(FlowState::Locating(_)) | None => Vec::new(),
        };
        let Some((selected, threshold)) = self.select(now, service, route.work, &tried) else {
            return EntryAction::Drop(DropReason::Unserved);
        };
        self.expect_answer(now, selected.agent);
        if let Some(view) = self.views.get_mut(&selected.agent) {
            view.sent += 1;
        }
        let mut tried = tried;
        tried.push(selected.agent);
        self.flows.insert(now, flow, FlowState::Opening { tried });
        let mut header = self.header(Intent::Open, service, route, selected.alternate);
        header.placement_hint.threshold = threshold;
        EntryAction::Forward {
            to: vec![selected.agent],
            header,
        }
    }

    /// Forwards a packet that doesn't open a flow: to the agent that is known to hold
    /// the flow, or to one of the flow's directory agents.
    fn forward(&mut self, now: Timestamp, flow: FlowKey, route: &Route) -> EntryAction {
        let queries = match self.flows.touch(now, &flow) {
            Some(FlowState::Located(agent)) => {
                let agent = *agent;
                if let Some(service) = self.routed_service(agent, route) {
                    return EntryAction::Forward {
                        to: vec![agent],
                        header: self.header(Intent::Owned, service, route, None),
                    };
                }
                0
            }
            Some(FlowState::Locating(queries)) => *queries,
            Some(FlowState::Opening { .. }) | None => 0,
        };
        self.flows
            .insert(now, flow, FlowState::Locating(queries + 1));
        let service = route.service(&flow);
        let Some(agent) = self.directory_agent(now, service, &flow, queries) else {
            return EntryAction::Drop(DropReason::Unserved);
        };
        self.expect_answer(now, agent);
        EntryAction::Forward {
            to: vec![agent],
            header: self.header(Intent::Locate, service, route, None),
        }
    }

    /// The service of an agent, or `None` if the agent is unknown or the route
    /// doesn't include its service. An agent's address may have been reassigned to
    /// another service since the agent reported that it holds a flow.
    fn routed_service(&self, agent: InstanceId, route: &Route) -> Option<NameKey> {
        let service = self.agents.record(agent)?.service;
        let mut shares = route.shares.iter();
        shares
            .any(|share| share.service == service)
            .then_some(service)
    }

    /// The directory agent to which the next packet goes after `queries` earlier
    /// ones, or `None` if the service has no known agent. The two directory agents
    /// take turns, but one whose answer is overdue is skipped unless the other's
    /// answer is overdue too.
    fn directory_agent(
        &self,
        now: Timestamp,
        service: NameKey,
        flow: &FlowKey,
        queries: u32,
    ) -> Option<InstanceId> {
        let agents = self.agents.directory_agents(service, flow)?;
        let second = agents.second.unwrap_or(agents.first);
        let (next, other) = if queries.is_multiple_of(2) {
            (agents.first, second)
        } else {
            (second, agents.first)
        };
        if self.is_overdue(now, next) && !self.is_overdue(now, other) {
            return Some(other);
        }
        Some(next)
    }

    /// Selects an agent for a new flow, and returns it with the maximum load at which
    /// an agent accepts the flow at once. Agents in `tried` are considered only if
    /// the service has no other ones. Returns `None` if it has no known agent.
    fn select(
        &mut self,
        now: Timestamp,
        service: NameKey,
        work: Work,
        tried: &[InstanceId],
    ) -> Option<(Selection, LoadLevel)> {
        let all = self.candidates(now, service);
        let untried: Vec<Candidate> = all
            .iter()
            .filter(|it| !tried.contains(&it.id))
            .copied()
            .collect();
        let candidates = if untried.is_empty() { &all } else { &untried };
        let selected = selection::choose(candidates, work.class, &mut self.rng)?;
        Some((selected, selection::threshold(&all, work.class)))
    }

    /// The known agents of a service with what the entry knows about each of them.
    fn candidates(&self, now: Timestamp, service: NameKey) -> Vec<Candidate> {
        let ids = self.agents.of_service(service).iter();
        ids.filter_map(|id| {
            let view = self.views.get(id)?;
            let record = self.agents.record(*id)?;
            let refused = view
                .refused_at
                .is_some_and(|at| now.since(at) < REFUSAL_PERIOD);
            Some(Candidate {
                id: *id,
                load: view.load,
                sent: view.sent,
                same_domain: record.domain == self.options.domain,
                suspect: refused || self.is_overdue(now, *id),
            })
        })
        .collect()
    }

    /// Whether an answer of the agent has been awaited for more than
    /// [`ANSWER_TIMEOUT`].
    fn is_overdue(&self, now: Timestamp, id: InstanceId) -> bool {
        let awaiting_since = self.views.get(&id).and_then(|view| view.awaiting_since);
        awaiting_since.is_some_and(|since| now.since(since) > ANSWER_TIMEOUT)
    }

    /// Starts the time after which an answer of the agent is overdue, unless it is
    /// running already. The agent's next report or hello ends it.
    fn expect_answer(&mut self, now: Timestamp, id: InstanceId) {
        if let Some(view) = self.views.get_mut(&id) {
            view.awaiting_since.get_or_insert(now);
        }
    }

    fn header(
        &self,
        intent: Intent,
        service: NameKey,
        route: &Route,
        other: Option<InstanceId>,
    ) -> Header {
        Header {
            intent,
            hops: 0,
            service,
            version: self.version(),
            entry: self.options.own,
            other,
            single_service: route.shares.len() == 1,
            work: route.work,
            // An agent that is known to hold the flow accepts it
            // unconditionally. For a newly selected agent, `open` sets another
            // threshold.
            placement_hint: PlacementHint {
                threshold: LoadLevel::MAX,
                best: None,
            },
        }
    }

    /// Prefers other agents for new flows after a refusal, and for the refused flow.
    /// Removes the agent if its target belongs to another service.
    fn on_refusal(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        report: &FlowReport,
        reason: RefuseReason,
    ) {
        if reason == RefuseReason::Service {
            self.agents.remove(from);
            self.views.swap_remove(&from);
        } else if let Some(view) = self.views.get_mut(&from) {
            view.refused_at = Some(now);
        }
        match self.flows.touch(now, &report.flow) {
            Some(state @ FlowState::Located(_)) => {
                if matches!(state, FlowState::Located(agent) if *agent == from) {
                    *state = FlowState::Opening { tried: vec![from] };
                }
            }
            Some(FlowState::Opening { tried }) if !tried.contains(&from) => tried.push(from),
            Some(FlowState::Opening { .. } | FlowState::Locating(_)) | None => {}
        }
    }

    /// Updates an agent's view from the agent's record. A new view assumes that the
    /// agent has no load.
    fn update_record(&mut self, record: &AgentRecord) {
        let load = Load::idle(record.state, record.slots);
        let view = self.views.entry(record.id).or_insert(AgentView::new(load));
        view.load.state = record.state;
        view.load.slots = record.slots;
    }

    /// Applies a load that a known agent reported. After that, no answer of the agent is
    /// awaited. Has no effect if the agent is unknown.
    fn update_load(&mut self, now: Timestamp, id: InstanceId, load: Load) {
        if self.agents.record(id).is_none() {
            return;
        }
        let view = self.views.entry(id).or_insert(AgentView::new(load));
        let refused_at = view.refused_at.filter(|at| now.since(*at) < REFUSAL_PERIOD);
        *view = AgentView {
            refused_at,
            ..AgentView::new(load)
        };
    }
}

impl AgentView {
    fn new(load: Load) -> AgentView {
        AgentView {
            load,
            sent: 0,
            awaiting_since: None,
            refused_at: None,
        }
    }
}
