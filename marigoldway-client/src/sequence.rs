//! One gap-free sequence of events out of several sources.
//!
//! Each source sends its events in order, without a gap, from a number that is
//! at most one above the last delivered when the source was opened. Whatever the
//! order in which the events of two such sources arrive, the events admitted
//! here are each number once and in order.

/// `EventOrder` says what to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventOrder {
    /// The event is the first or follows the last: deliver it.
    Next,
    /// The event was delivered before: drop it.
    Duplicate {
        /// How many events the source lies behind the last delivered.
        behind: u64,
    },
    /// Events are missing before this one: deliver it and count them.
    Gap {
        /// Number of events that no source sent.
        missing: u64,
    },
}

impl EventOrder {
    /// Whether the event is to be delivered.
    pub fn is_new(self) -> bool {
        !matches!(self, EventOrder::Duplicate { .. })
    }

    /// Whether the source of the event has nothing more to catch up with.
    pub fn caught_up(self) -> bool {
        match self {
            EventOrder::Next | EventOrder::Gap { .. } => true,
            EventOrder::Duplicate { behind } => behind == 0,
        }
    }
}

/// `Sequence` remembers the last number delivered.
#[derive(Clone, Debug, Default)]
pub struct Sequence {
    last: Option<u64>,
}

impl Sequence {
    /// Makes a sequence that continues after `last`.
    pub fn after(last: Option<u64>) -> Sequence {
        Sequence { last }
    }

    /// The last number delivered.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Takes the number of an event of any source.
    pub fn admit(&mut self, id: u64) -> EventOrder {
        let Some(last) = self.last else {
            self.last = Some(id);
            return EventOrder::Next;
        };
        if id <= last {
            return EventOrder::Duplicate { behind: last - id };
        }
        self.last = Some(id);
        match id - last - 1 {
            0 => EventOrder::Next,
            missing => EventOrder::Gap { missing },
        }
    }
}
