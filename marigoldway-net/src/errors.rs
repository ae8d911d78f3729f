//! The error type of this crate.

use std::error::Error as StdError;
use std::fmt;
use std::io;

/// `Result` with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is a failure of a peer, of a connection or of a system call.
#[derive(Debug)]
pub enum Error {
    /// A peer's message or a stored record violates its format, or a value can't be encoded.
    Malformed {
        /// What is wrong with the message, the record or the value.
        detail: String,
    },
    /// The peer didn't prove that it holds the fleet's key.
    NotAuthentic,
    /// The peer didn't respond in time.
    Timeout,
    /// The connection failed or was closed.
    Connection {
        /// What failed.
        detail: String,
    },
    /// A system call failed.
    Io(io::Error),
}

impl Error {
    /// Creates an [`Error::Malformed`].
    pub fn malformed(detail: impl Into<String>) -> Error {
        Error::Malformed {
            detail: detail.into(),
        }
    }

    /// Creates an [`Error::Connection`].
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
            Error::NotAuthentic => f.write_str("peer failed authentication with the fleet's key"),
            Error::Timeout => f.write_str("peer timed out"),
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
