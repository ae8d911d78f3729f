//! Binary `standin`: runs the stand-in that its subcommand names.

use std::process::ExitCode;

use gumdrop::Options;

use marigoldway_standin::cli;
use marigoldway_standin::cli::Command;
use marigoldway_standin::cli::StandinOptions;

#[tokio::main]
async fn main() -> ExitCode {
    let options = StandinOptions::parse_args_default_or_exit();
    let result = match options.command {
        Some(Command::Fabric(options)) => cli::fabric(options).await,
        Some(Command::Platform(options)) => cli::platform(options).await,
        Some(Command::Target(options)) => cli::target(options).await,
        Some(Command::Soak(options)) => cli::soak(options).await,
        None => {
            eprintln!("{}", StandinOptions::usage());
            return ExitCode::from(cli::EXIT_USAGE);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("standin: {err}");
            ExitCode::FAILURE
        }
    }
}
