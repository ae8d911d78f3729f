//! This module determines which agents may receive a flow, and which ones may hold it.
//!
//! The agents of a service have an order for each flow ([`Ring`]). The first [`CANDIDATES`] agents
//! that have a target are the flow's window. The window depends on nothing but the list of agents
//! in the platform's store, so it can be computed by a process that has just started, also if all
//! processes have ended at once. Entries place the flow in its window; the states of the targets,
//! drained failure domains and loads only select among the agents of the window.
//!
//! Uploads and downloads stay in the failure domain of their entry. They have a window of
//! [`DOMAIN_CANDIDATES`] agents in each domain instead, since another entry in another domain may
//! ask for them later.
//!
//! A flow may be older than some of the agents. An agent that joined after the flow was placed
//! precedes the holder in the order, although it wasn't there to be in the window. So only agents
//! whose target is at least as old as the holder's count when the window is counted off: older
//! targets than the holder's were there whenever the holder received a flow. An agent that was missing
//! from the list for a while counts as one that has joined at its return.
//!
//! If no target in the window accepts new flows, the flow is placed past it, in the wide window of
//! [`WIDE_CANDIDATES`] agents if possible. The processes that place flows may also know other agents
//! than those that search. In both cases the agent that receives the flow finds by its own list that
//! searches wouldn't ask it, and raises its [`Reach`] in the store before it accepts the flow.

use indexmap::IndexSet;

use crate::flow::agents::Agents;
use crate::flow::key::NameKey;
use crate::flow::message::AgentRecord;
use crate::flow::message::Reach;
use crate::flow::message::TargetState;
use crate::flow::ring;
use crate::flow::ring::Ring;
use crate::flow::routes::WorkClass;
use crate::ids::InstanceId;

/// Number of agents in the window of a flow. If half of them have died unnoticed, one flow in 250
/// has no living candidate.
pub const CANDIDATES: usize = 8;

/// Number of agents in the wide window of a flow. With half of the targets drained and three in ten
/// of the others restarting, one flow in a million has no candidate in it.
pub const WIDE_CANDIDATES: usize = 32;

/// Number of agents in the window of an upload or a download, in each failure domain.
pub const DOMAIN_CANDIDATES: usize = 3;

impl Agents {
    /// The agents that may receive a new flow, in the flow's order: those in its window whose target
    /// serves, and if there is none, up to [`CANDIDATES`] in its wide window or past that. If none
    /// serves at all, the first ones in any state. For a flow whose data shouldn't cross failure
    /// domains, those in its window in `domain` if one of them serves. None of them is in a drained
    /// domain.
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
            let windows = [CANDIDATES, WIDE_CANDIDATES, usize::MAX].into_iter();
            let mut found = windows.map(|count| self.serving(&agents.ring, hash, count));
            return found.find(|it| !it.is_empty()).unwrap_or_default();
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

    /// The agents whose target may hold an open flow: those in its window, in the flow's order, and
    /// those with a higher reach. Targets that started before `horizon`, in Unix milliseconds, count
    /// as equally old: a flow that was placed before one of them started has ended.
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
        let any = |_: &AgentRecord| true;
        self.add_holders(&agents.ring, hash, CANDIDATES, ages, any, &mut found);
        if class.is_bulk() {
            for ring in agents.domains.values() {
                self.add_holders(ring, hash, DOMAIN_CANDIDATES, ages, any, &mut found);
            }
        }
        if !agents.wide.is_empty() {
            let is_wide = |it: &AgentRecord| it.reach == Reach::Wide;
            self.add_holders(
                &agents.ring,
                hash,
                WIDE_CANDIDATES,
                ages,
                is_wide,
                &mut found,
            );
        }
        found.extend(agents.any.iter().copied());
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
        let record = self.record(id);
        record.is_some_and(|it| it.reach >= self.needed_reach(it, hash, class, horizon))
    }

    /// The reach that an agent needs for searches to ask it for a flow.
    pub fn needed_reach(
        &self,
        record: &AgentRecord,
        hash: u64,
        class: WorkClass,
        horizon: u64,
    ) -> Reach {
        let Some(agents) = self.service(record.service) else {
            return Reach::Any;
        };
        let Some(held_since) = record.held_since() else {
            return Reach::Window;
        };
        let ages = AgeClasses::new(horizon, agents.oldest_start());
        let age = ages.class(held_since);
        let counts = |it: &AgentRecord| it.counted_since().is_some_and(|at| ages.class(at) <= age);
        let preceding = self.preceding(&agents.ring, hash, WIDE_CANDIDATES, record.id, counts);
        let near = agents.domains.get(&record.domain);
        let is_near = near.filter(|_| class.is_bulk()).is_some_and(|ring| {
            let count = DOMAIN_CANDIDATES;
            self.preceding(ring, hash, count, record.id, counts) < count
        });
        if is_near || preceding < CANDIDATES {
            Reach::Window
        } else if preceding < WIDE_CANDIDATES {
            Reach::Wide
        } else {
            Reach::Any
        }
    }

    /// Number of agents of which `counts` is true that precede the agent `id` on a ring, up to `max`.
    fn preceding(
        &self,
        ring: &Ring,
        hash: u64,
        max: usize,
        id: InstanceId,
        counts: impl Fn(&AgentRecord) -> bool,
    ) -> usize {
        let before = ring.walk(hash).take_while(|other| *other != id);
        let preceding = before.filter_map(|other| self.record(other));
        preceding.filter(|it| counts(it)).take(max).count()
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
                // Agents that have joined lately don't keep others out of a window.
                let is_older = |since: u64| record.held_since().is_none_or(|own| since <= own);
                if other.counted_since().is_some_and(is_older) {
                    passed += 1;
                    passed_near += usize::from(other.domain == record.domain);
                }
                if passed >= CANDIDATES && passed_near >= DOMAIN_CANDIDATES {
                    break;
                }
            }
        }
        found
    }

    /// The agents among the first `count` with a target on a ring whose target serves and isn't in a
    /// drained domain, up to [`CANDIDATES`].
    fn serving(&self, ring: &Ring, hash: u64, count: usize) -> Vec<InstanceId> {
        let mut preceding = 0;
        let records = ring.walk(hash).filter_map(|id| self.record(id));
        let window = records.take_while(|it| {
            let is_inside = preceding < count;
            preceding += usize::from(it.counted_since().is_some());
            is_inside
        });
        let serving = window
            .filter(|it| it.state == TargetState::Serving && !self.drains().is_drained(it.domain));
        serving.map(|it| it.id).take(CANDIDATES).collect()
    }

    /// Adds the agents of a ring of which `is_sought` is true, and that may have been in a window of
    /// `count` agents at some time since the start of their target.
    fn add_holders(
        &self,
        ring: &Ring,
        hash: u64,
        count: usize,
        ages: AgeClasses,
        is_sought: impl Fn(&AgentRecord) -> bool,
        found: &mut IndexSet<InstanceId>,
    ) {
        let mut preceding = OldestPreceding::new(count);
        for record in ring.walk(hash).filter_map(|id| self.record(id)) {
            if record.vacant {
                continue;
            }
            let Some(held_since) = record.held_since() else {
                // Of a target that hasn't sent a heartbeat yet, nothing is known.
                found.insert(record.id);
                continue;
            };
            let class = ages.class(held_since);
            if !preceding.exclude(class) && is_sought(record) {
                found.insert(record.id);
            }
            if let Some(since) = record.counted_since() {
                preceding.add(ages.class(since));
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

/// `OldestPreceding` keeps the age classes of the oldest targets that precede an agent.
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
