//! The way of one flow through entries and agents, from their logs.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::explain::line::Line;

/// Milliseconds around a request's first line in which other events of the same
/// instances may matter: the longest timeout of most routes.
const MARGIN_MS: u64 = 3_000;

/// `Trace` is what the logs tell of a request or a flow.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trace {
    /// The flows that the request was sent on, oldest first.
    pub flows: Vec<String>,
    /// The lines that name them, in the order of time.
    pub lines: Vec<Line>,
    /// What may be missing, or lies beside the way: one sentence each.
    pub notes: Vec<String>,
    /// What the last line means.
    pub cause: String,
}

/// Follows a request's id, or a flow written as in the logs. `None` if no line
/// names it.
pub fn follow(lines: &[Line], id: &str) -> Option<Trace> {
    let names = |line: &&Line| line.value("request") == Some(id) || line.value("flow") == Some(id);
    let flows: IndexSet<&str> = lines
        .iter()
        .filter(names)
        .filter_map(|line| line.value("flow"))
        .collect();
    if flows.is_empty() {
        return None;
    }
    let of_flow = |line: &&Line| line.value("flow").is_some_and(|flow| flows.contains(flow));
    let mut path: Vec<Line> = lines.iter().filter(of_flow).cloned().collect();
    path.sort_by_key(|line| line.time);
    let notes = notes(lines, &path, id);
    let cause = cause(&path, id);
    Some(Trace {
        flows: flows.into_iter().map(str::to_owned).collect(),
        lines: path,
        notes,
        cause,
    })
}

/// What the instances on the way said of lines left out, of starts and of lost
/// dependencies while the request was on its way, and what has no line.
fn notes(lines: &[Line], path: &[Line], id: &str) -> Vec<String> {
    let of_request = |line: &&Line| line.value("request") == Some(id);
    let Some(first) = path.iter().find(of_request).or(path.first()) else {
        return Vec::new();
    };
    let span = first.time.saturating_sub(MARGIN_MS)..=first.time + MARGIN_MS;
    let instances: IndexSet<&str> = path.iter().map(|line| line.instance.as_str()).collect();
    let mut notes = Vec::new();
    let mut left_out: IndexMap<&str, u64> = IndexMap::new();
    for line in lines {
        if !span.contains(&line.time) || !instances.contains(line.instance.as_str()) {
            continue;
        }
        let told = match line.event.as_str() {
            "lines-left-out" => {
                let count = line.value("count").and_then(|count| count.parse().ok());
                *left_out.entry(&line.instance).or_default() += count.unwrap_or(1);
                continue;
            }
            "start" => "started",
            "stop" | "leave" => "left",
            "store-lost" => "lost the store",
            "target-state" => "saw its target change",
            _ => continue,
        };
        let text = &line.text;
        notes.push(format!(
            "{} {told} at {}: {text}",
            line.instance,
            clock(line.time)
        ));
    }
    for (instance, count) in left_out {
        notes.push(format!("{instance} left {count} lines out"));
    }
    if !path.iter().any(|line| line.event.starts_with("request-")) {
        notes.push("no agent's line names a request of the flow".to_owned());
    }
    if !path.iter().any(|line| line.event == "flow-placed") {
        notes.push("no entry's line places the flow: its log is missing or was cut".to_owned());
    }
    notes
}

/// What the last line that decides anything means.
fn cause(path: &[Line], id: &str) -> String {
    let request = path
        .iter()
        .rposition(|line| line.value("request") == Some(id));
    let after = &path[request.unwrap_or(0)..];
    let has = |event: &str| after.iter().rev().find(|line| line.event == event);
    if let Some(line) = has("flow-reset") {
        let reason = line.value("reason").unwrap_or("unknown");
        return format!("{} broke the flow off: {reason}", line.instance);
    }
    if let Some(line) = has("request-given-up") {
        return format!("{} held the request until its timeout", line.instance);
    }
    if let Some(line) = has("request-answered") {
        let took = line.value("took-ms").unwrap_or("unknown");
        return format!(
            "the target beside {} answered after {took} ms",
            line.instance
        );
    }
    if let Some(line) = has("request-released").or(has("request-let-in")) {
        return format!("the target beside {} did not answer", line.instance);
    }
    if let Some(line) = has("request-held") {
        return format!("{} still held the request", line.instance);
    }
    if let Some(line) = has("flow-held") {
        return format!("the flow opened at {}, and no request came", line.instance);
    }
    if let Some(line) = has("flow-refused") {
        let reason = line.value("reason").unwrap_or("unknown");
        return format!("{} refused the flow: {reason}", line.instance);
    }
    match has("packet-dropped") {
        Some(line) => {
            let reason = line.value("reason").unwrap_or("unknown");
            format!("{} let the packet fall: {reason}", line.instance)
        }
        None => "the flow was placed, and no agent has a line of it".to_owned(),
    }
}

/// A time within its day, as it stands in the logs.
pub fn clock(millis: u64) -> String {
    format!("{}.{:03}", millis / 1_000, millis % 1_000)
}
