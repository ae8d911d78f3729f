//! Wire format of the messages that propagate revisions of the lists.
//!
//! The lists are texts that operators edit. The plans assign a plan to each customer, and the
//! allowances set the limits of each plan.

use serde::Deserialize;
use serde::Serialize;

use marigoldway_core::lists::ListKind;
use marigoldway_core::lists::patch::Hunk;
use marigoldway_core::lists::patch::Patch;
use marigoldway_core::lists::propagation::Message;
use marigoldway_core::lists::revisions::Revisions;

/// `ListsWire` is the wire form of a [`Message`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ListsWire {
    /// Announces the revisions that the sender has in force. Field: the revisions, encoded by
    /// [`Revisions::to_u64`].
    #[serde(rename = "h")]
    Have(u64),
    /// Requests the lists that have a higher revision than the sender holds. Field: the
    /// revisions that the sender holds, encoded by [`Revisions::to_u64`].
    #[serde(rename = "a")]
    Ask(u64),
    /// Full text of the plans.
    #[serde(rename = "p")]
    Plans(String),
    /// Full text of the allowances.
    #[serde(rename = "l")]
    Allowances(String),
    /// Difference between two revisions of a list. Fields: true for the plans and false for
    /// the allowances; number of the revision that the patch applies to; hunks; checksum of
    /// the new text.
    #[serde(rename = "d")]
    Patch(bool, u32, Vec<HunkWire>, u64),
}

/// `HunkWire` is the wire form of a [`Hunk`]. Fields: number of lines to keep, number of
/// lines to drop, lines to add.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HunkWire(u32, u32, Vec<String>);

impl From<&Message> for ListsWire {
    fn from(message: &Message) -> ListsWire {
        match message {
            Message::Have(revisions) => ListsWire::Have(revisions.to_u64()),
            Message::Ask(revisions) => ListsWire::Ask(revisions.to_u64()),
            Message::List { kind, text } => match kind {
                ListKind::Plans => ListsWire::Plans(text.to_string()),
                ListKind::Allowances => ListsWire::Allowances(text.to_string()),
            },
            Message::Patch { kind, base, patch } => {
                let hunks = patch.hunks.iter().cloned();
                let hunks = hunks.map(|it| HunkWire(it.keep, it.drop, it.add));
                let plans = *kind == ListKind::Plans;
                ListsWire::Patch(plans, *base, hunks.collect(), patch.checksum)
            }
        }
    }
}

impl From<ListsWire> for Message {
    fn from(wire: ListsWire) -> Message {
        let list = |kind, text: String| Message::List {
            kind,
            text: text.into(),
        };
        match wire {
            ListsWire::Have(bits) => Message::Have(Revisions::from_u64(bits)),
            ListsWire::Ask(bits) => Message::Ask(Revisions::from_u64(bits)),
            ListsWire::Plans(text) => list(ListKind::Plans, text),
            ListsWire::Allowances(text) => list(ListKind::Allowances, text),
            ListsWire::Patch(plans, base, hunks, checksum) => {
                let hunks = hunks.into_iter();
                let hunks = hunks.map(|HunkWire(keep, drop, add)| Hunk { keep, drop, add });
                Message::Patch {
                    kind: if plans {
                        ListKind::Plans
                    } else {
                        ListKind::Allowances
                    },
                    base,
                    patch: Patch {
                        hunks: hunks.collect(),
                        checksum,
                    },
                }
            }
        }
    }
}
