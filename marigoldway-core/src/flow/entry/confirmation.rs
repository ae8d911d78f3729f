//! Decides which flows an entry may reset by its routes.
//!
//! A flow was opened through an entry that had the newest configuration at that time, or one a
//! little older. This entry may have neither. So what its routes say of an open flow counts only if
//! they are known to have been the newest ones when the flow was open already.

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

impl EntryFlows {
    /// Notes that the routes in use were the newest configuration at `as_of`, according to the
    /// store. Returns the resets of flows that are known to be gone by this.
    pub fn confirm_routes(&mut self, now: Timestamp, as_of: Timestamp) -> Vec<EntryAction> {
        self.confirmed = self.confirmed.max(Some(as_of));
        let mut resets = Vec::new();
        for flow in std::mem::take(&mut self.unconfirmed) {
            if let Some(reset) = self.conclude(now, &flow) {
                resets.push(EntryAction::Reset(reset, ResetReason::NotHeld));
            }
        }
        resets
    }

    /// Whether a flow waits to be reset until the routes are confirmed for the present. False if that
    /// was told before of the same flows.
    pub fn take_demand(&mut self) -> bool {
        std::mem::take(&mut self.demands)
    }

    /// Whether the routes in use were the newest configuration at `at` or later. Only then do they
    /// have the route of each flow that was open at that time, unless it was dropped since.
    pub(super) fn is_confirmed_since(&self, at: Timestamp) -> bool {
        self.confirmed >= Some(at)
    }

    /// Whether the routes in use may decide on new flows: a newer configuration doesn't have to be
    /// in effect yet.
    fn is_current(&self, now: Timestamp) -> bool {
        let confirmed = self.confirmed;
        confirmed.is_some_and(|at| now.since(at) <= self.options.apply_limit)
    }

    /// Decides on a packet to an address without a route. Any packet but the first of a flow shows
    /// that another entry may have had a route, by a newer configuration than this entry's. So the
    /// packet is kept until the routes are confirmed for a time at which the flow was open.
    pub(super) fn on_unrouted(
        &mut self,
        now: Timestamp,
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
                self.flows.insert(now, flow, FlowState::Unrouted(now));
                now
            }
        };
        if !self.is_confirmed_since(since) {
            return EntryAction::Keep;
        }
        self.flows.remove(&flow);
        let seq = if segment.opens() { 0 } else { segment.ack };
        EntryAction::Reset(Reset { flow, seq }, ResetReason::Unrouted)
    }
}
