//! `marigoldway lists`: the operators' two lists.

use std::process::ExitCode;

use gumdrop::Options;

/// Arguments of `marigoldway lists`.
#[derive(Debug, Options)]
pub struct ListsArgs {
    /// Asks for the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Asks for the version.
    #[options(help = "print the version")]
    pub version: bool,
}

/// Runs a command on the lists.
pub fn run(_args: ListsArgs) -> ExitCode {
    eprintln!("marigoldway: lists is not built yet");
    ExitCode::FAILURE
}
