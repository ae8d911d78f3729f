//! Error type of the process and of its commands.

use std::error::Error as StdError;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use error_stack::AttachmentKind;
use error_stack::FrameKind;
use error_stack::Report;

/// `Result` whose error is a report with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Report<Error>>;

/// Operation that failed. Its causes are attached to the report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The settings are invalid; the faults are attached as the cause.
    Settings,
    /// The named component of the process could not start.
    Start(&'static str),
    /// The address could not be bound.
    Bind(SocketAddr),
    /// The certificate or private key at this path could not be used.
    Certificate(PathBuf),
    /// The named component of the process failed while it ran.
    Run(&'static str),
    /// A process with the same data address started later and has replaced this one in the roster,
    /// the list of all entries and agents.
    Replaced,
    /// The file or directory could not be written.
    Write(String),
    /// A request to the process at this address failed.
    Request(String),
    /// The file or standard input could not be read.
    Read(String),
    /// No log line contains the ID; the number is the count of lines searched.
    IdNotFound(String, usize),
}

impl Error {
    /// Creates an [`Error::Certificate`] for `file`.
    pub fn certificate(file: &Path) -> Error {
        Error::Certificate(file.to_owned())
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Settings => f.write_str("the settings are invalid"),
            Error::Start(part) => write!(f, "{part} could not start"),
            Error::Bind(addr) => write!(f, "{addr} could not be bound"),
            Error::Certificate(file) => write!(f, "{} could not be used", file.display()),
            Error::Run(part) => write!(f, "{part} failed"),
            Error::Replaced => {
                f.write_str("a process that started later has the same data address")
            }
            Error::Write(file) => write!(f, "{file} could not be written"),
            Error::Read(file) => write!(f, "{file} could not be read"),
            Error::IdNotFound(id, lines) => {
                write!(f, "none of {lines} lines names the request or flow {id}")
            }
            Error::Request(addr) => write!(f, "the request to {addr} failed"),
        }
    }
}

impl StdError for Error {}

/// Formats a report on one line: what failed, then each cause and attachment, separated by colons.
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
