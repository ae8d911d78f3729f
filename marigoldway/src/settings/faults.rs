//! Faults of a settings file, collected so that an operator sees all at once.

use std::error::Error;
use std::fmt;
use std::path::Path;
use std::path::PathBuf;

/// `Expected` says in words what a value must look like.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Expected(pub String);

impl Expected {
    /// Makes an expectation from its words.
    pub fn new(words: impl Into<String>) -> Expected {
        Expected(words.into())
    }
}

/// `Fault` is one reason why a settings file is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The file that was read, or `env:NAME` for an environment variable.
    pub file: PathBuf,
    /// Name of the section, empty where the fault concerns the whole file.
    pub section: String,
    /// Name of the key, empty where the fault concerns the whole section.
    pub key: String,
    /// What was read, `None` where nothing was.
    pub read: Option<String>,
    /// What is expected instead.
    pub expected: Expected,
}

impl Fault {
    /// Makes a fault that concerns a whole file.
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

/// `Faults` holds every fault that was found in one go, never none.
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
