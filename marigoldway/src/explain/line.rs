//! Parser for log lines.

use indexmap::IndexMap;

/// A parsed log line: one event of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Time of the event in Unix milliseconds, by the clock of the instance.
    pub time: u64,
    /// Name of the instance that wrote the line.
    pub instance: String,
    /// Name of the event.
    pub event: String,
    /// All key=value pairs of the line by key, such as the inputs of a decision and its outcome.
    pub values: IndexMap<String, String>,
    /// Text of the line from `event=` on, without trailing white space.
    pub text: String,
}

impl Line {
    /// Parses a line. Ignores what precedes `time=`, such as the prefix of a log collector. Returns
    /// `None` for a line without a time, an instance or an event, such as the line of another
    /// program.
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
            time: parse_millis(values.get("time")?)?,
            instance: values.get("instance")?.clone(),
            event: values.get("event")?.clone(),
            text: text[event..].trim_end().to_owned(),
            values,
        })
    }

    /// Returns the value of a key, or `None` if the line doesn't contain the key.
    pub fn value(&self, name: &str) -> Option<&str> {
        self.values.get(name).map(String::as_str)
    }
}

/// Converts seconds with at least three decimals to milliseconds. Ignores further decimals.
fn parse_millis(text: &str) -> Option<u64> {
    let (seconds, decimals) = text.split_once('.')?;
    let seconds: u64 = seconds.parse().ok()?;
    let millis: u64 = decimals.get(..3)?.parse().ok()?;
    seconds.checked_mul(1_000)?.checked_add(millis)
}
