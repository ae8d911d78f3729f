//! The error type of the process.

use std::error::Error as StdError;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use error_stack::AttachmentKind;
use error_stack::FrameKind;
use error_stack::Report;

/// `Result` with a report on this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// `Error` says which part of a process failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The settings were refused; the faults are attached as the cause.
    Settings,
    /// A part of the process could not start.
    Start(&'static str),
    /// An address could not be bound.
    Bind(SocketAddr),
    /// A certificate or its key could not be used.
    Certificate(PathBuf),
    /// A part of the process failed while it ran.
    Run(&'static str),
    /// A later process has taken the name of this one in the roster.
    Replaced,
    /// A file could not be written.
    Write(String),
    /// Another process could not be asked.
    Request(String),
    /// A file could not be read.
    Read(String),
    /// None of so many lines of logs names an id.
    IdNotFound(String, usize),
}

impl Error {
    /// Makes an [`Error::Certificate`].
    pub fn certificate(file: &Path) -> Error {
        Error::Certificate(file.to_owned())
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Settings => f.write_str("the settings are refused"),
            Error::Start(part) => write!(f, "{part} could not start"),
            Error::Bind(addr) => write!(f, "{addr} could not be bound"),
            Error::Certificate(file) => write!(f, "{} could not be used", file.display()),
            Error::Run(part) => write!(f, "{part} failed"),
            Error::Replaced => f.write_str("a later process has the same data address"),
            Error::Write(file) => write!(f, "{file} could not be written"),
            Error::Read(file) => write!(f, "{file} could not be read"),
            Error::IdNotFound(id, lines) => {
                write!(f, "none of {lines} lines names the request or flow {id}")
            }
            Error::Request(addr) => write!(f, "{addr} could not be asked"),
        }
    }
}

impl StdError for Error {}

/// A report on one line: what failed, then each cause and attachment.
pub fn describe(report: &Report<Error>) -> String {
    let parts = report.frames().filter_map(|frame| match frame.kind() {
        FrameKind::Context(context) => Some(context.to_string()),
        FrameKind::Attachment(AttachmentKind::Printable(attachment)) => {
            Some(attachment.to_string())
        }
        FrameKind::Attachment(_) => None,
    });
    parts.collect::<Vec<_>>().join(": ")
}
