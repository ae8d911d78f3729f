//! Counters of the calls made to the platform, and of what couldn't be read in its responses.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// `CallKind` is the category under which the platform counts a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// A read of one key or of a range.
    Get,
    /// A compare-and-swap.
    Swap,
    /// The grant of a lease.
    Lease,
    /// The renewal of a lease.
    KeepAlive,
    /// A watch, counted when it is opened or, if the client polls, at each poll.
    Watch,
}

impl CallKind {
    /// Every kind, in the order of the counters.
    pub const ALL: [CallKind; 5] = [
        CallKind::Get,
        CallKind::Swap,
        CallKind::Lease,
        CallKind::KeepAlive,
        CallKind::Watch,
    ];

    /// Name of the kind in the names of counters.
    pub fn as_str(self) -> &'static str {
        match self {
            CallKind::Get => "get",
            CallKind::Swap => "swap",
            CallKind::Lease => "lease",
            CallKind::KeepAlive => "keep-alive",
            CallKind::Watch => "watch",
        }
    }
}

/// `CallCounts` holds the number of calls of one client by kind, since its creation.
#[derive(Debug, Default)]
pub struct CallCounts {
    counts: [AtomicU64; CallKind::ALL.len()],
    unreadable: AtomicU64,
    without_epoch: AtomicU64,
    parts: AtomicU64,
}

impl CallCounts {
    /// Counts one call.
    pub fn record(&self, kind: CallKind) {
        self.counts[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Number of calls of one kind.
    pub fn get(&self, kind: CallKind) -> u64 {
        self.counts[kind as usize].load(Ordering::Relaxed)
    }

    /// Counts items of a response that were skipped, since they have no readable key.
    pub fn record_unreadable(&self, count: usize) {
        self.unreadable.fetch_add(count as u64, Ordering::Relaxed);
    }

    /// Number of items that were skipped.
    pub fn unreadable(&self) -> u64 {
        self.unreadable.load(Ordering::Relaxed)
    }

    /// Counts a response that doesn't state its epoch readably, though an earlier one did.
    pub fn record_without_epoch(&self) {
        self.without_epoch.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of responses without a readable epoch.
    pub fn without_epoch(&self) -> u64 {
        self.without_epoch.load(Ordering::Relaxed)
    }

    /// Counts a part of a response that has arrived.
    pub fn record_part(&self) {
        self.parts.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of parts of responses that have arrived. It rises while a call makes progress.
    pub fn parts(&self) -> u64 {
        self.parts.load(Ordering::Relaxed)
    }

    /// Number of calls of all kinds.
    pub fn total(&self) -> u64 {
        CallKind::ALL.into_iter().map(|kind| self.get(kind)).sum()
    }
}
