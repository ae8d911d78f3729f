//! Parser of the trace format that `tests/traces/README.md` describes.

use std::time::Duration;

use marigoldway_core::roster::State;

/// One line of a trace.
#[derive(Debug)]
pub struct Line {
    /// Time since the start of the trace.
    pub at: Duration,
    /// Event or expectation of the line.
    pub step: Step,
    /// Line number and text without comments, for error messages.
    pub text: String,
}

/// An event that the replay executes, or an expectation that it checks.
#[derive(Debug)]
pub enum Step {
    Start {
        name: String,
        domain: u8,
        service: Option<u16>,
    },
    Leave(String),
    Kill(String),
    Freeze(String),
    Thaw(String),
    Cut(u8),
    Heal,
    /// Probability, from 0 to 1, that a message is lost.
    Loss(f64),
    /// The named process has this state at every process that holds its record.
    ExpectState(String, State),
    ExpectPlaced(String),
    ExpectUnplaced(String),
    ExpectUnplacedOutside(u8),
    /// The service has this number of serving agents at every entry.
    ExpectServing(u16, usize),
    ExpectAgreed,
}

/// Parses a trace. The error is the number and text of the first invalid line.
pub fn parse(text: &str) -> Result<Vec<Line>, String> {
    let mut lines = Vec::new();
    for (number, line) in (1..).zip(text.lines()) {
        let line = line.split('#').next().unwrap_or_default().trim();
        if line.is_empty() {
            continue;
        }
        let text = format!("line {number}: {line}");
        let words: Vec<&str> = line.split_whitespace().collect();
        let (time, words) = words.split_first().ok_or_else(|| text.clone())?;
        let at = parse_time(time).ok_or_else(|| text.clone())?;
        let step = parse_step(words).ok_or_else(|| text.clone())?;
        if lines.last().is_some_and(|last: &Line| last.at > at) {
            return Err(text);
        }
        lines.push(Line { at, step, text });
    }
    Ok(lines)
}

/// Parses a time of the form `hours:minutes:seconds`.
fn parse_time(text: &str) -> Option<Duration> {
    let mut parts = text.split(':').map(|it| it.parse::<u64>().ok());
    let (hours, minutes, seconds) = (parts.next()??, parts.next()??, parts.next()??);
    Some(Duration::from_secs(hours * 3_600 + minutes * 60 + seconds))
}

fn parse_step(words: &[&str]) -> Option<Step> {
    let step = match words {
        ["start", "entry", name, domain] => Step::Start {
            name: (*name).to_owned(),
            domain: value(domain, "domain")?,
            service: None,
        },
        ["start", "agent", name, domain, service] => Step::Start {
            name: (*name).to_owned(),
            domain: value(domain, "domain")?,
            service: Some(value(service, "service")?),
        },
        ["leave", name] => Step::Leave((*name).to_owned()),
        ["kill", name] => Step::Kill((*name).to_owned()),
        ["freeze", name] => Step::Freeze((*name).to_owned()),
        ["thaw", name] => Step::Thaw((*name).to_owned()),
        ["cut", domain] => Step::Cut(value(domain, "domain")?),
        ["heal"] => Step::Heal,
        ["loss", percent] => Step::Loss(percent.parse::<f64>().ok()? / 100.0),
        ["expect", "state", name, state] => {
            Step::ExpectState((*name).to_owned(), parse_state(state)?)
        }
        ["expect", "placed", name] => Step::ExpectPlaced((*name).to_owned()),
        ["expect", "unplaced", name] => Step::ExpectUnplaced((*name).to_owned()),
        ["expect", "unplaced-outside", domain] => {
            Step::ExpectUnplacedOutside(value(domain, "domain")?)
        }
        ["expect", "serving", service, count] => {
            Step::ExpectServing(value(service, "service")?, count.parse().ok()?)
        }
        ["expect", "agreed"] => Step::ExpectAgreed,
        _ => return None,
    };
    Some(step)
}

/// Parses a word of the form `name=value`. Returns `None` for any other word.
fn value<T: std::str::FromStr>(word: &str, name: &str) -> Option<T> {
    let (key, value) = word.split_once('=')?;
    (key == name).then(|| value.parse().ok())?
}

fn parse_state(text: &str) -> Option<State> {
    match text {
        "starting" => Some(State::Starting),
        "serving" => Some(State::Serving),
        "leaving" => Some(State::Leaving),
        "suspect" => Some(State::Suspect),
        "down" => Some(State::Down),
        _ => None,
    }
}
