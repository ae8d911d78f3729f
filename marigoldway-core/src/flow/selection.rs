//! This module selects the agent that receives a new flow.
//!
//! An entry draws two of the flow's candidates at random and selects the one of lower
//! cost: its load, plus the cost of crossing failure domains. A load report is as
//! old as the last message of its agent, and many entries hold the same reports. If
//! each entry selected the agent with the lowest load, all of them would send their
//! new flows to the same agent. Only uploads and downloads go to the agent of
//! the lowest cost, if the entry's own failure domain has an agent.
//!
//! Loads are in running requests per slot, and a slot is capacity of a target for
//! one running request. The load of a single flow is in running requests. The load of a
//! target that is slower or faster than the mean counts as its expected completion time
//! ([`capacity`]).

use rand::Rng;
use rand::RngExt;

use crate::flow::capacity;
use crate::flow::message::Load;
use crate::flow::message::LoadLevel;
use crate::flow::message::TargetState;
use crate::flow::routes::WorkClass;
use crate::ids::InstanceId;

/// Load of an open flow that carries many requests, in running requests. Such a
/// flow is idle between requests but stays open for a long time.
const FLOW_LOAD: f64 = 0.03;

/// Load of an open flow that carries one request and ends soon, in running
/// requests: the fraction of the flow's lifetime during which its request runs.
const SHORT_FLOW_LOAD: f64 = 0.012;

/// Maximum load above the mean at which an agent accepts a flow at once, in running
/// requests per slot. A smaller difference doesn't justify forwarding the flow to
/// another agent.
const THRESHOLD_MARGIN: f64 = 0.25;

/// Load added for a target at which every request fails, in running requests per
/// slot. It exceeds the load of any queue in front of a target that doesn't fail
/// requests.
const FAILING_LOAD: f64 = 8.0;

/// Factor by which the load of a target in slow start is multiplied.
const SLOW_START_FACTOR: f64 = 1.6;

/// Cost of sending a flow whose requests carry little data to an agent in another
/// failure domain, in running requests per slot.
const REMOTE_LOAD: f64 = 0.05;

/// Cost of sending an upload or a download, whose data would cross domains, to an agent in
/// another failure domain, in running requests per slot.
const REMOTE_BULK_LOAD: f64 = 2.0;

/// `Candidate` is an agent that may receive a new flow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The agent.
    pub id: InstanceId,
    /// Last known load of its target.
    pub load: Load,
    /// Number of new flows that the entry sent to the agent since the agent reported
    /// `load`.
    pub sent: u32,
    /// Whether the agent is in the entry's own failure domain.
    pub same_domain: bool,
    /// Whether an answer of the agent is overdue, or the agent recently refused a
    /// packet.
    pub suspect: bool,
    /// Service time of the target relative to the mean of the candidates, as
    /// [`capacity::compare`] sets it; 1 is neutral.
    pub slowness: f64,
}

impl Candidate {
    /// Expected load per slot, plus the cost of crossing failure domains.
    pub fn cost(&self, class: WorkClass) -> f64 {
        let mut cost = relative_load(&self.load, self.sent, class, self.slowness);
        if !self.same_domain {
            cost += match class {
                WorkClass::Safe | WorkClass::Unsafe => REMOTE_LOAD,
                WorkClass::Upload | WorkClass::Download => REMOTE_BULK_LOAD,
            };
        }
        cost
    }
}

/// `Selection` is the agent selected for a new flow, with an alternate agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Selection {
    /// The agent that receives the flow.
    pub agent: InstanceId,
    /// The agent to which `agent` may forward the flow, if there is another one.
    pub alternate: Option<InstanceId>,
}

/// The load per slot that a target reports, as it counts for a new flow of `class`, with the
/// target's `slowness`.
pub fn load_level(load: &Load, class: WorkClass, slowness: f64) -> LoadLevel {
    LoadLevel::from(relative_load(load, 0, class, slowness))
}

/// Maximum load at which an agent accepts a new flow of `class` at once: the mean
/// load of the serving candidates plus `THRESHOLD_MARGIN`.
pub fn threshold(candidates: &[Candidate], class: WorkClass) -> LoadLevel {
    let serving = candidates.iter().filter(|it| rank(it) == 0);
    let (count, sum) = serving.fold((0_u32, 0.0), |(count, sum), it| {
        (
            count + 1,
            sum + relative_load(&it.load, it.sent, class, it.slowness),
        )
    });
    LoadLevel::from(sum / f64::from(count.max(1)) + THRESHOLD_MARGIN)
}

/// The expected load per slot of a target to which the entry has sent `sent` new
/// flows since the target's load was reported, weighted by the target's `slowness`.
fn relative_load(load: &Load, sent: u32, class: WorkClass, slowness: f64) -> f64 {
    let flow_load = match class {
        WorkClass::Safe => FLOW_LOAD,
        WorkClass::Unsafe | WorkClass::Upload | WorkClass::Download => SHORT_FLOW_LOAD,
    };
    let flows = f64::from(load.flows) * flow_load;
    let mut expected = capacity::cost(capacity::load_per_slot(load, sent, flows), slowness);
    if !load.slow_start.is_zero() {
        expected *= SLOW_START_FACTOR;
    }
    expected + FAILING_LOAD * f64::from(load.failing) / 100.0
}

/// Selects an agent among the candidates of the best rank: serving ones first,
/// then draining ones, then suspect ones, and those without a target last. Of two
/// candidates drawn at random, the one of lower cost is selected, and the other is
/// the alternate. A bulk flow goes to the cheapest candidate if one of the best rank
/// is in the entry's failure domain. Otherwise, if only one candidate has the best
/// rank, the alternate is one of the next best rank. Returns `None` if there are no candidates.
pub fn choose(candidates: &[Candidate], class: WorkClass, rng: &mut impl Rng) -> Option<Selection> {
    let best = candidates.iter().map(rank).min()?;
    let mut eligible: Vec<&Candidate> = candidates.iter().filter(|it| rank(it) == best).collect();
    if class.is_bulk() && eligible.iter().any(|it| it.same_domain) {
        return choose_cheapest(&eligible, class);
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

/// Selects the candidate of the lowest cost, and the next one as the alternate,
/// without a random draw: a bulk flow loses more by crossing failure domains than by
/// waiting. Returns `None` if `eligible` is empty.
fn choose_cheapest(eligible: &[&Candidate], class: WorkClass) -> Option<Selection> {
    let mut order: Vec<&Candidate> = eligible.to_vec();
    order.sort_by(|a, b| a.cost(class).total_cmp(&b.cost(class)));
    Some(Selection {
        agent: order.first()?.id,
        alternate: order.get(1).map(|it| it.id),
    })
}

/// Rank of a candidate, from 0 for the best: 0 serving, 1 draining, 2 suspect, 3
/// without a target.
fn rank(candidate: &Candidate) -> u8 {
    match (candidate.load.state, candidate.suspect) {
        (TargetState::Serving, false) => 0,
        (TargetState::Draining, false) => 1,
        (TargetState::Serving | TargetState::Draining, true) => 2,
        (TargetState::Absent, _) => 3,
    }
}
