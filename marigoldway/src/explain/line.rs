//! One line of a log, read back.

use indexmap::IndexMap;

/// `Line` is one event of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// When, in Unix milliseconds by the instance's clock.
    pub time: u64,
    /// The instance.
    pub instance: String,
    /// What happened.
    pub event: String,
    /// What decided it, and its outcome.
    pub values: IndexMap<String, String>,
    /// The pairs as they stand in the log, from the event on.
    pub text: String,
}

impl Line {
    /// Reads a line, or gives `None` for one that no process of the system
    /// wrote. Whatever stands before its time is left out.
    pub fn parse(text: &str) -> Option<Line> {
        let start = text.find("time=")?;
        let text = &text[start..];
        let event = text.find(" event=")? + 1;
        let values: IndexMap<String, String> = text
            .split_ascii_whitespace()
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        Some(Line {
            time: millis(values.get("time")?)?,
            instance: values.get("instance")?.clone(),
            event: values.get("event")?.clone(),
            text: text[event..].trim_end().to_owned(),
            values,
        })
    }

    /// A value by its name.
    pub fn value(&self, name: &str) -> Option<&str> {
        self.values.get(name).map(String::as_str)
    }
}

fn millis(text: &str) -> Option<u64> {
    let (seconds, rest) = text.split_once('.')?;
    let seconds: u64 = seconds.parse().ok()?;
    let rest: u64 = rest.get(..3)?.parse().ok()?;
    seconds.checked_mul(1_000)?.checked_add(rest)
}
