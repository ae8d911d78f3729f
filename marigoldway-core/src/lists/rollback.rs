//! Detects that the platform was restored to an earlier state.
//!
//! The platform of the lists tells nothing of a restore. Its revision rises with each write, so one
//! that is lower than an earlier one shows that accepted writes were lost. A restore after which as
//! many writes follow before the next read isn't detected.

/// `RollbackDetector` compares the platform's revision at a read with the last one.
#[derive(Clone, Copy, Debug, Default)]
pub struct RollbackDetector {
    last: u64,
}

impl RollbackDetector {
    /// Notes the platform's revision at a read. If the platform has gone back, returns the last
    /// revision before, once for each restore.
    pub fn observe(&mut self, revision: u64) -> Option<u64> {
        let last = std::mem::replace(&mut self.last, revision);
        (revision < last).then_some(last)
    }

    /// Notes the revision of a change. Changes of a watch may be older than the last read, so a lower
    /// one shows nothing.
    pub fn on_change(&mut self, revision: u64) {
        self.last = self.last.max(revision);
    }
}
