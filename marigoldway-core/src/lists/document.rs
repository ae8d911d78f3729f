//! The text form shared by both lists.
//!
//! ```text
//! list plans
//! generation 7
//! change 5d0c8a1be2f94730
//! # Lines that start with '#' and empty lines are skipped.
//! customer chitwan-agrovet plan=shop token=<64 hex digits>
//! ```
//!
//! The first three lines that count are the header. Every further line is a
//! keyword, its names, then `key=value` fields. `generation` rises by one with
//! each accepted change and `change` is the random id of that change, so a list
//! carries its own revision wherever it travels.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::errors::Error;
use crate::errors::Result;
use crate::lists::ListKind;

/// Longest list in octets: the platform holds values of up to a megabyte.
pub const MAX_LIST_LEN: usize = 1_000_000;

/// Longest name of a customer, plan or service in octets.
pub const MAX_NAME_LEN: usize = 64;

/// Bits of the change id that a [`Revision`]'s number carries.
pub const CHANGE_BITS: u32 = 8;

/// Highest generation, which fills the other bits of a [`Revision`]'s number.
const MAX_GENERATION: u64 = (1 << (u32::BITS - CHANGE_BITS)) - 1;

/// `ChangeId` names one change of a list: 64 random bits, 16 hex digits.
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
        let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let id = u64::from_str_radix(text, 16).ok().filter(|_| digits);
        id.map(ChangeId)
            .ok_or_else(|| Error::malformed(format!("change {text:?}, expected 16 hex digits")))
    }
}

/// `Revision` orders the states of one list: by generation, then by change id.
///
/// Two changes of one generation exist only after the platform was restored to
/// an older state. The change id then decides alike everywhere.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// Number of accepted changes, from 1; 0 stands for no list.
    pub generation: u64,
    /// The change that made this state.
    pub change: ChangeId,
}

impl Revision {
    /// The revision as one number for heartbeats: the generation above the
    /// eight upper bits of the change id. A higher revision never has a lower
    /// number.
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

/// `Item` is one line of a list below the header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Item<'a> {
    /// Line number from 1.
    pub(crate) line: usize,
    words: Vec<&'a str>,
}

impl<'a> Item<'a> {
    pub(crate) fn keyword(&self) -> &'a str {
        self.words[0]
    }

    /// The names that follow the keyword, of which there must be `N`.
    pub(crate) fn names<const N: usize>(&self, form: &str) -> Result<[&'a str; N]> {
        let names: Vec<&str> = self.words[1..]
            .iter()
            .copied()
            .take_while(|word| !word.contains('='))
            .collect();
        names
            .try_into()
            .map_err(|_| self.fault(format!("expected {form}")))
    }

    /// The fields after `names` names. Every key must be one of `keys`.
    pub(crate) fn fields(&self, names: usize, keys: &[&str]) -> Result<Vec<(&'a str, &'a str)>> {
        let mut fields = Vec::new();
        for &word in &self.words[1 + names..] {
            let Some((key, value)) = word.split_once('=') else {
                return Err(self.fault(format!("{word:?}, expected key=value")));
            };
            if !keys.contains(&key) {
                return Err(self.fault(format!("unknown field {key:?}")));
            }
            fields.push((key, value));
        }
        Ok(fields)
    }

    /// The one value of `key`.
    pub(crate) fn value(&self, fields: &[(&'a str, &'a str)], key: &str) -> Result<&'a str> {
        let mut values = fields.iter().filter(|(k, _)| *k == key).map(|(_, v)| *v);
        match (values.next(), values.next()) {
            (Some(value), None) => Ok(value),
            (None, _) => Err(self.fault(format!("field {key:?} is missing"))),
            (Some(_), Some(_)) => Err(self.fault(format!("field {key:?} stands twice"))),
        }
    }

    /// The one value of `key` as a number in `min..=max`.
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
            .ok_or_else(|| self.fault(format!("{key}={text}, expected {min} to {max}")))
    }

    /// Checks that `name` may name a customer, plan or service.
    pub(crate) fn checked_name(&self, name: &str) -> Result<String> {
        let fits = (1..=MAX_NAME_LEN).contains(&name.len());
        let plain = name
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
        if !fits || !plain {
            return Err(self.fault(format!(
                "name {name:?}, expected 1 to {MAX_NAME_LEN} of a-z, 0-9 and '-'"
            )));
        }
        Ok(name.to_owned())
    }

    pub(crate) fn fault(&self, reason: impl Into<String>) -> Error {
        Error::line(self.line, reason)
    }
}

/// `Document` is a list taken apart into its header and its lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Document<'a> {
    pub(crate) revision: Revision,
    pub(crate) items: Vec<Item<'a>>,
}

impl<'a> Document<'a> {
    /// Takes `text` apart.
    ///
    /// # Errors
    ///
    /// [`Error::Line`] if the header is not that of `kind`, or the text is too
    /// long.
    pub(crate) fn parse(kind: ListKind, text: &'a str) -> Result<Document<'a>> {
        if text.len() > MAX_LIST_LEN {
            let reason = format!("{} octets, expected at most {MAX_LIST_LEN}", text.len());
            return Err(Error::line(1, reason));
        }

        let mut items = text.lines().enumerate().filter_map(|(n, line)| {
            let words: Vec<&str> = line.split_whitespace().collect();
            let counts = words.first().is_some_and(|word| !word.starts_with('#'));
            counts.then_some(Item { line: n + 1, words })
        });

        let (item, name) = header(items.next(), "list")?;
        if name != kind.as_str() {
            return Err(item.fault(format!("list {name}, expected list {kind}")));
        }
        let (item, generation) = header(items.next(), "generation")?;
        let generation = generation
            .parse()
            .map_err(|_| item.fault(format!("generation {generation:?}, expected a number")))?;
        if !(1..=MAX_GENERATION).contains(&generation) {
            let reason = format!("generation {generation}, expected 1 to {MAX_GENERATION}");
            return Err(item.fault(reason));
        }
        let (item, change) = header(items.next(), "change")?;
        let change = change
            .parse()
            .map_err(|e: Error| item.fault(e.to_string()))?;

        Ok(Document {
            revision: Revision { generation, change },
            items: items.collect(),
        })
    }
}

fn header<'a>(item: Option<Item<'a>>, keyword: &str) -> Result<(Item<'a>, &'a str)> {
    let Some(item) = item else {
        return Err(Error::line(1, format!("line \"{keyword} …\" is missing")));
    };
    match item.words[..] {
        [word, value] if word == keyword => Ok((item, value)),
        _ => Err(item.fault(format!("expected \"{keyword} …\""))),
    }
}

/// The revision that the header of `text` states.
///
/// # Errors
///
/// [`Error::Line`] if the header is not that of `kind`.
pub fn revision(kind: ListKind, text: &str) -> Result<Revision> {
    Document::parse(kind, text).map(|document| document.revision)
}

/// Gives `text` with `revision` in place of the one in its header. Comments,
/// order and spacing of all other lines stay.
pub fn with_revision(text: &str, revision: Revision) -> String {
    let mut out = String::with_capacity(text.len() + 32);
    let mut left = ["generation", "change"].into_iter().peekable();
    for line in text.lines() {
        let keyword = line.split_whitespace().next();
        match left.peek() {
            Some(&key) if keyword == Some(key) => {
                left.next();
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
