//! Choice of the agent for a new flow.
//!
//! Reports of load are as old as the last word of the agent, and many entries
//! hold the same ones. Two candidates drawn at random, of which the less loaded
//! one is taken, keep entries from crowding onto the one that looked best.

use rand::Rng;
use rand::RngExt;

use crate::flow::message::Load;
use crate::flow::message::LoadLevel;
use crate::flow::message::TargetState;
use crate::flow::routes::WorkClass;
use crate::ids::InstanceId;

/// Load that an open flow adds for a flow of many requests, in requests in
/// progress: it pauses between them, but stays for long.
const FLOW_LOAD: f64 = 0.03;

/// Load that an open flow adds for a flow of one request, which is over soon:
/// the part of its time that a flow has a request in progress.
const FLOW_LOAD_BRIEF: f64 = 0.012;

/// Load above the mean at which an agent still takes a flow at once, relative to
/// a busy slot for each slot: a way to another agent has to be worth it.
const THRESHOLD_MARGIN: f64 = 0.25;

/// Load of a target that fails every request: more than any queue in front of
/// one that doesn't.
const FAILING_LOAD: f64 = 8.0;

/// Load of a target that is still slow after its start, relative to a warm one.
const COLD_FACTOR: f64 = 1.6;

/// Load that another domain is worth for requests that carry little.
const FAR_LOAD: f64 = 0.05;

/// Load that another domain is worth for uploads, whose octets cross domains.
const FAR_UPLOAD_LOAD: f64 = 2.0;

/// `Candidate` is an agent that a new flow may go to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The agent.
    pub id: InstanceId,
    /// Its last word on its target.
    pub load: Load,
    /// New flows that were sent to it since.
    pub sent: u32,
    /// Whether it is in the entry's own failure domain.
    pub same_domain: bool,
    /// Whether it owes an answer for longer than one takes.
    pub suspect: bool,
}

impl Candidate {
    /// Expected load a slot, and what the way costs.
    pub fn cost(&self, class: WorkClass) -> f64 {
        let mut cost = load_of(&self.load, self.sent, class);
        if !self.same_domain {
            cost += match class {
                WorkClass::Safe | WorkClass::Unsafe => FAR_LOAD,
                WorkClass::Upload => FAR_UPLOAD_LOAD,
            };
        }
        cost
    }
}

/// `Selection` names the agent for a new flow, and one that it may pass it to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Selection {
    /// The agent.
    pub agent: InstanceId,
    /// The other one.
    pub alternate: Option<InstanceId>,
}

/// Expected load a slot for a new flow of `class`.
pub fn load_level(load: &Load, class: WorkClass) -> LoadLevel {
    LoadLevel::from(load_of(load, 0, class))
}

/// The load at which an agent takes a new flow of `class` at once: little above
/// the mean of those that serve.
pub fn threshold(candidates: &[Candidate], class: WorkClass) -> LoadLevel {
    let serving = candidates.iter().filter(|it| rank(it) == 0);
    let (count, sum) = serving.fold((0_u32, 0.0), |(count, sum), it| {
        (count + 1, sum + load_of(&it.load, it.sent, class))
    });
    LoadLevel::from(sum / f64::from(count.max(1)) + THRESHOLD_MARGIN)
}

fn load_of(load: &Load, sent: u32, class: WorkClass) -> f64 {
    let flow_load = match class {
        WorkClass::Safe => FLOW_LOAD,
        WorkClass::Unsafe | WorkClass::Upload => FLOW_LOAD_BRIEF,
    };
    let requests = f64::from(load.running) + f64::from(load.waiting) + f64::from(load.opening);
    let flows = f64::from(load.flows) * flow_load;
    let mut expected = (requests + f64::from(sent) + flows) / f64::from(load.slots.max(1));
    if !load.slow_start.is_zero() {
        expected *= COLD_FACTOR;
    }
    expected + FAILING_LOAD * f64::from(load.failing) / 100.0
}

/// Chooses among `candidates`: serving ones first, then draining ones, suspects
/// last.
pub fn choose(candidates: &[Candidate], class: WorkClass, rng: &mut impl Rng) -> Option<Selection> {
    let best = candidates.iter().map(rank).min()?;
    let mut eligible: Vec<&Candidate> = candidates.iter().filter(|it| rank(it) == best).collect();
    if class == WorkClass::Upload && eligible.iter().any(|it| it.same_domain) {
        return choose_same_domain(&eligible, class);
    }
    if eligible.len() == 1 {
        let agent = eligible[0].id;
        let others = candidates.iter().filter(|it| it.id != agent);
        let alternate = others.min_by_key(|it| rank(it)).map(|it| it.id);
        return Some(Selection { agent, alternate });
    }
    let first = eligible.swap_remove(rng.random_range(0..eligible.len()));
    let second = eligible[rng.random_range(0..eligible.len())];
    let (agent, alternate) = if first.cost(class) <= second.cost(class) {
        (first, second)
    } else {
        (second, first)
    };
    Some(Selection {
        agent: agent.id,
        alternate: Some(alternate.id),
    })
}

/// The two cheapest, without a draw: the way costs more than a wait.
fn choose_same_domain(eligible: &[&Candidate], class: WorkClass) -> Option<Selection> {
    let mut order: Vec<&Candidate> = eligible.to_vec();
    order.sort_by(|a, b| a.cost(class).total_cmp(&b.cost(class)));
    Some(Selection {
        agent: order.first()?.id,
        alternate: order.get(1).map(|it| it.id),
    })
}

/// What is tried first: 0 serving, 1 draining, 2 silent, 3 without a target.
fn rank(candidate: &Candidate) -> u8 {
    match (candidate.load.state, candidate.suspect) {
        (TargetState::Serving, false) => 0,
        (TargetState::Draining, false) => 1,
        (TargetState::Serving | TargetState::Draining, true) => 2,
        (TargetState::Absent, _) => 3,
    }
}
