//! Logs: one line of key=value pairs for each event, on standard error.

use std::fmt::Arguments;
use std::io;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use fern::Dispatch;
use fern::FormatCallback;
use log::LevelFilter;
use log::Record;
use log::SetLoggerError;
use rustix::fs::OFlags;

/// Prefix of the modules whose messages are key=value pairs already.
const OWN_PREFIX: &str = "marigoldway";

/// Lines that standard output didn't take.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Sends logs to standard error. Libraries are heard from `warn` on.
pub fn init(level: LevelFilter) -> Result<(), SetLoggerError> {
    dispatch(level).chain(io::stderr()).apply()
}

/// Sends logs to standard output, each line with the name of the instance, for
/// processes whose platform collects them there. Libraries are heard from
/// `warn` on. A reader that stops reading never holds the process up: what the
/// pipe doesn't take is left out, and counted in [`dropped_lines`].
pub fn init_stdout(level: LevelFilter, instance: &str) -> io::Result<()> {
    // Elsewhere than on a pipe a write may wait, as it would for any program.
    if let Ok(flags) = rustix::fs::fcntl_getfl(rustix::stdio::stdout()) {
        let _ = rustix::fs::fcntl_setfl(rustix::stdio::stdout(), flags | OFlags::NONBLOCK);
    }
    let instance = instance.to_owned();
    let sink = fern::Output::call(move |record| {
        let line = line(&record.args().to_string(), record, Some(&instance)) + "\n";
        // A line is shorter than what a pipe takes at once, so it goes whole.
        if rustix::io::write(rustix::stdio::stdout(), line.as_bytes()).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
    });
    levels(Dispatch::new(), level)
        .chain(sink)
        .apply()
        .map_err(io::Error::other)
}

/// Lines that standard output didn't take.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

fn dispatch(level: LevelFilter) -> Dispatch {
    levels(Dispatch::new().format(format), level)
}

fn levels(dispatch: Dispatch, level: LevelFilter) -> Dispatch {
    dispatch
        .level(level.min(LevelFilter::Warn))
        .level_for(OWN_PREFIX, level)
        .level_for("marigoldway_core", level)
        .level_for("marigoldway_net", level)
        .level_for("marigoldway_client", level)
        .level_for("marigoldway_platform", level)
}

fn format(out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>) {
    out.finish(format_args!("{}", line(&message.to_string(), record, None)));
}

/// One line of a log.
fn line(message: &str, record: &Record<'_>, instance: Option<&str>) -> String {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let level = record.level().as_str().to_ascii_lowercase();
    let instance = instance.map_or(String::new(), |name| format!("instance={name} "));
    format!(
        "time={}.{:03} level={level} {instance}module={} {}",
        since.as_secs(),
        since.subsec_millis(),
        record.target(),
        pairs(message, record.target()),
    )
}

/// The message on one line, as pairs. A library's message becomes one value.
pub fn pairs(message: &str, module: &str) -> String {
    let line = message.replace(['\n', '\r'], " ");
    if module.starts_with(OWN_PREFIX) {
        line
    } else {
        format!("event=library message={line:?}")
    }
}
