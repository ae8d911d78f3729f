//! Why a process ends with a failure.

use std::error::Error as StdError;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

/// `RunError` says what kept a process from running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunError {
    /// An address can't be bound.
    Bind {
        /// The address.
        addr: SocketAddr,
    },
    /// The certificate or its key can't be used.
    Certificate {
        /// The file at fault.
        file: PathBuf,
    },
    /// A library refused to start.
    Start {
        /// What was to be started.
        part: &'static str,
    },
}

impl RunError {
    /// Makes a [`RunError::Bind`].
    pub fn bind(addr: SocketAddr) -> RunError {
        RunError::Bind { addr }
    }

    /// Makes a [`RunError::Certificate`].
    pub fn certificate(file: &Path) -> RunError {
        RunError::Certificate {
            file: file.to_owned(),
        }
    }

    /// Makes a [`RunError::Start`].
    pub fn start(part: &'static str) -> RunError {
        RunError::Start { part }
    }
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RunError::Bind { addr } => write!(f, "can't bind {addr}"),
            RunError::Certificate { file } => write!(f, "can't use {}", file.display()),
            RunError::Start { part } => write!(f, "can't start the {part}"),
        }
    }
}

impl StdError for RunError {}
