//! Why a call to the platform has no usable answer.

use std::error::Error as StdError;
use std::fmt;
use std::time::Duration;

/// `Result` with this module's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` says what stands between a call and its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The platform can't be reached, or the connection ended early.
    Unreachable {
        /// What the network said.
        detail: String,
    },
    /// No answer came within the time limit.
    Timeout {
        /// The limit.
        limit: Duration,
    },
    /// The platform answered something else than the protocol allows.
    InvalidResponse {
        /// What was answered.
        detail: String,
    },
    /// The lease has ended.
    LeaseLost,
}

impl Error {
    /// Makes an [`Error::Unreachable`].
    pub fn unreachable(detail: impl fmt::Display) -> Error {
        Error::Unreachable {
            detail: detail.to_string(),
        }
    }

    /// Makes an [`Error::InvalidResponse`].
    pub fn invalid_response(detail: impl fmt::Display) -> Error {
        Error::InvalidResponse {
            detail: detail.to_string(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unreachable { detail } => write!(f, "platform unreachable: {detail}"),
            Error::Timeout { limit } => {
                write!(
                    f,
                    "no answer of the platform within {} ms",
                    limit.as_millis()
                )
            }
            Error::InvalidResponse { detail } => {
                write!(f, "unusable answer of the platform: {detail}")
            }
            Error::LeaseLost => f.write_str("the lease has ended"),
        }
    }
}

impl StdError for Error {}
