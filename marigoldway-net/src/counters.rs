//! Datagram counters of the packet path: one for each outcome and each drop reason.
//!
//! An entry is a process that forwards callers' datagrams to agents. An agent is a process
//! beside one target, and accepts its flows. Each of them has its own counters.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use marigoldway_core::forward::DropReason;

/// `PacketOutcome` is the outcome of a datagram that was not dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PacketOutcome {
    /// An entry forwarded it to the agent of its flow.
    Routed,
    /// An entry forwarded it to the first candidate agent as the start of a new flow.
    Placed,
    /// An entry answered it with a stateless reset.
    Reset,
    /// An entry forwarded an agent's reply to the caller.
    Replied,
    /// An agent accepted it and delivered it to its QUIC endpoint.
    Taken,
    /// An agent forwarded a new flow to the second candidate, or returned it to the first.
    Passed,
    /// An agent sent a reply to an entry.
    Answered,
}

impl PacketOutcome {
    /// Every outcome, in the order of the counters.
    pub const ALL: [PacketOutcome; 7] = [
        PacketOutcome::Routed,
        PacketOutcome::Placed,
        PacketOutcome::Reset,
        PacketOutcome::Replied,
        PacketOutcome::Taken,
        PacketOutcome::Passed,
        PacketOutcome::Answered,
    ];

    /// Returns the last part of the name of the outcome's metric.
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

/// `PacketCounters` counts datagrams since its creation. Threads may update it concurrently.
#[derive(Debug, Default)]
pub struct PacketCounters {
    outcomes: [AtomicU64; PacketOutcome::ALL.len()],
    drops: [AtomicU64; DropReason::ALL.len()],
}

impl PacketCounters {
    /// Counts a datagram that was not dropped.
    pub fn count(&self, outcome: PacketOutcome) {
        self.outcomes[outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a datagram that was dropped.
    pub fn count_drop(&self, reason: DropReason) {
        self.drops[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of datagrams for each outcome since the creation.
    pub fn outcomes(&self) -> impl Iterator<Item = (PacketOutcome, u64)> {
        let counts = self.outcomes.iter().map(|it| it.load(Ordering::Relaxed));
        PacketOutcome::ALL.into_iter().zip(counts)
    }

    /// Returns the number of dropped datagrams for each reason since the creation.
    pub fn drops(&self) -> impl Iterator<Item = (DropReason, u64)> {
        let counts = self.drops.iter().map(|it| it.load(Ordering::Relaxed));
        DropReason::ALL.into_iter().zip(counts)
    }
}
