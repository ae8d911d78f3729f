//! Decides whether a new flow is reset because its request can't be served in time.
//!
//! A reset before the flow is open costs the client nothing but the attempt: it may try again at
//! once. A request that waits in vain costs it the whole timeout. The decision is made by the last
//! agent that could accept the flow, from its own queue.
//!
//! A request that would start within its objective is never rejected. Any other becomes late while
//! it is queued, and then all requests in time that arrive later go ahead of it. It gets only what
//! these leave of the slots, so the time that the work ahead of it takes is divided by that part.
//! If the arriving requests alone fill the slots, it is never served.
//!
//! Only the first request of a flow is judged, since the later ones of a long flow may come when
//! the overload is over. The requests of open flows count where they show: in the queue and in the
//! arrival rate. A new agent has neither, and rejects nothing.

use std::time::Duration;

use indexmap::IndexMap;

use crate::flow::key::FlowKey;
use crate::flow::overload::order;
use crate::flow::routes::Work;
use crate::time::Timestamp;

/// Time constant of the moving mean of arrivals: some 40 requests at a target of two slots.
const TIME_CONSTANT: Duration = Duration::from_millis(500);

/// `Backlog` is the work that a target would do before a new request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backlog {
    /// Number of requests ahead in queue order, with the running ones and the expected first
    /// requests of flows that were accepted before.
    pub ahead: usize,
    /// Maximum number of requests that the target runs at a time.
    pub slots: u16,
    /// Mean time of a request at the target.
    pub request_time: Duration,
    /// Number of queued requests of the same priority, in time or late, with the expected first
    /// requests of accepted flows.
    pub of_priority: usize,
    /// Arriving requests of the same or a higher priority, in work that the slots can do: 1 fills
    /// them.
    pub arriving: f64,
    /// Remaining time of the slow start, after which requests take less time than `request_time`.
    /// Nothing is rejected before.
    pub slow_start: Duration,
}

/// `NewFlow` is a flow whose opening packet has arrived.
#[derive(Clone, Copy, Debug)]
pub struct NewFlow {
    /// The flow.
    pub flow: FlowKey,
    /// Properties of its requests.
    pub work: Work,
    /// Time since the client began to wait.
    pub waited: Duration,
    /// Number of flows that were accepted before and whose first request is still expected.
    pub opening: usize,
    /// Remaining time of the target's slow start.
    pub slow_start: Duration,
}

/// `TimeLeft` states until when an answer is of use to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeLeft {
    /// Time within which the request must start to be answered within its objective.
    pub objective: Duration,
    /// Time within which it must start to be answered before the client times out.
    pub timeout: Duration,
}

impl Backlog {
    /// Time until a slot is free for the new request if no later one goes ahead of it.
    pub fn wait(&self) -> Duration {
        let slots = usize::from(self.slots.max(1));
        if self.ahead < slots {
            return Duration::ZERO;
        }
        let rounds = (self.ahead + 1 - slots) as f64 / slots as f64;
        self.request_time.mul_f64(rounds)
    }

    /// Whether the request can't be answered before its client times out.
    pub fn is_hopeless(&self, left: TimeLeft) -> bool {
        let wait = self.wait();
        // An overload in slow start often ends with it, since requests then take less time.
        if wait <= left.objective || !self.slow_start.is_zero() {
            return false;
        }
        // A priority gets at least a part of the slots' time, whatever arrives in higher ones.
        let rounds = self.of_priority as f64 / f64::from(self.slots.max(1));
        let least = self
            .request_time
            .mul_f64(rounds * order::LEAST_SHARE_INVERSE);
        if least <= left.timeout {
            return false;
        }
        let spare = 1.0 - self.arriving;
        spare <= 0.0 || wait.as_secs_f64() / spare > left.timeout.as_secs_f64()
    }
}

/// `Arrivals` is a moving mean of the rate at which requests arrive, by priority.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    /// Requests per second, and the time as of which.
    rates: IndexMap<u8, (f64, Timestamp)>,
}

impl Arrivals {
    /// Records a request.
    pub fn record(&mut self, now: Timestamp, priority: u8) {
        let (rate, updated) = self.rates.entry(priority).or_insert((0.0, now));
        *rate = decayed(*rate, *updated, now) + 1.0 / TIME_CONSTANT.as_secs_f64();
        *updated = now;
    }

    /// Requests per second of this priority and higher ones, which have lower numbers.
    pub fn rate(&self, now: Timestamp, priority: u8) -> f64 {
        let rates = self.rates.iter().filter(|(it, _)| **it <= priority);
        rates
            .map(|(_, (rate, updated))| decayed(*rate, *updated, now))
            .sum()
    }
}

fn decayed(rate: f64, updated: Timestamp, now: Timestamp) -> f64 {
    let age = now.since(updated).as_secs_f64();
    rate * (-age / TIME_CONSTANT.as_secs_f64()).exp()
}
