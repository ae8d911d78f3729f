//! Counters of the packet path, one for each reason and direction.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use marigoldway_core::forward::DropReason;

/// `PacketOutcome` is what became of a datagram that went on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PacketOutcome {
    /// An entry sent it to the agent of its flow.
    Routed,
    /// An entry offered it to a target as a new flow.
    Placed,
    /// An entry answered it with a stateless reset.
    Reset,
    /// An entry sent an agent's reply to its caller.
    Replied,
    /// An agent took it in.
    Taken,
    /// An agent passed a new flow on to the other candidate, or gave it back.
    Passed,
    /// An agent sent a reply to an entry.
    Answered,
}

impl PacketOutcome {
    /// Every passage, in the order of the counters.
    pub const ALL: [PacketOutcome; 7] = [
        PacketOutcome::Routed,
        PacketOutcome::Placed,
        PacketOutcome::Reset,
        PacketOutcome::Replied,
        PacketOutcome::Taken,
        PacketOutcome::Passed,
        PacketOutcome::Answered,
    ];

    /// The passage as it stands in the names of counters.
    pub fn as_str(self) -> &'static str {
        match self {
            PacketOutcome::Routed => "routed",
            PacketOutcome::Placed => "placed",
            PacketOutcome::Reset => "reset",
            PacketOutcome::Replied => "replied",
            PacketOutcome::Taken => "taken",
            PacketOutcome::Passed => "passed",
            PacketOutcome::Answered => "answered",
        }
    }
}

/// `PacketCounters` counts datagrams. Many threads may count at once.
#[derive(Debug, Default)]
pub struct PacketCounters {
    passages: [AtomicU64; PacketOutcome::ALL.len()],
    drops: [AtomicU64; DropReason::ALL.len()],
}

impl PacketCounters {
    /// Counts a datagram that went on.
    pub fn count(&self, passage: PacketOutcome) {
        self.passages[passage as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a datagram that was dropped.
    pub fn count_drop(&self, reason: DropReason) {
        self.drops[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Datagrams that went on, by passage, since the start.
    pub fn outcomes(&self) -> impl Iterator<Item = (PacketOutcome, u64)> {
        let counts = self.passages.iter().map(|it| it.load(Ordering::Relaxed));
        PacketOutcome::ALL.into_iter().zip(counts)
    }

    /// Datagrams that were dropped, by reason, since the start.
    pub fn drops(&self) -> impl Iterator<Item = (DropReason, u64)> {
        let counts = self.drops.iter().map(|it| it.load(Ordering::Relaxed));
        DropReason::ALL.into_iter().zip(counts)
    }
}
