//! Writes one change of a list by compare-and-swap, although replies may be lost.
//!
//! The platform, a key-value store, keeps each list and a history of its changes.
//! A write without a reply may have taken effect, may take effect later, or may
//! never do so. [`ListChange`] retries the same compare-and-swap: it can't take
//! effect twice, and once it is refused, no earlier copy can take effect either.
//! The change id that the history holds for the generation of the change then
//! shows whether the write took effect.

use crate::lists::document::ChangeId;
use crate::lists::document::Revision;

/// `SwapResult` is the result of one compare-and-swap call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapResult {
    /// The write took effect.
    Applied,
    /// The platform refused the write because another write came first.
    Refused,
    /// No reply arrived; the write may or may not take effect.
    Lost,
}

/// `ReadBack` is the state of the platform after a refused write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadBack {
    /// Current revision of the list.
    pub current: Revision,
    /// Change id that the history holds for the generation that this change writes;
    /// `None` if it holds none.
    pub history: Option<ChangeId>,
}

/// `Step` is the next action of the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send the compare-and-swap, after a backoff if it was sent before.
    Swap,
    /// Read the list and its history.
    Read,
    /// Stop with this outcome.
    End(ChangeOutcome),
}

/// `ChangeOutcome` is the final result of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change was applied and is the current revision of the list.
    Applied,
    /// The change was applied, and a later change has replaced it.
    Superseded {
        /// Current revision of the list.
        current: Revision,
    },
    /// The change did not take effect and never will.
    NotApplied {
        /// Current revision of the list.
        current: Revision,
    },
    /// The platform was restored to an earlier state during the change. It may have lost the change,
    /// and processes that hold a later generation overwrite it.
    RolledBack,
    /// Too many calls got no reply. The change may still take effect.
    Unknown,
}

/// `ListChange` is the state machine of one change. The caller runs each [`Step`]
/// and passes in the result.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    revision: Revision,
    /// Number of further calls without a reply after which the outcome is unknown.
    attempts: u32,
}

impl ListChange {
    /// Starts a change that writes `revision`; the first step is [`Step::Swap`].
    /// The change ends as [`ChangeOutcome::Unknown`] after `attempts` calls
    /// without a reply.
    pub fn new(revision: Revision, attempts: u32) -> ListChange {
        ListChange { revision, attempts }
    }

    /// Returns the step that follows [`Step::Swap`].
    pub fn on_swap(&mut self, result: SwapResult) -> Step {
        match result {
            SwapResult::Applied => Step::End(ChangeOutcome::Applied),
            SwapResult::Refused => Step::Read,
            SwapResult::Lost => self.retry(Step::Swap),
        }
    }

    /// Returns the step that follows [`Step::Read`]; `reply` is `None` if no reply
    /// arrived.
    pub fn on_read(&mut self, reply: Option<ReadBack>) -> Step {
        let Some(reply) = reply else {
            return self.retry(Step::Read);
        };
        let current = reply.current;
        let own = Some(self.revision.change);
        Step::End(if current == self.revision {
            ChangeOutcome::Applied
        } else if reply.history == own {
            ChangeOutcome::Superseded { current }
        } else {
            ChangeOutcome::NotApplied { current }
        })
    }

    /// Returns the last step if a reply shows that the platform was restored to an earlier state.
    pub fn on_rollback(&mut self) -> Step {
        Step::End(ChangeOutcome::RolledBack)
    }

    fn retry(&mut self, step: Step) -> Step {
        self.attempts = self.attempts.saturating_sub(1);
        if self.attempts == 0 {
            return Step::End(ChangeOutcome::Unknown);
        }
        step
    }
}
