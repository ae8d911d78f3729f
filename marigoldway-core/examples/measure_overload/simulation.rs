//! A target model that runs what a policy starts.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use marigoldway_core::request::Class;
use marigoldway_core::time::Timestamp;

use crate::demand::Request;
use crate::policy::Policy;

/// `Outcome` is what became of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outcome {
    pub(crate) request: Request,
    pub(crate) started: Option<Timestamp>,
}

impl Outcome {
    /// Tells whether the whole answer came in time.
    pub(crate) fn in_time(&self) -> bool {
        self.started
            .is_some_and(|started| started + self.request.service <= self.request.deadline)
    }

    /// Time in the queue, if the request was started.
    pub(crate) fn wait(&self) -> Option<Duration> {
        Some(self.started?.since(self.request.at))
    }

    /// Tells whether the request is short and arrived between two points in
    /// time, in milliseconds.
    pub(crate) fn is_short(&self, from: u64, to: u64) -> bool {
        let at = self.request.at.as_micros() / 1_000;
        self.request.class == Class::Short && (from..to).contains(&at)
    }
}

/// Runs the requests of one run under a policy.
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
