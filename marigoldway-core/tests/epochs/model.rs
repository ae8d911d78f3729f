//! The store, its followers and the processes that read from them.

use std::time::Duration;

use indexmap::IndexMap;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use marigoldway_core::ids::InstanceId;
use marigoldway_core::replica::epoch::Epoch;
use marigoldway_core::replica::epoch::EpochRevision;
use marigoldway_core::replica::sources::Freshness;
use marigoldway_core::replica::sources::Step;
use marigoldway_core::replica::timing::Timing;
use marigoldway_core::time::Timestamp;

use crate::process::APPLY_LIMIT;
use crate::process::Call;
use crate::process::Process;
use crate::store::Contents;
use crate::store::Reply;
use crate::store::Store;

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(20);

/// Time after the last fault within which every process has the latest state. Calls that failed are
/// repeated after up to 1.9 s, and a follower that failed is asked again after 5 s.
pub const RECOVERY_TIME: Duration = Duration::from_secs(12);

pub const FOLLOWERS: usize = 3;
pub const READERS: usize = 8;

#[derive(Clone, Copy, Debug)]
pub enum Event {
    Write(u8, bool),
    BackUp,
    Restore,
    Store(bool),
    Cut(usize, bool),
    Restart(usize),
    Learn(usize),
}

pub struct Model {
    now: Timestamp,
    pub store: Store,
    /// The followers, then the readers.
    pub processes: Vec<Process>,
    rng: StdRng,
}

pub fn follower_id(n: usize) -> InstanceId {
    InstanceId::new(std::net::Ipv4Addr::LOCALHOST, n as u16)
}

pub fn role(n: usize) -> Option<InstanceId> {
    (n < FOLLOWERS).then(|| follower_id(n))
}

impl Model {
    pub fn new(seed: u64) -> Model {
        let mut store = Store {
            epoch: Epoch(1),
            contents: Contents::default(),
            backup: Contents::default(),
            states: IndexMap::new(),
            is_up: true,
        };
        store.write("a0".to_owned(), false);
        Model {
            now: Timestamp::from_millis(10_000),
            store,
            processes: (0..FOLLOWERS + READERS)
                .map(|n| Process::new(role(n)))
                .collect(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            for n in 0..self.processes.len() {
                self.handle_call(n);
                self.finish_call(n);
                self.start_call(n);
                let process = &self.processes[n];
                let expected = self.store.states.get(&process.view_at);
                if process.view_at != EpochRevision::default() {
                    assert_eq!(Some(&process.view), expected, "at {:?}", process.view_at);
                }
            }
        }
    }

    pub fn start_call(&mut self, n: usize) {
        let now = self.now;
        let delay = match self.rng.random_range(0..8) {
            0 => self.rng.random_range(200..900),
            _ => self.rng.random_range(10..60),
        };
        let delay = Duration::from_millis(delay);
        let first = if n < FOLLOWERS { 0 } else { n };
        let order = (0..FOLLOWERS).map(|it| follower_id((it + first) % FOLLOWERS));
        let order: Vec<InstanceId> = order.collect();
        let process = &mut self.processes[n];
        if process.call.is_some() {
            return;
        }
        process.enter_epoch();
        match process.sources.next(now, &order) {
            Step::Wait(_) => {}
            Step::Store(hold) => {
                process.position.after(now);
                process.call = Some(Call::Store {
                    asked: now,
                    asked_at: process.position.reached(),
                    lists: process.must_read,
                    hold,
                    handled_at: now + delay / 2,
                    reply: None,
                    arrives_at: now + delay,
                });
            }
            Step::Follower(id, freshness) => {
                let asked_at = process.position.reached();
                let is_cut = process.is_cut;
                let follower = &mut self.processes[usize::from(id.0.port())];
                let replica = follower
                    .replica
                    .as_ref()
                    .filter(|_| !is_cut && !follower.is_cut);
                let is_behind = replica.is_some_and(|it| asked_at.epoch > it.epoch());
                let answer = replica.and_then(|it| it.answer(now, "a", asked_at));
                if is_behind || freshness != Freshness::Known {
                    follower.sources.demand(now);
                }
                self.processes[n].call = Some(Call::Follower {
                    asked: now,
                    asked_at,
                    id,
                    answer,
                    arrives_at: now + delay.min(Duration::from_millis(400)),
                });
            }
        }
    }

    /// Lets the store handle the call of a process.
    pub fn handle_call(&mut self, n: usize) {
        let (now, store) = (self.now, &self.store);
        let process = &mut self.processes[n];
        let Some(Call::Store {
            asked,
            asked_at,
            lists,
            hold,
            handled_at,
            reply,
            arrives_at,
        }) = &mut process.call
        else {
            return;
        };
        if reply.is_some() || now < *handled_at || !store.is_up || process.is_cut {
            return;
        }
        let body = if *lists {
            Some(store.list())
        } else {
            store.changes(asked_at.revision).or_else(|| {
                let revision = store.contents.revision;
                (now >= *asked + *hold).then(|| Reply::Changes(Vec::new(), revision))
            })
        };
        let travel = arrives_at.since(*handled_at);
        if let Some(body) = body {
            *reply = Some((store.epoch, body));
            *arrives_at = now + travel;
        }
    }

    pub fn finish_call(&mut self, n: usize) {
        let now = self.now;
        let process = &mut self.processes[n];
        let timeout = Timing::new(APPLY_LIMIT).call_timeout();
        match process.call.take() {
            Some(Call::Store {
                asked,
                asked_at,
                reply: Some(reply),
                arrives_at,
                ..
            }) if now >= arrives_at && !process.is_cut => {
                process.on_reply(now, (asked, asked_at), reply);
            }
            Some(Call::Store { asked, hold, .. }) if now.since(asked) >= hold + timeout => {
                process.must_read = true;
                process
                    .sources
                    .on_store_failure(now, self.rng.random_range(0.0..1.0));
            }
            Some(Call::Follower {
                asked,
                asked_at,
                id,
                answer,
                arrives_at,
            }) if now >= arrives_at => {
                let answer = answer.filter(|_| !process.is_cut);
                process.on_answer(now, id, (asked, asked_at), answer);
            }
            other => process.call = other,
        }
    }

    pub fn apply(&mut self, event: Event) {
        match event {
            Event::Write(key, deletes) => self.store.write(format!("a{key}"), deletes),
            Event::BackUp => self.store.backup = self.store.contents.clone(),
            Event::Restore => self.store.restore(),
            Event::Store(is_up) => self.store.is_up = is_up,
            Event::Cut(n, is_cut) => self.processes[n].is_cut = is_cut,
            Event::Restart(n) => self.processes[n] = Process::new(role(n)),
            // Another client of the process has learned the epoch, as by a renewal of a lease.
            Event::Learn(n) if self.store.is_up => self.processes[n].latest = self.store.epoch,
            Event::Learn(_) => {}
        }
    }

    /// Whether a follower's answer to a process is under way.
    pub fn is_answered_by_follower(&self, n: usize) -> bool {
        let call = &self.processes[n].call;
        matches!(
            call,
            Some(Call::Follower {
                answer: Some(_),
                ..
            })
        )
    }

    /// Ends all faults, and checks that every process comes to know the latest state.
    pub fn check_recovery(&mut self) {
        self.store.is_up = true;
        for process in &mut self.processes {
            process.is_cut = false;
        }
        self.store.write("a9".to_owned(), false);
        self.advance(RECOVERY_TIME);
        for (n, process) in self.processes.iter().enumerate() {
            assert_eq!(process.view, self.store.contents.keys, "process {n}");
            assert_eq!(process.view_at.epoch, self.store.epoch, "process {n}");
        }
    }
}
