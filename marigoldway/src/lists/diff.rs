//! Differences between two states of a list, for people.

use marigoldway_core::lists::patch;
use marigoldway_core::lists::patch::Edit;

/// The lines that differ, `-` before those of `old`, `+` before those of `new`.
pub(super) fn lines(old: &str, new: &str) -> String {
    patch::edits(old, new)
        .into_iter()
        .filter_map(|edit| match edit {
            Edit::Keep(_) => None,
            Edit::Drop(line) => Some(format!("-{line}\n")),
            Edit::Add(line) => Some(format!("+{line}\n")),
        })
        .collect()
}
