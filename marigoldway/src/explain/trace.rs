//! Traces a request or a flow through the logs of entries and agents.
//!
//! An entry is a load balancer that forwards packets to agents. An agent admits requests to the
//! target beside it.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::explain::line::Line;

/// Time before and after the first line of a request, in milliseconds, within which other events of
/// the same instances are reported. Most routes have no longer timeout.
const MARGIN_MS: u64 = 3_000;

/// Path of a request or a flow, as found in the logs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trace {
    /// Flows that carried the request, oldest first.
    pub flows: Vec<String>,
    /// Log lines of `flows`, ordered by time.
    pub events: Vec<Line>,
    /// Missing lines, and other events that may have affected the request, one sentence each.
    pub notes: Vec<String>,
    /// Outcome of the request or flow and its cause, as one sentence.
    pub cause: String,
}

/// Traces `id`, a request ID or a flow as written in the logs. Returns `None` if no line with a
/// flow contains it.
pub fn follow(lines: &[Line], id: &str) -> Option<Trace> {
    let matches =
        |line: &&Line| line.value("request") == Some(id) || line.value("flow") == Some(id);
    let flows: IndexSet<&str> = lines
        .iter()
        .filter(matches)
        .filter_map(|line| line.value("flow"))
        .collect();
    if flows.is_empty() {
        return None;
    }
    let has_traced_flow =
        |line: &&Line| line.value("flow").is_some_and(|flow| flows.contains(flow));
    let mut events: Vec<Line> = lines.iter().filter(has_traced_flow).cloned().collect();
    events.sort_by_key(|line| line.time);
    let notes = collect_notes(lines, &events, id);
    let cause = describe_cause(&events, id);
    Some(Trace {
        flows: flows.into_iter().map(str::to_owned).collect(),
        events,
        notes,
        cause,
    })
}

/// Describes what happened to the instances on the path around the time of the request: starts,
/// stops, lost connections to the store, state changes of targets and omitted log lines. Also
/// reports missing lines of the request or of the placement of its flow.
fn collect_notes(lines: &[Line], events: &[Line], id: &str) -> Vec<String> {
    let names_request = |line: &&Line| line.value("request") == Some(id);
    let Some(first) = events.iter().find(names_request).or(events.first()) else {
        return Vec::new();
    };
    let period = first.time.saturating_sub(MARGIN_MS)..=first.time + MARGIN_MS;
    let instances: IndexSet<&str> = events.iter().map(|line| line.instance.as_str()).collect();
    let mut notes = Vec::new();
    let mut omitted: IndexMap<&str, u64> = IndexMap::new();
    for line in lines {
        if !period.contains(&line.time) || !instances.contains(line.instance.as_str()) {
            continue;
        }
        let event = match line.event.as_str() {
            "lines-left-out" => {
                let count = line.value("count").and_then(|count| count.parse().ok());
                *omitted.entry(&line.instance).or_default() += count.unwrap_or(1);
                continue;
            }
            "start" => "started",
            "stop" | "leave" => "left",
            "store-lost" => "lost its connection to the store",
            "target-state" => "reported a state change of its target",
            _ => continue,
        };
        let text = &line.text;
        notes.push(format!(
            "{} {event} at {}: {text}",
            line.instance,
            clock(line.time)
        ));
    }
    for (instance, count) in omitted {
        notes.push(format!("{instance} omitted {count} log lines"));
    }
    if !events.iter().any(|line| line.event.starts_with("request-")) {
        notes.push("no agent's line contains a request of the flow".to_owned());
    }
    if !events.iter().any(|line| line.event == "flow-placed") {
        notes.push(
            "no entry's line shows the placement of the flow: the log is missing or truncated"
                .to_owned(),
        );
    }
    notes
}

/// Derives the outcome from the lines from the last one of the request on, or from all lines if
/// none names the request. Later stages of a request take precedence over earlier ones.
fn describe_cause(events: &[Line], id: &str) -> String {
    let request = events
        .iter()
        .rposition(|line| line.value("request") == Some(id));
    let candidates = &events[request.unwrap_or(0)..];
    let find = |event: &str| candidates.iter().rev().find(|line| line.event == event);
    if let Some(line) = find("flow-reset") {
        let reason = line.value("reason").unwrap_or("unknown");
        return format!("{} reset the flow: {reason}", line.instance);
    }
    if let Some(line) = find("request-given-up") {
        return format!("{} queued the request until its timeout", line.instance);
    }
    if let Some(line) = find("request-answered") {
        let took = line.value("took-ms").unwrap_or("unknown");
        return format!(
            "the target beside {} answered after {took} ms",
            line.instance
        );
    }
    if let Some(line) = find("request-released").or(find("request-let-in")) {
        return format!("the target beside {} did not answer", line.instance);
    }
    if let Some(line) = find("request-held") {
        return format!("{} still queued the request", line.instance);
    }
    if let Some(line) = find("flow-held") {
        return format!(
            "the flow opened at {}, but no request arrived",
            line.instance
        );
    }
    if let Some(line) = find("flow-refused") {
        let reason = line.value("reason").unwrap_or("unknown");
        return format!("{} refused the flow: {reason}", line.instance);
    }
    match find("packet-dropped") {
        Some(line) => {
            let reason = line.value("reason").unwrap_or("unknown");
            format!("{} dropped the packet: {reason}", line.instance)
        }
        None => "the flow was placed, but no agent logged it".to_owned(),
    }
}

/// Formats Unix milliseconds as in the logs: seconds with three decimals.
pub fn clock(millis: u64) -> String {
    format!("{}.{:03}", millis / 1_000, millis % 1_000)
}
