//! A fleet that starts with empty state: entries with lost flows, agents that follow the store for
//! them, and the store. Time passes in milliseconds.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use marigoldway_core::ids::InstanceId;
use marigoldway_core::replica::sources::Freshness;
use marigoldway_core::replica::sources::Role;
use marigoldway_core::replica::sources::Sources;
use marigoldway_core::replica::sources::Step;
use marigoldway_core::replica::timing::DEMAND_HOLD;
use marigoldway_core::replica::timing::Timing;
use marigoldway_core::time::Timestamp;

/// Limit of the users' platform within which a change takes effect.
pub const APPLY_LIMIT: Duration = Duration::from_secs(5);

/// Time between a call to the store and its answer.
const STORE_TRIP: Duration = Duration::from_millis(20);

/// Time of a message from one process to another.
const HOP: Duration = Duration::from_millis(1);

/// Time that a reader waits for a follower that doesn't answer.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval between two reads of the configuration at an entry.
const READ_INTERVAL: Duration = Duration::from_millis(600);

/// Time from the first packet of a flow to the demand, if no agent holds the flow.
const LOCATE_TIME: Duration = Duration::from_millis(15);

/// Time of the search for a flow that no target holds.
const SEARCH_TIME: Duration = Duration::from_millis(45);

pub fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(100_000 + ms)
}

/// What is wrong with a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// No process listens at its address.
    Dead,
    /// It doesn't run.
    Frozen,
    /// The store doesn't answer it.
    CutFromStore,
}

#[derive(Clone, Copy, Debug)]
enum Call {
    /// The first read, which finds the followers.
    First(Timestamp),
    Store {
        asked: Timestamp,
        hold: Duration,
    },
    Follower {
        asked: Timestamp,
        n: usize,
        need: Option<Duration>,
    },
}

struct Process {
    role: Role,
    sources: Sources,
    call: Option<Call>,
    fault: Fault,
    /// Time of the start. The process then reads from the store for the first time.
    started: Timestamp,
    /// Whether the first read has ended. An agent knows by it that it is a follower.
    is_ready: bool,
    /// Time until which nothing is to be done, unless a demand is raised.
    idle_until: Timestamp,
    demand: Option<Timestamp>,
}

impl Process {
    fn new(role: Role, started: Timestamp) -> Process {
        let timing = Timing::new(APPLY_LIMIT);
        let interval = match role {
            Role::Reader | Role::FollowersOnly => READ_INTERVAL,
            Role::Follower(_) => timing.relay,
        };
        Process {
            role,
            sources: Sources::new(role, timing, interval),
            call: None,
            fault: Fault::None,
            started,
            is_ready: false,
            idle_until: started,
            demand: None,
        }
    }

    /// Raises a demand, for which a call that the store holds isn't waited for.
    fn raise(&mut self, at: Timestamp) {
        self.demand = self.demand.max(Some(at));
        self.idle_until = Timestamp::ZERO;
        if matches!(self.call, Some(Call::Store { hold, .. }) if hold > Duration::ZERO) {
            self.call = None;
        }
    }

    fn take_demand(&mut self) {
        if let Some(at) = self.demand.take() {
            self.sources.demand(at);
        }
    }
}

/// A flow that no target holds.
pub struct Flow {
    entry: usize,
    pub first_packet: Timestamp,
    pub reset: Option<Timestamp>,
}

/// Numbers of calls and messages.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Calls to the store by followers.
    pub by_followers: usize,
    /// Calls to the store by entries, without their first reads.
    pub by_entries: usize,
    /// Demands that processes sent to followers.
    pub demands: usize,
}

pub struct Model {
    pub now: Timestamp,
    pub counts: Counts,
    pub flows: Vec<Flow>,
    /// The store leaves calls unanswered that are made before this time.
    pub silent_until: Timestamp,
    followers: Vec<Process>,
    entries: Vec<Process>,
    rng: StdRng,
}

impl Model {
    /// A fleet whose entries start within 20 ms, and its agents within 20 ms, `delay` later.
    pub fn new(seed: u64, entries: usize, followers: usize, delay: u64) -> Model {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut start = |delay: u64| at(rng.random_range(0..20) + delay);
        let follower = |n| Process::new(Role::Follower(follower_id(n)), start(delay));
        let followers = (0..followers).map(follower).collect();
        let entries = (0..entries).map(|_| Process::new(Role::Reader, start(0)));
        Model {
            now: at(0),
            counts: Counts::default(),
            flows: Vec::new(),
            silent_until: Timestamp::ZERO,
            followers,
            entries: entries.collect(),
            rng,
        }
    }

    /// Adds lost flows whose first packets reach random entries between two times, in order.
    pub fn add_flows(&mut self, count: usize, from: u64, to: u64) {
        for _ in 0..count {
            let entry = self.rng.random_range(0..self.entries.len());
            let first_packet = at(self.rng.random_range(from..to));
            self.flows.push(Flow {
                entry,
                first_packet,
                reset: None,
            });
        }
        self.flows.sort_by_key(|it| it.first_packet);
    }

    pub fn set_fault(&mut self, n: usize, fault: Fault) {
        self.followers[n].fault = fault;
    }

    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(1);
            self.raise_demands();
            for n in 0..self.followers.len() {
                self.step(true, n);
            }
            for n in 0..self.entries.len() {
                self.step(false, n);
            }
            self.reset_flows();
        }
    }

    /// Times from the first packets of the flows, or from `up` if that is later, to their resets, in
    /// order. Panics if a flow was not reset.
    pub fn reset_times(&self, up: Timestamp) -> Vec<Duration> {
        let age = |it: &Flow| it.reset.unwrap().since(it.first_packet.max(up));
        let mut times: Vec<Duration> = self.flows.iter().map(age).collect();
        times.sort();
        times
    }

    /// An entry demands confirmations for flows that it doesn't locate, once it knows the followers.
    fn raise_demands(&mut self) {
        for flow in &self.flows {
            let entry = &mut self.entries[flow.entry];
            let due = flow.first_packet + LOCATE_TIME;
            let is_due = due == self.now || due < self.now && !entry.is_ready;
            if is_due && entry.sources.confirmed() < Some(flow.first_packet) {
                entry.raise(flow.first_packet);
            }
        }
    }

    fn reset_flows(&mut self) {
        for flow in self.flows.iter_mut().filter(|it| it.reset.is_none()) {
            let confirmed = self.entries[flow.entry].sources.confirmed();
            let is_searched = self.now >= flow.first_packet + SEARCH_TIME;
            if is_searched && confirmed >= Some(flow.first_packet) {
                flow.reset = Some(self.now);
            }
        }
    }

    fn process(&mut self, is_follower: bool, n: usize) -> &mut Process {
        if is_follower {
            &mut self.followers[n]
        } else {
            &mut self.entries[n]
        }
    }

    fn step(&mut self, is_follower: bool, n: usize) {
        let now = self.now;
        let process = self.process(is_follower, n);
        let stopped = matches!(process.fault, Fault::Dead | Fault::Frozen);
        if stopped || now < process.started {
            return;
        }
        match process.call {
            None if now >= process.idle_until => self.start_call(is_follower, n),
            None => {}
            Some(Call::First(asked)) => self.end_first(is_follower, n, asked),
            Some(Call::Store { asked, hold }) => self.end_store(is_follower, n, asked, hold),
            Some(Call::Follower {
                asked,
                n: source,
                need,
            }) => self.end_read(is_follower, n, asked, source, need),
        }
    }

    fn start_call(&mut self, is_follower: bool, n: usize) {
        let (now, count) = (self.now, self.followers.len());
        let process = self.process(is_follower, n);
        if !process.is_ready {
            process.call = Some(Call::First(now));
            return;
        }
        process.take_demand();
        let first = if is_follower { 0 } else { n };
        let order: Vec<InstanceId> = (0..count)
            .map(|it| follower_id((it + first) % count))
            .collect();
        let call = match process.sources.next(now, &order) {
            Step::Wait(until) => {
                process.idle_until = until;
                return;
            }
            Step::Store(hold) => Call::Store { asked: now, hold },
            Step::Follower(id, freshness) => Call::Follower {
                asked: now,
                n: usize::from(id.0.port()),
                need: match freshness {
                    Freshness::Known => None,
                    Freshness::AsOf(age) => Some(age),
                },
            },
        };
        process.call = Some(call);
        match call {
            Call::Store { .. } if is_follower => self.counts.by_followers += 1,
            Call::Store { .. } => self.counts.by_entries += 1,
            Call::Follower { need: Some(_), .. } => self.counts.demands += 1,
            Call::First(_) | Call::Follower { .. } => {}
        }
    }

    /// Whether the store answers a call that a process makes at `asked`.
    fn is_answered(&mut self, is_follower: bool, n: usize, asked: Timestamp) -> bool {
        let silent_until = self.silent_until;
        let process = self.process(is_follower, n);
        asked >= silent_until && process.fault != Fault::CutFromStore
    }

    /// The first read of an entry is that of the configuration, the one of an agent is that of its
    /// service's agents.
    fn end_first(&mut self, is_follower: bool, n: usize, asked: Timestamp) {
        let (now, answered) = (self.now, self.is_answered(is_follower, n, asked));
        let process = self.process(is_follower, n);
        if answered && now >= asked + STORE_TRIP {
            process.call = None;
            process.is_ready = true;
            if process.role == Role::Reader {
                process.sources.on_store_answer(now, asked, asked, true);
            }
        } else if now >= asked + Duration::from_millis(350) {
            process.call = Some(Call::First(now));
        }
    }

    fn end_store(&mut self, is_follower: bool, n: usize, asked: Timestamp, hold: Duration) {
        let (now, answered) = (self.now, self.is_answered(is_follower, n, asked));
        let jitter = self.rng.random_range(0.0..1.0);
        let process = self.process(is_follower, n);
        if answered && now >= asked + hold + STORE_TRIP {
            process.call = None;
            process
                .sources
                .on_store_answer(now, asked, asked + hold, false);
        } else if now >= asked + hold + Timing::new(APPLY_LIMIT).call_timeout() {
            process.call = None;
            process.sources.on_store_failure(now, jitter);
        }
    }

    fn end_read(
        &mut self,
        is_follower: bool,
        n: usize,
        asked: Timestamp,
        source: usize,
        need: Option<Duration>,
    ) {
        let now = self.now;
        let arrived = asked + HOP;
        let wait = Duration::from_millis(self.rng.random_range(0..300));
        let follower = &mut self.followers[source];
        let id = follower_id(source);
        let refuses = follower.fault == Fault::Dead || arrived < follower.started;
        let confirmed = follower.sources.confirmed();
        let holds = need.is_some_and(|age| {
            let at = arrived.before(age);
            confirmed < Some(at) && now < arrived + DEMAND_HOLD
        });
        if now < arrived + HOP {
            return;
        }
        if follower.fault == Fault::Frozen && now < asked + READ_TIMEOUT {
            return;
        }
        if holds && !refuses && follower.fault != Fault::Frozen {
            let at = arrived.before(need.unwrap_or_default());
            // The demand is raised when it arrives.
            if now == arrived + HOP {
                follower.raise(at);
            }
            return;
        }
        let frozen = follower.fault == Fault::Frozen;
        let process = self.process(is_follower, n);
        process.call = None;
        match confirmed.filter(|_| !refuses && !frozen) {
            None if frozen => process.sources.on_failure(now, id, wait),
            None => process.sources.on_refusal(now, id, wait),
            Some(confirmed) => {
                let age = arrived.since(confirmed);
                process.sources.on_answer(now, id, asked, age);
            }
        }
    }
}

fn follower_id(n: usize) -> InstanceId {
    InstanceId::new(std::net::Ipv4Addr::LOCALHOST, n as u16)
}
