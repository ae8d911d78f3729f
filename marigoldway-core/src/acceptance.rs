//! Acceptance of new flows: an agent keeps a flow or passes it to another agent.
//!
//! A flow is the QUIC connection of a caller. An entry is a process that forwards
//! packets to agents; an agent is the process beside a target. The roster holds
//! one record for each of these processes.
//!
//! An entry selects two candidates, which are agents, from the roster alone. The
//! first candidate knows its own load exactly and the load of its peers as of one
//! second ago. It may pass the flow to the second candidate, once. The second
//! candidate returns a flow that it can't accept. A decision to keep, pass or
//! return a flow also applies to retransmissions of the packet that opened the
//! flow, so no flow begins at two agents.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::InstanceId;
use crate::message::Load;
use crate::time::Timestamp;

/// Limits on the flows of an agent, and on the loads and decisions that the agent
/// keeps to decide on new flows.
#[derive(Clone, Copy, Debug)]
pub struct AcceptanceOptions {
    /// Number of flows from which the agent accepts no new flow.
    pub max_flows: u32,
    /// Divisor of the accepted imbalance: this agent keeps a new flow while its
    /// own flows exceed those of the second candidate by no more than that
    /// candidate's flows divided by this value. A small difference does not justify
    /// a pass, because it costs the first packets of a flow another hop. Zero counts
    /// as one.
    pub tolerance_divisor: u32,
    /// Age beyond which the reported load of a peer is ignored.
    pub load_lifetime: Duration,
    /// Time for which a decision is kept: longer than a caller retransmits.
    pub decision_lifetime: Duration,
    /// Maximum number of decisions that are kept.
    pub max_decisions: usize,
}

impl Default for AcceptanceOptions {
    fn default() -> AcceptanceOptions {
        AcceptanceOptions {
            max_flows: 2_000,
            tolerance_divisor: 256,
            load_lifetime: Duration::from_secs(5),
            decision_lifetime: Duration::from_secs(15),
            max_decisions: 65_536,
        }
    }
}

/// How a new flow reached an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Hop {
    /// An entry offers the flow to the first candidate.
    Offered {
        /// The second candidate, if there is one.
        second: Option<InstanceId>,
    },
    /// The first candidate passed the flow to the second.
    Passed {
        /// The first candidate.
        first: InstanceId,
    },
    /// The second candidate can't accept the flow and returned it to the first.
    Returned,
}

/// Decision of an agent on a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The flow begins at this agent.
    Keep,
    /// The flow is passed to the second candidate.
    Pass(InstanceId),
    /// The flow is returned to the first candidate.
    Return(InstanceId),
    /// The flow is refused. The caller may try again.
    Refuse,
}

impl Verdict {
    /// Reports whether an earlier verdict applies to a packet that arrives by
    /// `hop`. A returned flow is not passed again.
    fn applies_to(self, hop: Hop) -> bool {
        !matches!((self, hop), (Verdict::Pass(_), Hop::Returned))
    }
}

/// Decides on the new flows of one agent.
#[derive(Clone, Debug)]
pub struct Acceptance {
    options: AcceptanceOptions,
    flows: u32,
    leaving: bool,
    /// When each peer last reported its load, and its number of flows.
    peers: IndexMap<InstanceId, (Timestamp, u32)>,
    /// Kept decisions by the hash of the connection ID.
    decisions: IndexMap<u64, Verdict>,
    /// Time and key of each kept decision, oldest first.
    decision_times: VecDeque<(Timestamp, u64)>,
}

impl Acceptance {
    /// Creates the state of an agent that holds no flows.
    pub fn new(options: AcceptanceOptions) -> Acceptance {
        Acceptance {
            options,
            flows: 0,
            leaving: false,
            peers: IndexMap::new(),
            decisions: IndexMap::new(),
            decision_times: VecDeque::new(),
        }
    }

    /// Sets the number of flows that the agent holds. Between two calls, each
    /// newly kept flow is added to that number.
    pub fn set_flows(&mut self, flows: u32) {
        self.flows = flows;
    }

    /// Returns the number of flows that the agent holds.
    pub fn flows(&self) -> u32 {
        self.flows
    }

    /// Stops keeping new flows; flows that were kept before stay.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Records the load that a peer reported, and removes expired loads.
    pub fn observe(&mut self, now: Timestamp, load: Load) {
        self.peers.insert(load.id, (now, load.flows));
        let lifetime = self.options.load_lifetime;
        self.peers
            .retain(|_, (received, _)| now.since(*received) <= lifetime);
    }

    /// Decides on a new flow, or repeats the decision that is kept for `key`, the
    /// hash of the connection ID that the caller chose. A refusal is not kept, and a
    /// returned flow is not passed a second time.
    pub fn decide(&mut self, now: Timestamp, key: u64, hop: Hop) -> Verdict {
        self.expire(now);
        if let Some(verdict) = self.decisions.get(&key).filter(|it| it.applies_to(hop)) {
            return *verdict;
        }
        let verdict = self.evaluate(now, hop);
        match verdict {
            // Not kept: a refused caller retransmits, and may be accepted then.
            Verdict::Refuse => return verdict,
            Verdict::Keep => self.flows = self.flows.saturating_add(1),
            Verdict::Pass(_) | Verdict::Return(_) => (),
        }
        self.remember(now, key, verdict);
        verdict
    }

    fn evaluate(&self, now: Timestamp, hop: Hop) -> Verdict {
        let full = self.leaving || self.flows >= self.options.max_flows;
        match hop {
            Hop::Offered {
                second: Some(second),
            } if full || self.is_more_loaded(now, second) => Verdict::Pass(second),
            // The first candidate decided on the load that this agent last reported.
            // Since then this agent may have reached its limit or begun to leave.
            Hop::Passed { first } if full => Verdict::Return(first),
            Hop::Offered { .. } | Hop::Returned if full => Verdict::Refuse,
            Hop::Offered { .. } | Hop::Passed { .. } | Hop::Returned => Verdict::Keep,
        }
    }

    /// Reports whether this agent's load exceeds that of the second candidate by
    /// more than the tolerance. Without a recent load of that candidate, the mean
    /// load of the peers is used. Returns `false` if that is unknown too.
    fn is_more_loaded(&self, now: Timestamp, second: InstanceId) -> bool {
        let is_recent = |received: &Timestamp| now.since(*received) <= self.options.load_lifetime;
        let other_flows = match self.peers.get(&second) {
            Some((received, flows)) if is_recent(received) => Some(*flows),
            _ => self.mean_flows(now),
        };
        let divisor = self.options.tolerance_divisor.max(1);
        other_flows.is_some_and(|other| self.flows > other.saturating_add(other / divisor))
    }

    /// Returns the mean number of flows of the peers with a recent load, rounded
    /// up, or `None` without such a peer.
    fn mean_flows(&self, now: Timestamp) -> Option<u32> {
        let lifetime = self.options.load_lifetime;
        let recent = self.peers.values().filter(|it| now.since(it.0) <= lifetime);
        let (count, sum) = recent.fold((0_u64, 0_u64), |(count, sum), (_, flows)| {
            (count + 1, sum + u64::from(*flows))
        });
        let mean = sum.checked_add(count.checked_sub(1)?)? / count;
        u32::try_from(mean).ok()
    }

    fn remember(&mut self, now: Timestamp, key: u64, verdict: Verdict) {
        // A flood of new flows evicts decisions early instead of growing the
        // memory of this process.
        while self.decision_times.len() >= self.options.max_decisions {
            self.drop_oldest();
        }
        if self.decisions.insert(key, verdict).is_none() {
            self.decision_times.push_back((now, key));
        }
    }

    fn expire(&mut self, now: Timestamp) {
        let lifetime = self.options.decision_lifetime;
        let expired = |it: &(Timestamp, u64)| now.since(it.0) > lifetime;
        while self.decision_times.front().is_some_and(expired) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, key)) = self.decision_times.pop_front() {
            self.decisions.swap_remove(&key);
        }
    }
}
