//! The text format shared by both lists.
//!
//! ```text
//! list plans
//! generation 7
//! change 5d0c8a1be2f94730
//! # Lines that start with '#' and empty lines are skipped.
//! customer chitwan-agrovet plan=shop token=<64 hex digits>
//! ```
//!
//! The first three lines that aren't skipped are the header. Each further line
//! consists of a keyword, names and `key=value` fields. `generation` increases by
//! one with each accepted change, and `change` is the random id of that change.
//! The text thus contains its own revision, however it is transferred.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::errors::Error;
use crate::errors::Result;
use crate::lists::ListKind;

/// Maximum length of a list, in octets: the platform stores values of up to a
/// megabyte.
pub const MAX_LIST_LEN: usize = 1_000_000;

/// Maximum length of a customer, plan or service name, in octets.
pub const MAX_NAME_LEN: usize = 64;

/// Number of upper bits of the change id in [`Revision::number`].
pub const CHANGE_BITS: u32 = 8;

/// Maximum generation, which fills the remaining bits of [`Revision::number`].
const MAX_GENERATION: u64 = (1 << (u32::BITS - CHANGE_BITS)) - 1;

/// `ChangeId` identifies one change of a list: 64 random bits, written as 16 hex
/// digits.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ChangeId(pub u64);

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for ChangeId {
    type Err = Error;

    fn from_str(text: &str) -> Result<ChangeId> {
        let valid = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let id = u64::from_str_radix(text, 16).ok().filter(|_| valid);
        id.map(ChangeId)
            .ok_or_else(|| Error::malformed(format!("change {text:?}, expected 16 hex digits")))
    }
}

/// `Revision` identifies a version of one list. Versions are ordered by
/// generation, then by change id.
///
/// Two changes have the same generation only after the platform was restored to
/// an older state. The change id then gives every process the same order.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Number of accepted changes, from 1; 0 means no list.
    pub generation: u64,
    /// Id of the change that produced this version.
    pub change: ChangeId,
}

impl Revision {
    /// Returns the revision as one number for heartbeats: the generation, followed
    /// by the eight upper bits of the change id. A higher revision never has a
    /// lower number, but two revisions may have the same number.
    pub fn number(self) -> u32 {
        let change = self.change.0 >> (u64::BITS - CHANGE_BITS);
        let number = (self.generation << CHANGE_BITS) | change;
        u32::try_from(number).unwrap_or(u32::MAX)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.generation, self.change)
    }
}

/// `Item` is one line of a list after the header, split into words.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Item<'a> {
    /// Line number, from 1.
    pub(crate) line: usize,
    /// The keyword, names and fields. There is at least a keyword.
    words: Vec<&'a str>,
}

impl<'a> Item<'a> {
    pub(crate) fn keyword(&self) -> &'a str {
        self.words[0]
    }

    /// Returns the `N` names after the keyword.
    ///
    /// # Errors
    ///
    /// [`Error::Line`] with `syntax` if the line has another number of names.
    pub(crate) fn names<const N: usize>(&self, syntax: &str) -> Result<[&'a str; N]> {
        let names: Vec<&str> = self.words[1..]
            .iter()
            .copied()
            .take_while(|word| !word.contains('='))
            .collect();
        names
            .try_into()
            .map_err(|_| self.error(format!("expected {syntax}")))
    }

    /// Returns the fields after the first `names` names as key and value.
    ///
    /// # Errors
    ///
    /// [`Error::Line`] for a word without `=` or a key that isn't in `keys`.
    pub(crate) fn fields(&self, names: usize, keys: &[&str]) -> Result<Vec<(&'a str, &'a str)>> {
        let mut fields = Vec::new();
        for &word in &self.words[1 + names..] {
            let Some((key, value)) = word.split_once('=') else {
                return Err(self.error(format!("{word:?}, expected key=value")));
            };
            if !keys.contains(&key) {
                return Err(self.error(format!("unknown field {key:?}")));
            }
            fields.push((key, value));
        }
        Ok(fields)
    }

    /// Returns the value of `key`.
    ///
    /// # Errors
    ///
    /// [`Error::Line`] if `key` doesn't occur exactly once.
    pub(crate) fn value(&self, fields: &[(&'a str, &'a str)], key: &str) -> Result<&'a str> {
        let mut values = fields.iter().filter(|(k, _)| *k == key).map(|(_, v)| *v);
        match (values.next(), values.next()) {
            (Some(value), None) => Ok(value),
            (None, _) => Err(self.error(format!("missing field {key:?}"))),
            (Some(_), Some(_)) => Err(self.error(format!("duplicate field {key:?}"))),
        }
    }

    /// Returns the value of `key` as a number.
    ///
    /// # Errors
    ///
    /// [`Error::Line`] if `key` doesn't occur exactly once or its value isn't a
    /// number in `min..=max`.
    pub(crate) fn number(
        &self,
        fields: &[(&'a str, &'a str)],
        key: &str,
        min: u32,
        max: u32,
    ) -> Result<u32> {
        let text = self.value(fields, key)?;
        text.parse::<u32>()
            .ok()
            .filter(|n| (min..=max).contains(n))
            .ok_or_else(|| self.error(format!("{key}={text}, expected {min} to {max}")))
    }

    /// Returns a customer, plan or service name as a string.
    ///
    /// # Errors
    ///
    /// [`Error::Line`] if the name is empty, is longer than [`MAX_NAME_LEN`], or has
    /// characters other than a-z, 0-9 and `-`.
    pub(crate) fn checked_name(&self, name: &str) -> Result<String> {
        let valid_len = (1..=MAX_NAME_LEN).contains(&name.len());
        let valid_chars = name
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
        if !valid_len || !valid_chars {
            return Err(self.error(format!(
                "name {name:?}, expected 1 to {MAX_NAME_LEN} of a-z, 0-9 and '-'"
            )));
        }
        Ok(name.to_owned())
    }

    /// Makes an [`Error::Line`] for this line.
    pub(crate) fn error(&self, reason: impl Into<String>) -> Error {
        Error::line(self.line, reason)
    }
}

/// `Document` is the text of a list, split into header and items.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Document<'a> {
    pub(crate) revision: Revision,
    pub(crate) items: Vec<Item<'a>>,
}

impl<'a> Document<'a> {
    /// Splits `text` and validates its header.
    ///
    /// # Errors
    ///
    /// [`Error::Line`] if the header is malformed or not that of `kind`, or if
    /// the text is longer than [`MAX_LIST_LEN`].
    pub(crate) fn parse(kind: ListKind, text: &'a str) -> Result<Document<'a>> {
        if text.len() > MAX_LIST_LEN {
            let reason = format!("{} octets, expected at most {MAX_LIST_LEN}", text.len());
            return Err(Error::line(1, reason));
        }

        let mut items = text.lines().enumerate().filter_map(|(n, line)| {
            let words: Vec<&str> = line.split_whitespace().collect();
            let relevant = words.first().is_some_and(|word| !word.starts_with('#'));
            relevant.then_some(Item { line: n + 1, words })
        });

        let (item, name) = header(items.next(), "list")?;
        if name != kind.as_str() {
            return Err(item.error(format!("list {name}, expected list {kind}")));
        }
        let (item, generation) = header(items.next(), "generation")?;
        let generation = generation
            .parse()
            .map_err(|_| item.error(format!("generation {generation:?}, expected a number")))?;
        if !(1..=MAX_GENERATION).contains(&generation) {
            let reason = format!("generation {generation}, expected 1 to {MAX_GENERATION}");
            return Err(item.error(reason));
        }
        let (item, change) = header(items.next(), "change")?;
        let change = change
            .parse()
            .map_err(|e: Error| item.error(e.to_string()))?;

        Ok(Document {
            revision: Revision { generation, change },
            items: items.collect(),
        })
    }
}

/// Returns the header line `item` and its value.
///
/// # Errors
///
/// [`Error::Line`] if the line is missing or doesn't have the form `keyword value`.
fn header<'a>(item: Option<Item<'a>>, keyword: &str) -> Result<(Item<'a>, &'a str)> {
    let Some(item) = item else {
        return Err(Error::line(1, format!("missing line \"{keyword} …\"")));
    };
    match item.words[..] {
        [word, value] if word == keyword => Ok((item, value)),
        _ => Err(item.error(format!("expected \"{keyword} …\""))),
    }
}

/// Returns the revision in the header of `text`.
///
/// # Errors
///
/// [`Error::Line`] if the header is malformed or not that of `kind`, or if the
/// text is longer than [`MAX_LIST_LEN`].
pub fn revision(kind: ListKind, text: &str) -> Result<Revision> {
    Document::parse(kind, text).map(|document| document.revision)
}

/// Returns `text` with the revision in its header replaced by `revision`. All
/// other lines, comments included, keep their order and spacing. Every line of the
/// result ends with `\n`.
pub fn with_revision(text: &str, revision: Revision) -> String {
    let mut out = String::with_capacity(text.len() + 32);
    let mut remaining = ["generation", "change"].into_iter().peekable();
    for line in text.lines() {
        let keyword = line.split_whitespace().next();
        match remaining.peek() {
            Some(&key) if keyword == Some(key) => {
                remaining.next();
                out += &match key {
                    "generation" => format!("generation {}", revision.generation),
                    _ => format!("change {}", revision.change),
                };
            }
            _ => out += line,
        }
        out.push('\n');
    }
    out
}
