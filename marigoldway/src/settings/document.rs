//! Parses INI documents and validates their values.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use indexmap::IndexMap;
use ini::Ini;
use ini::ParseOption;

use crate::settings::faults::Expected;
use crate::settings::faults::Fault;
use crate::settings::faults::Faults;

/// Section name, in faults, of keys that precede the first section.
const GENERAL: &str = "before the first section";

/// Sections of an INI file by name, with unvalidated text values.
#[derive(Clone, Debug, Default)]
pub struct Document {
    file: PathBuf,
    sections: IndexMap<String, IndexMap<String, String>>,
    /// One fault for each repetition of a key.
    repeated: Vec<Fault>,
}

impl Document {
    /// Reads and parses a file.
    ///
    /// Fails with a single fault if the file can't be read or isn't INI.
    pub fn load(file: &Path) -> Result<Document, Faults> {
        let text = fs::read_to_string(file)
            .map_err(|err| Faults(vec![Fault::file(file, err.to_string(), "a readable file")]))?;
        Document::parse(file, &text)
    }

    /// Parses the text of an INI file. Faults refer to it as `file`. A repeated key isn't an error
    /// here, but becomes a fault when the settings are read.
    pub fn parse(file: &Path, text: &str) -> Result<Document, Faults> {
        // Quotes and escapes are not interpreted, so that paths are read verbatim.
        let options = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(text, options).map_err(|err| {
            let read = format!("line {}, column {}: {}", err.line, err.col, err.msg);
            Faults(vec![Fault::file(file, read, "INI text")])
        })?;

        let mut document = Document {
            file: file.to_path_buf(),
            ..Document::default()
        };
        for (section, values) in &ini {
            if section.is_none() && values.is_empty() {
                continue;
            }
            let section = section.unwrap_or(GENERAL);
            document.sections.entry(section.to_owned()).or_default();
            for (key, value) in values {
                document.insert(section, key, value);
            }
        }
        Ok(document)
    }

    /// Returns the file that was read, or `env:NAME` for an environment variable.
    pub fn file(&self) -> &Path {
        &self.file
    }

    /// Returns whether the file has a section of this name.
    pub fn has_section(&self, name: &str) -> bool {
        self.sections.contains_key(name)
    }

    /// Returns a value verbatim, or `None` if the section or the key is missing.
    pub fn value(&self, section: &str, key: &str) -> Option<&str> {
        self.sections.get(section)?.get(key).map(String::as_str)
    }

    /// Iterates over the keys and values of a section in file order.
    pub fn values(&self, section: &str) -> impl Iterator<Item = (&str, &str)> {
        let values = self.sections.get(section).into_iter().flatten();
        values.map(|(key, value)| (key.as_str(), value.as_str()))
    }

    /// Inserts a value, or adds a fault if the section has the key already.
    fn insert(&mut self, section: &str, key: &str, value: &str) {
        let values = self.sections.entry(section.to_owned()).or_default();
        if values.contains_key(key) {
            self.repeated.push(Fault {
                file: self.file.clone(),
                section: section.to_owned(),
                key: key.to_owned(),
                read: Some(value.to_owned()),
                expected: Expected::new("each key once"),
            });
            return;
        }
        values.insert(key.to_owned(), value.to_owned());
    }
}

/// Reads the sections of a document and collects faults until [`Reader::finish`].
pub(crate) struct Reader<'a> {
    document: &'a Document,
    known_sections: Vec<String>,
    faults: Vec<Fault>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(document: &'a Document) -> Reader<'a> {
        Reader {
            document,
            known_sections: Vec::new(),
            faults: document.repeated.clone(),
        }
    }

    /// Reads one section with `read`, then adds a fault for each key that `read` didn't request.
    pub(crate) fn section<T>(&mut self, name: &str, read: impl FnOnce(&mut Section<'_>) -> T) -> T {
        let mut section = Section {
            file: &self.document.file,
            name,
            values: self.document.sections.get(name),
            requested: Vec::new(),
            faults: &mut self.faults,
        };
        let value = read(&mut section);
        section.reject_unknown();
        self.known_sections.push(name.to_owned());
        value
    }

    /// Returns the section names that start with `prefix` and a space, in file order.
    pub(crate) fn names_with_prefix(&self, prefix: &str) -> Vec<&'a str> {
        let names = self.document.sections.keys();
        names
            .filter(|name| {
                name.strip_prefix(prefix)
                    .is_some_and(|rest| rest.starts_with(' '))
            })
            .map(String::as_str)
            .collect()
    }

    pub(crate) fn file(&self) -> &'a Path {
        &self.document.file
    }

    pub(crate) fn fault(&mut self, section: &str, key: &str, read: Option<&str>, expected: &str) {
        self.faults.push(Fault {
            file: self.document.file.clone(),
            section: section.to_owned(),
            key: key.to_owned(),
            read: read.map(str::to_owned),
            expected: Expected::new(expected),
        });
    }

    pub(crate) fn add_faults(&mut self, faults: Faults) {
        self.faults.extend(faults.0);
    }

    /// Adds a fault for each section that was not read. Then returns `value`, or all faults if
    /// there are any. `sections` describes the permitted sections, for the faults.
    pub(crate) fn finish<T>(mut self, value: Option<T>, sections: &str) -> Result<T, Faults> {
        let document = self.document;
        for name in document.sections.keys() {
            if !self.known_sections.contains(name) {
                self.fault(name, "", Some(name), sections);
            }
        }
        match value {
            Some(value) if self.faults.is_empty() => Ok(value),
            _ => Err(Faults(self.faults)),
        }
    }
}

/// Reads and validates the values of one section.
pub(crate) struct Section<'a> {
    file: &'a Path,
    name: &'a str,
    values: Option<&'a IndexMap<String, String>>,
    requested: Vec<&'static str>,
    faults: &'a mut Vec<Fault>,
}

impl Section<'_> {
    /// Returns the directory of the file, to which relative paths refer.
    pub(crate) fn dir(&self) -> PathBuf {
        self.file.parent().unwrap_or(Path::new("")).to_path_buf()
    }

    /// Reads a required value. Returns `None` after a fault.
    pub(crate) fn required<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&str) -> Result<T, Expected>,
    ) -> Option<T> {
        match self.value(key) {
            Some(text) => self.check(key, &text, &parse),
            None => {
                // The parser's error for an empty text describes the expected value.
                let expected = parse("").err();
                self.fault(key, None, expected.unwrap_or(Expected::new("a value")));
                None
            }
        }
    }

    /// Reads an optional value. The outer option is `None` after a fault. The inner option is
    /// `None` if there is no value.
    pub(crate) fn optional<T>(
        &mut self,
        key: &'static str,
        parse: impl Fn(&str) -> Result<T, Expected>,
    ) -> Option<Option<T>> {
        match self.value(key) {
            Some(text) => self.check(key, &text, &parse).map(Some),
            None => Some(None),
        }
    }

    /// Adds a fault for a value that was read before.
    pub(crate) fn reject(&mut self, key: &str, expected: &str) {
        let read = self.values.and_then(|values| values.get(key)).cloned();
        self.fault(key, read.as_deref(), Expected::new(expected));
    }

    fn value(&mut self, key: &'static str) -> Option<String> {
        self.requested.push(key);
        self.values.and_then(|values| values.get(key)).cloned()
    }

    fn check<T>(
        &mut self,
        key: &str,
        text: &str,
        parse: impl Fn(&str) -> Result<T, Expected>,
    ) -> Option<T> {
        match parse(text) {
            Ok(value) => Some(value),
            Err(expected) => {
                self.fault(key, Some(text), expected);
                None
            }
        }
    }

    fn reject_unknown(&mut self) {
        let Some(values) = self.values else {
            return;
        };
        let expected = format!("one of the keys {}", self.requested.join(", "));
        for (key, value) in values {
            if !self.requested.contains(&key.as_str()) {
                self.fault(key, Some(value), Expected::new(expected.clone()));
            }
        }
    }

    fn fault(&mut self, key: &str, read: Option<&str>, expected: Expected) {
        self.faults.push(Fault {
            file: self.file.to_path_buf(),
            section: self.name.to_owned(),
            key: key.to_owned(),
            read: read.map(str::to_owned),
            expected,
        });
    }
}
