//! Error type of this crate.

use std::error::Error as StdError;
use std::fmt;

use crate::answer::Answer;

/// `Result` with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Failure to connect, to send a request, to read a feed or to obtain idempotency keys.
///
/// [`Client::request`](crate::client::Client::request) returns no `Error` for a request
/// that was sent. It returns an [`Answer`] with the request's
/// [`Outcome`](marigoldway_core::request::Outcome).
#[derive(Clone, Debug)]
pub enum Error {
    /// The options, the request or the data received are malformed, or the client is closed.
    Malformed {
        /// What is malformed and, for some values, what is expected.
        detail: String,
    },
    /// No server is reachable, the connection failed, or the feed has ended.
    NoConnection {
        /// The last error, as text.
        detail: String,
    },
    /// The service refused a feed, or a request for idempotency keys did not succeed.
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
