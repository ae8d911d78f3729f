//! Queues requests at the agent until the target has a free slot.
//!
//! The number of a target's slots is the number of requests that it runs at a time. In an
//! overload, more requests arrive than the slots of all targets can run. A target by itself
//! queues a few requests in order of arrival and sheds the rest. Clients retry what was shed,
//! and every answer is late.
//!
//! The slot queue therefore admits as many requests as the target has slots and a few more, and
//! holds the first packets of the others. The order in which these are admitted is decided in
//! [`order`](crate::flow::overload::order).

mod backlog;
mod types;

use std::time::Duration;

use indexmap::IndexMap;

pub use crate::flow::agent::slot_queue::types::Arrival;
pub use crate::flow::agent::slot_queue::types::ExpiredRequests;
pub use crate::flow::agent::slot_queue::types::QueueDecision;
pub use crate::flow::agent::slot_queue::types::ReleasedRequest;
pub use crate::flow::agent::slot_queue::types::SlotQueueOptions;
use crate::flow::capacity::CapacityPolicy;
use crate::flow::capacity::observer::RequestEnd;
use crate::flow::capacity::observer::ServiceObserver;
use crate::flow::key::FlowKey;
use crate::flow::overload::order::QueueOrder;
use crate::flow::overload::order::Rank;
use crate::flow::overload::order::Waiting;
use crate::flow::overload::shedding::Arrivals;
use crate::flow::routes::WorkClass;
use crate::time::Timestamp;

/// Assumed travel time from the client to the agent and back, which the agent can't observe.
const NETWORK_TIME: Duration = Duration::from_millis(12);

/// Assumed time from the admission of a request to its answer, until the first one is measured.
const DEFAULT_REQUEST_TIME: Duration = Duration::from_millis(30);

/// Weight of a new measurement in the moving mean of request times.
const MEAN_WEIGHT: f64 = 0.05;

/// Maximum number of queued requests. Further ones go to the target, which rejects them itself if
/// it is full.
const MAX_QUEUED_REQUESTS: usize = 512;

/// Number of octets in queued packets at which further requests go to the target too. Further
/// packets of queued requests are still queued.
const MAX_QUEUED_OCTETS: usize = 4 << 20;

/// Time after which a running request no longer counts against the slots, as a multiple of the
/// mean request time. Nearly all requests take less. Without a limit, the requests that a target
/// drops would use up its slots.
const OVERDUE_FACTOR: f64 = 8.0;

/// Lower bound of the time set by `OVERDUE_FACTOR`: one request in some hundreds takes a third
/// of a second.
const MIN_OVERDUE_TIME: Duration = Duration::from_millis(350);

/// Time after which a running request no longer counts if it may have been answered before this
/// process saw its flow. A request that was queued counts for at least this time.
const MAYBE_ANSWERED_LIFETIME: Duration = Duration::from_millis(300);

/// Maximum time for which a request that is admitted on arrival counts as running. It also bounds
/// requests whose route sets no timeout.
const MAX_RUNNING_TIME: Duration = Duration::from_secs(3);

/// `SlotQueue` tracks the requests admitted to one target and queues further ones until a slot is
/// free.
#[derive(Debug, Default)]
pub struct SlotQueue {
    options: SlotQueueOptions,
    running: IndexMap<FlowKey, RunningRequest>,
    waiting: IndexMap<FlowKey, QueuedRequest>,
    order: QueueOrder,
    arrivals: Arrivals,
    /// Number of octets in queued packets.
    octets: usize,
    /// Moving mean of the times of measured requests, or `None` before the first one.
    mean: Option<Duration>,
    observer: ServiceObserver,
}

#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    since: Timestamp,
    /// When the request no longer counts as running.
    end: Timestamp,
    /// Whether the request counts in the mean time, and as unanswered if it is overdue. False if it
    /// may have been answered before this process saw its flow.
    measured: bool,
    rank: Rank,
}

#[derive(Debug)]
struct QueuedRequest {
    since: Timestamp,
    /// When the request is no longer answered within its objective.
    objective_end: Timestamp,
    /// When the client of the request times out.
    end: Timestamp,
    class: WorkClass,
    rank: Rank,
    packets: Vec<Vec<u8>>,
}

impl SlotQueue {
    /// Creates an empty queue.
    pub fn new(options: SlotQueueOptions) -> SlotQueue {
        SlotQueue {
            options,
            ..SlotQueue::default()
        }
    }

    /// Creates an empty queue with default options that adapts to the target's capacity, or doesn't.
    pub fn with_capacity_policy(policy: CapacityPolicy) -> SlotQueue {
        let mut queue = SlotQueue::default();
        queue.observer.set_disabled(!policy.adaptive);
        queue
    }

    /// Service times and estimated capacity of the target.
    pub fn observer(&self) -> &ServiceObserver {
        &self.observer
    }

    /// Does the periodic work of the capacity estimate.
    pub fn observe_tick(&mut self, now: Timestamp, slots: u16, slow_start: bool) {
        self.observer.tick(now, slots, slow_start);
    }

    /// Number of requests admitted to the target that still count as running.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Decides on a packet with new data for a target with this number of slots: admits it, or
    /// queues a copy of it. Further packets of a request follow the decision on its first one. If
    /// the queue is full, the packet is admitted.
    pub fn offer(&mut self, now: Timestamp, slots: u16, arrival: &Arrival<'_>) -> QueueDecision {
        if self.running.contains_key(&arrival.flow) {
            return QueueDecision::Admitted;
        }
        if let Some(waiting) = self.waiting.get_mut(&arrival.flow) {
            waiting.packets.push(arrival.packet.to_vec());
            self.octets += arrival.packet.len();
            return QueueDecision::Queued;
        }
        let rank = arrival.rank();
        self.arrivals.record(now, rank.priority);
        self.order.add(&arrival.flow);
        let full = self.waiting.len() >= MAX_QUEUED_REQUESTS || self.octets >= MAX_QUEUED_OCTETS;
        if full || self.has_room(slots, rank) {
            self.start(now, slots, arrival, rank);
            return QueueDecision::Admitted;
        }
        let waiting = QueuedRequest {
            since: now,
            objective_end: arrival.waiting_since + arrival.work.objective,
            end: arrival.waiting_since + arrival.work.timeout,
            class: arrival.work.class,
            rank,
            packets: vec![arrival.packet.to_vec()],
        };
        self.octets += arrival.packet.len();
        self.waiting.insert(arrival.flow, waiting);
        QueueDecision::Queued
    }

    /// Whether the flow has a running or a queued request.
    pub fn contains(&self, flow: &FlowKey) -> bool {
        self.running.contains_key(flow) || self.waiting.contains_key(flow)
    }

    /// Whether the flow has a queued request.
    pub fn is_queued(&self, flow: &FlowKey) -> bool {
        self.waiting.contains_key(flow)
    }

    /// Removes the running request of a flow that the target has answered. Returns the time since its
    /// admission, or `None` if the flow has no running request.
    pub fn finish(&mut self, now: Timestamp, flow: &FlowKey) -> Option<Duration> {
        self.end(now, flow, RequestEnd::Answered)
    }

    /// Removes the running request of a flow, which the target has answered or will not answer.
    /// Returns the time since its admission, or `None` if the flow has no running request.
    pub fn end(&mut self, now: Timestamp, flow: &FlowKey, end: RequestEnd) -> Option<Duration> {
        self.observer.end(now, flow, end);
        let running = self.remove_running(flow)?;
        let took = now.since(running.since);
        if running.measured {
            let mean = self.mean.unwrap_or(took);
            self.mean = Some(mean.mul_f64(1.0 - MEAN_WEIGHT) + took.mul_f64(MEAN_WEIGHT));
            self.order.record_time(running.rank, took);
        }
        Some(took)
    }

    /// Removes all requests of a flow that has ended.
    pub fn remove(&mut self, flow: &FlowKey) {
        self.remove_running(flow);
        self.observer.forget(flow);
        self.remove_waiting(flow);
    }

    /// Removes all requests.
    pub fn clear(&mut self) {
        self.running.clear();
        self.observer.clear();
        self.waiting.clear();
        self.order.clear();
        self.octets = 0;
    }

    /// Removes overdue running requests and queued requests past their timeout.
    pub fn expire(&mut self, now: Timestamp) -> ExpiredRequests {
        let limit = self.overdue_time();
        let expired = self.running.iter().filter(|(_, it)| {
            let overdue = it.measured && now.since(it.since) >= limit;
            overdue || now >= it.end
        });
        let expired: Vec<(FlowKey, bool)> =
            expired.map(|(flow, it)| (*flow, it.measured)).collect();
        for (flow, _) in &expired {
            self.remove_running(flow);
            self.observer.end(now, flow, RequestEnd::Overdue);
        }
        let abandoned = self.waiting.iter().filter(|(_, it)| now >= it.end);
        let abandoned: Vec<FlowKey> = abandoned.map(|(flow, _)| *flow).collect();
        for flow in &abandoned {
            self.remove_waiting(flow);
        }
        let expired = expired.into_iter().filter(|(_, measured)| *measured);
        ExpiredRequests {
            unanswered: expired.map(|(flow, _)| flow).collect(),
            timed_out: abandoned,
        }
    }

    /// Time after which the target is assumed to have dropped a request.
    fn overdue_time(&self) -> Duration {
        let mean = self.request_time();
        mean.mul_f64(OVERDUE_FACTOR).max(MIN_OVERDUE_TIME)
    }

    /// Admits the next queued request, or returns `None` if none is queued or the target has no
    /// room.
    pub fn release(&mut self, now: Timestamp, slots: u16) -> Option<ReleasedRequest> {
        let flow = self.next_flow(now, slots)?;
        let waiting = self.remove_waiting(&flow)?;
        self.order.add(&flow);
        let running = RunningRequest {
            since: now,
            end: waiting.end.max(now + MAYBE_ANSWERED_LIFETIME),
            measured: true,
            rank: waiting.rank,
        };
        self.running.insert(flow, running);
        self.observer.admit(now, slots, flow, Some(waiting.class));
        Some(ReleasedRequest {
            flow,
            waited: now.since(waiting.since),
            packets: waiting.packets,
        })
    }

    /// Whether a further request of a rank may be admitted.
    fn has_room(&self, slots: u16, rank: Rank) -> bool {
        self.running.len() < self.admission_limit(slots, rank)
    }

    /// Number of requests that may be at the target at a time. A reduced concurrency limit is never
    /// exceeded, since the target would run the surplus requests at once. Requests of other
    /// services aren't admitted beyond the limit either.
    fn admission_limit(&self, slots: u16, rank: Rank) -> usize {
        let limit = self.observer.limit(slots);
        if limit < slots || rank.guest {
            return usize::from(limit);
        }
        usize::from(slots) + self.options.overcommit
    }

    /// Adds a request that is admitted on arrival.
    fn start(&mut self, now: Timestamp, slots: u16, arrival: &Arrival<'_>, rank: Rank) {
        let lifetime = if arrival.maybe_answered {
            MAYBE_ANSWERED_LIFETIME
        } else {
            arrival.work.timeout.min(MAX_RUNNING_TIME)
        };
        let running = RunningRequest {
            since: now,
            end: now + lifetime,
            measured: !arrival.maybe_answered,
            rank,
        };
        self.running.insert(arrival.flow, running);
        let class = running.measured.then_some(arrival.work.class);
        self.observer.admit(now, slots, arrival.flow, class);
    }

    /// Selects the next request for which the target has room, or returns `None` if there is none.
    /// A request whose client has timed out is left for [`expire`](SlotQueue::expire).
    fn next_flow(&mut self, now: Timestamp, slots: u16) -> Option<FlowKey> {
        if self.waiting.is_empty() {
            return None;
        }
        let needed = now + self.needed_time();
        let eligible = self
            .waiting
            .iter()
            .filter(|(_, it)| now < it.end && self.has_room(slots, it.rank));
        let eligible: Vec<Waiting> = eligible
            .map(|(flow, it)| Waiting {
                flow: *flow,
                rank: it.rank,
                in_time: it.objective_end >= needed,
                objective_end: it.objective_end,
                since: it.since,
            })
            .collect();
        let mean = self.request_time();
        self.order.take_next(&eligible, mean)
    }

    /// Mean time of a request at the target.
    fn request_time(&self) -> Duration {
        self.mean.unwrap_or(DEFAULT_REQUEST_TIME)
    }

    /// Time before the end of its objective at which a request must be admitted to be in time.
    fn needed_time(&self) -> Duration {
        let reserve = self.request_time().mul_f64(self.options.reserve_factor);
        reserve + NETWORK_TIME
    }

    fn remove_running(&mut self, flow: &FlowKey) -> Option<RunningRequest> {
        let running = self.running.swap_remove(flow)?;
        self.order.remove(flow);
        Some(running)
    }

    fn remove_waiting(&mut self, flow: &FlowKey) -> Option<QueuedRequest> {
        let waiting = self.waiting.swap_remove(flow)?;
        self.order.remove(flow);
        let octets: usize = waiting.packets.iter().map(Vec::len).sum();
        self.octets -= octets;
        Some(waiting)
    }
}
