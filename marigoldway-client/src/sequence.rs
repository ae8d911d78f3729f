//! Merges the events of several sources into one sequence, and counts gaps.
//!
//! A source is one event stream of a feed. Each source must send its events in order
//! and without gaps. Its first number must be at most one above the last number
//! delivered when the source was opened. For any
//! interleaving of two such sources, [`Sequence`] admits each number once and in
//! order.

/// Position of an event relative to the last event delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventOrder {
    /// The event is the first, or directly follows the last delivered: deliver it.
    Next,
    /// The event was already delivered: drop it.
    Duplicate {
        /// Number of events that the source is behind the last delivered.
        behind: u64,
    },
    /// Events before this one are missing: deliver it and count the missing ones.
    Gap {
        /// Number of events that no source sent.
        missing: u64,
    },
}

impl EventOrder {
    /// Returns whether to deliver the event.
    pub fn is_new(self) -> bool {
        !matches!(self, EventOrder::Duplicate { .. })
    }

    /// Returns whether the source has reached the last event delivered.
    pub fn caught_up(self) -> bool {
        match self {
            EventOrder::Next | EventOrder::Gap { .. } => true,
            EventOrder::Duplicate { behind } => behind == 0,
        }
    }
}

/// Tracks the last number delivered, to drop duplicates and count gaps.
#[derive(Clone, Debug, Default)]
pub struct Sequence {
    last: Option<u64>,
}

impl Sequence {
    /// Creates a sequence that continues after `last`, or with any number for `None`.
    pub fn after(last: Option<u64>) -> Sequence {
        Sequence { last }
    }

    /// Returns the last number delivered, or `None` before the first.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Classifies the event with number `id` of any source, and records the number if the
    /// event is new.
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
