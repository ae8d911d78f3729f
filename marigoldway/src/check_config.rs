//! `marigoldway check-config`: checks a configuration document and compares it with another one.
//! It writes only to its output.

use std::fs::File;
use std::io;
use std::io::Read;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use error_stack::Report;
use error_stack::ResultExt;
use gumdrop::Options;
use serde::Serialize;

use marigoldway_platform::check;
use marigoldway_platform::check::Difference;
use marigoldway_platform::check::DifferenceKind;
use marigoldway_platform::check::Finding;
use marigoldway_platform::check::Item;
use marigoldway_platform::check::MAX_DOCUMENT_LEN;
use marigoldway_platform::check::Severity;

use crate::cli::EXIT_OK;
use crate::cli::EXIT_SETTINGS;
use crate::cli::report_failure;
use crate::cli::usage_error;
use crate::errors::Error;
use crate::errors::Result;

/// Arguments of `marigoldway check-config`.
#[derive(Debug, Options)]
#[options(help = "FILE is the path of a configuration document.")]
pub struct CheckConfigArgs {
    /// Whether to print the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to print the version.
    #[options(help = "print the version")]
    pub version: bool,
    /// Path of the document in force.
    #[options(no_short, meta = "FILE", help = "document in force, to compare with")]
    pub against: Option<PathBuf>,
    /// Whether to print JSON.
    #[options(no_short, help = "print one JSON document")]
    pub json: bool,
    /// Path of the document; required.
    #[options(free, help = "path of the document")]
    pub file: Option<PathBuf>,
}

/// Output of the command.
#[derive(Serialize)]
struct Output {
    findings: Vec<Finding>,
    /// `None` if nothing was compared.
    differences: Option<Vec<Difference>>,
}

/// Runs the command and returns its exit code.
pub fn run(args: CheckConfigArgs) -> ExitCode {
    let Some(file) = args.file else {
        return usage_error("FILE is missing");
    };
    let printed = examine(&file, args.against.as_deref()).and_then(|output| {
        let stdout = io::stdout().lock();
        let written = print(&output, args.json, stdout);
        written.change_context_lazy(|| Error::Write("standard output".to_owned()))?;
        Ok(output)
    });
    match printed {
        Ok(output) if check::has_errors(&output.findings) => ExitCode::from(EXIT_SETTINGS),
        Ok(_) => ExitCode::from(EXIT_OK),
        Err(report) => report_failure(&report),
    }
}

/// Checks `file`, and compares it with `against` if both can be decoded.
fn examine(file: &Path, against: Option<&Path>) -> Result<Output> {
    let document = load(file)?;
    let mut findings = check::check(&document);
    let Some(against) = against else {
        return Ok(Output {
            findings,
            differences: None,
        });
    };
    let current = load(against)?;
    let current_routes = check::decode(&current).map_err(|finding| {
        Report::new(Error::Read(against.display().to_string())).attach(finding.message)
    })?;
    let differences = check::decode(&document).ok().map(|routes| {
        findings.extend(check::check_version(&routes, &current_routes));
        check::compare((&document, &routes), (&current, &current_routes))
    });
    Ok(Output {
        findings,
        differences,
    })
}

/// Reads a document. Fails without reading it whole if it is too large.
fn load(file: &Path) -> Result<Vec<u8>> {
    let error = || Error::Read(file.display().to_string());
    let too_large =
        || Report::new(error()).attach(format!("larger than {MAX_DOCUMENT_LEN} octets"));
    let limit = MAX_DOCUMENT_LEN as u64;
    let opened = File::open(file).change_context_lazy(error)?;
    if opened.metadata().change_context_lazy(error)?.len() > limit {
        return Err(too_large());
    }
    // A device or a file that grows has more octets than its metadata states.
    let mut document = Vec::new();
    let mut bounded = opened.take(limit + 1);
    bounded
        .read_to_end(&mut document)
        .change_context_lazy(error)?;
    if document.len() > MAX_DOCUMENT_LEN {
        return Err(too_large());
    }
    Ok(document)
}

/// Prints one JSON document, or one line for each finding and difference. Names from the documents
/// are quoted, so that they can't imitate lines.
fn print(output: &Output, json: bool, mut to: impl Write) -> io::Result<()> {
    if json {
        serde_json::to_writer(&mut to, output)?;
        return writeln!(to);
    }
    for finding in &output.findings {
        print_finding(finding, &mut to)?;
    }
    for difference in output.differences.iter().flatten() {
        let Difference { kind, route, addr } = difference;
        match kind {
            DifferenceKind::Added => writeln!(to, "added route={route:?} addr={addr}")?,
            DifferenceKind::Dropped => writeln!(to, "dropped route={route:?} addr={addr}")?,
            DifferenceKind::Changed => writeln!(to, "changed route={route:?} addr={addr}")?,
            DifferenceKind::Moved { from } => {
                writeln!(to, "moved route={route:?} addr={addr} from={from}")?;
            }
        }
    }
    to.flush()
}

fn print_finding(finding: &Finding, to: &mut impl Write) -> io::Result<()> {
    match finding.severity {
        Severity::Error => write!(to, "error")?,
        Severity::Warning => write!(to, "warning")?,
    }
    match &finding.item {
        Item::Document => {}
        Item::Route(name) => write!(to, " route={name:?}")?,
        Item::Service(name) => write!(to, " service={name:?}")?,
    }
    if let Some(field) = finding.field {
        write!(to, " field={field:?}")?;
    }
    writeln!(to, " message={:?}", finding.message)
}
