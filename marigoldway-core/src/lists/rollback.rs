//! Detects that the platform was restored to an earlier state.
//!
//! The platform of the lists tells nothing of a restore. Its revision rises with each write, so one
//! that is lower than an earlier one shows that accepted writes were lost. A restore after which as
//! many writes follow before the next read isn't detected.

/// `RollbackDetector` compares the platform's revision with the highest one so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct RollbackDetector {
    highest: u64,
}

impl RollbackDetector {
    /// Notes the platform's revision at a read, or at a change. If the platform has gone back,
    /// returns the highest revision before, once for each restore.
    pub fn observe(&mut self, revision: u64) -> Option<u64> {
        let highest = std::mem::replace(&mut self.highest, revision);
        (revision < highest).then_some(highest)
    }
}
