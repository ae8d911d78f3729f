//! Simulates a target that runs the requests that a policy starts.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use marigoldway_core::request::Class;
use marigoldway_core::time::Timestamp;

use crate::demand::Request;
use crate::policy::Policy;

/// `Outcome` records a request and the time at which it started; `None` if it never did.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outcome {
    pub(crate) request: Request,
    pub(crate) started: Option<Timestamp>,
}

impl Outcome {
    /// Reports whether the request completed by its deadline.
    pub(crate) fn in_time(&self) -> bool {
        self.started
            .is_some_and(|started| started + self.request.service <= self.request.deadline)
    }

    /// Returns the queueing time if the request was started.
    pub(crate) fn wait(&self) -> Option<Duration> {
        Some(self.started?.since(self.request.at))
    }

    /// Reports whether the request is short and arrived from `from` until before
    /// `to`, in milliseconds.
    pub(crate) fn is_short(&self, from: u64, to: u64) -> bool {
        let at = self.request.at.as_micros() / 1_000;
        self.request.class == Class::Short && (from..to).contains(&at)
    }
}

/// Simulates one run and returns an outcome per request, in order of arrival. The simulation
/// ends with the last arrival: requests still queued then count as never started.
pub(crate) fn run(requests: &[Request], mut policy: Policy) -> Vec<Outcome> {
    let mut outcomes: Vec<Outcome> = requests
        .iter()
        .map(|request| Outcome {
            request: *request,
            started: None,
        })
        .collect();
    let mut ends: BinaryHeap<Reverse<(Timestamp, usize)>> = BinaryHeap::new();

    for (id, request) in requests.iter().enumerate() {
        while let Some(&Reverse((now, ended))) = ends.peek() {
            if now > request.at {
                break;
            }
            ends.pop();
            let started = policy.finish(ended, now);
            start(&started, now, &mut outcomes, &mut ends);
        }
        let started = policy.arrive(id, request, request.at);
        start(&started, request.at, &mut outcomes, &mut ends);
    }
    outcomes
}

/// Records the start of the requests `started` and schedules their ends.
fn start(
    started: &[usize],
    now: Timestamp,
    outcomes: &mut [Outcome],
    ends: &mut BinaryHeap<Reverse<(Timestamp, usize)>>,
) {
    for &id in started {
        outcomes[id].started = Some(now);
        ends.push(Reverse((now + outcomes[id].request.service, id)));
    }
}
