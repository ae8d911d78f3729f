//! Decides what an agent does with packets of clients and of its target.
//!
//! An agent runs beside one target and admits flows and requests to it. An entry is a process
//! that receives the packets of clients from the routers and forwards them to agents. An agent
//! whose target holds a flow is the flow's owner. It registers the flow at the flow's directory
//! agents: up to two agents of the service, selected by the hash of the flow, that store the
//! owner. An entry that doesn't know the owner sends packets of the flow to a directory agent.

pub mod actions;
mod admit;
mod guest;
mod health;
mod listing;
mod local;
mod locate;
mod open;
mod openings;
mod outbound;
mod peer_messages;
mod periodic;
pub mod ramp;
mod reach;
mod record;
mod redirect;
mod register;
mod search;
mod searcher;
mod served_addrs;
pub mod slot_queue;
mod slow_start;
mod standing;

use std::time::Duration;

pub use crate::flow::agent::actions::AgentAction;
pub use crate::flow::agent::actions::DropReason;
pub use crate::flow::agent::actions::ReleasedOpening;
pub use crate::flow::agent::actions::ResetReason;
use crate::flow::agent::health::Health;
use crate::flow::agent::local::LocalFlow;
pub use crate::flow::agent::local::Phase;
use crate::flow::agent::openings::Openings;
pub use crate::flow::agent::peer_messages::FLUSH_INTERVAL;
use crate::flow::agent::ramp::OpeningQueue;
use crate::flow::agent::ramp::RampLimiter;
use crate::flow::agent::reach::OwnReach;
use crate::flow::agent::record::PublishedState;
use crate::flow::agent::search::ListDemand;
use crate::flow::agent::search::Searches;
use crate::flow::agent::served_addrs::ServedAddrs;
use crate::flow::agent::slot_queue::SlotQueue;
use crate::flow::agents::Agents;
use crate::flow::capacity::CapacityPolicy;
use crate::flow::capacity::observer::ServiceObserver;
use crate::flow::key::NameKey;
use crate::flow::message::DirectoryUpdate;
use crate::flow::message::Header;
use crate::flow::message::Intent;
use crate::flow::message::RefuseReason;
use crate::flow::overload::occupancy::Occupancy;
use crate::flow::segment::Segment;
use crate::flow::table::FlowTable;
use crate::flow::target::Heartbeat;
use crate::flow::target::HeartbeatOutcome;
use crate::flow::target::Target;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Maximum number of agents that forward one packet on its way to the flow's owner.
const MAX_HOPS: u8 = 4;

/// Time from the start of a joining agent until the store has told it of the agents that joined
/// with it.
const JOIN_PERIOD: Duration = Duration::from_secs(10);

/// Maximum number of milliseconds by which a target may have started before this process and
/// still count as started with it. A process that ends takes longer than that to restart.
const START_SLACK_MS: u64 = 100;

/// Maximum sequence number of the first heartbeat received from a target for the target to count
/// as started with this process. The start times alone could be wrong, since they depend on
/// clocks.
const START_HEARTBEATS: u64 = 3;

/// `AgentOptions` identifies an agent and sets its limits.
#[derive(Clone, Copy, Debug)]
pub struct AgentOptions {
    /// Address at which the agent receives packets from other processes of the system.
    pub own: InstanceId,
    /// Random number of this process.
    pub incarnation: u64,
    /// Service of the target.
    pub service: NameKey,
    /// Failure domain of the instance.
    pub domain: NameKey,
    /// Time between two heartbeats of the target.
    pub heartbeat_interval: Duration,
    /// Maximum number of flows in each of the two tables: flows of the own target, and the
    /// directory of flows of other agents.
    pub max_flows: usize,
    /// Time after which an unused flow is removed.
    pub idle_timeout: Duration,
    /// When the process started, by its monotonic clock.
    pub started: Timestamp,
    /// When the process started, by the instance's clock, in Unix milliseconds.
    pub started_at: u64,
    /// Whether and how far estimates of capacity affect decisions.
    pub capacity: CapacityPolicy,
}

/// `AgentFlows` holds the state of an agent and decides on packets of clients and of its target.
#[derive(Debug)]
pub struct AgentFlows {
    options: AgentOptions,
    service: NameKey,
    target: Target,
    agents: Agents,
    /// Flows that the own target holds or may hold.
    flows: FlowTable<LocalFlow>,
    /// Owners of flows for which this is a directory agent, up to two for each flow, each with the
    /// sequence number of the first octet that its target sent.
    directory: FlowTable<Vec<(InstanceId, u32)>>,
    /// Highest version of the configuration seen so far.
    version: u64,
    /// When the version was first seen.
    version_since: Timestamp,
    /// Epoch of `agents` at which all flows were last registered.
    epoch: u64,
    /// Number of the own record. It rises with each change of `published`.
    number: u64,
    /// Part of the own record that depends on the target, as of `number`.
    published: Option<PublishedState>,
    /// Whether the target started with this process.
    same_start: bool,
    /// When the collected queries and replies of searches were last sent.
    last_flush: Timestamp,
    /// Number of rounds of hellos sent, and when the last round was sent.
    hellos: (u32, Timestamp),
    /// Whether the process is about to end.
    leaving: bool,
    /// Whether the store's first list of the service lacked this agent.
    joining: bool,
    /// When the agent began to belong to the service.
    joined: Timestamp,
    /// Whether the agent has belonged to another service.
    has_moved: bool,
    /// Whether the store had no trace of this agent when the process started. No entry had then
    /// been told of the agent, so its target holds no flow that the process hasn't seen.
    unannounced: bool,
    /// Whether no target was running when the process started.
    found_no_target: bool,
    /// Time since which the store has listed the agent without interruption, in Unix milliseconds.
    listed_at: Option<u64>,
    /// Time before which the target received no flow, in Unix milliseconds.
    held_at: Option<u64>,
    /// When a message of another process last arrived.
    last_heard: Timestamp,
    /// Whether no message arrived for so long that others may have removed the agent, since its lease
    /// was last known to run.
    isolated: bool,
    /// Start time of the target that an earlier process of this agent served, in Unix milliseconds.
    inherited_start: Option<u64>,
    /// For which flows the own record says that searches ask this agent.
    reach: OwnReach,
    /// Revision of `agents` at which the reach was last reviewed.
    checked_revision: u64,
    slot_queue: SlotQueue,
    occupancy: Occupancy,
    health: Health,
    openings: Openings,
    /// Limits the opening packets that are sent to a target in slow start.
    limiter: RampLimiter,
    /// Opening packets that wait for the limiter.
    opening_queue: OpeningQueue,
    searches: Searches,
    /// Latest time at which the store is known to have had no agent of the service that `agents`
    /// lacks, or `None` before the first confirmation.
    list_confirmed: Option<Timestamp>,
    list_demand: ListDemand,
    served_addrs: ServedAddrs,
    /// Number of flows that are open or whose first request is still expected.
    open_flows: u32,
}

impl AgentFlows {
    /// Creates an agent that knows no other agent and no flow.
    pub fn new(options: AgentOptions) -> AgentFlows {
        AgentFlows {
            options,
            service: options.service,
            target: Target::new(options.heartbeat_interval),
            agents: Agents::default(),
            flows: FlowTable::new(options.max_flows, options.idle_timeout),
            directory: FlowTable::new(options.max_flows, options.idle_timeout),
            version: 0,
            version_since: Timestamp::ZERO,
            epoch: 0,
            number: 1,
            published: None,
            same_start: false,
            last_flush: Timestamp::ZERO,
            hellos: (0, Timestamp::ZERO),
            leaving: false,
            joining: false,
            joined: options.started,
            has_moved: false,
            unannounced: false,
            found_no_target: false,
            listed_at: None,
            held_at: None,
            last_heard: options.started,
            isolated: false,
            inherited_start: None,
            reach: OwnReach::default(),
            checked_revision: 0,
            slot_queue: SlotQueue::with_capacity_policy(options.capacity),
            occupancy: Occupancy::default(),
            health: Health::default(),
            openings: Openings::default(),
            limiter: RampLimiter::new(options.started),
            opening_queue: OpeningQueue::default(),
            searches: Searches::default(),
            list_confirmed: None,
            list_demand: ListDemand::default(),
            served_addrs: ServedAddrs::default(),
            open_flows: 0,
        }
    }

    /// State of the target, derived from its heartbeats.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Service times and estimated capacity of the target.
    pub fn service_observer(&self) -> &ServiceObserver {
        self.slot_queue.observer()
    }

    /// The service of the target.
    pub fn service(&self) -> NameKey {
        self.service
    }

    /// The known agents.
    pub fn agents(&self) -> &Agents {
        &self.agents
    }

    /// The known agents, for updates by the caller that reads the store.
    pub fn agents_mut(&mut self) -> &mut Agents {
        &mut self.agents
    }

    /// Number of the own record. It rises with each change of the record.
    pub fn record_number(&self) -> u64 {
        self.number
    }

    /// Highest version of the configuration seen so far.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records a version of the configuration if it is the highest so far.
    pub fn see_version(&mut self, now: Timestamp, version: u64) {
        if version > self.version {
            self.version = version;
            self.version_since = now;
        }
    }

    /// Number of flows of the own target, and of flows in the directory.
    pub fn counts(&self) -> (usize, usize) {
        (self.flows.len(), self.directory.len())
    }

    /// Sets the service after a change of the settings. If it is another one, returns true, and knows
    /// nothing of it until the store's list of its agents is applied.
    pub fn set_service(&mut self, now: Timestamp, service: NameKey) -> bool {
        if service == self.service {
            return false;
        }
        self.service = service;
        self.has_moved = true;
        self.joining = true;
        self.joined = now;
        self.agents.clear();
        self.list_confirmed = None;
        self.searches = Searches::default();
        self.served_addrs = ServedAddrs::default();
        let (max_flows, lifetime) = (self.options.max_flows, self.options.idle_timeout);
        self.directory = FlowTable::new(max_flows, lifetime);
        self.announce_again();
        self.update_number(now);
        true
    }

    /// Applies a heartbeat of the target. If it is the first one of an incarnation that has started
    /// since this process, resets the open flows of the earlier incarnation and removes its requests.
    pub fn on_heartbeat(
        &mut self,
        now: Timestamp,
        heartbeat: Heartbeat,
        actions: &mut Vec<AgentAction>,
    ) -> HeartbeatOutcome {
        let received = (heartbeat.started_at, heartbeat.number);
        let outcome = self.target.on_heartbeat(now, heartbeat);
        if outcome == HeartbeatOutcome::Started {
            self.same_start = received.0.saturating_add(START_SLACK_MS) >= self.options.started_at
                && received.1 <= START_HEARTBEATS;
            // Flows seen before the first heartbeat belong to this target. So do all flows of a target
            // that is older than this process: an earlier heartbeat was that of a dead incarnation.
            let is_older = received.0.saturating_add(START_SLACK_MS) < self.options.started_at;
            if self.target.incarnations() > 1 {
                if !is_older {
                    self.reset_flows(actions);
                }
                self.announce_again();
            }
            self.health = Health::default();
        }
        self.update_number(now);
        outcome
    }

    /// Applies the target's message that it ends. Returns whether `id` names the current
    /// target.
    pub fn on_leave(&mut self, now: Timestamp, id: &str) -> bool {
        let is_current = self.target.on_leave(id);
        self.update_number(now);
        is_current
    }

    /// Refuses new flows from now on, since the process is about to end.
    pub fn leave(&mut self, now: Timestamp) {
        self.leaving = true;
        self.update_number(now);
    }

    /// Whether the target has requests that aren't finished: admitted or queued ones, flows that
    /// were accepted and whose request hasn't arrived, and uploads and downloads in transit.
    pub fn has_work(&self, now: Timestamp) -> bool {
        if self.target.current().is_none() {
            return false;
        }
        let load = self.load(now);
        let in_transit = |flow: &LocalFlow| {
            let is_open = matches!(flow.phase, Phase::Answered | Phase::Open);
            is_open && flow.closed.is_none() && flow.header.work.class.is_bulk()
        };
        load.running > 0
            || load.waiting > 0
            || load.opening > 0
            || self.flows.iter().any(|(_, flow)| in_transit(flow))
    }

    /// Adds flows that their owner registers to the directory. Ignores an update for another
    /// service.
    pub fn on_directory_update(&mut self, now: Timestamp, update: &DirectoryUpdate) {
        if update.service != self.service {
            return;
        }
        self.agents.on_message(now, update.owner);
        for held in &update.flows {
            self.add_owner(now, update.owner, held);
        }
    }

    /// Handles a client's packet that an entry or another agent forwarded with a header. Refuses a
    /// packet for another service.
    pub fn on_client(
        &mut self,
        now: Timestamp,
        header: &Header,
        segment: &Segment,
        packet: &[u8],
        actions: &mut Vec<AgentAction>,
    ) {
        let flow = segment.inbound_flow();
        if header.service != self.service {
            return self.refuse(now, header, flow, RefuseReason::Service, actions);
        }
        let cancels_opening = segment.flags.rst && self.opening_queue.remove(&flow).is_some();
        if cancels_opening && self.flows.peek(&flow).is_none() {
            return actions.push(AgentAction::Drop(DropReason::Closed));
        }
        match header.intent {
            Intent::Open => self.open(now, header, segment, packet, actions),
            Intent::Owned | Intent::Locate | Intent::Search => {
                self.route_packet(now, header, segment, packet, actions);
            }
        }
        self.record_occupancy(now);
    }
}
