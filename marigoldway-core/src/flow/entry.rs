//! This module decides how an entry handles packets from clients.
//!
//! An entry is a process that receives clients' packets and forwards them to
//! agents. Each agent is a process beside one target. It reports to the entry
//! whether its target holds a flow, and how loaded the target is.

mod actions;
mod confirmation;
mod early;
mod listing;
mod locate;
mod open;
mod proof;
mod views;

use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::flow::addr_services::AddrServices;
use crate::flow::agents::Agents;
use crate::flow::capacity::CapacityPolicy;
use crate::flow::capacity::LogTime;
pub use crate::flow::entry::actions::DropReason;
pub use crate::flow::entry::actions::EntryAction;
pub use crate::flow::entry::actions::Forwarding;
pub use crate::flow::entry::actions::ResetReason;
use crate::flow::entry::confirmation::Demands;
pub use crate::flow::entry::early::EarlyPackets;
use crate::flow::entry::locate::Locating;
use crate::flow::entry::views::AgentViews;
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
use crate::flow::message::Verdict;
use crate::flow::overload::overflow::Overflow;
use crate::flow::route_moves::Continuity;
use crate::flow::routes::Route;
use crate::flow::routes::Routes;
use crate::flow::segment::Segment;
use crate::flow::table::FlowTable;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// `EntryOptions` holds the identity of an entry and the limits of its flow table.
#[derive(Clone, Copy, Debug)]
pub struct EntryOptions {
    /// ID of the entry: the address to which agents send their reports.
    pub own: InstanceId,
    /// Failure domain of the entry's instance.
    pub domain: NameKey,
    /// Maximum number of flows in the table.
    pub max_flows: usize,
    /// Time without a packet after which a flow may be removed from the table, which is
    /// the maximum lifetime of a flow. The idle timeout of the routes applies if it is
    /// longer.
    pub idle_timeout: Duration,
    /// Time within which a change of the configuration takes effect. The entry resets new flows to
    /// addresses without a route as long as its routes were the newest ones this long ago.
    pub apply_limit: Duration,
    /// Whether new flows of a saturated service go to another service of their route that has spare
    /// capacity.
    pub overflow: bool,
    /// Seed of the random draws among agents.
    pub seed: u64,
    /// Whether and how far estimates of capacity affect the selection of agents.
    pub capacity: CapacityPolicy,
}

/// `FlowState` is what an entry knows about a flow.
#[derive(Clone, Debug)]
enum FlowState {
    /// The client is opening the flow, and no agent is known to hold it. `tried`
    /// contains the agents that this entry selected for the flow, and those that
    /// refused it or no longer belong to a service of its route.
    Opening { tried: Vec<InstanceId> },
    /// This agent reported that its target holds the flow, while it belonged to this
    /// service.
    Located { agent: InstanceId, service: NameKey },
    /// The flow is open, and no agent is known to hold it.
    Locating(Locating),
    /// The flow may be open, but its address has had no route here since this time.
    Unrouted(Timestamp),
}

/// `EntryFlows` decides how an entry handles packets from clients.
#[derive(Debug)]
pub struct EntryFlows {
    options: EntryOptions,
    routes: Option<Arc<Routes>>,
    /// Latest time at which `routes` is known to have been the newest configuration, or `None`
    /// before the first confirmation.
    routes_confirmed: Option<Timestamp>,
    /// Latest time at which the store is known to have had no agent that `agents` lacks, or `None`
    /// before the first confirmation.
    agents_confirmed: Option<Timestamp>,
    /// Flows that no target holds under `routes`, until these are confirmed.
    unconfirmed: IndexSet<FlowKey>,
    demands: Demands,
    /// Times from the first packets of flows to their resets, until they are taken.
    reset_times: Vec<Duration>,
    agents: Agents,
    /// Services of the agents of which the store has a presence record.
    present: IndexMap<InstanceId, NameKey>,
    views: AgentViews,
    overflow: Overflow,
    addr_services: AddrServices,
    flows: FlowTable<FlowState>,
    rng: StdRng,
}

impl EntryFlows {
    /// Creates the state of an entry that knows no routes, agents or flows.
    pub fn new(options: EntryOptions) -> EntryFlows {
        EntryFlows {
            options,
            routes: None,
            routes_confirmed: None,
            agents_confirmed: None,
            unconfirmed: IndexSet::new(),
            demands: Demands::default(),
            reset_times: Vec::new(),
            agents: Agents::default(),
            present: IndexMap::new(),
            views: AgentViews::default(),
            overflow: Overflow::default(),
            addr_services: AddrServices::new(options.idle_timeout),
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

    /// The known agents, for updates of the drained failure domains by the caller that learns of
    /// them.
    pub fn agents_mut(&mut self) -> &mut Agents {
        &mut self.agents
    }

    /// Number of flows in the table.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Applies a configuration and returns true. Returns false and keeps the
    /// configuration in use if the new version isn't higher.
    pub fn set_routes(
        &mut self,
        now: Timestamp,
        routes: Arc<Routes>,
        continuity: Continuity,
    ) -> bool {
        if let Some(known) = &self.routes {
            if routes.version <= known.version {
                return false;
            }
            self.addr_services
                .on_routes(now, known, &routes, continuity);
        }
        self.flows
            .set_idle_timeout(routes.idle.max(self.options.idle_timeout));
        self.routes = Some(routes);
        true
    }

    /// Applies the complete list of agents from the store. Known agents that it lacks
    /// become unregistered.
    pub fn replace_agents(&mut self, now: Timestamp, records: &[AgentRecord]) {
        self.agents.replace(now, records);
        for record in records {
            self.views.update_record(record);
        }
    }

    /// Removes an agent whose target is known to hold no flow.
    pub fn remove_agent(&mut self, id: InstanceId) {
        self.agents.remove(id);
        self.present.swap_remove(&id);
        self.views.remove(id);
    }

    /// Applies an agent's record from the store.
    pub fn register_agent(&mut self, record: AgentRecord) {
        self.agents.register(record);
        self.views.update_record(&record);
    }

    /// Marks an agent as unregistered: the store no longer has its record.
    pub fn unregister_agent(&mut self, now: Timestamp, id: InstanceId) {
        self.agents.unregister(now, id);
    }

    /// Removes expired agents and a bounded number of idle flows. Returns the
    /// unregistered agents to which the caller must send a probe.
    pub fn tick(&mut self, now: Timestamp) -> Vec<InstanceId> {
        for id in self.agents.expire(now) {
            self.views.remove(id);
        }
        self.addr_services.expire(now);
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
        self.views.update_record(record);
    }

    /// Processes an agent's report about a flow: updates the agent's load, and what
    /// the entry knows about the flow. Returns an action if the report shows that the
    /// flow is gone, or that it must be searched.
    pub fn on_flow_report(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        report: &FlowReport,
    ) -> Option<EntryAction> {
        self.agents.on_message(now, from);
        self.update_load(now, from, report.load);
        match report.verdict {
            Verdict::Holds => self.on_holds(now, from, report.flow),
            // The agent that accepts the flow sends its own report.
            Verdict::PassedOn => self.on_passed_on(now, from, &report.flow),
            Verdict::Unknown => return self.on_unknown(now, from, &report.flow),
            Verdict::NotHeld => return self.on_not_held(now, from, &report.flow),
            Verdict::Refused(reason) => self.on_refusal(now, from, report, reason),
        }
        None
    }

    /// Processes an agent's report that its target holds a flow. The flow stays unknown
    /// if the agent is unknown.
    fn on_holds(&mut self, now: Timestamp, agent: InstanceId, flow: FlowKey) {
        let Some(record) = self.agents.record(agent) else {
            return;
        };
        let service = record.service;
        let state = FlowState::Located { agent, service };
        self.flows.insert(now, flow, state);
    }

    /// Whether the entry still lacks its first configuration or list of agents.
    pub fn is_starting(&self) -> bool {
        self.routes.is_none() || (self.agents.is_empty() && !self.agents.is_loaded())
    }

    /// Decides how to handle a client's packet that arrives now.
    pub fn on_packet(&mut self, now: Timestamp, segment: &Segment) -> EntryAction {
        self.on_kept_packet(now, now, segment)
    }

    /// Decides how to handle a client's packet that arrived at `arrived` and may have been kept since
    /// then.
    pub fn on_kept_packet(
        &mut self,
        now: Timestamp,
        arrived: Timestamp,
        segment: &Segment,
    ) -> EntryAction {
        if self.is_starting() {
            return EntryAction::Keep;
        }
        let Some(routes) = self.routes.clone() else {
            return EntryAction::Drop(DropReason::Unconfigured);
        };
        let flow = segment.inbound_flow();
        let Some(route) = routes.by_addr.get(&flow.server) else {
            return self.on_unrouted(now, arrived, flow, segment, &routes);
        };
        if segment.opens() {
            self.open(now, flow, route, segment.ack)
        } else {
            self.forward(now, arrived, flow, route, segment.ack)
        }
    }

    /// Forwards a packet that doesn't open a flow: to the agent that is known to hold
    /// the flow, whatever the service of the present route is, or to directory agents.
    fn forward(
        &mut self,
        now: Timestamp,
        arrived: Timestamp,
        flow: FlowKey,
        route: &Route,
        acked: u32,
    ) -> EntryAction {
        if let Some(FlowState::Located { agent, service }) = self.flows.touch(now, &flow) {
            let (agent, service) = (*agent, *service);
            if self.is_of_service(agent, service) {
                let header = self.header(Intent::Owned, service, route, None);
                return EntryAction::Forward(vec![Forwarding { agent, header }]);
            }
        }
        self.locate(now, arrived, flow, route, acked)
    }

    /// Whether an agent is known and belongs to the service. An agent's address may be
    /// reassigned to another service.
    fn is_of_service(&self, agent: InstanceId, service: NameKey) -> bool {
        let record = self.agents.record(agent);
        record.is_some_and(|it| it.service == service)
    }

    /// Header of a packet of a flow that goes to an agent which is expected to hold it.
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
            search: false,
            work: route.work,
            // An agent that is known to hold the flow accepts it
            // unconditionally. For a newly selected agent, `open` sets another
            // threshold.
            placement_hint: PlacementHint {
                threshold: LoadLevel::MAX,
                best: None,
                reference: LogTime::UNKNOWN,
                home: None,
            },
            ramp: self.ramp(intent, service),
            waited: Duration::ZERO,
        }
    }

    /// The rate limit of a target of the service in slow start, for an opening packet.
    fn ramp(&self, intent: Intent, service: NameKey) -> Option<NonZeroU32> {
        let routes = self.routes.as_ref().filter(|_| intent == Intent::Open)?;
        routes.ramps.get(&service).copied()
    }

    /// Applies a load that a known agent reported. After that, no answer of the agent is
    /// awaited. Has no effect if the agent is unknown.
    fn update_load(&mut self, now: Timestamp, id: InstanceId, load: Load) {
        if self.agents.record(id).is_none() {
            return;
        }
        self.views.update_load(now, id, load);
    }
}
