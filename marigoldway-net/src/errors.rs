//! The error type of this crate.

use std::error::Error as StdError;
use std::fmt;
use std::io;

/// `Result` with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` says whose fault a failure is.
#[derive(Debug)]
pub enum Error {
    /// The peer broke the stated format.
    Malformed {
        /// What was read, and what is expected instead.
        detail: String,
    },
    /// The peer doesn't hold the fleet's key.
    NotAuthentic,
    /// The peer took too long.
    Timeout,
    /// The connection failed or was closed.
    Connection {
        /// What failed.
        detail: String,
    },
    /// The system refused a call.
    Io(io::Error),
}

impl Error {
    /// Makes an [`Error::Malformed`].
    pub fn malformed(detail: impl Into<String>) -> Error {
        Error::Malformed {
            detail: detail.into(),
        }
    }

    /// Makes an [`Error::Connection`].
    pub fn connection(detail: impl Into<String>) -> Error {
        Error::Connection {
            detail: detail.into(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Malformed { detail } => write!(f, "malformed message: {detail}"),
            Error::NotAuthentic => f.write_str("peer doesn't hold the key"),
            Error::Timeout => f.write_str("peer took too long"),
            Error::Connection { detail } => write!(f, "connection failed: {detail}"),
            Error::Io(error) => write!(f, "system call failed: {error}"),
        }
    }
}

impl StdError for Error {
    fn source(&self) -> Option<&(dyn StdError + 'static)> {
        match self {
            Error::Io(error) => Some(error),
            _ => None,
        }
    }
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Error {
        Error::Io(error)
    }
}

impl From<marigoldway_core::errors::Error> for Error {
    fn from(error: marigoldway_core::errors::Error) -> Error {
        Error::malformed(error.to_string())
    }
}
