//! The phases of a process on its way out.

use tokio::sync::watch;

/// `Phase` is how far a process is on its way out. A later phase never goes
/// back to an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The process serves.
    Running,
    /// The process takes nothing new and ends what it has.
    Leaving,
    /// The process ends at once.
    Ending,
}

/// Waits until the process is in `phase` or a later one, or will never tell.
pub async fn reached(receiver: &mut watch::Receiver<Phase>, phase: Phase) {
    let _ = receiver.wait_for(|it| *it >= phase).await;
}
