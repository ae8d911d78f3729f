//! Files that only their owner may read.

use std::fs;
use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use error_stack::ResultExt;

use crate::errors::Error;
use crate::errors::Result;

/// Mode of a file that holds a secret.
const SECRET_MODE: u32 = 0o600;

/// Writes a file that must not exist.
pub(crate) fn write_new(file: &Path, text: &str) -> Result<()> {
    let failed = || Error::Write(file.display().to_string());
    let opened = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(SECRET_MODE)
        .open(file);
    let mut opened = opened.change_context_lazy(failed)?;
    opened
        .write_all(text.as_bytes())
        .change_context_lazy(failed)?;
    opened.sync_all().change_context_lazy(failed)
}

/// Replaces a file whole, so that a reader sees the old text or the new one.
pub(crate) fn write_over(file: &Path, text: &str) -> Result<()> {
    let failed = || Error::Write(file.display().to_string());
    let fresh = file.with_extension("new");
    write_new(&fresh, text)?;
    fs::rename(&fresh, file).change_context_lazy(failed)
}
