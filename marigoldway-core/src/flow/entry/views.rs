//! Tracks what an entry knows about the load and availability of each agent.

use std::time::Duration;

use indexmap::IndexMap;

use crate::flow::agents::Agents;
use crate::flow::capacity::Capacity;
use crate::flow::key::NameKey;
use crate::flow::message::AgentRecord;
use crate::flow::message::Load;
use crate::flow::selection::Candidate;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Time after which an agent's missing answer is overdue, so that other agents are
/// preferred. An answer takes a round trip between failure domains and the
/// processing in both processes.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// Period after an agent's refusal in which other agents are preferred for new
/// flows, even if the agent reports that its target is serving.
const REFUSAL_PERIOD: Duration = Duration::from_millis(500);

/// Time after a load report for which its estimate of the target's capacity is used. An agent's own
/// estimate has less than half of its confidence after this time without requests.
const CAPACITY_LIFETIME: Duration = Duration::from_secs(10);

/// `AgentViews` holds what an entry knows about each agent.
#[derive(Debug, Default)]
pub(super) struct AgentViews {
    views: IndexMap<InstanceId, AgentView>,
}

/// What an entry knows about one agent.
#[derive(Clone, Copy, Debug)]
struct AgentView {
    load: Load,
    /// When the agent reported `load`.
    reported_at: Timestamp,
    /// Number of new flows sent to the agent since it last reported `load`.
    sent: u32,
    /// When the first opening or directory packet was sent to the agent since it last
    /// reported `load`.
    awaiting_since: Option<Timestamp>,
    /// When the agent last refused a packet, if that was recent.
    refused_at: Option<Timestamp>,
}

impl AgentViews {
    /// Updates an agent's view from the agent's record. A new view assumes that the
    /// agent has no load.
    pub(super) fn update_record(&mut self, record: &AgentRecord) {
        let load = Load::idle(record.state, record.slots);
        let view = self.views.entry(record.id).or_insert(AgentView::new(load));
        view.load.state = record.state;
        view.load.slots = record.slots;
    }

    /// Applies a load that an agent reported. After that, no answer of the agent is
    /// awaited.
    pub(super) fn update_load(&mut self, now: Timestamp, id: InstanceId, load: Load) {
        let view = self.views.entry(id).or_insert(AgentView::new(load));
        let refused_at = view.refused_at.filter(|at| now.since(*at) < REFUSAL_PERIOD);
        *view = AgentView {
            refused_at,
            reported_at: now,
            ..AgentView::new(load)
        };
    }

    /// Removes an agent.
    pub(super) fn remove(&mut self, id: InstanceId) {
        self.views.swap_remove(&id);
    }

    /// Prefers other agents for new flows after a refusal.
    pub(super) fn on_refusal(&mut self, now: Timestamp, id: InstanceId) {
        if let Some(view) = self.views.get_mut(&id) {
            view.refused_at = Some(now);
        }
    }

    /// Counts a new flow that is sent to the agent.
    pub(super) fn on_open(&mut self, id: InstanceId) {
        if let Some(view) = self.views.get_mut(&id) {
            view.sent += 1;
        }
    }

    /// Starts the time after which an answer of the agent is overdue, unless it is
    /// running already. The agent's next report or hello ends it.
    pub(super) fn expect_answer(&mut self, now: Timestamp, id: InstanceId) {
        if let Some(view) = self.views.get_mut(&id) {
            view.awaiting_since.get_or_insert(now);
        }
    }

    /// Whether an answer of the agent has been awaited for more than
    /// [`ANSWER_TIMEOUT`].
    pub(super) fn is_overdue(&self, now: Timestamp, id: InstanceId) -> bool {
        let awaiting_since = self.views.get(&id).and_then(|view| view.awaiting_since);
        awaiting_since.is_some_and(|since| now.since(since) > ANSWER_TIMEOUT)
    }

    /// What the entry knows about each of the agents `ids`, without unknown ones.
    /// `domain` is the entry's failure domain.
    pub(super) fn candidates(
        &self,
        now: Timestamp,
        agents: &Agents,
        ids: &[InstanceId],
        domain: NameKey,
    ) -> Vec<Candidate> {
        let known = ids.iter().filter_map(|id| {
            let view = self.views.get(id)?;
            let record = agents.record(*id)?;
            let refused = view
                .refused_at
                .is_some_and(|at| now.since(at) < REFUSAL_PERIOD);
            let mut load = view.load;
            if now.since(view.reported_at) > CAPACITY_LIFETIME {
                load.capacity = Capacity::default();
            }
            Some(Candidate {
                id: *id,
                load,
                sent: view.sent,
                same_domain: record.domain == domain,
                slowness: 1.0,
                suspect: refused || self.is_overdue(now, *id),
            })
        });
        known.collect()
    }
}

impl AgentView {
    fn new(load: Load) -> AgentView {
        AgentView {
            load,
            reported_at: Timestamp::ZERO,
            sent: 0,
            awaiting_since: None,
            refused_at: None,
        }
    }
}
