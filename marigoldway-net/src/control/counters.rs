//! Counters of the control channel.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// `ControlCounts` is a snapshot of a control channel's counters since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlCounts {
    /// Octets received over TCP.
    pub octets_in: u64,
    /// Octets sent over TCP.
    pub octets_out: u64,
    /// Frames received and authenticated.
    pub frames_in: u64,
    /// Frames written to a connection.
    pub frames_out: u64,
    /// Frames dropped because their peer's send queue was full, or because its connection
    /// couldn't be opened or ended while they were queued.
    pub dropped: u64,
    /// Frames dropped because they were queued for longer than
    /// [`max_frame_age`](crate::control::ControlOptions::max_frame_age).
    pub stale: u64,
    /// Outgoing connections that failed to open or to authenticate.
    pub unreachable: u64,
    /// Connections closed because the peer wasn't authenticated or sent a malformed message,
    /// or because too many accepted connections weren't authenticated yet.
    pub rejected: u64,
    /// Number of peers that have a send queue now.
    pub open: u64,
}

#[derive(Default)]
pub(super) struct Counters {
    octets_in: AtomicU64,
    octets_out: AtomicU64,
    frames_in: AtomicU64,
    frames_out: AtomicU64,
    dropped: AtomicU64,
    stale: AtomicU64,
    unreachable: AtomicU64,
    rejected: AtomicU64,
}

impl Counters {
    pub(super) fn add_octets_in(&self, count: usize) {
        self.octets_in.fetch_add(count as u64, Ordering::Relaxed);
    }

    pub(super) fn add_octets_out(&self, count: usize) {
        self.octets_out.fetch_add(count as u64, Ordering::Relaxed);
    }

    pub(super) fn add_frame_in(&self) {
        self.frames_in.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn add_frame_out(&self) {
        self.frames_out.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn add_dropped(&self, count: usize) {
        self.dropped.fetch_add(count as u64, Ordering::Relaxed);
    }

    pub(super) fn add_stale(&self) {
        self.stale.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn add_unreachable(&self) {
        self.unreachable.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn add_rejected(&self) {
        self.rejected.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn read(&self, open: usize) -> ControlCounts {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        ControlCounts {
            octets_in: load(&self.octets_in),
            octets_out: load(&self.octets_out),
            frames_in: load(&self.frames_in),
            frames_out: load(&self.frames_out),
            dropped: load(&self.dropped),
            stale: load(&self.stale),
            unreachable: load(&self.unreachable),
            rejected: load(&self.rejected),
            open: open as u64,
        }
    }
}
