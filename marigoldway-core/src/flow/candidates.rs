//! This module determines which agents may receive a flow, and which ones may hold it.
//!
//! The agents of a service have an order for each flow ([`Ring`]). Entries place the flow at one
//! of the first [`CANDIDATES`] agents whose target serves, so only a few agents can hold it, and
//! each process computes which ones they are. Targets in drained failure domains are passed over.
//! Uploads and downloads stay in the failure domain of
//! their entry. They have [`DOMAIN_CANDIDATES`] candidates in each domain instead, since
//! another entry in another domain may ask for them later.
//!
//! A flow may be older than some of the agents. An agent that joined after the flow was placed
//! precedes the holder in the order, although it wasn't there to be a candidate. So only agents
//! whose target is at least as old as the holder's count when the candidates are counted off:
//! older targets than the holder's were there whenever the holder received a flow.
//!
//! The processes that place flows may know other agents than those that search. An agent that
//! accepts a flow and finds that it isn't among the agents that may hold it therefore announces
//! that it holds strays, and then it may hold any flow.

use indexmap::IndexSet;

use crate::flow::agents::Agents;
use crate::flow::key::NameKey;
use crate::flow::message::AgentRecord;
use crate::flow::message::TargetState;
use crate::flow::ring;
use crate::flow::ring::Ring;
use crate::flow::routes::WorkClass;
use crate::ids::InstanceId;

/// Number of agents of a service that may receive a flow. If half of them have died unnoticed,
/// one flow in 250 has no living candidate.
pub const CANDIDATES: usize = 8;

/// Number of agents in each failure domain that may receive an upload or a download.
pub const DOMAIN_CANDIDATES: usize = 3;

impl Agents {
    /// The agents that may receive a new flow, in the flow's order: the first [`CANDIDATES`] ones
    /// whose target serves. If none serves, the first ones in any state. For a flow whose data
    /// shouldn't cross failure domains, the first [`DOMAIN_CANDIDATES`] of `domain` if one of them
    /// serves. None of them is in a drained domain.
    pub fn candidates(
        &self,
        service: NameKey,
        hash: u64,
        class: WorkClass,
        domain: NameKey,
    ) -> Vec<InstanceId> {
        let Some(agents) = self.service(service) else {
            return Vec::new();
        };
        if class.is_bulk()
            && let Some(ring) = agents.domains.get(&domain)
        {
            let near = self.serving(ring, hash, DOMAIN_CANDIDATES);
            if !near.is_empty() {
                return near;
            }
        }
        let is_open = |domain: &NameKey| !self.drains().is_drained(*domain);
        if agents.serving_domains().any(|it| is_open(&it)) {
            return self.serving(&agents.ring, hash, CANDIDATES);
        }
        if !agents.domains.keys().any(is_open) {
            return Vec::new();
        }
        let walk = agents.ring.walk(hash).filter(|id| !self.is_drained(*id));
        walk.take(CANDIDATES).collect()
    }

    /// Whether the service has serving targets, and all of them are in drained domains.
    pub fn is_service_drained(&self, service: NameKey) -> bool {
        let Some(agents) = self.service(service) else {
            return false;
        };
        let mut domains = agents.serving_domains().peekable();
        domains.peek().is_some() && domains.all(|it| self.drains().is_drained(it))
    }

    /// The agents whose target may hold an open flow, in the flow's order. Targets that started
    /// before `horizon`, in Unix milliseconds, count as equally old: a flow that was placed before
    /// one of them started has ended.
    pub fn may_hold(
        &self,
        service: NameKey,
        hash: u64,
        class: WorkClass,
        horizon: u64,
    ) -> IndexSet<InstanceId> {
        let mut found = IndexSet::new();
        let Some(agents) = self.service(service) else {
            return found;
        };
        let ages = AgeClasses::new(horizon, agents.oldest_start());
        let counts = |it: &AgentRecord| !self.drains().was_passed_over(it.domain);
        self.add_holders(&agents.ring, hash, CANDIDATES, ages, counts, &mut found);
        if class.is_bulk() {
            for ring in agents.domains.values() {
                // A flow is never placed past some targets of a drained domain at others of it.
                let counts = |_: &AgentRecord| true;
                self.add_holders(ring, hash, DOMAIN_CANDIDATES, ages, counts, &mut found);
            }
        }
        found.extend(agents.strays.iter().copied());
        found
    }

    /// Whether an agent is among those that may hold an open flow. It takes the steps of a walk to
    /// that agent, where [`may_hold`](Agents::may_hold) may have to walk past all agents.
    pub fn may_be_held_by(
        &self,
        id: InstanceId,
        hash: u64,
        class: WorkClass,
        horizon: u64,
    ) -> bool {
        let Some(record) = self.record(id) else {
            return false;
        };
        let Some(agents) = self.service(record.service) else {
            return false;
        };
        let Some(started_at) = record.started_at else {
            return true;
        };
        let ages = AgeClasses::new(horizon, agents.oldest_start());
        let age = ages.class(started_at);
        let is_older = |it: &AgentRecord| it.started_at.is_some_and(|at| ages.class(at) <= age);
        let near = agents.domains.get(&record.domain);
        let near = near.filter(|_| class.is_bulk());
        agents.strays.contains(&id)
            || self.is_early(&agents.ring, hash, CANDIDATES, id, |it| {
                is_older(it) && !self.drains().was_passed_over(it.domain)
            })
            || near.is_some_and(|ring| self.is_early(ring, hash, DOMAIN_CANDIDATES, id, is_older))
    }

    /// Whether fewer than `count` serving targets of which `counts` is true precede the agent `id`
    /// on a ring.
    fn is_early(
        &self,
        ring: &Ring,
        hash: u64,
        count: usize,
        id: InstanceId,
        counts: impl Fn(&AgentRecord) -> bool,
    ) -> bool {
        let before = ring.walk(hash).take_while(|other| *other != id);
        let preceding = before
            .filter_map(|other| self.record(other))
            .filter(|it| it.state == TargetState::Serving && counts(it));
        preceding.take(count).count() < count
    }

    /// The other agents that may search for a flow that the agent of `record` may hold: the directory
    /// agents of the flows for which it is a candidate. They have to know the agent before it holds
    /// a flow. Their number doesn't grow with the service.
    pub fn searchers(&self, record: &AgentRecord) -> IndexSet<InstanceId> {
        let mut found = IndexSet::new();
        let Some(agents) = self.service(record.service) else {
            return found;
        };
        let is_other = |id: &InstanceId| *id != record.id;
        for hash in ring::hashes(record.id) {
            // The second directory agent of flows whose first one this agent is.
            found.extend(agents.ring.walk(hash).find(is_other));
            let (mut passed, mut passed_near) = (0, 0);
            let walk = agents.ring.walk_back(hash).filter(is_other);
            for other in walk.filter_map(|id| self.record(id)) {
                found.insert(other.id);
                // Agents that may leave soon or have joined lately, and those in drained domains,
                // don't keep others from being candidates.
                let is_older = |start: u64| record.started_at.is_none_or(|own| start <= own);
                if other.state == TargetState::Serving && other.started_at.is_some_and(is_older) {
                    passed += usize::from(!self.drains().was_passed_over(other.domain));
                    passed_near += usize::from(other.domain == record.domain);
                }
                if passed >= CANDIDATES && passed_near >= DOMAIN_CANDIDATES {
                    break;
                }
            }
        }
        found
    }

    /// The first `count` agents of a ring whose target serves and isn't in a drained domain.
    fn serving(&self, ring: &Ring, hash: u64, count: usize) -> Vec<InstanceId> {
        let serves = |id: &InstanceId| {
            let record = self.record(*id);
            record.is_some_and(|it| {
                it.state == TargetState::Serving && !self.drains().is_drained(it.domain)
            })
        };
        ring.walk(hash).filter(serves).take(count).collect()
    }

    /// Adds the agents of a ring that may have been among the first `count` serving ones of which
    /// `counts` is true, at some time since the start of their target.
    fn add_holders(
        &self,
        ring: &Ring,
        hash: u64,
        count: usize,
        ages: AgeClasses,
        counts: impl Fn(&AgentRecord) -> bool,
        found: &mut IndexSet<InstanceId>,
    ) {
        let mut preceding = OldestPreceding::new(count);
        for record in ring.walk(hash).filter_map(|id| self.record(id)) {
            if record.vacant {
                continue;
            }
            let Some(started_at) = record.started_at else {
                // Of a target that hasn't sent a heartbeat yet, nothing is known.
                found.insert(record.id);
                continue;
            };
            let class = ages.class(started_at);
            if !preceding.exclude(class) {
                found.insert(record.id);
            }
            if record.state == TargetState::Serving && counts(record) {
                preceding.add(class);
            }
            if preceding.exclude(ages.oldest) {
                return;
            }
        }
    }
}

/// `AgeClasses` maps start times of targets to numbers that are equal for targets that count as
/// equally old, and lower for older ones.
#[derive(Clone, Copy, Debug)]
struct AgeClasses {
    horizon: u64,
    /// Class of the oldest target of the service.
    oldest: u64,
}

impl AgeClasses {
    fn new(horizon: u64, oldest_start: u64) -> AgeClasses {
        let mut ages = AgeClasses { horizon, oldest: 0 };
        ages.oldest = ages.class(oldest_start);
        ages
    }

    fn class(self, started_at: u64) -> u64 {
        if started_at <= self.horizon {
            return 0;
        }
        started_at
    }
}

/// `OldestPreceding` keeps the age classes of the oldest serving targets that precede an agent.
#[derive(Debug)]
struct OldestPreceding {
    /// Classes in ascending order.
    classes: Vec<u64>,
    count: usize,
}

impl OldestPreceding {
    fn new(count: usize) -> OldestPreceding {
        OldestPreceding {
            classes: Vec::with_capacity(count + 1),
            count,
        }
    }

    fn add(&mut self, class: u64) {
        let index = self.classes.partition_point(|it| *it <= class);
        self.classes.insert(index, class);
        self.classes.truncate(self.count);
    }

    /// Whether `count` preceding targets are at least as old as `class`, so that an agent of that
    /// class has never been a candidate.
    fn exclude(&self, class: u64) -> bool {
        self.classes.len() == self.count && self.classes.last().is_some_and(|it| *it <= class)
    }
}
