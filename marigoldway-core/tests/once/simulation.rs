//! Simulation of callers, agents and targets whose messages arrive in any order.

use std::time::Duration;

use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::StdRng;

use marigoldway_core::admission::Action;
use marigoldway_core::admission::Admission;
use marigoldway_core::admission::AdmissionOptions;
use marigoldway_core::admission::Arrival;
use marigoldway_core::admission::Completion;
use marigoldway_core::admission::CustomerKey;
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

/// Number of transfers in a run.
pub(crate) const TRANSFERS: usize = 4;

/// Number of agents in a run. Each has its own target.
pub(crate) const AGENTS: usize = 2;

/// Which part of the duplicate detection is disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// All parts are enabled.
    Complete,
    /// The outcome "not run" is discarded instead of kept.
    ForgetRefusals,
    /// Any incarnation accepts the keys issued at its address.
    AnyIncarnation,
    /// No duplicate table is used.
    NoTable,
}

/// One event of a run. A message in transit is selected by a number modulo the
/// number of such messages.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// The caller sends an attempt of a transfer to an agent.
    Send(usize, usize),
    /// A message reaches its receiver.
    Deliver(usize),
    /// A message is lost.
    Lose(usize),
    /// The target refuses a message, if it is a request to a target.
    RefuseAtTarget(usize),
    /// An agent restarts and loses its state.
    Restart(usize),
    /// The clock advances by a number of milliseconds.
    Wait(u64),
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    transfer: usize,
    key: IdempotencyKey,
}

/// A message in transit. Agents are given by index; a target has its agent's index.
#[derive(Clone, Copy, Debug)]
enum Message {
    ToAgent(usize, Attempt),
    ToTarget(usize, Incarnation, RequestId, Attempt),
    FromTarget(usize, Incarnation, RequestId, Completion),
    ToCaller(Attempt, Outcome),
}

struct Agent {
    incarnation: Incarnation,
    issuer: Issuer,
    table: Duplicates<()>,
    admission: Admission,
    attempts: IndexMap<RequestId, Attempt>,
    next_id: u64,
}

fn agent_id(agent_index: usize) -> InstanceId {
    InstanceId::new([127, 0, 0, 1].into(), 7_000 + agent_index as u16)
}

impl Agent {
    fn new(agent_index: usize, incarnation: Incarnation, now: Timestamp) -> Agent {
        let lifetime = Duration::from_millis(300);
        let options = AdmissionOptions {
            slots: 1,
            short_queue: 2,
            short_estimate: Duration::from_millis(5),
            ..AdmissionOptions::default()
        };
        let limits = DuplicatesOptions {
            max_keys: 3,
            ..DuplicatesOptions::default()
        };
        Agent {
            incarnation,
            issuer: Issuer::new(agent_id(agent_index), incarnation, ServiceId(1), lifetime),
            table: Duplicates::new(limits),
            admission: Admission::new(options, now),
            attempts: IndexMap::new(),
            next_id: 0,
        }
    }
}

/// State of one run.
pub(crate) struct Simulation {
    mode: Mode,
    now: Timestamp,
    rng: StdRng,
    agents: Vec<Agent>,
    messages: Vec<Message>,
    /// Key that each transfer currently uses, `None` until an attempt takes one.
    keys: Vec<Option<IdempotencyKey>>,
    outcomes: Vec<Option<Outcome>>,
    /// Number of runs of each key.
    runs: IndexMap<IdempotencyKey, u32>,
    /// Keys whose callers received the outcome "not run".
    not_run: Vec<IdempotencyKey>,
    transfer_runs: [u32; TRANSFERS],
    /// How often the settled outcome of a serial was discarded, in [`Mode::ForgetRefusals`].
    forgotten: IndexMap<Serial, u64>,
}

impl Simulation {
    pub(crate) fn new(mode: Mode) -> Simulation {
        let now = Timestamp::ZERO;
        let agents = (0..AGENTS).map(|agent_index| Agent::new(agent_index, Incarnation(1), now));
        Simulation {
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
            Step::Deliver(index) => self.deliver(index),
            Step::Lose(index) => self.lose(index),
            Step::RefuseAtTarget(index) => self.refuse_at_target(index),
            Step::Restart(agent_index) => {
                let next = Incarnation(self.agents[agent_index].incarnation.0 + 1);
                self.agents[agent_index] = Agent::new(agent_index, next, self.now);
            }
            Step::Wait(millis) => {
                self.now = self.now + Duration::from_millis(millis);
                for agent_index in 0..AGENTS {
                    let actions = self.agents[agent_index]
                        .admission
                        .tick(self.now, &mut self.rng);
                    self.apply(agent_index, &actions);
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

    fn take_message(&mut self, index: usize) -> Option<Message> {
        if self.messages.is_empty() {
            return None;
        }
        let index = index % self.messages.len();
        Some(self.messages.swap_remove(index))
    }

    fn deliver(&mut self, index: usize) {
        match self.take_message(index) {
            Some(Message::ToAgent(agent, attempt)) => self.receive_attempt(agent, attempt),
            Some(Message::ToTarget(agent, incarnation, id, attempt)) => {
                *self.runs.entry(attempt.key).or_default() += 1;
                self.transfer_runs[attempt.transfer] += 1;
                self.report_completion(agent, incarnation, id, Completion::Answered);
            }
            Some(Message::FromTarget(agent, incarnation, id, completion)) => {
                let alive = self.agents[agent].incarnation == incarnation;
                alive.then(|| self.finish(agent, id, completion));
            }
            Some(Message::ToCaller(attempt, outcome)) => self.receive_outcome(attempt, outcome),
            None => {}
        }
    }

    /// Drops a message. If it went to or from a target, the agent observes a failed
    /// connection to the target.
    fn lose(&mut self, index: usize) {
        match self.take_message(index) {
            Some(Message::ToTarget(agent, incarnation, id, _))
            | Some(Message::FromTarget(agent, incarnation, id, _)) => {
                self.report_completion(agent, incarnation, id, Completion::Failed);
            }
            _ => {}
        }
    }

    fn refuse_at_target(&mut self, index: usize) {
        let is_request = |message: &Message| matches!(message, Message::ToTarget(..));
        if !self.messages.iter().any(is_request) {
            return;
        }
        match self.take_message(index) {
            Some(Message::ToTarget(agent, incarnation, id, _)) => {
                self.report_completion(agent, incarnation, id, Completion::Refused);
            }
            Some(other) => self.messages.push(other),
            None => {}
        }
    }

    fn report_completion(
        &mut self,
        agent: usize,
        incarnation: Incarnation,
        id: RequestId,
        completion: Completion,
    ) {
        let message = Message::FromTarget(agent, incarnation, id, completion);
        self.messages.push(message);
    }

    fn receive_attempt(&mut self, agent_index: usize, attempt: Attempt) {
        let issuer = &self.agents[agent_index].issuer;
        let owner = match issuer.owner(&attempt.key, self.now) {
            Owner::Gone if self.mode == Mode::AnyIncarnation => Owner::Local,
            owner => owner,
        };
        match owner {
            Owner::Local => self.claim(agent_index, attempt),
            Owner::Peer(peer) => {
                let to = (0..AGENTS).position(|agent_index| agent_id(agent_index) == peer);
                let message =
                    Message::ToAgent(to.expect("the issuer is an agent of the run"), attempt);
                self.messages.push(message);
            }
            Owner::Gone => self.reply(attempt, Outcome::Unknown),
            Owner::Expired => self.reply(attempt, Outcome::Unknown),
            Owner::OtherService => unreachable!("the run has only one service"),
        }
    }

    fn claim(&mut self, agent_index: usize, attempt: Attempt) {
        let key = self.table_key(&attempt.key);
        let agent = &mut self.agents[agent_index];
        let id = RequestId(agent.next_id);
        agent.next_id += 1;
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
                self.apply(agent_index, &actions);
            }
            Claim::Wait => {}
            Claim::Settled(settled) => self.reply(attempt, outcome(&settled)),
        }
    }

    /// Returns the key under which an attempt is in the duplicate table. After an outcome
    /// was discarded, another serial takes the place of the settled one.
    fn table_key(&self, key: &IdempotencyKey) -> IdempotencyKey {
        let times = self.forgotten.get(&key.serial).copied().unwrap_or(0);
        IdempotencyKey {
            serial: Serial(key.serial.0 + times * 1_000),
            ..*key
        }
    }

    fn apply(&mut self, agent_index: usize, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Start(id) => {
                    let agent = &self.agents[agent_index];
                    let attempt = agent.attempts[&id];
                    let message = Message::ToTarget(agent_index, agent.incarnation, id, attempt);
                    self.messages.push(message);
                }
                Action::Refuse { id, reason, .. } => {
                    self.settle(agent_index, id, &Settled::NotRun(reason));
                }
                Action::Cancel(_) => {}
            }
        }
    }

    fn finish(&mut self, agent_index: usize, id: RequestId, completion: Completion) {
        let settled = match completion {
            Completion::Answered => Settled::Done(()),
            Completion::Refused => Settled::NotRun(Refusal::TargetRefused),
            Completion::Failed => Settled::Unknown(UnknownReason::AnswerBroken),
        };
        self.settle(agent_index, id, &settled);
        let admission = &mut self.agents[agent_index].admission;
        let actions = admission.finish(id, completion, self.now, &mut self.rng);
        self.apply(agent_index, &actions);
    }

    fn settle(&mut self, agent_index: usize, id: RequestId, settled: &Settled<()>) {
        let attempt = self.agents[agent_index].attempts[&id];
        self.reply(attempt, outcome(settled));
        let serial = self.table_key(&attempt.key).serial;
        for waiter in self.agents[agent_index].table.settle(serial, settled, 0) {
            let attempt = self.agents[agent_index].attempts[&waiter];
            self.reply(attempt, outcome(settled));
        }
        if self.mode == Mode::ForgetRefusals && matches!(settled, Settled::NotRun(_)) {
            *self.forgotten.entry(attempt.key.serial).or_default() += 1;
        }
    }

    fn reply(&mut self, attempt: Attempt, outcome: Outcome) {
        self.messages.push(Message::ToCaller(attempt, outcome));
    }

    /// The caller receives an outcome and may send the transfer again if [`advise`]
    /// allows it.
    fn receive_outcome(&mut self, attempt: Attempt, outcome: Outcome) {
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

    /// Returns the first guarantee that is violated, if any.
    pub(crate) fn violation(&self) -> Option<String> {
        let ran = |key: &&IdempotencyKey| self.runs.get(*key).is_some_and(|runs| *runs > 0);
        if let Some(key) = self.not_run.iter().find(ran) {
            return Some(format!("key with outcome \"not run\" ran: {key:?}"));
        }
        for (runs, outcome) in self.transfer_runs.iter().zip(&self.outcomes) {
            if *runs > 1 || (*outcome == Some(Outcome::Done) && *runs != 1) {
                return Some(format!("transfer ran {runs} times, outcome {outcome:?}"));
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
