//! Judges by the slot queue whether the request of a new flow can be served.

use std::time::Duration;

use crate::flow::agent::slot_queue::SlotQueue;
use crate::flow::overload::shedding::Backlog;
use crate::flow::overload::shedding::NewFlow;
use crate::flow::overload::shedding::TimeLeft;
use crate::time::Timestamp;

impl SlotQueue {
    /// Whether the request of a new flow can't be answered before its client times out.
    pub fn is_hopeless(&self, now: Timestamp, slots: u16, new: &NewFlow) -> bool {
        let needed = now + self.needed_time();
        let priority = new.work.priority;
        let level = self.order.client_level(&new.flow, 1);
        let own = self.waiting.iter().filter(|(_, it)| !it.rank.guest);
        let of_priority = own.clone().filter(|(_, it)| it.rank.priority == priority);
        // Late requests are behind one that is in time, whatever their priority.
        let in_time = own.clone().filter(|(_, it)| it.objective_end >= needed);
        let ahead = in_time.filter(|(flow, it)| {
            let is_equal = it.rank.priority == priority;
            let precedes = is_equal && self.order.client_level(flow, 0) <= level;
            it.rank.priority < priority || precedes
        });
        let request_time = self.request_time();
        let arriving = self.arrivals.rate(now, priority) * request_time.as_secs_f64();
        let backlog = Backlog {
            ahead: ahead.count() + self.running.len() + new.opening,
            of_priority: of_priority.count() + new.opening,
            slots,
            request_time,
            arriving: arriving / f64::from(slots.max(1)),
            slow_start: new.slow_start,
        };
        let left = |limit: Duration| {
            let left = limit.saturating_sub(new.waited);
            left.saturating_sub(self.needed_time())
        };
        backlog.is_hopeless(TimeLeft {
            objective: left(new.work.objective),
            timeout: left(new.work.timeout),
        })
    }
}
