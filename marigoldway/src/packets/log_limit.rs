//! A bound on log lines: so many a second of each kind, the rest is counted and
//! said.

use std::cell::RefCell;
use std::time::Duration;

use indexmap::IndexMap;

use marigoldway_core::time::Timestamp;

/// Lines of one kind a second: about as many as one agent's target answers, at
/// a fiftieth of the processor time of a small instance.
const MAX_LINES: u32 = 60;

/// Time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// `LogLimiter` says which lines may be written.
#[derive(Debug, Default)]
pub(crate) struct LogLimiter {
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    start: Timestamp,
    kinds: IndexMap<&'static str, Count>,
}

#[derive(Debug, Default)]
struct Count {
    written: u32,
    left_out: u32,
}

impl LogLimiter {
    /// Whether one more line of `kind` may be written.
    pub(crate) fn allows(&self, now: Timestamp, kind: &'static str) -> bool {
        let mut state = self.state.borrow_mut();
        if now.since(state.start) >= WINDOW {
            state.start = now;
            state.report();
        }
        let count = state.kinds.entry(kind).or_default();
        if count.written < MAX_LINES {
            count.written += 1;
            return true;
        }
        count.left_out += 1;
        false
    }
}

impl State {
    /// Says what was left out, and starts over.
    fn report(&mut self) {
        for (kind, count) in &mut self.kinds {
            if count.left_out > 0 {
                let left_out = count.left_out;
                log::info!("event=lines-left-out kind={kind} count={left_out}");
            }
            *count = Count::default();
        }
    }
}
