//! Errors of calls to the platform.

use std::error::Error as StdError;
use std::fmt;
use std::time::Duration;

/// `Result` with this module's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is the reason why a call has no usable response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The platform can't be reached, or the connection closed before the end of the
    /// response.
    Unreachable {
        /// Error of the network or of the HTTP connection.
        detail: String,
    },
    /// No response arrived within the time limit.
    Timeout {
        /// Time limit of the call.
        limit: Duration,
    },
    /// The response is longer than a process may keep in memory.
    TooLong {
        /// Maximum length in octets.
        limit: usize,
    },
    /// The response violates the protocol.
    InvalidResponse {
        /// HTTP status, or the error of the encoder or decoder.
        detail: String,
    },
    /// The lease has ended.
    LeaseLost,
    /// The platform was restored from a backup between the request and its response. Neither the
    /// response nor what the request was based on is valid any more.
    EpochChanged,
}

impl Error {
    /// Creates an [`Error::Unreachable`].
    pub fn unreachable(detail: impl fmt::Display) -> Error {
        Error::Unreachable {
            detail: detail.to_string(),
        }
    }

    /// Creates an [`Error::InvalidResponse`].
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
                    "no response from the platform within {} ms",
                    limit.as_millis()
                )
            }
            Error::TooLong { limit } => {
                write!(f, "a response of more than {limit} octets")
            }
            Error::InvalidResponse { detail } => {
                write!(f, "invalid response from the platform: {detail}")
            }
            Error::LeaseLost => f.write_str("the lease has ended"),
            Error::EpochChanged => f.write_str("the platform was restored during the call"),
        }
    }
}

impl StdError for Error {}
