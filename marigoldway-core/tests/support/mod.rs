//! A few membership state machines joined by a queue of messages.

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

/// Time that one step of the fleet takes.
const STEP: Duration = Duration::from_millis(25);

/// A process of the fleet.
pub struct Process {
    pub membership: Membership,
    pub alive: bool,
    pub frozen: bool,
    held: Vec<(SocketAddrV4, Message)>,
    ticked: Timestamp,
}

/// Takes note of a message that one instance sends to another.
pub type Observe = Box<dyn FnMut(InstanceId, InstanceId, &Message)>;

/// Processes, and messages that are under way.
pub struct Fleet {
    pub now: Timestamp,
    pub processes: IndexMap<InstanceId, Process>,
    pub events: Vec<(InstanceId, Event)>,
    /// Share of messages that are lost, and that come twice.
    pub loss: f64,
    pub doubled: f64,
    /// Domains on one side of a cut. Messages across are lost.
    pub cut: Vec<DomainId>,
    pub options: MembershipOptions,
    /// Called with every message that is sent.
    pub observe: Option<Observe>,
    contacts: Vec<SocketAddrV4>,
    wire: BTreeMap<(Timestamp, u64), (SocketAddrV4, SocketAddrV4, Message)>,
    sent: u64,
    rng: StdRng,
}

/// Name of the instance with number `n`.
pub fn instance(n: u32) -> InstanceId {
    InstanceId::new(Ipv4Addr::from_bits(0x7f00_0000 + n), 7000)
}

/// Name of the instance with a control address.
fn at_control(control: SocketAddrV4) -> InstanceId {
    InstanceId(SocketAddrV4::new(*control.ip(), 7000))
}

/// Record of a process that starts.
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
            doubled: 0.0,
            cut: Vec::new(),
            options,
            observe: None,
            contacts: Vec::new(),
            wire: BTreeMap::new(),
            sent: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Starts `entries` entries and `agents` agents in each domain. Domains are
    /// numbered from 1 and stand by twos in regions numbered from 1.
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

    /// Starts a process. The first three entries are everybody's contacts.
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
            ticked: self.now,
        };
        self.processes.insert(id, process);
    }

    /// Ends a process without warning.
    pub fn kill(&mut self, id: InstanceId) {
        self.processes[&id].alive = false;
    }

    /// Stops a process, whose messages wait.
    pub fn freeze(&mut self, id: InstanceId) {
        self.processes[&id].frozen = true;
    }

    /// Lets a process go on. Its clock ticks before it takes what has waited.
    pub fn thaw(&mut self, id: InstanceId) {
        let process = &mut self.processes[&id];
        process.frozen = false;
        let held = std::mem::take(&mut process.held);
        self.input(id, Input::Tick);
        for (from, message) in held {
            self.input(id, Input::Receive { from, message });
        }
    }

    /// Hands an input to a process.
    pub fn input(&mut self, id: InstanceId, input: Input) {
        let process = &mut self.processes[&id];
        let outputs = process.membership.handle(self.now, input, &mut self.rng);
        let from = process.membership.own().control;
        for output in outputs {
            match output {
                Output::Send { to, message } => self.post(id, from, to, message),
                Output::Event(event) => self.events.push((id, event)),
                Output::View => {}
            }
        }
    }

    fn post(&mut self, id: InstanceId, from: SocketAddrV4, to: SocketAddrV4, message: Message) {
        if let Some(observe) = &mut self.observe {
            observe(id, at_control(to), &message);
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.doubled));
        for _ in 0..copies {
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let delay = Duration::from_millis(self.rng.random_range(1..60));
            self.sent += 1;
            let due = (self.now + delay, self.sent);
            self.wire.insert(due, (from, to, message.clone()));
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver();
            self.tick();
        }
    }

    /// Lets time pass until `condition` holds, and tells how long it took, or
    /// `None` if it didn't within `limit`.
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

    fn deliver(&mut self) {
        let rest = self.wire.split_off(&(self.now, u64::MAX));
        for (from, to, message) in std::mem::replace(&mut self.wire, rest).into_values() {
            let id = at_control(to);
            if self.is_cut(at_control(from), id) {
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

    fn is_cut(&self, a: InstanceId, b: InstanceId) -> bool {
        let side = |id| {
            let process: Option<&Process> = self.processes.get(&id);
            process.map(|it| self.cut.contains(&it.membership.own().domain))
        };
        side(a) != side(b)
    }

    fn tick(&mut self) {
        for index in 0..self.processes.len() {
            let (id, process) = self.processes.get_index_mut(index).unwrap();
            let due = self.now.since(process.ticked) >= self.options.tick;
            if due && process.alive && !process.frozen {
                process.ticked = self.now;
                let id = *id;
                self.input(id, Input::Tick);
            }
        }
    }

    /// Processes that run.
    pub fn running(&self) -> impl Iterator<Item = &Membership> {
        let running = self.processes.values().filter(|it| it.alive && !it.frozen);
        running.map(|it| &it.membership)
    }

    /// Entries that run.
    pub fn entries(&self) -> impl Iterator<Item = &Membership> {
        self.running().filter(|it| it.own().role == Role::Entry)
    }

    /// Tells whether all running processes hold the same records, as far as
    /// they hold them.
    pub fn agrees(&self) -> bool {
        let first = self.entries().next().unwrap();
        self.running().all(|it| it.roster() == first.roster())
    }

    /// Tells whether every running process lists the instance as `state`.
    pub fn lists(&self, id: InstanceId, state: State) -> bool {
        self.running()
            .all(|it| it.roster().record(id).map(|it| it.state) == Some(state))
    }

    /// Tells whether any running entry places flows of service 1 on one of
    /// `ids`, tried with many flows.
    pub fn places_on(&self, ids: &[InstanceId]) -> bool {
        self.entries().any(|entry| {
            let view = entry.view();
            (0..500).any(|key| {
                let key = marigoldway_core::placement::mix(key);
                let choice = view.candidates(ServiceId(1), key);
                choice.is_some_and(|it| {
                    ids.contains(&it.first) || it.second.is_some_and(|it| ids.contains(&it))
                })
            })
        })
    }
}
