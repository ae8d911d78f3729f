//! Model of two services under load, without sockets: clients, entries, agents and targets.
//!
//! Entries and agents are the real ones. A target runs as many requests as it has slots, queues
//! [`TARGET_QUEUE`] more and rejects the rest. A client sends each request on a flow of its own, or
//! on an idle one of its flows; it repeats opening packets, gives a request up after the timeout of
//! its route, and tries a failed one again on a new flow, [`RETRIES`] times at most.

mod clients;
mod packets;
mod processes;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use marigoldway_core::flow::agent::AgentFlows;
use marigoldway_core::flow::entry::EntryAction;
use marigoldway_core::flow::entry::EntryFlows;
use marigoldway_core::flow::key::FlowKey;
use marigoldway_core::flow::message::FlowReport;
use marigoldway_core::flow::message::Header;
use marigoldway_core::flow::message::Load;
use marigoldway_core::flow::segment::Segment;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::time::Timestamp;

use crate::fleet::agent_id;
use crate::fleet::number;
use crate::overload::model::packets::encode;

/// Number of slots of each target.
pub const SLOTS: u16 = 2;

/// Number of requests that a target queues before it rejects further ones.
const TARGET_QUEUE: usize = 8;

/// Number of further attempts after a failed one.
const RETRIES: u32 = 2;

/// Time after a failed attempt until the next one.
const RETRY_DELAY: u64 = 50 * MS;

/// Travel time between a client and an entry or an agent, in microseconds.
const CLIENT_TRAVEL: u64 = 4 * MS;

/// Travel time between two processes, in microseconds.
const TRAVEL: u64 = MS;

/// Interval between two ticks of a process, in microseconds.
const TICK: u64 = 50 * MS;

/// Interval between two heartbeats, and two hellos, in microseconds.
const SECOND: u64 = 1_000 * MS;

const MS: u64 = 1_000;

/// Start of a run, in microseconds.
const START: u64 = 100 * SECOND;

/// `Class` describes requests of one kind and when they are sent.
#[derive(Clone, Debug)]
pub struct Class {
    /// Server port, which has a route of its own.
    pub port: u16,
    pub priority: u8,
    pub objective: Duration,
    pub timeout: Duration,
    /// Weights of the services `main` and `second`.
    pub weights: (u32, u32),
    /// Mean service time in milliseconds.
    pub service_ms: f64,
    /// Number of client addresses, and the first one.
    pub addresses: (u32, u32),
    /// Number of requests on a flow.
    pub flow_requests: u32,
    /// Requests per second in spans of time, which are given in milliseconds from the start.
    pub rates: Vec<(u64, u64, f64)>,
}

/// `Setup` describes a run.
#[derive(Clone, Debug)]
pub struct Setup {
    pub seed: u64,
    pub entries: usize,
    /// Numbers of targets of `main` and `second`.
    pub targets: (u16, u16),
    pub overflow: bool,
    /// Maximum age of the loads that agents report.
    pub load_age: Duration,
    /// Milliseconds from the start after which a number of targets of `main` end.
    pub loss: Option<(u64, u16)>,
    pub classes: Vec<Class>,
}

/// `Outcome` counts what became of the requests of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    pub sent: u32,
    /// Requests answered within the objective, counted from the first attempt.
    pub in_time: u32,
    /// Requests answered after the objective and within the timeout, counted from the first attempt.
    pub late: u32,
    /// Requests answered after that, by a later attempt.
    pub too_late: u32,
    /// Requests that were never answered.
    pub failed: u32,
    /// Attempts that ended by the client's timeout.
    pub timed_out: u32,
    /// Attempts that were reset before their flow was open.
    pub shed: u32,
    /// Attempts that a target rejected.
    pub rejected: u32,
    /// Attempts that began to run after their client had given them up.
    pub in_vain: u32,
    /// Attempts that ran at a target of `second`.
    pub at_second: u32,
    /// Time of all answers in milliseconds.
    pub answer_ms: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Opening,
    Open,
    Done,
}

#[derive(Clone, Debug)]
struct Attempt {
    request: usize,
    flow: FlowKey,
    origin: u32,
    state: State,
    /// Octets that the client sent on the flow before the request.
    offset: u32,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    class: usize,
    sent_at: u64,
    attempts: u32,
}

#[derive(Clone, Debug)]
enum Event {
    Arrival(usize),
    Attempt(usize),
    Copy(usize, u32),
    Timeout(usize),
    Entry(usize, Segment),
    Agent(InstanceId, Header, Segment),
    Client(Segment),
    Reset(FlowKey),
    Report(InstanceId, InstanceId, FlowReport),
    Served(InstanceId, FlowKey),
    Tick,
    Hello,
    Loss(u16),
    /// The store no longer lists the targets that ended a second ago.
    Unlist(u16),
}

struct Node {
    flows: AgentFlows,
    running: usize,
    queue: VecDeque<FlowKey>,
    open: IndexMap<FlowKey, u32>,
    /// Load as of a time, which the agent reports until it is too old.
    sampled: (u64, Load),
    heartbeats: u64,
}

/// A flow on which a client sends further requests.
#[derive(Clone, Copy, Debug)]
struct IdleFlow {
    flow: FlowKey,
    origin: u32,
    sent: u32,
}

pub struct Model {
    setup: Setup,
    now: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    payloads: Vec<Option<Event>>,
    entries: Vec<EntryFlows>,
    agents: IndexMap<InstanceId, Node>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    by_flow: IndexMap<FlowKey, usize>,
    idle: Vec<Vec<IdleFlow>>,
    flow_count: u32,
    pub outcomes: Vec<Outcome>,
    /// Busy time of the slots of `main` and `second`, in microseconds.
    pub busy: (u64, u64),
    end: u64,
    rng: StdRng,
}

impl Model {
    /// Runs the setup until all requests have ended, and returns the model with its counts.
    pub fn run(setup: Setup) -> Model {
        let mut model = Model::new(setup);
        while let Some(Reverse((at, _, index))) = model.events.pop() {
            model.now = at;
            if at > model.end {
                break;
            }
            let event = model.payloads[index].take().unwrap();
            model.on_event(event);
        }
        model
    }

    fn new(setup: Setup) -> Model {
        let last = setup.classes.iter().flat_map(|it| &it.rates);
        let last = last.map(|it| it.1).max().unwrap_or(0) * MS;
        let mut model = Model {
            now: START,
            sequence: 0,
            events: BinaryHeap::new(),
            payloads: Vec::new(),
            entries: Vec::new(),
            agents: IndexMap::new(),
            requests: Vec::new(),
            attempts: Vec::new(),
            by_flow: IndexMap::new(),
            idle: vec![Vec::new(); setup.classes.len()],
            flow_count: 0,
            outcomes: vec![Outcome::default(); setup.classes.len()],
            busy: (0, 0),
            end: START + last + 8 * SECOND,
            rng: StdRng::seed_from_u64(setup.seed),
            setup,
        };
        model.start_processes();
        model.plan();
        model.after(0, Event::Tick);
        model.after(0, Event::Hello);
        model
    }

    /// Draws when the requests are sent.
    fn plan(&mut self) {
        for index in 0..self.setup.classes.len() {
            for (from, until, rate) in self.setup.classes[index].rates.clone() {
                let mut at = from as f64;
                loop {
                    let draw: f64 = self.rng.random_range(1e-9..1.0);
                    at += -draw.ln() * 1e3 / rate;
                    if at >= until as f64 {
                        break;
                    }
                    self.after((at * MS as f64) as u64, Event::Arrival(index));
                }
            }
        }
        if let Some((at, count)) = self.setup.loss {
            self.after(at * MS, Event::Loss(count));
        }
    }

    fn time(&self) -> Timestamp {
        Timestamp::from_micros(self.now)
    }

    fn after(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.payloads.push(Some(event));
        let index = self.payloads.len() - 1;
        self.events
            .push(Reverse((self.now + delay, self.sequence, index)));
    }

    fn on_event(&mut self, event: Event) {
        let now = self.time();
        match event {
            Event::Arrival(class) => self.on_arrival(class),
            Event::Attempt(request) => self.start_attempt(request),
            Event::Copy(attempt, copies) => self.send_opening(attempt, copies),
            Event::Timeout(attempt) => self.on_timeout(attempt),
            Event::Entry(n, segment) => {
                let action = self.entries[n].on_packet(now, &segment);
                if let EntryAction::Forward(forwardings) = action {
                    for it in forwardings {
                        self.after(TRAVEL, Event::Agent(it.agent, it.header, segment));
                    }
                }
            }
            Event::Agent(id, header, segment) => {
                let mut actions = Vec::new();
                let Some(node) = self.agents.get_mut(&id) else {
                    return;
                };
                let packet = encode(&segment);
                let flows = &mut node.flows;
                flows.on_client(now, &header, &segment, &packet, &mut actions);
                self.carry_out(id, Some(segment), actions);
            }
            Event::Client(segment) => self.on_client_packet(&segment),
            Event::Reset(flow) => self.on_reset(flow),
            Event::Report(from, to, report) => {
                let n = usize::from(number(&to));
                self.entries[n].on_flow_report(now, from, &report);
            }
            Event::Served(id, flow) => self.on_served(id, flow),
            Event::Tick => self.tick(),
            Event::Hello => self.greet(),
            Event::Loss(count) => {
                for n in 1..=count {
                    self.agents.swap_remove(&agent_id(n));
                }
                self.after(SECOND, Event::Unlist(count));
            }
            Event::Unlist(count) => {
                for id in (1..=count).map(agent_id) {
                    for entry in &mut self.entries {
                        entry.unregister_agent(now, id);
                    }
                    for node in self.agents.values_mut() {
                        node.flows.agents_mut().unregister(now, id);
                    }
                }
            }
        }
    }
}
