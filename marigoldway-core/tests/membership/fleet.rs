//! Simulated fleet: membership state machines connected by a message queue.
//!
//! An entry is a load balancer; an agent stands beside a target. Both are processes of
//! the fleet.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use indexmap::IndexMap;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use marigoldway_core::ids::DomainId;
use marigoldway_core::ids::Incarnation;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::ids::RegionId;
use marigoldway_core::ids::ServiceId;
use marigoldway_core::membership::Event;
use marigoldway_core::membership::Input;
use marigoldway_core::membership::Membership;
use marigoldway_core::membership::MembershipOptions;
use marigoldway_core::membership::Output;
use marigoldway_core::message::Message;
use marigoldway_core::roster::FULL_WEIGHT;
use marigoldway_core::roster::Record;
use marigoldway_core::roster::Role;
use marigoldway_core::roster::State;
use marigoldway_core::time::Timestamp;

/// Simulated time between two steps of the fleet.
const STEP: Duration = Duration::from_millis(25);

/// A simulated process.
pub struct Process {
    pub membership: Membership,
    pub alive: bool,
    pub frozen: bool,
    /// Messages that arrived while the process was frozen, with their senders.
    held: Vec<(SocketAddrV4, Message)>,
    last_tick: Timestamp,
}

/// Callback for a message that the first instance sends to the second.
pub type MessageObserver = Box<dyn FnMut(InstanceId, InstanceId, &Message)>;

/// Simulated processes, and the messages in flight among them.
pub struct Fleet {
    pub now: Timestamp,
    pub processes: IndexMap<InstanceId, Process>,
    pub events: Vec<(InstanceId, Event)>,
    /// Probability, from 0 to 1, that a copy of a message is lost.
    pub loss: f64,
    /// Probability, from 0 to 1, that a message is duplicated.
    pub duplicated: f64,
    /// Domains on one side of a network partition. Messages across it are lost.
    pub cut: Vec<DomainId>,
    /// Pairs of instances between which messages are lost in both directions.
    pub blocked: Vec<(InstanceId, InstanceId)>,
    pub options: MembershipOptions,
    /// Called with every message that is sent.
    pub observe: Option<MessageObserver>,
    contacts: Vec<SocketAddrV4>,
    /// Messages by delivery time and sequence number, with sender and receiver.
    in_flight: BTreeMap<(Timestamp, u64), (SocketAddrV4, SocketAddrV4, Message)>,
    /// Sequence number of the last message.
    sent: u64,
    rng: StdRng,
}

/// Id of the instance with number `n`.
pub fn instance(n: u32) -> InstanceId {
    InstanceId::new(Ipv4Addr::from_bits(0x7f00_0000 + n), 7000)
}

/// Id of the instance with a control address.
fn instance_at(control: SocketAddrV4) -> InstanceId {
    InstanceId(SocketAddrV4::new(*control.ip(), 7000))
}

/// Record of a serving process at version 0, an entry if `service` is `None`.
pub fn record(n: u32, service: Option<u16>, domain: u8, region: u8) -> Record {
    let id = instance(n);
    Record {
        id,
        incarnation: Incarnation(1),
        role: service.map_or(Role::Entry, |_| Role::Agent),
        service: service.map(ServiceId),
        domain: DomainId(domain),
        region: RegionId(region),
        control: SocketAddrV4::new(*id.0.ip(), 7001),
        state: State::Serving,
        version: 0,
        weight: FULL_WEIGHT,
    }
}

impl Fleet {
    pub fn new(seed: u64, options: MembershipOptions) -> Fleet {
        Fleet {
            now: Timestamp::ZERO,
            processes: IndexMap::new(),
            events: Vec::new(),
            loss: 0.0,
            duplicated: 0.0,
            cut: Vec::new(),
            blocked: Vec::new(),
            options,
            observe: None,
            contacts: Vec::new(),
            in_flight: BTreeMap::new(),
            sent: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Starts `entries` entries and `agents` agents in each domain. Domains and
    /// regions are numbered from 1, with two domains per region.
    pub fn populate(&mut self, domains: u8, entries: u32, agents: u32) {
        for domain in 1..=domains {
            let region = domain.div_ceil(2);
            let base = u32::from(domain) * 10_000;
            for n in 0..entries {
                self.start(record(base + n, None, domain, region));
            }
            for n in 0..agents {
                self.start(record(base + 5_000 + n, Some(1), domain, region));
            }
        }
    }

    /// Starts a process. The first three entries are the contacts of all processes.
    pub fn start(&mut self, own: Record) {
        if own.role == Role::Entry && self.contacts.len() < 3 {
            self.contacts.push(own.control);
        }
        let id = own.id;
        let contacts = self.contacts.clone();
        let process = Process {
            membership: Membership::new(self.now, own, contacts, self.options),
            alive: true,
            frozen: false,
            held: Vec::new(),
            last_tick: self.now,
        };
        self.processes.insert(id, process);
    }

    /// Kills a process, which doesn't leave first.
    pub fn kill(&mut self, id: InstanceId) {
        self.processes[&id].alive = false;
    }

    /// Suspends a process. Messages to it are held back.
    pub fn freeze(&mut self, id: InstanceId) {
        self.processes[&id].frozen = true;
    }

    /// Resumes a process. It handles a tick before the messages held back.
    pub fn thaw(&mut self, id: InstanceId) {
        let process = &mut self.processes[&id];
        process.frozen = false;
        let held = std::mem::take(&mut process.held);
        self.input(id, Input::Tick);
        for (from, message) in held {
            self.input(id, Input::Receive { from, message });
        }
    }

    /// Passes an input to a process and sends the resulting messages.
    pub fn input(&mut self, id: InstanceId, input: Input) {
        let process = &mut self.processes[&id];
        let outputs = process.membership.handle(self.now, input, &mut self.rng);
        let from = process.membership.own().control;
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(id, from, to, message),
                Output::Event(event) => self.events.push((id, event)),
                Output::View => {}
            }
        }
    }

    /// Queues a message with a delay of 1 to 59 ms, subject to loss and duplication.
    fn send(&mut self, id: InstanceId, from: SocketAddrV4, to: SocketAddrV4, message: Message) {
        if let Some(observe) = &mut self.observe {
            observe(id, instance_at(to), &message);
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.duplicated));
        for _ in 0..copies {
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let delay = Duration::from_millis(self.rng.random_range(1..60));
            self.sent += 1;
            let key = (self.now + delay, self.sent);
            self.in_flight.insert(key, (from, to, message.clone()));
        }
    }

    /// Advances the simulation by `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver();
            self.tick();
        }
    }

    /// Advances the simulation until `condition` holds. Returns the time that
    /// passed, or `None` if `condition` didn't hold within `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut condition: impl FnMut(&Fleet) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !condition(self) {
            if self.now.since(start) >= limit {
                return None;
            }
            self.run(STEP);
        }
        Some(self.now.since(start))
    }

    /// Delivers the messages that are due. Those to processes that don't run are lost.
    fn deliver(&mut self) {
        let rest = self.in_flight.split_off(&(self.now, u64::MAX));
        for (from, to, message) in std::mem::replace(&mut self.in_flight, rest).into_values() {
            let id = instance_at(to);
            if self.is_cut(instance_at(from), id) {
                continue;
            }
            match self.processes.get_mut(&id) {
                Some(process) if process.alive && process.frozen => {
                    process.held.push((from, message));
                }
                Some(process) if process.alive => self.input(id, Input::Receive { from, message }),
                _ => {}
            }
        }
    }

    /// Returns whether messages between two instances are lost to a partition or a
    /// blocked pair.
    fn is_cut(&self, a: InstanceId, b: InstanceId) -> bool {
        if self.blocked.contains(&(a, b)) || self.blocked.contains(&(b, a)) {
            return true;
        }
        let side = |id| {
            let process: Option<&Process> = self.processes.get(&id);
            process.map(|it| self.cut.contains(&it.membership.own().domain))
        };
        side(a) != side(b)
    }

    fn tick(&mut self) {
        for index in 0..self.processes.len() {
            let (id, process) = self.processes.get_index_mut(index).unwrap();
            let is_due = self.now.since(process.last_tick) >= self.options.tick;
            if is_due && process.alive && !process.frozen {
                process.last_tick = self.now;
                let id = *id;
                self.input(id, Input::Tick);
            }
        }
    }

    /// Processes that are neither killed nor frozen.
    pub fn running(&self) -> impl Iterator<Item = &Membership> {
        let running = self.processes.values().filter(|it| it.alive && !it.frozen);
        running.map(|it| &it.membership)
    }

    /// Running processes that are entries.
    pub fn entries(&self) -> impl Iterator<Item = &Membership> {
        self.running().filter(|it| it.own().role == Role::Entry)
    }

    /// Returns whether all running processes hold the same roster.
    pub fn agrees(&self) -> bool {
        let first = self.entries().next().unwrap();
        self.running().all(|it| it.roster() == first.roster())
    }

    /// Returns whether all running entries hold the same roster.
    pub fn entries_agree(&self) -> bool {
        let first = self.entries().next().unwrap();
        self.entries().all(|it| it.roster() == first.roster())
    }

    /// Returns whether a process belongs to a domain.
    pub fn is_in_domain(&self, process: &Membership, domain: DomainId) -> bool {
        process.own().domain == domain
    }

    /// Returns whether the instance has state `state` at every running process
    /// that holds its record.
    pub fn all_have_state(&self, id: InstanceId, state: State) -> bool {
        let subject = self.processes[&id].membership.own();
        // An agent holds only the entries and the agents of its own service.
        let holds_record = |it: &&Membership| {
            it.own().role == Role::Entry
                || subject.role == Role::Entry
                || it.own().service == subject.service
        };
        self.running()
            .filter(holds_record)
            .all(|it| it.roster().record(id).map(|it| it.state) == Some(state))
    }

    /// Returns whether one of `ids` is a candidate for any of 500 flows at any running
    /// entry. `ids` are agents of one service, or entries, for which it returns false.
    pub fn places_on(&self, ids: &[InstanceId]) -> bool {
        let service = |id: &InstanceId| self.processes[id].membership.own().service;
        let Some(service) = ids.iter().find_map(service) else {
            return false;
        };
        self.entries().any(|entry| {
            let view = entry.view();
            (0..500).any(|key| {
                let key = marigoldway_core::placement::mix(key);
                let choice = view.candidates(service, key);
                choice.is_some_and(|it| {
                    ids.contains(&it.first) || it.second.is_some_and(|it| ids.contains(&it))
                })
            })
        })
    }
}
