//! Logs: one line of key=value pairs for each event, on standard error.

use std::fmt::Arguments;
use std::io;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use fern::Dispatch;
use fern::FormatCallback;
use log::LevelFilter;
use log::Record;
use log::SetLoggerError;

/// Prefix of the modules whose messages are key=value pairs already.
const OWN_PREFIX: &str = "marigoldway";

/// Sends logs to standard error. Libraries are heard from `warn` on.
pub fn init(level: LevelFilter) -> Result<(), SetLoggerError> {
    dispatch(level).chain(io::stderr()).apply()
}

/// Sends logs to standard output, for processes whose platform collects them
/// there. Libraries are heard from `warn` on.
pub fn init_stdout(level: LevelFilter) -> Result<(), SetLoggerError> {
    dispatch(level).chain(io::stdout()).apply()
}

fn dispatch(level: LevelFilter) -> Dispatch {
    Dispatch::new()
        .format(format)
        .level(level.min(LevelFilter::Warn))
        .level_for(OWN_PREFIX, level)
        .level_for("marigoldway_core", level)
        .level_for("marigoldway_net", level)
        .level_for("marigoldway_client", level)
        .level_for("marigoldway_platform", level)
}

fn format(out: FormatCallback<'_>, message: &Arguments<'_>, record: &Record<'_>) {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let level = record.level().as_str().to_ascii_lowercase();
    out.finish(format_args!(
        "time={}.{:03} level={level} module={} {}",
        since.as_secs(),
        since.subsec_millis(),
        record.target(),
        pairs(&message.to_string(), record.target()),
    ));
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
