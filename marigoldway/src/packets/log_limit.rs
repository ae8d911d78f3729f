//! Limits the log lines of each kind per second. Lines above the limit are counted,
//! and their number is logged.

use std::cell::RefCell;
use std::time::Duration;

use indexmap::IndexMap;

use marigoldway_core::time::Timestamp;

/// Maximum number of lines of one kind in a [`WINDOW`]. One agent's target answers
/// about as many requests per second, and writing the lines takes a fiftieth of the
/// processor time of a small instance.
const MAX_LINES: u32 = 60;

/// Period over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// `LogLimiter` decides which log lines are written.
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
    /// Counts a line of `kind`, the name of its event, and returns whether the line may be written.
    /// The first call in a new window logs how many lines the last one left out.
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
    /// Logs how many lines of each kind were left out, and resets the counts.
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
