//! Error type of this crate.

use std::error::Error as StdError;
use std::fmt;

use crate::answer::Answer;

/// `Result` with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Error that prevents a request, a feed or a connection from being made.
///
/// A request that was made returns no `Error`: its result is the
/// [`Outcome`](marigoldway_core::request::Outcome) of its [`Answer`].
#[derive(Clone, Debug)]
pub enum Error {
    /// The options, the request or the data received are malformed.
    Malformed {
        /// The value found and the value expected.
        detail: String,
    },
    /// No server is reachable.
    NoConnection {
        /// The last error seen.
        detail: String,
    },
    /// The service refused, and a retry would not succeed.
    Refused(Box<Answer>),
}

impl Error {
    /// Builds an [`Error::Malformed`].
    pub fn malformed(detail: impl Into<String>) -> Error {
        Error::Malformed {
            detail: detail.into(),
        }
    }

    /// Builds an [`Error::NoConnection`].
    pub fn no_connection(detail: impl Into<String>) -> Error {
        Error::NoConnection {
            detail: detail.into(),
        }
    }

    /// Builds an [`Error::Refused`].
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
