//! Entries, agents and targets of the model.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::RngExt;

use marigoldway_core::flow::agent::AgentAction;
use marigoldway_core::flow::agent::AgentFlows;
use marigoldway_core::flow::agent::AgentOptions;
use marigoldway_core::flow::capacity::CapacityPolicy;
use marigoldway_core::flow::entry::EntryFlows;
use marigoldway_core::flow::entry::EntryOptions;
use marigoldway_core::flow::key::FlowKey;
use marigoldway_core::flow::key::NameKey;
use marigoldway_core::flow::message::Load;
use marigoldway_core::flow::route_moves::Continuity;
use marigoldway_core::flow::routes::Route;
use marigoldway_core::flow::routes::Routes;
use marigoldway_core::flow::routes::Share;
use marigoldway_core::flow::routes::Work;
use marigoldway_core::flow::routes::WorkClass;
use marigoldway_core::flow::segment::Answer;
use marigoldway_core::flow::segment::Segment;
use marigoldway_core::flow::target::Heartbeat;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::time::Timestamp;

use crate::fleet::agent_id;
use crate::fleet::number;
use crate::fleet::server;
use crate::fleet::service;
use crate::overload::model::CLIENT_TRAVEL;
use crate::overload::model::Event;
use crate::overload::model::MS;
use crate::overload::model::Model;
use crate::overload::model::Node;
use crate::overload::model::SECOND;
use crate::overload::model::SLOTS;
use crate::overload::model::START;
use crate::overload::model::State;
use crate::overload::model::TARGET_QUEUE;
use crate::overload::model::TICK;
use crate::overload::model::TRAVEL;
use crate::overload::model::packets::decode;
use crate::overload::model::packets::entry_id;
use crate::overload::model::packets::target_packet;

impl Model {
    pub(super) fn start_processes(&mut self) {
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
                capacity: CapacityPolicy::default(),
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
                capacity: CapacityPolicy::default(),
            });
            entry.set_routes(now, routes.clone(), Continuity::Unknown);
            entry.replace_agents(now, &records);
            self.entries.push(entry);
        }
    }

    pub(super) fn routes(&self) -> Routes {
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
            ramps: IndexMap::new(),
        }
    }

    pub(super) fn carry_out(
        &mut self,
        id: InstanceId,
        segment: Option<Segment>,
        actions: Vec<AgentAction>,
    ) {
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
    pub(super) fn reported(&mut self, id: InstanceId) -> Load {
        let (now, at) = (self.now, self.time());
        let age = self.setup.load_age.as_micros() as u64;
        let node = self.agents.get_mut(&id).unwrap();
        if now >= node.sampled.0 + age {
            node.sampled = (now, node.flows.load(at));
        }
        node.sampled.1
    }

    pub(super) fn on_target_packet(&mut self, id: InstanceId, segment: Segment) {
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

    pub(super) fn start_request(&mut self, id: InstanceId, flow: FlowKey) {
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

    pub(super) fn on_served(&mut self, id: InstanceId, flow: FlowKey) {
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

    pub(super) fn answer(&mut self, id: InstanceId, flow: FlowKey, answer: Answer) {
        let node = self.agents.get_mut(&id).unwrap();
        // Each answer follows the previous one of its flow.
        let seq = node.open.get_mut(&flow).unwrap();
        *seq += 500;
        let segment = target_packet(flow, false, *seq, 500, Some(answer));
        self.hand_over(id, segment);
    }

    pub(super) fn hand_over(&mut self, id: InstanceId, segment: Segment) {
        let now = self.time();
        let mut actions = Vec::new();
        let node = self.agents.get_mut(&id).unwrap();
        node.flows.on_target(now, &segment, &mut actions);
        self.carry_out(id, Some(segment), actions);
    }

    pub(super) fn tick(&mut self) {
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

    pub(super) fn greet(&mut self) {
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

    pub(super) fn heartbeat(&mut self, id: InstanceId) {
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

    pub(super) fn ids(&self) -> Vec<InstanceId> {
        self.agents.keys().copied().collect()
    }
}
