//! Limits the rate of opening packets to a target in slow start, and queues those over the limit.
//!
//! The limit, the ramp, is a number of opening packets in any window of one second. The agent is
//! the only sender to its target, so it needs no coordination with other processes. The limiter
//! counts the packets of the last second by the millisecond in which they were sent. This bounds
//! its memory whatever the rate is, and delays a packet by one millisecond at most.

use std::collections::VecDeque;
use std::num::NonZeroU32;
use std::time::Duration;

use indexmap::IndexMap;

use crate::flow::agent::open::Opening;
use crate::flow::key::FlowKey;
use crate::flow::message::Header;
use crate::time::Timestamp;

/// Length of the window in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Time after which a packet no longer counts. A packet sent at the end of its millisecond leaves
/// the window one millisecond after one sent at the start.
const RELEASE_TIME: Duration = Duration::from_millis(WINDOW_MS + 1);

/// Time from the first copy of its opening packet after which a client gives up.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Part of `OPEN_TIMEOUT` that the first copy and the target's answer travel, as the slot queue
/// assumes it.
const NETWORK_TIME: Duration = Duration::from_millis(12);

/// Maximum number of queued opening packets. They take about a megabyte.
const MAX_QUEUED_OPENINGS: usize = 4_096;

/// `RampLimiter` counts the opening packets that were sent to one target, and determines when the
/// next ones may be sent.
#[derive(Debug)]
pub struct RampLimiter {
    /// Highest version of the configuration among the opening packets so far.
    version: u64,
    /// The limit that this version specifies.
    ramp: Option<NonZeroU32>,
    /// Until when the limit counts as used up by an earlier process of the agent.
    blocked_until: Timestamp,
    /// Number of packets sent in each millisecond of the window, oldest first.
    sent: VecDeque<(u64, u32)>,
}

impl RampLimiter {
    /// Creates the limiter of a process that starts at `started`. An earlier process may have used
    /// up the limit until then, so nothing is free within the first second.
    pub fn new(started: Timestamp) -> RampLimiter {
        RampLimiter {
            version: 0,
            ramp: None,
            blocked_until: started + RELEASE_TIME,
            sent: VecDeque::new(),
        }
    }

    /// Applies the limit in the header of an opening packet, unless a newer configuration has set
    /// another one.
    pub fn set_ramp(&mut self, version: u64, ramp: Option<NonZeroU32>) {
        if version >= self.version {
            self.version = version;
            self.ramp = ramp;
        }
    }

    /// The limit in force, or `None` if none is specified.
    pub fn ramp(&self) -> Option<NonZeroU32> {
        self.ramp
    }

    /// Records that an opening packet is sent to the target.
    pub fn record(&mut self, now: Timestamp) {
        self.expire(now);
        let ms = millis(now);
        match self.sent.back_mut() {
            Some((last, count)) if *last >= ms => *count = count.saturating_add(1),
            _ => self.sent.push_back((ms, 1)),
        }
    }

    /// When the packet at each of the first `count` positions of the queue may be sent under a
    /// limit, if nothing else is sent until then.
    pub fn free_times(&self, now: Timestamp, ramp: NonZeroU32, count: usize) -> Vec<Timestamp> {
        let oldest = millis(now).saturating_sub(WINDOW_MS);
        let recent = self.sent.partition_point(|(ms, _)| *ms < oldest);
        let ramp = ramp.get() as usize;
        let earliest = now.max(self.blocked_until);
        let counts = self.sent.iter().skip(recent);
        let sent: usize = counts.clone().map(|(_, count)| *count as usize).sum();
        let first = count.min(ramp);
        let mut times = vec![earliest; ramp.saturating_sub(sent).min(first)];
        // Of the packets sent, the oldest ones beyond the limit free no place.
        let mut surplus = sent.saturating_sub(ramp);
        for (ms, number) in counts {
            let number = *number as usize;
            let places = number.saturating_sub(surplus).min(first - times.len());
            surplus = surplus.saturating_sub(number);
            let free = Timestamp::from_millis(*ms) + RELEASE_TIME;
            times.extend(std::iter::repeat_n(free.max(earliest), places));
        }
        // Each further packet waits for the one that is `ramp` positions ahead of it.
        for position in ramp..count {
            times.push(times[position - ramp] + RELEASE_TIME);
        }
        times
    }

    /// When the packet at a position of the queue may be sent.
    pub fn free_at(&self, now: Timestamp, ramp: NonZeroU32, position: usize) -> Timestamp {
        let times = self.free_times(now, ramp, position + 1);
        times.last().copied().unwrap_or(now)
    }

    /// Removes the counts of milliseconds that have left the window.
    fn expire(&mut self, now: Timestamp) {
        let ms = millis(now);
        while self.sent.front().is_some_and(|(at, _)| at + WINDOW_MS < ms) {
            self.sent.pop_front();
        }
    }
}

/// `QueuedOpening` is an opening packet over the limit.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedOpening {
    /// Flow and sequence number of the packet, and when the client first sent it.
    pub opening: Opening,
    /// Header with which the packet arrived.
    pub header: Header,
    /// The whole packet.
    pub packet: Vec<u8>,
    /// When the packet was queued.
    pub since: Timestamp,
}

impl QueuedOpening {
    /// Until when the packet has to be sent for the client to see the answer.
    pub fn deadline(&self) -> Timestamp {
        self.opening.first_sent + (OPEN_TIMEOUT - NETWORK_TIME)
    }
}

/// Position of a packet in the queue: the priority of its route, its deadline and its number.
type OrderKey = (u8, Timestamp, u64);

/// `OpeningQueue` holds opening packets over the limit: by the priority of their route and then by
/// the time left.
#[derive(Debug, Default)]
pub struct OpeningQueue {
    openings: IndexMap<FlowKey, (OrderKey, QueuedOpening)>,
    order: Vec<(OrderKey, FlowKey)>,
    /// Number of packets queued so far.
    pushed: u64,
}

impl OpeningQueue {
    /// Number of queued packets.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no packet is queued.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Whether no further packet may be queued.
    pub fn is_full(&self) -> bool {
        self.len() >= MAX_QUEUED_OPENINGS
    }

    /// Whether the opening packet of a flow is queued.
    pub fn contains(&self, flow: &FlowKey) -> bool {
        self.openings.contains_key(flow)
    }

    /// Number of queued packets that would precede this one.
    pub fn position(&self, opening: &QueuedOpening) -> usize {
        let key = self.key(opening);
        self.order.partition_point(|(other, _)| *other < key)
    }

    /// Queues a packet. A packet of a flow that is queued already replaces the earlier one.
    pub fn push(&mut self, opening: QueuedOpening) {
        let flow = opening.opening.flow;
        self.remove(&flow);
        let index = self.position(&opening);
        let key = self.key(&opening);
        self.pushed += 1;
        self.order.insert(index, (key, flow));
        self.openings.insert(flow, (key, opening));
    }

    /// The next packet, or `None` if none is queued.
    pub fn first(&self) -> Option<&QueuedOpening> {
        self.iter().next()
    }

    /// The queued packets in order.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedOpening> {
        let openings = self
            .order
            .iter()
            .filter_map(|(_, flow)| self.openings.get(flow));
        openings.map(|(_, opening)| opening)
    }

    /// Removes the packet of a flow.
    pub fn remove(&mut self, flow: &FlowKey) -> Option<QueuedOpening> {
        let (key, opening) = self.openings.swap_remove(flow)?;
        let index = self.order.partition_point(|(other, _)| *other < key);
        self.order.remove(index);
        Some(opening)
    }

    fn key(&self, opening: &QueuedOpening) -> OrderKey {
        let priority = opening.header.work.priority;
        (priority, opening.deadline(), self.pushed)
    }
}

/// Whole milliseconds since the origin of the clock.
fn millis(at: Timestamp) -> u64 {
    at.as_micros() / 1_000
}
