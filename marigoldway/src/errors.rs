//! The error type of the process.

use std::error::Error as StdError;
use std::fmt;

/// `Result` with a report on this crate's [`Error`].
pub type Result<T> = std::result::Result<T, error_stack::Report<Error>>;

/// `Error` says which part of a process failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The settings were refused; the faults are attached as the cause.
    Settings,
    /// A part of the process could not start.
    Start(&'static str),
    /// A part of the process failed while it ran.
    Run(&'static str),
    /// A file could not be written.
    Write(String),
    /// Another process could not be asked.
    Ask(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Settings => f.write_str("the settings are refused"),
            Error::Start(part) => write!(f, "{part} could not start"),
            Error::Run(part) => write!(f, "{part} failed"),
            Error::Write(file) => write!(f, "{file} could not be written"),
            Error::Ask(addr) => write!(f, "{addr} could not be asked"),
        }
    }
}

impl StdError for Error {}
