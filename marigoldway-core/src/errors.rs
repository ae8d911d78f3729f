//! The error type of this crate.

use std::error::Error as StdError;
use std::fmt;

/// `Result` with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` says whose fault a refused input is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The input breaks the stated format.
    Malformed {
        /// What was read, and what is expected instead.
        detail: String,
    },
    /// The input is well formed but a value lies outside its range.
    OutOfRange {
        /// Name of the value.
        name: &'static str,
        /// What was read, and the range that is allowed.
        detail: String,
    },
    /// A line of a list can't be accepted.
    Line {
        /// Line number from 1.
        line: usize,
        /// What is wrong with the line.
        reason: String,
    },
    /// The input was not made with one of the keys held here.
    NotAuthentic,
}

impl Error {
    /// Makes an [`Error::Malformed`].
    pub fn malformed(detail: impl Into<String>) -> Error {
        Error::Malformed {
            detail: detail.into(),
        }
    }

    /// Makes an [`Error::Line`].
    pub fn line(line: usize, reason: impl Into<String>) -> Error {
        Error::Line {
            line,
            reason: reason.into(),
        }
    }

    /// Makes an [`Error::OutOfRange`].
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
            Error::NotAuthentic => f.write_str("not made with a key held here"),
        }
    }
}

impl StdError for Error {}
