//! Model of two services under load, without sockets: clients, entries, agents and targets.
//!
//! Entries and agents are the real ones. A target runs as many requests as it has slots, queues
//! [`TARGET_QUEUE`] more and rejects the rest. A client sends each request on a flow of its own, or
//! on an idle one of its flows; it repeats opening packets, gives a request up after the timeout of
//! its route, and tries a failed one again on a new flow, [`RETRIES`] times at most.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use marigoldway_core::flow::agent::AgentAction;
use marigoldway_core::flow::agent::AgentFlows;
use marigoldway_core::flow::agent::AgentOptions;
use marigoldway_core::flow::entry::EntryAction;
use marigoldway_core::flow::entry::EntryFlows;
use marigoldway_core::flow::entry::EntryOptions;
use marigoldway_core::flow::key::FlowKey;
use marigoldway_core::flow::key::NameKey;
use marigoldway_core::flow::message::FlowReport;
use marigoldway_core::flow::message::Header;
use marigoldway_core::flow::message::Load;
use marigoldway_core::flow::routes::Route;
use marigoldway_core::flow::routes::Routes;
use marigoldway_core::flow::routes::Share;
use marigoldway_core::flow::routes::Work;
use marigoldway_core::flow::routes::WorkClass;
use marigoldway_core::flow::segment::Answer;
use marigoldway_core::flow::segment::Flags;
use marigoldway_core::flow::segment::Segment;
use marigoldway_core::flow::target::Heartbeat;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::time::Timestamp;

use crate::fleet::agent_id;
use crate::fleet::number;
use crate::fleet::server;
use crate::fleet::service;

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
    /// Requests answered after the objective.
    pub late: u32,
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

    fn start_processes(&mut self) {
        let (main, second) = self.setup.targets;
        let names = (0..main)
            .map(|_| "main")
            .chain((0..second).map(|_| "second"));
        for (n, name) in (1..).zip(names) {
            let flows = AgentFlows::new(AgentOptions {
                own: agent_id(n),
                incarnation: u64::from(n),
                service: service(name),
                domain: NameKey::from("a"),
                heartbeat_interval: Duration::from_micros(SECOND),
                max_flows: 10_000,
                idle_timeout: Duration::from_secs(60),
                started: Timestamp::from_micros(START),
                started_at: START / MS,
            });
            let node = Node {
                sampled: (0, flows.load(self.time())),
                flows,
                running: 0,
                queue: VecDeque::new(),
                open: IndexMap::new(),
                heartbeats: 0,
            };
            self.agents.insert(agent_id(n), node);
            self.heartbeat(agent_id(n));
        }
        let now = self.time();
        let records = self.agents.values();
        let records: Vec<_> = records.map(|it| it.flows.hello(now).record).collect();
        for node in self.agents.values_mut() {
            let own = node.flows.service();
            let peers = records.iter().filter(|it| it.service == own);
            let peers: Vec<_> = peers.copied().collect();
            node.flows.on_list(now, &peers, &[]);
        }
        let routes = Arc::new(self.routes());
        for n in 0..self.setup.entries {
            let mut entry = EntryFlows::new(EntryOptions {
                own: entry_id(n),
                domain: NameKey::from("a"),
                max_flows: 100_000,
                idle_timeout: Duration::from_secs(60),
                apply_limit: Duration::from_secs(3),
                overflow: self.setup.overflow,
                seed: self.rng.random(),
            });
            entry.set_routes(now, routes.clone());
            entry.replace_agents(now, &records);
            self.entries.push(entry);
        }
    }

    fn routes(&self) -> Routes {
        let by_addr = self.setup.classes.iter().map(|class| {
            let shares = [("main", class.weights.0), ("second", class.weights.1)];
            let shares = shares.iter().map(|(name, weight)| Share {
                service: service(name),
                weight: *weight,
            });
            let work = Work {
                class: WorkClass::Safe,
                priority: class.priority,
                objective: class.objective,
                timeout: class.timeout,
            };
            let route = Route {
                work,
                shares: shares.collect(),
            };
            (server(class.port), route)
        });
        Routes {
            version: 1,
            by_addr: by_addr.collect(),
            idle: Duration::from_secs(15),
            partial: false,
        }
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

    fn on_arrival(&mut self, class: usize) {
        self.outcomes[class].sent += 1;
        self.requests.push(Request {
            class,
            sent_at: self.now,
            attempts: 0,
        });
        let request = self.requests.len() - 1;
        let Some(idle) = self.idle[class].pop() else {
            return self.start_attempt(request);
        };
        self.requests[request].attempts += 1;
        self.attempts.push(Attempt {
            request,
            flow: idle.flow,
            origin: idle.origin,
            state: State::Open,
            offset: idle.sent,
        });
        let attempt = self.attempts.len() - 1;
        self.by_flow.insert(idle.flow, attempt);
        self.send_request(attempt);
        self.expect(attempt);
    }

    fn start_attempt(&mut self, request: usize) {
        self.requests[request].attempts += 1;
        let class = &self.setup.classes[self.requests[request].class];
        let (count, first) = class.addresses;
        self.flow_count += 1;
        let address = first + self.rng.random_range(0..count);
        let ip = Ipv4Addr::from_bits(0x6440_0000 + address);
        // A port isn't used twice by one address within a run.
        let client = SocketAddrV4::new(ip, 1_024 + (self.flow_count % 60_000) as u16);
        let flow = FlowKey {
            client,
            server: server(class.port),
        };
        self.attempts.push(Attempt {
            request,
            flow,
            origin: 0,
            state: State::Opening,
            offset: 0,
        });
        let attempt = self.attempts.len() - 1;
        self.by_flow.insert(flow, attempt);
        self.send_opening(attempt, 0);
        self.after(200 * MS, Event::Copy(attempt, 1));
        self.after(600 * MS, Event::Copy(attempt, 2));
        self.expect(attempt);
    }

    fn expect(&mut self, attempt: usize) {
        let class = self.requests[self.attempts[attempt].request].class;
        let timeout = self.setup.classes[class].timeout.as_micros() as u64;
        self.after(timeout, Event::Timeout(attempt));
    }

    fn send(&mut self, segment: Segment) {
        let entry = self.rng.random_range(0..self.entries.len());
        self.after(CLIENT_TRAVEL, Event::Entry(entry, segment));
    }

    fn send_opening(&mut self, attempt: usize, copies: u32) {
        let it = &self.attempts[attempt];
        if it.state == State::Opening {
            let segment = client_packet(it.flow, true, 7, copies, 0);
            self.send(segment);
        }
    }

    fn send_request(&mut self, attempt: usize) {
        let it = &self.attempts[attempt];
        let ack = it.origin.wrapping_add(1);
        let segment = client_packet(it.flow, false, 8 + it.offset, ack, 100);
        self.send(segment);
    }

    fn on_client_packet(&mut self, segment: &Segment) {
        let flow = segment.outbound_flow();
        let Some(attempt) = self.by_flow.get(&flow).copied() else {
            return;
        };
        let state = self.attempts[attempt].state;
        if segment.flags.syn && state == State::Opening {
            self.attempts[attempt].state = State::Open;
            self.attempts[attempt].origin = segment.seq;
            return self.send_request(attempt);
        }
        if segment.len == 0 || state != State::Open {
            return;
        }
        self.finish(attempt);
        let class = self.requests[self.attempts[attempt].request].class;
        if segment.answer == Some(Answer::Failed) {
            self.outcomes[class].rejected += 1;
            return self.retry(attempt);
        }
        self.on_answer(attempt);
    }

    fn on_answer(&mut self, attempt: usize) {
        let it = self.attempts[attempt].clone();
        let request = self.requests[it.request];
        let class = &self.setup.classes[request.class];
        let took = self.now - request.sent_at;
        let outcome = &mut self.outcomes[request.class];
        outcome.answer_ms += took as f64 / MS as f64;
        if took <= class.objective.as_micros() as u64 {
            outcome.in_time += 1;
        } else {
            outcome.late += 1;
        }
        let sent = it.offset + 100;
        if sent < class.flow_requests * 100 {
            self.idle[request.class].push(IdleFlow {
                flow: it.flow,
                origin: it.origin,
                sent,
            });
        }
    }

    fn finish(&mut self, attempt: usize) {
        self.attempts[attempt].state = State::Done;
        self.by_flow.swap_remove(&self.attempts[attempt].flow);
    }

    fn retry(&mut self, attempt: usize) {
        let request = self.attempts[attempt].request;
        if self.requests[request].attempts <= RETRIES {
            self.after(RETRY_DELAY, Event::Attempt(request));
        } else {
            self.outcomes[self.requests[request].class].failed += 1;
        }
    }

    fn on_timeout(&mut self, attempt: usize) {
        let it = self.attempts[attempt].clone();
        if it.state == State::Done {
            return;
        }
        let class = self.requests[it.request].class;
        self.outcomes[class].timed_out += 1;
        self.finish(attempt);
        if it.state == State::Open {
            let mut close = client_packet(it.flow, false, 8 + it.offset + 100, it.origin + 1, 0);
            close.flags.fin = true;
            self.send(close);
        }
        self.retry(attempt);
    }

    fn on_reset(&mut self, flow: FlowKey) {
        let Some(attempt) = self.by_flow.get(&flow).copied() else {
            return;
        };
        let class = self.requests[self.attempts[attempt].request].class;
        assert_eq!(
            self.attempts[attempt].state,
            State::Opening,
            "an open flow was reset"
        );
        self.outcomes[class].shed += 1;
        self.finish(attempt);
        self.retry(attempt);
    }

    fn carry_out(&mut self, id: InstanceId, segment: Option<Segment>, actions: Vec<AgentAction>) {
        for action in actions {
            match action {
                AgentAction::ToTarget => self.on_target_packet(id, segment.unwrap()),
                AgentAction::Release(released) => {
                    for packet in &released.packets {
                        let segment = decode(released.flow, packet);
                        self.on_target_packet(id, segment);
                    }
                }
                AgentAction::ToClient => {
                    self.after(CLIENT_TRAVEL, Event::Client(segment.unwrap()));
                }
                AgentAction::ToAgents(to, header) => {
                    for other in to {
                        self.after(TRAVEL, Event::Agent(other, header, segment.unwrap()));
                    }
                }
                AgentAction::ToEntry(entry, mut report) => {
                    report.load = self.reported(id);
                    self.after(TRAVEL, Event::Report(id, entry, report));
                }
                AgentAction::Reset(reset, _) => {
                    self.after(CLIENT_TRAVEL, Event::Reset(reset.flow));
                }
                AgentAction::ToDirectory(other, update) => {
                    let now = self.time();
                    if let Some(node) = self.agents.get_mut(&other) {
                        node.flows.on_directory_update(now, &update);
                    }
                }
                _ => {}
            }
        }
    }

    /// The load that an agent reports: one that is up to `load_age` old.
    fn reported(&mut self, id: InstanceId) -> Load {
        let (now, at) = (self.now, self.time());
        let age = self.setup.load_age.as_micros() as u64;
        let node = self.agents.get_mut(&id).unwrap();
        if now >= node.sampled.0 + age {
            node.sampled = (now, node.flows.load(at));
        }
        node.sampled.1
    }

    fn on_target_packet(&mut self, id: InstanceId, segment: Segment) {
        let flow = segment.inbound_flow();
        if segment.opens() {
            let origin = self.rng.random_range(0..1 << 30);
            let node = self.agents.get_mut(&id).unwrap();
            let origin = *node.open.entry(flow).or_insert(origin);
            return self.hand_over(id, target_packet(flow, true, origin, 0, None));
        }
        let node = self.agents.get_mut(&id).unwrap();
        if segment.len == 0 || !node.open.contains_key(&flow) {
            return;
        }
        if node.running < usize::from(SLOTS) {
            node.running += 1;
            return self.start_request(id, flow);
        }
        if node.queue.len() < TARGET_QUEUE {
            return node.queue.push_back(flow);
        }
        self.answer(id, flow, Answer::Failed);
    }

    fn start_request(&mut self, id: InstanceId, flow: FlowKey) {
        let class = self.setup.classes.iter();
        let index = class.clone().position(|it| it.port == flow.server.port());
        let index = index.unwrap();
        let mean = self.setup.classes[index].service_ms;
        let (a, b): (f64, f64) = (
            self.rng.random_range(1e-9..1.0),
            self.rng.random_range(1e-9..1.0),
        );
        let took = (-(a.ln() + b.ln()) / 2.0 * mean * MS as f64) as u64;
        let is_awaited = self.by_flow.get(&flow);
        let is_awaited = is_awaited.is_some_and(|it| self.attempts[*it].state == State::Open);
        self.outcomes[index].in_vain += u32::from(!is_awaited);
        if self.agents[&id].flows.service() == service("second") {
            self.outcomes[index].at_second += 1;
            self.busy.1 += took;
        } else {
            self.busy.0 += took;
        }
        self.after(took, Event::Served(id, flow));
    }

    fn on_served(&mut self, id: InstanceId, flow: FlowKey) {
        let Some(node) = self.agents.get_mut(&id) else {
            return;
        };
        node.running -= 1;
        if let Some(next) = node.queue.pop_front() {
            node.running += 1;
            self.start_request(id, next);
        }
        self.answer(id, flow, Answer::Served);
    }

    fn answer(&mut self, id: InstanceId, flow: FlowKey, answer: Answer) {
        let node = self.agents.get_mut(&id).unwrap();
        // Each answer follows the previous one of its flow.
        let seq = node.open.get_mut(&flow).unwrap();
        *seq += 500;
        let segment = target_packet(flow, false, *seq, 500, Some(answer));
        self.hand_over(id, segment);
    }

    fn hand_over(&mut self, id: InstanceId, segment: Segment) {
        let now = self.time();
        let mut actions = Vec::new();
        let node = self.agents.get_mut(&id).unwrap();
        node.flows.on_target(now, &segment, &mut actions);
        self.carry_out(id, Some(segment), actions);
    }

    fn tick(&mut self) {
        let now = self.time();
        for entry in &mut self.entries {
            entry.tick(now);
        }
        for id in self.ids() {
            let mut actions = Vec::new();
            let node = self.agents.get_mut(&id).unwrap();
            node.flows.tick(now, &mut actions);
            self.carry_out(id, None, actions);
        }
        self.after(TICK, Event::Tick);
    }

    fn greet(&mut self) {
        let now = self.time();
        for id in self.ids() {
            self.heartbeat(id);
            let mut hello = self.agents[&id].flows.hello(now);
            hello.load = self.reported(id);
            for entry in &mut self.entries {
                entry.on_hello(now, &hello);
            }
        }
        self.after(SECOND, Event::Hello);
    }

    fn heartbeat(&mut self, id: InstanceId) {
        let now = self.time();
        let node = self.agents.get_mut(&id).unwrap();
        node.heartbeats += 1;
        let heartbeat = Heartbeat {
            id: format!("t{}", number(&id)),
            started_at: START / MS,
            number: node.heartbeats,
            service: node.flows.service(),
            draining: false,
            slots: SLOTS,
            slow_start: Duration::ZERO,
        };
        let mut actions = Vec::new();
        node.flows.on_heartbeat(now, heartbeat, &mut actions);
        self.carry_out(id, None, actions);
    }

    fn ids(&self) -> Vec<InstanceId> {
        self.agents.keys().copied().collect()
    }
}

fn entry_id(n: usize) -> InstanceId {
    InstanceId::new(Ipv4Addr::new(10, 1, 0, n as u8), 7_000)
}

fn client_packet(flow: FlowKey, syn: bool, seq: u32, ack: u32, len: u16) -> Segment {
    Segment {
        source: flow.client,
        dest: flow.server,
        flags: Flags {
            syn,
            ack: !syn,
            ..Flags::default()
        },
        seq,
        ack,
        len,
        answer: None,
    }
}

fn target_packet(flow: FlowKey, syn: bool, seq: u32, len: u16, answer: Option<Answer>) -> Segment {
    Segment {
        source: flow.server,
        dest: flow.client,
        flags: Flags {
            syn,
            ack: true,
            ..Flags::default()
        },
        seq,
        ack: 8,
        len,
        answer,
    }
}

/// The octets of a client's packet that the model needs again when the packet is released.
fn encode(segment: &Segment) -> Vec<u8> {
    let mut octets = segment.seq.to_le_bytes().to_vec();
    octets.extend(segment.ack.to_le_bytes());
    octets.extend(segment.len.to_le_bytes());
    octets
}

fn decode(flow: FlowKey, octets: &[u8]) -> Segment {
    let word = |at: usize| u32::from_le_bytes(octets[at..at + 4].try_into().unwrap());
    let len = u16::from_le_bytes(octets[8..10].try_into().unwrap());
    client_packet(flow, false, word(0), word(4), len)
}
