//! Acceptance: whether an agent keeps a new flow or passes it on.
//!
//! An entry names two candidates from the roster alone. The first one knows
//! its own load exactly and that of its peers as of a second ago, and may pass
//! the flow once. The second one gives a flow back that it can't take. A
//! decision stands for the retransmissions of the packet that
//! opened the flow, so that no flow begins at two agents.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::InstanceId;
use crate::message::Load;
use crate::time::Timestamp;

/// `AcceptanceOptions` bounds the flows of an agent.
#[derive(Clone, Copy, Debug)]
pub struct AcceptanceOptions {
    /// Flows that the target holds at most.
    pub max_flows: u32,
    /// Flows of the second candidate for each flow by which this agent may
    /// hold more and keep a new one all the same. A pass costs the first
    /// packets of a flow another hop, so slight differences aren't worth it.
    pub tolerance_divisor: u32,
    /// Age at which a peer's load no longer counts.
    pub load_lifetime: Duration,
    /// Time for which a decision stands: longer than a caller retransmits.
    pub decision_lifetime: Duration,
    /// Decisions that are remembered at most.
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

/// `Hop` is how a new flow came to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Hop {
    /// An entry offers it to its first candidate.
    Offered {
        /// The other candidate.
        second: Option<InstanceId>,
    },
    /// The first candidate passed it to the second.
    Passed {
        /// The first candidate.
        first: InstanceId,
    },
    /// The second candidate can't take it and gave it back.
    Returned,
}

/// `Verdict` is what becomes of a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The flow begins here.
    Keep,
    /// The second candidate gets the flow.
    Pass(InstanceId),
    /// The first candidate gets the flow back.
    Return(InstanceId),
    /// The flow is refused: the caller may try again.
    Refuse,
}

impl Verdict {
    /// Whether a verdict holds for a packet that comes by `hop`. A flow that
    /// comes back is not passed again.
    fn stands(self, hop: Hop) -> bool {
        !matches!((self, hop), (Verdict::Pass(_), Hop::Returned))
    }
}

/// `Acceptance` decides on the new flows of one agent.
#[derive(Clone, Debug)]
pub struct Acceptance {
    options: AcceptanceOptions,
    flows: u32,
    leaving: bool,
    peers: IndexMap<InstanceId, (Timestamp, u32)>,
    decisions: IndexMap<u64, Verdict>,
    ages: VecDeque<(Timestamp, u64)>,
}

impl Acceptance {
    /// Makes the state of an agent without flows.
    pub fn new(options: AcceptanceOptions) -> Acceptance {
        Acceptance {
            options,
            flows: 0,
            leaving: false,
            peers: IndexMap::new(),
            decisions: IndexMap::new(),
            ages: VecDeque::new(),
        }
    }

    /// Sets the number of flows that the agent holds. Flows that were kept
    /// since the last call count in addition until then.
    pub fn set_flows(&mut self, flows: u32) {
        self.flows = flows;
    }

    /// Number of flows that the agent holds.
    pub fn flows(&self) -> u32 {
        self.flows
    }

    /// Keeps no new flow from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Takes note of a peer's load.
    pub fn observe(&mut self, now: Timestamp, load: Load) {
        self.peers.insert(load.id, (now, load.flows));
        let stale = self.options.load_lifetime;
        self.peers
            .retain(|_, (since, _)| now.since(*since) <= stale);
    }

    /// Decides on a flow. `key` is the hash of the connection ID that the
    /// caller chose.
    pub fn decide(&mut self, now: Timestamp, key: u64, hop: Hop) -> Verdict {
        self.expire(now);
        if let Some(verdict) = self.decisions.get(&key).filter(|it| it.stands(hop)) {
            return *verdict;
        }
        let verdict = self.judge(now, hop);
        match verdict {
            // A refused caller sends again, and may find room then.
            Verdict::Refuse => return verdict,
            Verdict::Keep => self.flows = self.flows.saturating_add(1),
            Verdict::Pass(_) | Verdict::Return(_) => (),
        }
        self.remember(now, key, verdict);
        verdict
    }

    fn judge(&self, now: Timestamp, hop: Hop) -> Verdict {
        let full = self.leaving || self.flows >= self.options.max_flows;
        match hop {
            Hop::Offered {
                second: Some(second),
            } if full || self.is_above(now, second) => Verdict::Pass(second),
            // The first candidate judged by what it was told of this one, which
            // may have begun to leave since.
            Hop::Passed { first } if full => Verdict::Return(first),
            Hop::Offered { .. } | Hop::Returned if full => Verdict::Refuse,
            Hop::Offered { .. } | Hop::Passed { .. } | Hop::Returned => Verdict::Keep,
        }
    }

    /// Tells whether this agent is more loaded than the second candidate, or
    /// than the mean of its peers if that one hasn't told its load lately.
    fn is_above(&self, now: Timestamp, second: InstanceId) -> bool {
        let fresh = |since: &Timestamp| now.since(*since) <= self.options.load_lifetime;
        let other = match self.peers.get(&second) {
            Some((since, flows)) if fresh(since) => Some(*flows),
            _ => self.mean(now),
        };
        let tolerance = self.options.tolerance_divisor.max(1);
        other.is_some_and(|other| self.flows > other.saturating_add(other / tolerance))
    }

    /// Mean number of flows over the peers that told it lately, rounded up.
    fn mean(&self, now: Timestamp) -> Option<u32> {
        let stale = self.options.load_lifetime;
        let fresh = self.peers.values().filter(|it| now.since(it.0) <= stale);
        let (count, sum) = fresh.fold((0_u64, 0_u64), |(count, sum), (_, flows)| {
            (count + 1, sum + u64::from(*flows))
        });
        let mean = sum.checked_add(count.checked_sub(1)?)? / count;
        u32::try_from(mean).ok()
    }

    fn remember(&mut self, now: Timestamp, key: u64, verdict: Verdict) {
        // A flood of openings shortens how long decisions stand, so that it
        // can't make this process hold more.
        while self.ages.len() >= self.options.max_decisions {
            self.drop_oldest();
        }
        if self.decisions.insert(key, verdict).is_none() {
            self.ages.push_back((now, key));
        }
    }

    fn expire(&mut self, now: Timestamp) {
        let expiry = self.options.decision_lifetime;
        let old = |it: &(Timestamp, u64)| now.since(it.0) > expiry;
        while self.ages.front().is_some_and(old) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, key)) = self.ages.pop_front() {
            self.decisions.swap_remove(&key);
        }
    }
}
