//! Decides whether a new flow goes to another service of its route.
//!
//! The weights of a route decide as long as there is spare capacity. A flow overflows only if every
//! serving candidate of its own service has a request waiting for each of its slots, and an agent
//! of another service with a weight has a free slot. It ends below a lower level, so that small
//! changes of load don't switch it on and off.
//!
//! Many entries decide by reports that may be a second old, so this decision only proposes. The
//! agent of the other service accepts the flow if it has room at that moment, and otherwise sends
//! the packet back to an agent of the flow's own service. The other service therefore never
//! receives more than its spare capacity, whatever the age of the reports, and there is no feedback
//! that could oscillate.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::flow::capacity;
use crate::flow::key::NameKey;
use crate::flow::message::TargetState;
use crate::flow::selection::Candidate;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Requests per slot at each serving candidate from which flows overflow: one runs and one waits
/// for each slot.
const START_LEVEL: f64 = 2.0;

/// Requests per slot at some serving candidate below which flows no longer overflow: a request
/// waits for half of the slots.
const END_LEVEL: f64 = 1.5;

/// Requests per slot of an agent of another service below which flows are proposed to it. It is
/// above one, since the report may be old: an agent that was busy at the moment of its report, but
/// has a free slot soon after, would otherwise get nothing for a second.
const ROOM_LEVEL: f64 = 1.5;

/// Time after an agent sent a flow back for which it isn't proposed again: about the time of a
/// request, after which a slot is free. A longer period would leave free slots unused.
const RETURN_PERIOD: Duration = Duration::from_millis(30);

/// `Overflow` holds which services are saturated, and which agents have lately sent flows of other
/// services back.
#[derive(Debug, Default)]
pub struct Overflow {
    saturated: IndexSet<NameKey>,
    /// Services that became or ceased to be saturated since the last `take_changes`.
    changes: Vec<(NameKey, bool)>,
    returned: IndexMap<InstanceId, Timestamp>,
}

impl Overflow {
    /// Whether a new flow with these candidates of its own service may overflow. Updates the state
    /// of the service. False if no candidate serves: that isn't a matter of load.
    pub fn is_saturated(&mut self, service: NameKey, candidates: &[Candidate]) -> bool {
        let was_saturated = self.saturated.contains(&service);
        let limit = if was_saturated {
            END_LEVEL
        } else {
            START_LEVEL
        };
        let least = candidates
            .iter()
            .filter(|it| serves(it))
            .map(present_per_slot)
            .min_by(f64::total_cmp);
        let is_saturated = least.is_some_and(|it| it >= limit);
        if is_saturated != was_saturated {
            if is_saturated {
                self.saturated.insert(service);
            } else {
                self.saturated.swap_remove(&service);
            }
            self.changes.push((service, is_saturated));
        }
        is_saturated
    }

    /// Whether an agent of another service may have a free slot for a new flow. A target
    /// that fails requests, or is in slow start, gets none beyond its share.
    pub fn has_room(&self, now: Timestamp, candidate: &Candidate) -> bool {
        let sent_back = self.returned.get(&candidate.id);
        let load = &candidate.load;
        serves(candidate)
            && load.failing == 0
            && load.slow_start.is_zero()
            && expected_per_slot(candidate) < ROOM_LEVEL
            && sent_back.is_none_or(|at| now.since(*at) >= RETURN_PERIOD)
    }

    /// Records that an agent sent a flow of another service back.
    pub fn on_returned(&mut self, now: Timestamp, agent: InstanceId) {
        self.returned.retain(|_, at| now.since(*at) < RETURN_PERIOD);
        self.returned.insert(agent, now);
    }

    /// Returns the services that became (true) or ceased to be (false) saturated since the last
    /// call.
    pub fn take_changes(&mut self) -> Vec<(NameKey, bool)> {
        std::mem::take(&mut self.changes)
    }
}

fn serves(candidate: &Candidate) -> bool {
    candidate.load.state == TargetState::Serving && !candidate.suspect
}

/// Requests that run or wait at a target, for each of its usable slots.
fn present_per_slot(candidate: &Candidate) -> f64 {
    let load = &candidate.load;
    let present = u32::from(load.running) + u32::from(load.waiting);
    f64::from(present) / f64::from(capacity::usable_slots(load))
}

/// Requests that run, wait or are about to arrive at a target, for each of its usable slots.
fn expected_per_slot(candidate: &Candidate) -> f64 {
    capacity::load_per_slot(&candidate.load, candidate.sent, 0.0)
}
