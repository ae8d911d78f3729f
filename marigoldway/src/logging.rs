//! Logging: one line of key=value pairs per event, on standard error or standard output.

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

/// Prefix of the module paths of this project, whose messages are key=value pairs already.
const OWN_PREFIX: &str = "marigoldway";

/// Number of log lines dropped because a write to standard output failed.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Sends logs to standard error. Libraries log at `warn` and above.
///
/// Fails if a logger is already set.
pub fn init(level: LevelFilter) -> Result<(), SetLoggerError> {
    dispatch(level).chain(io::stderr()).apply()
}

/// Sends logs to standard output, each line with the name of the instance, for processes whose
/// platform collects logs there. Libraries log at `warn` and above.
///
/// A stalled reader never blocks the process: a line that the pipe doesn't accept is dropped and
/// counted in [`dropped_lines`]. Fails if a logger is already set.
pub fn init_stdout(level: LevelFilter, instance: &str) -> io::Result<()> {
    // If standard output isn't a pipe, a write may still block, as in any other program.
    if let Ok(flags) = rustix::fs::fcntl_getfl(rustix::stdio::stdout()) {
        let _ = rustix::fs::fcntl_setfl(rustix::stdio::stdout(), flags | OFlags::NONBLOCK);
    }
    let instance = instance.to_owned();
    let sink = fern::Output::call(move |record| {
        let line = format_line(&record.args().to_string(), record, Some(&instance)) + "\n";
        // A line is shorter than the largest atomic write to a pipe, so it is never split.
        if rustix::io::write(rustix::stdio::stdout(), line.as_bytes()).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
    });
    set_levels(Dispatch::new(), level)
        .chain(sink)
        .apply()
        .map_err(io::Error::other)
}

/// Returns the number of log lines dropped because a write to standard output failed.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

fn dispatch(level: LevelFilter) -> Dispatch {
    set_levels(Dispatch::new().format(format), level)
}

/// Sets `level` for the crates of this project, and `warn` or a stricter `level` for libraries.
fn set_levels(dispatch: Dispatch, level: LevelFilter) -> Dispatch {
    dispatch
        .level(level.min(LevelFilter::Warn))
        .level_for(OWN_PREFIX, level)
        .level_for("marigoldway_core", level)
        .level_for("marigoldway_net", level)
        .level_for("marigoldway_client", level)
        .level_for("marigoldway_platform", level)
}

fn format(out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>) {
    out.finish(format_args!(
        "{}",
        format_line(&message.to_string(), record, None)
    ));
}

/// Formats a log line with time, level, instance (if given), module and message.
fn format_line(message: &str, record: &Record<'_>, instance: Option<&str>) -> String {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let level = record.level().as_str().to_ascii_lowercase();
    let instance = instance.map_or(String::new(), |name| format!("instance={name} "));
    format!(
        "time={}.{:03} level={level} {instance}module={} {}",
        elapsed.as_secs(),
        elapsed.subsec_millis(),
        record.target(),
        pairs(message, record.target()),
    )
}

/// Formats a message as key=value pairs on one line. The message of a library becomes the value of
/// one `message` pair.
pub fn pairs(message: &str, module: &str) -> String {
    let line = message.replace(['\n', '\r'], " ");
    if module.starts_with(OWN_PREFIX) {
        line
    } else {
        format!("event=library message={line:?}")
    }
}
