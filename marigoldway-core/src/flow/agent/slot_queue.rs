//! Requests in front of a target's slots.
//!
//! The load that this answers: a crest of more requests than the targets' slots
//! can run. A target queues a few, first come first served, and sheds the rest;
//! who is shed comes back, and all are late. The gate lets in as many requests
//! as the target runs at a time and a few more, and holds the first packets of
//! the others. Whoever can still be answered within its objective goes first,
//! by the route's rank and then by the time that is left; requests that are
//! late already use what room remains, the newest first, since the oldest will
//! soon have nobody who waits.

use std::time::Duration;

use indexmap::IndexMap;

use crate::flow::key::FlowKey;
use crate::flow::routes::Work;
use crate::time::Timestamp;

/// Time on the way from the client and back that the agent can't see.
const TRAVEL: Duration = Duration::from_millis(12);

/// Time that a request takes while none was measured.
const TYPICAL_TIME: Duration = Duration::from_millis(30);

/// Part of a new measurement in the mean.
const MEAN_SHARE: f64 = 0.05;

/// Requests that are held at most: beyond, the target says itself that it is
/// full.
const WAITING_MAX: usize = 512;

/// Octets of held packets at most.
const OCTETS_MAX: usize = 4 << 20;

/// Time after which a request no longer counts, in mean times: nearly all take
/// less, and a target that drops requests would fill up with what is lost.
const OVERDUE_FACTOR: f64 = 8.0;

/// Shortest such time: one request in some hundreds takes a third of a second.
const OVERDUE_MIN: Duration = Duration::from_millis(350);

/// Time after which a request that may have been answered before this process
/// saw its flow no longer counts.
const DOUBTFUL_LIFE: Duration = Duration::from_millis(300);

/// Time after which any request no longer counts where its route says nothing.
const LIFE_MAX: Duration = Duration::from_secs(3);

/// `SlotQueueOptions` says whom the gate lets in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlotQueueOptions {
    /// Requests let in beyond the target's slots, so that a slot that frees
    /// finds the next request at the target: the agent's turn on its core comes
    /// some milliseconds later.
    pub overcommit: usize,
    /// Time that has to be left of a request's objective for it to be in time,
    /// in mean times that requests take: few take more.
    pub reserve_factor: f64,
}

impl Default for SlotQueueOptions {
    fn default() -> SlotQueueOptions {
        SlotQueueOptions {
            overcommit: 2,
            reserve_factor: 1.5,
        }
    }
}

/// `SlotQueue` holds requests back until the target has room.
#[derive(Debug, Default)]
pub struct SlotQueue {
    options: SlotQueueOptions,
    running: IndexMap<FlowKey, Running>,
    waiting: IndexMap<FlowKey, Waiting>,
    octets: usize,
    mean: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    since: Timestamp,
    /// When it no longer counts.
    end: Timestamp,
    measured: bool,
}

#[derive(Debug)]
struct Waiting {
    since: Timestamp,
    /// When its objective is over.
    aim: Timestamp,
    /// When nobody waits for it any more.
    end: Timestamp,
    priority: u8,
    packets: Vec<Vec<u8>>,
}

/// `Admission` says what becomes of a packet that brings data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It goes to the target.
    Open,
    /// It is held.
    Queued,
}

/// `Arrival` is a packet with data, as the gate needs it.
#[derive(Clone, Copy, Debug)]
pub struct Arrival<'a> {
    /// The flow.
    pub flow: FlowKey,
    /// The packet.
    pub packet: &'a [u8],
    /// The request, as its route describes it.
    pub work: Work,
    /// When the client began to wait.
    pub asked: Timestamp,
    /// Whether it is the first data of the flow.
    pub first: bool,
    /// Whether the data may belong to a request that was answered before.
    pub maybe_answered: bool,
}

/// `Released` are the packets of a request whose turn has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Released {
    /// The flow.
    pub flow: FlowKey,
    /// How long the request was held.
    pub waited: Duration,
    /// Its packets, in the order of their arrival.
    pub packets: Vec<Vec<u8>>,
}

/// `Expired` are the requests that the gate forgets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Expired {
    /// Flows whose target hasn't answered a request in time.
    pub unanswered: Vec<FlowKey>,
    /// Flows with a held request that nobody waits for.
    pub timed_out: Vec<FlowKey>,
}

impl SlotQueue {
    /// Makes a gate that holds nothing.
    pub fn new(options: SlotQueueOptions) -> SlotQueue {
        SlotQueue {
            options,
            ..SlotQueue::default()
        }
    }

    /// Requests inside the target.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes a packet that brings new data.
    pub fn offer(&mut self, now: Timestamp, slots: u16, arrival: &Arrival<'_>) -> Admission {
        if self.running.contains_key(&arrival.flow) {
            return Admission::Open;
        }
        if let Some(waiting) = self.waiting.get_mut(&arrival.flow) {
            waiting.packets.push(arrival.packet.to_vec());
            self.octets += arrival.packet.len();
            return Admission::Queued;
        }
        let full = self.waiting.len() >= WAITING_MAX || self.octets >= OCTETS_MAX;
        if full || self.has_room(slots) {
            self.start(now, arrival.flow, arrival.work, arrival.maybe_answered);
            return Admission::Open;
        }
        let waiting = Waiting {
            since: now,
            aim: arrival.asked + arrival.work.objective,
            end: arrival.asked + arrival.work.timeout,
            priority: arrival.work.priority,
            packets: vec![arrival.packet.to_vec()],
        };
        self.octets += arrival.packet.len();
        self.waiting.insert(arrival.flow, waiting);
        Admission::Queued
    }

    /// Whether a request of the flow waits or runs.
    pub fn contains(&self, flow: &FlowKey) -> bool {
        self.running.contains_key(flow) || self.waiting.contains_key(flow)
    }

    /// Whether the flow's request waits.
    pub fn is_queued(&self, flow: &FlowKey) -> bool {
        self.waiting.contains_key(flow)
    }

    /// Takes note that the target has answered, or will not, and gives the time
    /// that the request was inside, if one was.
    pub fn finish(&mut self, now: Timestamp, flow: &FlowKey) -> Option<Duration> {
        let running = self.running.swap_remove(flow)?;
        let took = now.since(running.since);
        if running.measured {
            let mean = self.mean.unwrap_or(took);
            self.mean = Some(mean.mul_f64(1.0 - MEAN_SHARE) + took.mul_f64(MEAN_SHARE));
        }
        Some(took)
    }

    /// Forgets a flow that is gone.
    pub fn remove(&mut self, flow: &FlowKey) {
        self.running.swap_remove(flow);
        self.unqueue(flow);
    }

    /// Forgets every flow.
    pub fn clear(&mut self) {
        self.running.clear();
        self.waiting.clear();
        self.octets = 0;
    }

    /// Forgets what is over.
    pub fn expire(&mut self, now: Timestamp) -> Expired {
        let limit = self.overdue();
        let lost = self.running.iter().filter(|(_, it)| {
            let overdue = it.measured && now.since(it.since) >= limit;
            overdue || now >= it.end
        });
        let lost: Vec<(FlowKey, bool)> = lost.map(|(flow, it)| (*flow, it.measured)).collect();
        for (flow, _) in &lost {
            self.running.swap_remove(flow);
        }
        let over = self.waiting.iter().filter(|(_, it)| now >= it.end);
        let over: Vec<FlowKey> = over.map(|(flow, _)| *flow).collect();
        for flow in &over {
            self.unqueue(flow);
        }
        let lost = lost.into_iter().filter(|(_, measured)| *measured);
        Expired {
            unanswered: lost.map(|(flow, _)| flow).collect(),
            timed_out: over,
        }
    }

    /// Time after which the target is taken to have dropped a request.
    fn overdue(&self) -> Duration {
        let mean = self.mean.unwrap_or(TYPICAL_TIME);
        mean.mul_f64(OVERDUE_FACTOR).max(OVERDUE_MIN)
    }

    /// The next request whose turn has come, if the target has room.
    pub fn release(&mut self, now: Timestamp, slots: u16) -> Option<Released> {
        if self.waiting.is_empty() || !self.has_room(slots) {
            return None;
        }
        let flow = self.next(now)?;
        let waiting = self.unqueue(&flow)?;
        let running = Running {
            since: now,
            end: waiting.end.max(now + DOUBTFUL_LIFE),
            measured: true,
        };
        self.running.insert(flow, running);
        Some(Released {
            flow,
            waited: now.since(waiting.since),
            packets: waiting.packets,
        })
    }

    fn has_room(&self, slots: u16) -> bool {
        self.running.len() < usize::from(slots) + self.options.overcommit
    }

    fn start(&mut self, now: Timestamp, flow: FlowKey, work: Work, maybe_answered: bool) {
        let life = if maybe_answered {
            DOUBTFUL_LIFE
        } else {
            work.timeout.min(LIFE_MAX)
        };
        let running = Running {
            since: now,
            end: now + life,
            measured: !maybe_answered,
        };
        self.running.insert(flow, running);
    }

    /// Who goes next: by rank and by the time that is left among those that can
    /// be in time, else by rank the newest.
    fn next(&self, now: Timestamp) -> Option<FlowKey> {
        let mean = self.mean.unwrap_or(TYPICAL_TIME);
        let needed = now + mean.mul_f64(self.options.reserve_factor) + TRAVEL;
        let in_time = self.waiting.iter().filter(|(_, it)| it.aim >= needed);
        let first = in_time.min_by_key(|(_, it)| (it.priority, it.aim));
        let late = || {
            self.waiting
                .iter()
                .min_by_key(|(_, it)| (it.priority, std::cmp::Reverse(it.since)))
        };
        first.or_else(late).map(|(flow, _)| *flow)
    }

    fn unqueue(&mut self, flow: &FlowKey) -> Option<Waiting> {
        let waiting = self.waiting.swap_remove(flow)?;
        let octets: usize = waiting.packets.iter().map(Vec::len).sum();
        self.octets -= octets;
        Some(waiting)
    }
}
