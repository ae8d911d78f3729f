//! `marigoldway explain`: traces a request or a flow through the logs of several processes.

pub mod line;
pub mod trace;

use std::fs;
use std::io;
use std::io::Read;
use std::path::PathBuf;

use error_stack::Report;
use error_stack::ResultExt;
use gumdrop::Options;

use crate::errors::Error;
use crate::errors::Result;
use crate::explain::line::Line;
use crate::explain::trace::Trace;

/// Arguments of `marigoldway explain`.
#[derive(Debug, Options)]
#[options(help = "Logs are read from the files, or from standard input.")]
pub struct ExplainArgs {
    /// Whether to print the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to print the version.
    #[options(help = "print the version")]
    pub version: bool,
    /// Request ID or flow, followed by the log files.
    #[options(
        free,
        help = "request ID, or flow as written in the logs; then log files"
    )]
    pub words: Vec<String>,
}

/// Prints the trace of the request or flow `id` from `files`, or from standard input if there are
/// none. Fails if a file can't be read or no line contains the ID.
pub fn run(id: &str, files: &[PathBuf]) -> Result<()> {
    let mut text = String::new();
    if files.is_empty() {
        let read = io::stdin().read_to_string(&mut text);
        read.change_context(Error::Read("standard input".to_owned()))?;
    }
    for file in files {
        let read = fs::read_to_string(file);
        text += &read.change_context_lazy(|| Error::Read(file.display().to_string()))?;
    }
    let lines: Vec<Line> = text.lines().filter_map(Line::parse).collect();
    match trace::follow(&lines, id) {
        Some(trace) => {
            print(&trace);
            Ok(())
        }
        None => Err(Report::new(Error::IdNotFound(id.to_owned(), lines.len()))),
    }
}

/// Prints the flows, the events with the time since the first one, the notes and the cause.
fn print(trace: &Trace) {
    println!("flow: {}", trace.flows.join(", "));
    let start = trace.events.first().map_or(0, |line| line.time);
    for line in &trace.events {
        let elapsed = line.time.saturating_sub(start);
        println!("{elapsed:>7} ms  {:<28} {}", line.instance, line.text);
    }
    for note in &trace.notes {
        println!("note: {note}");
    }
    println!("cause: {}", trace.cause);
}
