//! An entry's decisions on packets of clients.

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

/// Time that an agent may owe an answer before others are preferred. An answer
/// takes a round trip between domains and a turn of both processes.
const ANSWER_LIMIT: Duration = Duration::from_millis(150);

/// Time for which a refusal keeps new flows from an agent whose report says
/// that it serves.
const REFUSAL_LIFE: Duration = Duration::from_millis(500);

/// `EntryOptions` says who an entry is and how much it remembers.
#[derive(Clone, Copy, Debug)]
pub struct EntryOptions {
    /// The address at which agents answer the entry.
    pub own: InstanceId,
    /// Failure domain of the instance.
    pub domain: NameKey,
    /// Flows that are remembered at most.
    pub max_flows: usize,
    /// Time that an unused flow is remembered.
    pub idle_timeout: Duration,
    /// Seed of the choices.
    pub seed: u64,
}

/// `DropReason` says why an entry lets a packet fall.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropReason {
    /// No configuration is known yet.
    Unconfigured,
    /// No route is known, and the configuration may be out of date.
    Unrouted,
    /// No agent of the service is known.
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

/// `ResetReason` says why an entry breaks a flow off.
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

/// `EntryAction` is what is done with a client's packet.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryAction {
    /// It goes to agents, the same header to each.
    Forward {
        /// The agents.
        to: Vec<InstanceId>,
        /// What goes before the packet.
        header: Header,
    },
    /// The client is told that the flow is broken off.
    Reset(Reset, ResetReason),
    /// Nothing is done.
    Drop(DropReason),
}

/// `Track` is what an entry remembers of a flow.
#[derive(Clone, Debug)]
enum Track {
    /// An opening packet went to an agent that hasn't answered yet.
    Opening { tried: Vec<InstanceId> },
    /// An agent holds the flow.
    Located(InstanceId),
    /// Homes were asked so many times.
    Locating(u32),
}

/// `View` is what an entry knows of an agent's load.
#[derive(Clone, Copy, Debug)]
struct View {
    load: Load,
    sent: u32,
    /// Since when an answer is owed.
    owed: Option<Timestamp>,
    refused: Option<Timestamp>,
}

/// `EntryFlows` decides on packets of clients.
#[derive(Debug)]
pub struct EntryFlows {
    options: EntryOptions,
    routes: Option<Arc<Routes>>,
    /// Whether the routes are known to be the ones in force.
    current: bool,
    agents: Agents,
    views: IndexMap<InstanceId, View>,
    flows: FlowTable<Track>,
    rng: StdRng,
}

impl EntryFlows {
    /// Makes an entry that knows neither routes nor agents.
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

    /// The routes in use.
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

    /// Flows that are remembered.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Takes a configuration, unless it is older than the one in use.
    pub fn set_routes(&mut self, routes: Arc<Routes>) -> bool {
        if self.routes.is_some() && routes.version <= self.version() {
            return false;
        }
        self.flows
            .set_idle_timeout(routes.idle.max(self.options.idle_timeout));
        self.routes = Some(routes);
        true
    }

    /// Says whether the routes are known to be the ones in force, so that an
    /// address without a route can be refused at once.
    pub fn set_current(&mut self, current: bool) {
        self.current = current;
    }

    /// Takes the store's whole list of agents.
    pub fn replace_agents(&mut self, now: Timestamp, records: &[AgentRecord]) {
        self.agents.replace(now, records);
        for record in records {
            self.see(record);
        }
    }

    /// Takes an agent that the store lists.
    pub fn register_agent(&mut self, record: AgentRecord) {
        self.agents.register(record);
        self.see(&record);
    }

    /// Takes note that the store no longer lists an agent.
    pub fn unregister_agent(&mut self, now: Timestamp, id: InstanceId) {
        self.agents.unregister(now, id);
    }

    /// Does what is due, and gives the agents to be asked whether they live.
    pub fn tick(&mut self, now: Timestamp) -> Vec<InstanceId> {
        for id in self.agents.expire(now) {
            self.views.swap_remove(&id);
        }
        self.flows.sweep(now);
        self.agents.due_probes(now)
    }

    /// Takes an agent's word on itself.
    pub fn on_hello(&mut self, now: Timestamp, hello: &Hello) {
        self.agents.on_record(now, hello.record);
        self.hear(now, hello.record.id, hello.load);
    }

    /// Takes an agent's record that another process passed on.
    pub fn on_relayed_record(&mut self, now: Timestamp, record: &AgentRecord) {
        self.agents.on_record(now, *record);
        self.see(record);
    }

    /// Takes an agent's word on a flow.
    pub fn on_flow_report(&mut self, now: Timestamp, from: InstanceId, receipt: &FlowReport) {
        self.agents.on_message(now, from);
        self.hear(now, from, receipt.load);
        match receipt.verdict {
            Verdict::Holds => {
                self.flows.insert(now, receipt.flow, Track::Located(from));
            }
            // Whoever takes the flow says so.
            Verdict::PassedOn => {}
            Verdict::Refused(reason) => self.refused(now, from, receipt, reason),
        }
    }

    /// Decides on a client's packet.
    pub fn on_packet(&mut self, now: Timestamp, segment: &Segment) -> EntryAction {
        let Some(routes) = self.routes.clone() else {
            return EntryAction::Drop(DropReason::Unconfigured);
        };
        let flow = segment.inbound_flow();
        let Some(route) = routes.by_addr.get(&flow.server) else {
            return self.unrouted(flow, segment);
        };
        if segment.opens() {
            self.open(now, flow, route)
        } else {
            self.pass(now, flow, route)
        }
    }

    fn unrouted(&mut self, flow: FlowKey, segment: &Segment) -> EntryAction {
        if !self.current {
            return EntryAction::Drop(DropReason::Unrouted);
        }
        self.flows.remove(&flow);
        let seq = if segment.opens() { 0 } else { segment.ack };
        EntryAction::Reset(Reset { flow, seq }, ResetReason::Unrouted)
    }

    fn open(&mut self, now: Timestamp, flow: FlowKey, route: &Route) -> EntryAction {
        let service = route.service(&flow);
        let tried = match self.flows.touch(now, &flow) {
            // Its agent answers each copy, or holds the first one back.
            Some(Track::Located(agent)) => {
                let agent = *agent;
                if let Some(service) = self.serves(agent, route) {
                    self.owe(now, agent);
                    let header = self.header(Intent::Open, service, route, None);
                    return EntryAction::Forward {
                        to: vec![agent],
                        header,
                    };
                }
                vec![agent]
            }
            Some(Track::Opening { tried }) => tried.clone(),
            Some(Track::Locating(_)) | None => Vec::new(),
        };
        let Some((selected, threshold)) = self.place(now, service, route.work, &tried) else {
            return EntryAction::Drop(DropReason::Unserved);
        };
        self.owe(now, selected.agent);
        if let Some(view) = self.views.get_mut(&selected.agent) {
            view.sent += 1;
        }
        let mut tried = tried;
        tried.push(selected.agent);
        self.flows.insert(now, flow, Track::Opening { tried });
        let mut header = self.header(Intent::Open, service, route, selected.alternate);
        header.placement_hint.threshold = threshold;
        EntryAction::Forward {
            to: vec![selected.agent],
            header,
        }
    }

    fn pass(&mut self, now: Timestamp, flow: FlowKey, route: &Route) -> EntryAction {
        let asked = match self.flows.touch(now, &flow) {
            Some(Track::Located(agent)) => {
                let agent = *agent;
                if let Some(service) = self.serves(agent, route) {
                    return EntryAction::Forward {
                        to: vec![agent],
                        header: self.header(Intent::Owned, service, route, None),
                    };
                }
                0
            }
            Some(Track::Locating(asked)) => *asked,
            Some(Track::Opening { .. }) | None => 0,
        };
        self.flows.insert(now, flow, Track::Locating(asked + 1));
        let service = route.service(&flow);
        let Some(home) = self.home(now, service, &flow, asked) else {
            return EntryAction::Drop(DropReason::Unserved);
        };
        self.owe(now, home);
        EntryAction::Forward {
            to: vec![home],
            header: self.header(Intent::Locate, service, route, None),
        }
    }

    /// The service of a known agent, if the route's flows may go there: its
    /// address may have passed to another service.
    fn serves(&self, agent: InstanceId, route: &Route) -> Option<NameKey> {
        let service = self.agents.record(agent)?.service;
        let mut shares = route.shares.iter();
        shares
            .any(|share| share.service == service)
            .then_some(service)
    }

    /// The home that is asked: by turns, and the other one where the one whose
    /// turn it is owes an answer.
    fn home(
        &self,
        now: Timestamp,
        service: NameKey,
        flow: &FlowKey,
        asked: u32,
    ) -> Option<InstanceId> {
        let homes = self.agents.directory_agents(service, flow)?;
        let second = homes.second.unwrap_or(homes.first);
        let (one, other) = if asked.is_multiple_of(2) {
            (homes.first, second)
        } else {
            (second, homes.first)
        };
        if self.suspect(now, one) && !self.suspect(now, other) {
            return Some(other);
        }
        Some(one)
    }

    fn place(
        &mut self,
        now: Timestamp,
        service: NameKey,
        work: Work,
        tried: &[InstanceId],
    ) -> Option<(Selection, LoadLevel)> {
        let all = self.candidates(now, service);
        let fresh: Vec<Candidate> = all
            .iter()
            .filter(|it| !tried.contains(&it.id))
            .copied()
            .collect();
        let candidates = if fresh.is_empty() { &all } else { &fresh };
        let selected = selection::choose(candidates, work.class, &mut self.rng)?;
        Some((selected, selection::threshold(&all, work.class)))
    }

    fn candidates(&self, now: Timestamp, service: NameKey) -> Vec<Candidate> {
        let ids = self.agents.of_service(service).iter();
        ids.filter_map(|id| {
            let view = self.views.get(id)?;
            let record = self.agents.record(*id)?;
            let refused = view.refused.is_some_and(|at| now.since(at) < REFUSAL_LIFE);
            Some(Candidate {
                id: *id,
                load: view.load,
                sent: view.sent,
                same_domain: record.domain == self.options.domain,
                suspect: refused || self.suspect(now, *id),
            })
        })
        .collect()
    }

    fn suspect(&self, now: Timestamp, id: InstanceId) -> bool {
        let owed = self.views.get(&id).and_then(|view| view.owed);
        owed.is_some_and(|since| now.since(since) > ANSWER_LIMIT)
    }

    fn owe(&mut self, now: Timestamp, id: InstanceId) {
        if let Some(view) = self.views.get_mut(&id) {
            view.owed.get_or_insert(now);
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
            // An agent that is known to hold the flow takes it in any case.
            placement_hint: PlacementHint {
                threshold: LoadLevel::MAX,
                best: None,
            },
        }
    }

    fn refused(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        receipt: &FlowReport,
        reason: RefuseReason,
    ) {
        if reason == RefuseReason::Service {
            self.agents.remove(from);
            self.views.swap_remove(&from);
        } else if let Some(view) = self.views.get_mut(&from) {
            view.refused = Some(now);
        }
        match self.flows.touch(now, &receipt.flow) {
            Some(track @ Track::Located(_)) => {
                if matches!(track, Track::Located(agent) if *agent == from) {
                    *track = Track::Opening { tried: vec![from] };
                }
            }
            Some(Track::Opening { tried }) if !tried.contains(&from) => tried.push(from),
            Some(Track::Opening { .. } | Track::Locating(_)) | None => {}
        }
    }

    /// Makes a view of an agent that is known by its record alone.
    fn see(&mut self, record: &AgentRecord) {
        let load = Load::idle(record.state, record.slots);
        let view = self.views.entry(record.id).or_insert(View::new(load));
        view.load.state = record.state;
        view.load.slots = record.slots;
    }

    fn hear(&mut self, now: Timestamp, id: InstanceId, load: Load) {
        if self.agents.record(id).is_none() {
            return;
        }
        let view = self.views.entry(id).or_insert(View::new(load));
        let refused = view.refused.filter(|at| now.since(*at) < REFUSAL_LIFE);
        *view = View {
            refused,
            ..View::new(load)
        };
    }
}

impl View {
    fn new(load: Load) -> View {
        View {
            load,
            sent: 0,
            owed: None,
            refused: None,
        }
    }
}
