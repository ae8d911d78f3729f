//! One change of a list: a compare-and-swap whose answer may be lost.
//!
//! A write that ended without an answer may have taken effect, may still do so,
//! or may never. [`ListChange`] sends the same compare-and-swap again: it can't take
//! effect twice, and once it is refused no earlier copy can take effect either.
//! Reading back the change id then tells what happened.

use crate::lists::document::ChangeId;
use crate::lists::document::Revision;

/// `SwapResult` is what is known after one try of the write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapResult {
    /// The write took effect.
    Applied,
    /// The write was refused, since somebody else wrote first.
    Refused,
    /// No answer came.
    Lost,
}

/// `ReadBack` is what the platform holds after a refused write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadBack {
    /// Revision of the list.
    pub current: Revision,
    /// The change in the history at the generation that this change wanted.
    pub history: Option<ChangeId>,
}

/// `Step` is what to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send the compare-and-swap, after a pause if it was sent before.
    Swap,
    /// Read the list and the history.
    Read,
    /// Stop.
    End(ChangeOutcome),
}

/// `ChangeOutcome` tells what became of the change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change is the newest state of the list.
    Applied,
    /// The change was applied, and another one was made upon it since.
    Superseded {
        /// The newest state.
        current: Revision,
    },
    /// The change did not take effect and never will.
    NotApplied {
        /// The state that stands instead.
        current: Revision,
    },
    /// The platform gave no answer in all tries. The change may take effect.
    Unknown,
}

/// `ListChange` drives one change to its verdict.
#[derive(Clone, Copy, Debug)]
pub struct ListChange {
    revision: Revision,
    tries: u32,
}

impl ListChange {
    /// Starts a change that wants to make `revision`. It makes at most `tries`
    /// calls that stay without answer.
    pub fn new(revision: Revision, tries: u32) -> ListChange {
        ListChange { revision, tries }
    }

    /// Takes the answer to [`Step::Swap`].
    pub fn on_swap(&mut self, answer: SwapResult) -> Step {
        match answer {
            SwapResult::Applied => Step::End(ChangeOutcome::Applied),
            SwapResult::Refused => Step::Read,
            SwapResult::Lost => self.again(Step::Swap),
        }
    }

    /// Takes the answer to [`Step::Read`], `None` if none came.
    pub fn on_read(&mut self, answer: Option<ReadBack>) -> Step {
        let Some(answer) = answer else {
            return self.again(Step::Read);
        };
        let current = answer.current;
        let ours = Some(self.revision.change);
        Step::End(if current == self.revision {
            ChangeOutcome::Applied
        } else if answer.history == ours {
            ChangeOutcome::Superseded { current }
        } else {
            ChangeOutcome::NotApplied { current }
        })
    }

    fn again(&mut self, step: Step) -> Step {
        self.tries = self.tries.saturating_sub(1);
        if self.tries == 0 {
            return Step::End(ChangeOutcome::Unknown);
        }
        step
    }
}
