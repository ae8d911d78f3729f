//! Writes files that only their owner may read or write.

use std::fs;
use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use error_stack::ResultExt;

use crate::errors::Error;
use crate::errors::Result;

/// Permission bits of a file that holds a secret.
const SECRET_MODE: u32 = 0o600;

/// Creates `file` with `text` and syncs it to disk. Fails if the file exists.
pub(crate) fn write_new(file: &Path, text: &str) -> Result<()> {
    let write_error = || Error::Write(file.display().to_string());
    let opened = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(SECRET_MODE)
        .open(file);
    let mut opened = opened.change_context_lazy(write_error)?;
    opened
        .write_all(text.as_bytes())
        .change_context_lazy(write_error)?;
    opened.sync_all().change_context_lazy(write_error)
}

/// Replaces `file` atomically: a reader sees either the old text or the new one.
///
/// Writes a temporary file first, whose name has the extension `new`. Fails if it exists, for
/// example after an interrupted replacement.
pub(crate) fn replace(file: &Path, text: &str) -> Result<()> {
    let write_error = || Error::Write(file.display().to_string());
    let temporary = file.with_extension("new");
    write_new(&temporary, text)?;
    fs::rename(&temporary, file).change_context_lazy(write_error)
}
