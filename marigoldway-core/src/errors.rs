//! The error type of this crate.

use std::error::Error as StdError;
use std::fmt;

/// `Result` with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why an input was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The input does not have the required format.
    Malformed {
        /// The input that was read, and the expected format.
        detail: String,
    },
    /// The input is well formed, but a value is outside its range.
    OutOfRange {
        /// Name of the value.
        name: &'static str,
        /// The value that was read, and the allowed range.
        detail: String,
    },
    /// A line of a list is invalid.
    Line {
        /// Line number, starting at 1.
        line: usize,
        /// Why the line is invalid.
        reason: String,
    },
    /// The input was not authenticated with a key of this process.
    NotAuthentic,
}

impl Error {
    /// Creates an [`Error::Malformed`].
    pub fn malformed(detail: impl Into<String>) -> Error {
        Error::Malformed {
            detail: detail.into(),
        }
    }

    /// Creates an [`Error::Line`].
    pub fn line(line: usize, reason: impl Into<String>) -> Error {
        Error::Line {
            line,
            reason: reason.into(),
        }
    }

    /// Creates an [`Error::OutOfRange`].
    pub fn out_of_range(name: &'static str, detail: impl Into<String>) -> Error {
        Error::OutOfRange {
            name,
            detail: detail.into(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Malformed { detail } => write!(f, "malformed input: {detail}"),
            Error::OutOfRange { name, detail } => write!(f, "{name} out of range: {detail}"),
            Error::Line { line, reason } => write!(f, "line {line}: {reason}"),
            Error::NotAuthentic => f.write_str("not authenticated with a known key"),
        }
    }
}

impl StdError for Error {}
