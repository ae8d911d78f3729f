//! Decides which flows an entry may reset by its routes.
//!
//! A flow was opened through an entry that had the newest configuration at that time, or one a
//! little older. This entry may have neither. So what its routes say of an open flow counts only if
//! they are known to have been the newest ones when the flow was open already.

use std::collections::VecDeque;
use std::time::Duration;

use crate::flow::entry::DropReason;
use crate::flow::entry::EntryAction;
use crate::flow::entry::EntryFlows;
use crate::flow::entry::FlowState;
use crate::flow::entry::ResetReason;
use crate::flow::key::FlowKey;
use crate::flow::routes::Routes;
use crate::flow::segment::Reset;
use crate::flow::segment::Segment;
use crate::time::Timestamp;

/// Time from the first packet of an unknown flow to the demand for a confirmation. The agent of a flow
/// that only moved here from another entry reports it within some milliseconds, so that a change of
/// the rotation, which moves nearly all flows, costs no calls to the store. It is a third of the
/// time that a search takes.
const LOCATE_TIME: Duration = Duration::from_millis(15);

/// Maximum number of unknown flows for which a demand may become due. A demand for others is due at
/// the end of their search. The entry locates some flows each millisecond after a change of the
/// rotation.
const MAX_UNKNOWN: usize = 1_024;

/// `Demands` decides for which time a confirmation of the routes is demanded, and when.
#[derive(Debug, Default)]
pub(super) struct Demands {
    /// Flows that the entry didn't know, in the order of their first packets, with its time.
    unknown: VecDeque<(Timestamp, FlowKey)>,
    /// Time for which a confirmation is to be demanded at once.
    due: Option<Timestamp>,
    /// Latest time for which a confirmation was demanded.
    demanded: Option<Timestamp>,
}

impl Demands {
    /// Notes a flow that the entry doesn't know. `since` is the time of its first packet.
    pub(super) fn on_unknown(&mut self, since: Timestamp, flow: FlowKey) {
        if self.unknown.len() < MAX_UNKNOWN {
            self.unknown.push_back((since, flow));
        }
    }

    /// Notes that a flow can't be reset without a confirmation for the time `at`.
    pub(super) fn on_unconfirmed(&mut self, at: Timestamp) {
        if self.demanded < Some(at) {
            self.due = self.due.max(Some(at));
        }
    }

    /// The next flow that has stayed unknown for [`LOCATE_TIME`], unless it was located meanwhile.
    fn next_unknown(&mut self, now: Timestamp) -> Option<(Timestamp, FlowKey)> {
        let (since, _) = self.unknown.front()?;
        if now.since(*since) < LOCATE_TIME {
            return None;
        }
        self.unknown.pop_front()
    }
}

impl EntryFlows {
    /// Notes that the routes in use were the newest configuration at `as_of`, according to the
    /// store. Returns the resets of flows that are known to be gone by this, and requests for others.
    pub fn confirm_routes(&mut self, now: Timestamp, as_of: Timestamp) -> Vec<EntryAction> {
        self.routes_confirmed = self.routes_confirmed.max(Some(as_of));
        self.conclude_unconfirmed(now)
    }

    /// Notes that the list of agents lacked no agent that the store had at `as_of`. Returns the resets
    /// of flows that are known to be gone by this, and requests for others.
    pub fn confirm_agents(&mut self, now: Timestamp, as_of: Timestamp) -> Vec<EntryAction> {
        self.agents_confirmed = self.agents_confirmed.max(Some(as_of));
        self.conclude_unconfirmed(now)
    }

    fn conclude_unconfirmed(&mut self, now: Timestamp) -> Vec<EntryAction> {
        let flows = std::mem::take(&mut self.unconfirmed);
        let actions = flows.iter().filter_map(|flow| self.conclude(now, flow));
        actions.collect()
    }

    /// The time for which a confirmation of the routes is to be demanded now: a flow may have to be
    /// reset by it. `None` if there is none, or if it was told before.
    pub fn take_demand(&mut self, now: Timestamp) -> Option<Timestamp> {
        while let Some((since, flow)) = self.demands.next_unknown(now) {
            let state = self.flows.peek(&flow);
            let is_unknown = matches!(state, Some(FlowState::Locating(_) | FlowState::Unrouted(_)));
            if is_unknown && !self.is_confirmed_since(since) {
                self.demands.on_unconfirmed(since);
            }
        }
        let at = self.demands.due.take()?;
        self.demands.demanded = Some(at);
        Some(at)
    }

    /// Time at which [`EntryFlows::take_demand`] may tell of a demand, or `None` while there are no
    /// unknown flows.
    pub fn demand_due(&self) -> Option<Timestamp> {
        let unknown = self.demands.unknown.front();
        let next = unknown.map(|(since, _)| *since + LOCATE_TIME);
        self.demands.due.or(next)
    }

    /// Takes the times from the first packets of flows that were reset to their resets, since the
    /// last call.
    pub fn take_reset_times(&mut self) -> Vec<Duration> {
        std::mem::take(&mut self.reset_times)
    }

    /// Whether the routes in use were the newest configuration at `at` or later. Only then do they
    /// have the route of each flow that was open at that time, unless it was dropped since.
    pub(super) fn is_confirmed_since(&self, at: Timestamp) -> bool {
        self.routes_confirmed >= Some(at)
    }

    /// Whether the list of agents lacked none at `at` or later.
    pub(super) fn are_agents_confirmed(&self, at: Timestamp) -> bool {
        self.agents_confirmed >= Some(at)
    }

    /// Whether the routes in use may decide on new flows: a newer configuration doesn't have to be
    /// in effect yet.
    fn is_current(&self, now: Timestamp) -> bool {
        let confirmed = self.routes_confirmed;
        confirmed.is_some_and(|at| now.since(at) <= self.options.apply_limit)
    }

    /// Decides on a packet to an address without a route. Any packet but the first of a flow shows
    /// that another entry may have had a route, by a newer configuration than this entry's. So the
    /// packet, which arrived at `arrived`, is kept until the routes are confirmed for a time at which
    /// the flow was open.
    pub(super) fn on_unrouted(
        &mut self,
        now: Timestamp,
        arrived: Timestamp,
        flow: FlowKey,
        segment: &Segment,
        routes: &Routes,
    ) -> EntryAction {
        if routes.partial {
            return EntryAction::Drop(DropReason::Unrouted);
        }
        // The `ack` of an opening packet counts its earlier copies.
        if segment.opens() && segment.ack == 0 {
            if !self.is_current(now) {
                return EntryAction::Drop(DropReason::Unrouted);
            }
            return EntryAction::Reset(Reset { flow, seq: 0 }, ResetReason::Unrouted);
        }
        let since = match self.flows.touch(now, &flow) {
            Some(FlowState::Unrouted(since)) => *since,
            _ => {
                self.flows.insert(now, flow, FlowState::Unrouted(arrived));
                self.demands.on_unknown(arrived, flow);
                arrived
            }
        };
        if !self.is_confirmed_since(since) {
            return EntryAction::Keep;
        }
        self.flows.remove(&flow);
        self.reset_times.push(now.since(since));
        let seq = if segment.opens() { 0 } else { segment.ack };
        EntryAction::Reset(Reset { flow, seq }, ResetReason::Unrouted)
    }
}
