//! Faults of a settings file. They are collected, so that an operator sees all of them at once.

use std::error::Error;
use std::fmt;
use std::path::Path;
use std::path::PathBuf;

/// Description of a valid value, for fault messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expected(pub String);

impl Expected {
    /// Creates an expectation from a noun phrase, such as "a readable file".
    pub fn new(description: impl Into<String>) -> Expected {
        Expected(description.into())
    }
}

/// One reason why a settings file is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The file that was read, or `env:NAME` for an environment variable.
    pub file: PathBuf,
    /// Name of the section, empty if the fault concerns the whole file.
    pub section: String,
    /// Name of the key, empty if the fault concerns the whole section.
    pub key: String,
    /// Text that was read, `None` if the value or section is missing.
    pub read: Option<String>,
    /// Description of a valid value.
    pub expected: Expected,
}

impl Fault {
    /// Creates a fault that concerns a whole file.
    pub(crate) fn file(file: &Path, read: impl Into<String>, expected: &str) -> Fault {
        Fault {
            file: file.to_path_buf(),
            section: String::new(),
            key: String::new(),
            read: Some(read.into()),
            expected: Expected::new(expected),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file.display())?;
        if !self.section.is_empty() {
            write!(f, ": [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        match &self.read {
            Some(read) => write!(f, ": read \"{read}\"")?,
            None => f.write_str(": missing")?,
        }
        write!(f, ", expected {}", self.expected.0)
    }
}

/// All faults found in one pass, at least one. Displayed with one fault per line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            fault.fmt(f)?;
        }
        Ok(())
    }
}

impl Error for Faults {}
