//! Callers, agents and targets that exchange messages in any order.

use std::time::Duration;

use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::StdRng;

use marigoldway_core::admission::Action;
use marigoldway_core::admission::Admission;
use marigoldway_core::admission::AdmissionOptions;
use marigoldway_core::admission::Arrival;
use marigoldway_core::admission::CustomerKey;
use marigoldway_core::admission::Ended;
use marigoldway_core::admission::RequestId;
use marigoldway_core::duplicates::Claim;
use marigoldway_core::duplicates::Digest;
use marigoldway_core::duplicates::Duplicates;
use marigoldway_core::duplicates::DuplicatesOptions;
use marigoldway_core::duplicates::Settled;
use marigoldway_core::idempotency::IdempotencyKey;
use marigoldway_core::idempotency::Issuer;
use marigoldway_core::idempotency::Owner;
use marigoldway_core::idempotency::Serial;
use marigoldway_core::ids::Incarnation;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::ids::ServiceId;
use marigoldway_core::request::Class;
use marigoldway_core::request::Outcome;
use marigoldway_core::request::Refusal;
use marigoldway_core::request::UnknownReason;
use marigoldway_core::retry::Advice;
use marigoldway_core::retry::Repeat;
use marigoldway_core::retry::Sent;
use marigoldway_core::retry::advise;
use marigoldway_core::time::Timestamp;

/// Transfers of a run.
pub(crate) const TRANSFERS: usize = 4;

/// Agents of a run; each has a target of its own.
pub(crate) const AGENTS: usize = 2;

/// Which mechanism is at work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    Whole,
    /// "Not run" is forgotten instead of kept.
    ForgetRefusals,
    /// Any incarnation takes the keys of its address.
    AnyIncarnation,
    /// There is no duplicate table.
    NoTable,
}

#[derive(Clone, Debug)]
pub(crate) enum Step {
    Send(usize, usize),
    Deliver(usize),
    Lose(usize),
    RefuseAtTarget(usize),
    Restart(usize),
    Wait(u64),
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    transfer: usize,
    key: IdempotencyKey,
}

#[derive(Clone, Copy, Debug)]
enum Message {
    ToAgent(usize, Attempt),
    ToTarget(usize, Incarnation, RequestId, Attempt),
    FromTarget(usize, Incarnation, RequestId, Ended),
    ToCaller(Attempt, Outcome),
}

struct Agent {
    incarnation: Incarnation,
    issuer: Issuer,
    table: Duplicates<()>,
    admission: Admission,
    attempts: IndexMap<RequestId, Attempt>,
    next: u64,
}

fn agent_id(at: usize) -> InstanceId {
    InstanceId::new([127, 0, 0, 1].into(), 7_000 + at as u16)
}

impl Agent {
    fn new(at: usize, incarnation: Incarnation, now: Timestamp) -> Agent {
        let lifetime = Duration::from_millis(300);
        let options = AdmissionOptions {
            slots: 1,
            short_queue: 2,
            short_guess: Duration::from_millis(5),
            ..AdmissionOptions::default()
        };
        let bounds = DuplicatesOptions {
            max_keys: 3,
            ..DuplicatesOptions::default()
        };
        Agent {
            incarnation,
            issuer: Issuer::new(agent_id(at), incarnation, ServiceId(1), lifetime),
            table: Duplicates::new(bounds),
            admission: Admission::new(options, now),
            attempts: IndexMap::new(),
            next: 0,
        }
    }
}

/// `Bench` is the state of one run.
pub(crate) struct Bench {
    mode: Mode,
    now: Timestamp,
    rng: StdRng,
    agents: Vec<Agent>,
    messages: Vec<Message>,
    /// The key that a transfer is sent under, while it is open.
    keys: Vec<Option<IdempotencyKey>>,
    outcomes: Vec<Option<Outcome>>,
    /// Runs of each key.
    runs: IndexMap<IdempotencyKey, u32>,
    not_run: Vec<IdempotencyKey>,
    transfer_runs: [u32; TRANSFERS],
    /// How often a settled serial was forgotten, in the mode that forgets.
    forgotten: IndexMap<Serial, u64>,
}

impl Bench {
    pub(crate) fn new(mode: Mode) -> Bench {
        let now = Timestamp::ZERO;
        let agents = (0..AGENTS).map(|at| Agent::new(at, Incarnation(1), now));
        Bench {
            mode,
            now,
            rng: StdRng::seed_from_u64(1),
            agents: agents.collect(),
            messages: Vec::new(),
            keys: vec![None; TRANSFERS],
            outcomes: vec![None; TRANSFERS],
            runs: IndexMap::new(),
            not_run: Vec::new(),
            transfer_runs: [0; TRANSFERS],
            forgotten: IndexMap::new(),
        }
    }

    pub(crate) fn run(&mut self, step: &Step) {
        match *step {
            Step::Send(transfer, agent) => self.send(transfer, agent),
            Step::Deliver(at) => self.deliver(at),
            Step::Lose(at) => self.lose(at),
            Step::RefuseAtTarget(at) => self.refuse_at_target(at),
            Step::Restart(at) => {
                let next = Incarnation(self.agents[at].incarnation.0 + 1);
                self.agents[at] = Agent::new(at, next, self.now);
            }
            Step::Wait(millis) => {
                self.now = self.now + Duration::from_millis(millis);
                for at in 0..AGENTS {
                    let actions = self.agents[at].admission.tick(self.now, &mut self.rng);
                    self.act(at, &actions);
                }
            }
        }
    }

    fn send(&mut self, transfer: usize, agent: usize) {
        if self.outcomes[transfer].is_some() {
            return;
        }
        let now = self.now;
        let issuer = &mut self.agents[transfer % AGENTS].issuer;
        let key = *self.keys[transfer].get_or_insert_with(|| issuer.issue(now));
        let attempt = Attempt { transfer, key };
        self.messages.push(Message::ToAgent(agent, attempt));
    }

    fn take(&mut self, at: usize) -> Option<Message> {
        if self.messages.is_empty() {
            return None;
        }
        let at = at % self.messages.len();
        Some(self.messages.swap_remove(at))
    }

    fn deliver(&mut self, at: usize) {
        match self.take(at) {
            Some(Message::ToAgent(agent, attempt)) => self.attempt(agent, attempt),
            Some(Message::ToTarget(agent, incarnation, id, attempt)) => {
                *self.runs.entry(attempt.key).or_default() += 1;
                self.transfer_runs[attempt.transfer] += 1;
                self.end(agent, incarnation, id, Ended::Answered);
            }
            Some(Message::FromTarget(agent, incarnation, id, ended)) => {
                let alive = self.agents[agent].incarnation == incarnation;
                alive.then(|| self.finish(agent, id, ended));
            }
            Some(Message::ToCaller(attempt, outcome)) => self.answer(attempt, outcome),
            None => {}
        }
    }

    /// Loses a message; the agent sees a lost connection to its target.
    fn lose(&mut self, at: usize) {
        match self.take(at) {
            Some(Message::ToTarget(agent, incarnation, id, _))
            | Some(Message::FromTarget(agent, incarnation, id, _)) => {
                self.end(agent, incarnation, id, Ended::Broken);
            }
            _ => {}
        }
    }

    fn refuse_at_target(&mut self, at: usize) {
        let work = |message: &Message| matches!(message, Message::ToTarget(..));
        if !self.messages.iter().any(work) {
            return;
        }
        match self.take(at) {
            Some(Message::ToTarget(agent, incarnation, id, _)) => {
                self.end(agent, incarnation, id, Ended::Refused);
            }
            Some(other) => self.messages.push(other),
            None => {}
        }
    }

    fn end(&mut self, agent: usize, incarnation: Incarnation, id: RequestId, ended: Ended) {
        let message = Message::FromTarget(agent, incarnation, id, ended);
        self.messages.push(message);
    }

    fn attempt(&mut self, at: usize, attempt: Attempt) {
        let issuer = &self.agents[at].issuer;
        let owner = match issuer.owner(&attempt.key, self.now) {
            Owner::Gone if self.mode == Mode::AnyIncarnation => Owner::Local,
            owner => owner,
        };
        match owner {
            Owner::Local => self.claim(at, attempt),
            Owner::Peer(peer) => {
                let to = (0..AGENTS).position(|at| agent_id(at) == peer);
                let message = Message::ToAgent(to.expect("a known agent"), attempt);
                self.messages.push(message);
            }
            Owner::Gone => self.reply(attempt, Outcome::Unknown),
            Owner::Expired => self.reply(attempt, Outcome::Unknown),
            Owner::OtherService => unreachable!("one service"),
        }
    }

    fn claim(&mut self, at: usize, attempt: Attempt) {
        let key = self.claimed(&attempt.key);
        let agent = &mut self.agents[at];
        let id = RequestId(agent.next);
        agent.next += 1;
        agent.attempts.insert(id, attempt);
        let digest = Digest([attempt.transfer as u8; 32]);
        let claim = match self.mode {
            Mode::NoTable => Claim::Run,
            _ => agent.table.claim(&key, digest, id, self.now),
        };
        match claim {
            Claim::Run => {
                let arrival = Arrival {
                    id,
                    class: Class::Short,
                    customer: CustomerKey(attempt.transfer as u64),
                    deadline: Some(self.now + Duration::from_millis(60)),
                };
                let actions = agent.admission.arrive(arrival, self.now, &mut self.rng);
                self.act(at, &actions);
            }
            Claim::Wait => {}
            Claim::Settled(settled) => self.reply(attempt, outcome(&settled)),
        }
    }

    /// The key under which the table knows an attempt.
    fn claimed(&self, key: &IdempotencyKey) -> IdempotencyKey {
        let times = self.forgotten.get(&key.serial).copied().unwrap_or(0);
        IdempotencyKey {
            serial: Serial(key.serial.0 + times * 1_000),
            ..*key
        }
    }

    fn act(&mut self, at: usize, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Start(id) => {
                    let agent = &self.agents[at];
                    let attempt = agent.attempts[&id];
                    let message = Message::ToTarget(at, agent.incarnation, id, attempt);
                    self.messages.push(message);
                }
                Action::Refuse { id, reason, .. } => {
                    self.settle(at, id, &Settled::NotRun(reason));
                }
                Action::Cancel(_) => {}
            }
        }
    }

    fn finish(&mut self, at: usize, id: RequestId, ended: Ended) {
        let settled = match ended {
            Ended::Answered => Settled::Done(()),
            Ended::Refused => Settled::NotRun(Refusal::TargetRefused),
            Ended::Broken => Settled::Unknown(UnknownReason::AnswerBroken),
        };
        self.settle(at, id, &settled);
        let admission = &mut self.agents[at].admission;
        let actions = admission.finish(id, ended, self.now, &mut self.rng);
        self.act(at, &actions);
    }

    fn settle(&mut self, at: usize, id: RequestId, settled: &Settled<()>) {
        let attempt = self.agents[at].attempts[&id];
        self.reply(attempt, outcome(settled));
        let serial = self.claimed(&attempt.key).serial;
        for waiter in self.agents[at].table.settle(serial, settled, 0) {
            let attempt = self.agents[at].attempts[&waiter];
            self.reply(attempt, outcome(settled));
        }
        if self.mode == Mode::ForgetRefusals && matches!(settled, Settled::NotRun(_)) {
            *self.forgotten.entry(attempt.key.serial).or_default() += 1;
        }
    }

    fn reply(&mut self, attempt: Attempt, outcome: Outcome) {
        self.messages.push(Message::ToCaller(attempt, outcome));
    }

    /// The caller tries as hard as the rules let it.
    fn answer(&mut self, attempt: Attempt, outcome: Outcome) {
        if outcome == Outcome::NotRun {
            self.not_run.push(attempt.key);
        }
        if self.keys[attempt.transfer] != Some(attempt.key) {
            return;
        }
        match advise(Repeat::AtMostOnce, Sent::Octets, Some(outcome)) {
            Advice::Retry => self.keys[attempt.transfer] = None,
            Advice::SameKey => {}
            Advice::Stop => self.outcomes[attempt.transfer] = Some(outcome),
        }
    }

    /// What is wrong, if anything is.
    pub(crate) fn fault(&self) -> Option<String> {
        let ran = |key: &&IdempotencyKey| self.runs.get(*key).is_some_and(|runs| *runs > 0);
        if let Some(key) = self.not_run.iter().find(ran) {
            return Some(format!("\"not run\" ran: {key:?}"));
        }
        for (runs, outcome) in self.transfer_runs.iter().zip(&self.outcomes) {
            if *runs > 1 || (*outcome == Some(Outcome::Done) && *runs != 1) {
                return Some(format!("{runs} runs, outcome {outcome:?}"));
            }
        }
        None
    }
}

fn outcome(settled: &Settled<()>) -> Outcome {
    match settled {
        Settled::Done(()) => Outcome::Done,
        Settled::NotRun(_) => Outcome::NotRun,
        Settled::Unknown(_) => Outcome::Unknown,
    }
}
