//! An agent's decisions on packets of clients and of its target.

mod admit;
mod defer;
pub mod gate;
mod health;
mod local;
mod locate;
mod open;
mod openings;
mod outbound;
mod register;
mod search;
pub mod steps;
mod words;

use std::time::Duration;

use crate::flow::agent::gate::Gate;
use crate::flow::agent::health::Health;
use crate::flow::agent::local::LocalFlow;
pub use crate::flow::agent::local::Phase;
use crate::flow::agent::openings::Openings;
use crate::flow::agent::search::Searches;
pub use crate::flow::agent::steps::AgentStep;
pub use crate::flow::agent::steps::DropReason;
pub use crate::flow::agent::steps::ResetReason;
use crate::flow::agents::Agents;
use crate::flow::key::NameKey;
use crate::flow::message::AgentRecord;
use crate::flow::message::DirectoryUpdate;
use crate::flow::message::Header;
use crate::flow::message::Hello;
use crate::flow::message::Intent;
use crate::flow::message::Load;
use crate::flow::message::RefuseReason;
use crate::flow::message::TargetState;
use crate::flow::segment::Reset;
use crate::flow::segment::Segment;
use crate::flow::table::FlowTable;
use crate::flow::target::Heartbeat;
use crate::flow::target::HeartbeatOutcome;
use crate::flow::target::Target;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Agents that a packet passes at most.
const HOPS_MAX: u8 = 4;

/// Time after which a newcomer has been told of those that came with it.
const NEWCOMER_LIFE: Duration = Duration::from_secs(10);

/// Milliseconds by which a target may seem older than the process that started
/// with it. A process that ends isn't back as soon.
const FRESH_SLACK_MS: u64 = 100;

/// Heartbeats that a target may have sent before the first one that is heard,
/// if it started with the process: clocks alone could mislead.
const FRESH_BEATS: u64 = 3;

/// Time for which a closed flow's last packets are still delivered.
const CLOSED_LIFE: Duration = Duration::from_secs(3);

/// `AgentOptions` says who an agent is and how much it remembers.
#[derive(Clone, Copy, Debug)]
pub struct AgentOptions {
    /// The address at which it takes packets from processes of the system.
    pub own: InstanceId,
    /// Random number of this process.
    pub incarnation: u64,
    /// Service of the target.
    pub service: NameKey,
    /// Failure domain of the instance.
    pub domain: NameKey,
    /// Time between two heartbeats of the target.
    pub interval: Duration,
    /// Flows that are remembered at most, own ones and those of others each.
    pub limit: usize,
    /// Time that an unused flow is remembered.
    pub life: Duration,
    /// When the process started.
    pub started: Timestamp,
    /// The same moment by the instance's clock, in Unix milliseconds.
    pub born: u64,
}

/// `AgentFlows` decides on packets of clients and of the target.
#[derive(Debug)]
pub struct AgentFlows {
    options: AgentOptions,
    service: NameKey,
    target: Target,
    agents: Agents,
    flows: FlowTable<LocalFlow>,
    /// What owners registered here, at most two owners a flow.
    homed: FlowTable<Vec<(InstanceId, u32)>>,
    version: u64,
    /// When the version was first seen.
    version_since: Timestamp,
    /// State of `agents` for which flows are registered.
    epoch: u64,
    number: u64,
    /// What the record tells of the target.
    stated: Option<Stated>,
    /// Whether the target started with this process.
    fresh: bool,
    /// When questions and answers of searches last went out.
    asked: Timestamp,
    /// Rounds of greetings that went out, and when the last did.
    greetings: (u32, Timestamp),
    leaving: bool,
    /// Whether the store's first list lacked this agent.
    newcomer: bool,
    gate: Gate,
    health: Health,
    openings: Openings,
    searches: Searches,
    open: u32,
}

/// `Stated` is what an agent's record tells of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stated {
    state: TargetState,
    slots: u16,
    service: NameKey,
    complete: bool,
}

impl AgentFlows {
    /// Makes an agent that knows nobody.
    pub fn new(options: AgentOptions) -> AgentFlows {
        AgentFlows {
            options,
            service: options.service,
            target: Target::new(options.interval),
            agents: Agents::default(),
            flows: FlowTable::new(options.limit, options.life),
            homed: FlowTable::new(options.limit, options.life),
            version: 0,
            version_since: Timestamp::ZERO,
            epoch: 0,
            number: 1,
            stated: None,
            fresh: false,
            asked: Timestamp::ZERO,
            greetings: (0, Timestamp::ZERO),
            leaving: false,
            newcomer: false,
            gate: Gate::default(),
            health: Health::default(),
            openings: Openings::default(),
            searches: Searches::default(),
            open: 0,
        }
    }

    /// What is believed of the target.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// The service of the target.
    pub fn service(&self) -> NameKey {
        self.service
    }

    /// The known agents of the own service.
    pub fn agents(&self) -> &Agents {
        &self.agents
    }

    /// Takes the store's whole list of the service's agents, and the marks of
    /// those that may live without being listed: their lease may have lapsed
    /// while the store was away, and this process may be younger than that. An
    /// agent that its first list lacks is a newcomer.
    pub fn on_list(&mut self, now: Timestamp, records: &[AgentRecord], marks: &[AgentRecord]) {
        if !self.agents.is_loaded() {
            self.newcomer = !records.iter().any(|it| it.id == self.options.own);
        }
        self.agents.replace(now, records);
        for mark in marks.iter().filter(|it| it.id != self.options.own) {
            // Whether its table is complete isn't known of its process now.
            let complete = false;
            self.agents
                .add_unregistered(now, AgentRecord { complete, ..*mark });
        }
    }

    /// Whether every agent that may hold a flow is known. Two newcomers don't
    /// know each other before the store has told them.
    fn knows_all(&self, now: Timestamp) -> bool {
        let settled = !self.newcomer || now.since(self.options.started) >= NEWCOMER_LIFE;
        settled && self.agents.is_loaded()
    }

    /// The known agents, to be changed by whoever reads the store.
    pub fn agents_mut(&mut self) -> &mut Agents {
        &mut self.agents
    }

    /// Highest version of the configuration that was seen.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes note of a version of the configuration.
    pub fn see_version(&mut self, now: Timestamp, version: u64) {
        if version > self.version {
            self.version = version;
            self.version_since = now;
        }
    }

    /// Flows of the own target, and flows of others that are registered here.
    pub fn counts(&self) -> (usize, usize) {
        (self.flows.len(), self.homed.len())
    }

    /// Changes the service, where the settings have changed.
    pub fn set_service(&mut self, service: NameKey) {
        self.service = service;
    }

    /// What the agent says of itself.
    pub fn hello(&self, now: Timestamp) -> Hello {
        let load = self.load(now);
        Hello {
            record: AgentRecord {
                id: self.options.own,
                incarnation: self.options.incarnation,
                number: self.number,
                service: self.service,
                domain: self.options.domain,
                state: load.state,
                slots: load.slots,
                complete: self.is_complete(now),
            },
            load,
            version: self.version,
        }
    }

    /// What the agent knows of its target.
    pub fn load(&self, now: Timestamp) -> Load {
        Load {
            state: self.state(now),
            slots: self.slots(),
            running: saturate(self.gate.running()),
            waiting: saturate(self.gate.waiting()),
            opening: saturate(self.openings.len()),
            flows: self.open,
            failing: self.health.failing(now),
            slow_start: self.target.slow_start(now),
        }
    }

    /// Takes a heartbeat of the target. Flows of an earlier one are broken off.
    pub fn on_heartbeat(
        &mut self,
        now: Timestamp,
        heartbeat: Heartbeat,
        steps: &mut Vec<AgentStep>,
    ) -> HeartbeatOutcome {
        let first = (heartbeat.started_at, heartbeat.number);
        let heard = self.target.on_heartbeat(now, heartbeat);
        if heard == HeartbeatOutcome::Started {
            self.fresh = first.0 + FRESH_SLACK_MS >= self.options.born && first.1 <= FRESH_BEATS;
            // Flows that were met before the first word are this target's.
            if self.target.incarnations() > 1 {
                self.end_flows(steps);
            }
            self.health = Health::default();
        }
        self.restate(now);
        heard
    }

    /// Takes the target's word that it ends.
    pub fn on_leave(&mut self, now: Timestamp, id: &str) -> bool {
        let left = self.target.on_leave(id);
        self.restate(now);
        left
    }

    /// Takes no new flows from now on, since the process is to end.
    pub fn leave(&mut self, now: Timestamp) {
        self.leaving = true;
        self.restate(now);
    }

    /// Raises the record's number if it tells something new.
    fn restate(&mut self, now: Timestamp) {
        let stated = Stated {
            state: self.state(now),
            slots: self.slots(),
            service: self.service,
            complete: self.is_complete(now),
        };
        if self.stated != Some(stated) {
            self.stated = Some(stated);
            self.number += 1;
        }
    }

    /// Whether every flow that the target holds stands in the table.
    fn is_complete(&self, now: Timestamp) -> bool {
        self.fresh || now.since(self.options.started) >= self.options.life
    }

    fn state(&self, now: Timestamp) -> TargetState {
        match self.target.state(now) {
            TargetState::Serving if self.leaving => TargetState::Draining,
            state => state,
        }
    }

    /// Takes a registration of an owner.
    pub fn on_registration(&mut self, now: Timestamp, registration: &DirectoryUpdate) {
        if registration.service != self.service {
            return;
        }
        self.agents.on_message(now, registration.owner);
        for registered in &registration.flows {
            self.home(now, registration.owner, registered);
        }
    }

    /// Takes a client's packet that came with a header.
    pub fn on_client(
        &mut self,
        now: Timestamp,
        header: &Header,
        segment: &Segment,
        packet: &[u8],
        steps: &mut Vec<AgentStep>,
    ) {
        let flow = segment.inbound_flow();
        if header.service != self.service {
            return self.refuse(now, header, flow, RefuseReason::Service, steps);
        }
        match header.intent {
            Intent::Open => self.open(now, header, segment, steps),
            Intent::Owned | Intent::Locate | Intent::Search => {
                self.pass(now, header, segment, packet, steps);
            }
        }
    }

    /// Does what is due: registers flows whose homes have changed, and forgets
    /// what is over. Gives the agents to be asked whether they live.
    pub fn tick(&mut self, now: Timestamp, steps: &mut Vec<AgentStep>) -> Vec<InstanceId> {
        self.agents.expire(now);
        self.restate(now);
        self.flows
            .retain(|_, flow| flow.closed.is_none_or(|at| now.since(at) < CLOSED_LIFE));
        self.flows.sweep(now);
        self.homed.sweep(now);
        self.searches.expire(now);
        self.openings.expire(now);
        self.recount();
        self.greet(now, steps);
        self.converse(now, steps);
        self.expire(now, steps);
        self.release(now, steps);
        if self.epoch != self.agents.epoch() {
            self.epoch = self.agents.epoch();
            self.register_all(now, steps);
        }
        self.agents.due_probes(now)
    }

    fn recount(&mut self) {
        let flows = self.flows.iter();
        let open = flows.filter(|(key, it)| {
            let begun = it.phase == Phase::Open || self.openings.contains(key);
            begun && it.closed.is_none()
        });
        self.open = u32::try_from(open.count()).unwrap_or(u32::MAX);
    }

    fn slots(&self) -> u16 {
        self.target.current().map_or(1, |it| it.slots)
    }

    /// Breaks off every flow of an earlier incarnation of the target.
    fn end_flows(&mut self, steps: &mut Vec<AgentStep>) {
        self.flows.retain(|key, flow| {
            if flow.phase == Phase::Open && flow.closed.is_none() {
                let reset = Reset {
                    flow: *key,
                    seq: flow.acked,
                };
                steps.push(AgentStep::Reset(reset, ResetReason::TargetRestarted));
            }
            false
        });
        self.gate.clear();
        self.openings.clear();
        self.searches.clear();
        self.recount();
    }
}

fn saturate(count: usize) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
