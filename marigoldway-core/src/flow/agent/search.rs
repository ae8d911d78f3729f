//! The search for a flow that no home knows, among all agents of the service.
//!
//! It happens after agents have died together. Each agent asked either holds
//! the flow, or says that it doesn't. An agent whose table is complete is asked
//! by name, many flows at a time; another one is sent the packet itself, since
//! only its target knows, which gives back what it doesn't hold. Once every known agent has said so the flow is known to be
//! gone, and its client is told at once instead of being left to its timeout.

use std::time::Duration;

use indexmap::IndexMap;

use crate::flow::key::FlowKey;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Time that a search may take before the next packet of the flow starts
/// another.
const SEARCH_LIFE: Duration = Duration::from_millis(300);

/// Time for which a target's word that it doesn't hold a flow is remembered.
const LACK_LIFE: Duration = Duration::from_secs(3);

/// Searches and words that are remembered at most.
const MEMORY_MAX: usize = 8_192;

/// `Searches` are the searches that this agent has begun, and the flows that its
/// target is known to lack.
#[derive(Debug, Default)]
pub(super) struct Searches {
    open: IndexMap<FlowKey, Search>,
    lacked: IndexMap<FlowKey, Timestamp>,
    /// Flows that went on to their other home.
    passed: IndexMap<FlowKey, Timestamp>,
    /// Flows that complete agents are to be asked about.
    questions: Vec<FlowKey>,
    /// Flows that others are to be told of.
    answers: IndexMap<InstanceId, Vec<FlowKey>>,
}

#[derive(Debug)]
struct Search {
    since: Timestamp,
    missing: Vec<InstanceId>,
    /// The client's last acknowledgement.
    acked: u32,
    /// Whether the flow can be gone: no other service may hold it.
    sole: bool,
}

impl Searches {
    /// Begins a search, unless one is under way.
    pub(super) fn begin(
        &mut self,
        now: Timestamp,
        flow: FlowKey,
        acked: u32,
        sole: bool,
        asked: &[InstanceId],
    ) -> bool {
        let under_way = self.open.get(&flow);
        if under_way.is_some_and(|it| now.since(it.since) < SEARCH_LIFE) {
            return false;
        }
        if self.open.len() >= MEMORY_MAX {
            return false;
        }
        let search = Search {
            since: now,
            missing: asked.to_vec(),
            acked,
            sole,
        };
        self.open.insert(flow, search);
        true
    }

    /// Whether a packet of an unknown flow goes on to the other home: only if
    /// none did lately.
    pub(super) fn pass(&mut self, now: Timestamp, flow: FlowKey) -> bool {
        let passed = self.passed.get(&flow);
        if passed.is_some_and(|at| now.since(*at) < LACK_LIFE) {
            return false;
        }
        if self.passed.len() < MEMORY_MAX {
            self.passed.insert(flow, now);
        }
        true
    }

    /// Takes an agent's word that its target lacks a flow. Gives the client's
    /// last acknowledgement once all have said so.
    pub(super) fn on_not_held(&mut self, from: InstanceId, flow: &FlowKey) -> Option<u32> {
        let search = self.open.get_mut(flow)?;
        search.missing.retain(|id| *id != from);
        if !search.missing.is_empty() || !search.sole {
            return None;
        }
        self.open.swap_remove(flow).map(|search| search.acked)
    }

    /// Puts a flow to those that complete agents are asked about.
    pub(super) fn ask(&mut self, flow: FlowKey) {
        self.questions.push(flow);
    }

    /// Puts a flow to those that `searcher` is told to be lacking here.
    pub(super) fn answer(&mut self, searcher: InstanceId, flow: FlowKey) {
        self.answers.entry(searcher).or_default().push(flow);
    }

    /// The questions and answers that have gathered.
    pub(super) fn take(&mut self) -> (Vec<FlowKey>, IndexMap<InstanceId, Vec<FlowKey>>) {
        (
            std::mem::take(&mut self.questions),
            std::mem::take(&mut self.answers),
        )
    }

    /// Remembers that the own target lacks a flow.
    pub(super) fn lack(&mut self, now: Timestamp, flow: FlowKey) {
        if self.lacked.len() < MEMORY_MAX {
            self.lacked.insert(flow, now);
        }
    }

    /// Whether the own target said lately that it lacks a flow.
    pub(super) fn lacks(&self, now: Timestamp, flow: &FlowKey) -> bool {
        let said = self.lacked.get(flow);
        said.is_some_and(|at| now.since(*at) < LACK_LIFE)
    }

    /// Forgets a flow that was found.
    pub(super) fn found(&mut self, flow: &FlowKey) {
        self.lacked.swap_remove(flow);
    }

    /// Forgets everything, since the target is another one.
    pub(super) fn clear(&mut self) {
        self.lacked.clear();
    }

    /// Forgets what is over.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.open.retain(|_, it| now.since(it.since) < LACK_LIFE);
        self.passed.retain(|_, at| now.since(*at) < LACK_LIFE);
        self.lacked.retain(|_, at| now.since(*at) < LACK_LIFE);
    }
}
