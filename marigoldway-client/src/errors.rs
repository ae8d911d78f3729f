//! The error type of this crate.

use std::error::Error as StdError;
use std::fmt;

use crate::answer::Answer;

/// `Result` with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` says what kept a call from being made at all.
///
/// What became of a request that was made is no error but the
/// [`Outcome`](marigoldway_core::request::Outcome) of its [`Answer`].
#[derive(Clone, Debug)]
pub enum Error {
    /// The options or the request break the interface.
    Malformed {
        /// What was read, and what is expected instead.
        detail: String,
    },
    /// No server could be reached.
    NoConnection {
        /// The last fault seen.
        detail: String,
    },
    /// The service refused, and trying again would not help.
    Refused(Box<Answer>),
}

impl Error {
    /// Makes an [`Error::Malformed`].
    pub fn malformed(detail: impl Into<String>) -> Error {
        Error::Malformed {
            detail: detail.into(),
        }
    }

    /// Makes an [`Error::NoConnection`].
    pub fn no_connection(detail: impl Into<String>) -> Error {
        Error::NoConnection {
            detail: detail.into(),
        }
    }

    /// Makes an [`Error::Refused`].
    pub fn refused(answer: Answer) -> Error {
        Error::Refused(Box::new(answer))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Malformed { detail } => write!(f, "malformed: {detail}"),
            Error::NoConnection { detail } => write!(f, "no connection: {detail}"),
            Error::Refused(answer) => write!(f, "refused: {answer}"),
        }
    }
}

impl StdError for Error {}
