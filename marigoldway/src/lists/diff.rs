//! Line differences between two versions of a list, for display to operators.

use marigoldway_core::lists::patch;
use marigoldway_core::lists::patch::Edit;

/// Returns the lines that differ, with the prefix `-` for those only in `old` and
/// `+` for those only in `new`. Returns an empty text if none differs.
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
